package classify

import "strings"

// set reads SET [SESSION|LOCAL] name {=|TO} value.
func set(s *scanner) Statement {
	result := Statement{Kind: Set}
	at := s.at
	t := s.next()
	switch t.text {
	case "LOCAL":
		result.IsLocal = true
	case "SESSION":
		at = s.at
		if s.next().text == "CHARACTERISTICS" {
			return Statement{Kind: Pin}
		}
		s.at = at
	case "TRANSACTION", "CONSTRAINTS":
		result.IsLocal = true
		return result
	case "ROLE":
		return Statement{Kind: Pin}
	default:
		s.at = at
	}
	name, ok := settingName(s)
	if !ok {
		return Statement{Kind: Pin}
	}
	result.Setting = Setting{Name: name, Value: settingValue(s)}
	result.IsProxySetting = isOwn(name)
	return result
}

// settingName reads name or prefix.name in lower case, and the "=" or TO
// after it.
func settingName(s *scanner) (string, bool) {
	var name strings.Builder
	for {
		at := s.at
		t := s.next()
		switch {
		case t.kind == tokenWord && t.text == "TO", t.text == "=" && t.kind == tokenSymbol:
			return name.String(), name.Len() > 0
		case t.kind == tokenWord && name.Len() > 0 && t.text == "ZONE":
			name.Reset()
			name.WriteString("timezone")
			return name.String(), true
		case t.kind == tokenWord, t.kind == tokenQuoted:
			name.WriteString(strings.ToLower(t.text))
		case t.kind == tokenSymbol && (t.text == "." || t.text == "-"):
			name.WriteString(t.text)
		default:
			s.at = at
			return name.String(), name.Len() > 0
		}
	}
}

// settingValue reads the value up to the end of the statement.
func settingValue(s *scanner) string {
	var value strings.Builder
	for {
		at := s.at
		t := s.next()
		if t.kind == tokenEnd || (t.kind == tokenSymbol && t.text == ";") {
			s.at = at
			return value.String()
		}
		if t.kind == tokenWord {
			value.WriteString(strings.ToLower(t.text))
			continue
		}
		value.WriteString(t.text)
	}
}

// isOwn reports whether the setting belongs to the proxy.
func isOwn(name string) bool { return strings.HasPrefix(name, SettingPrefix) }

// hints reads the settings in a leading comment.
func hints(sql string) []Setting {
	text := strings.TrimLeft(sql, " \t\r\n")
	if !strings.HasPrefix(text, "/*") {
		return nil
	}
	comment := text[2:max(2, commentLength(text)-2)]
	body, found := strings.CutPrefix(strings.TrimSpace(comment), hintPrefix)
	if !found {
		return nil
	}
	var result []Setting
	for part := range strings.SplitSeq(body, ",") {
		name, value, ok := strings.Cut(part, "=")
		if !ok {
			continue
		}
		name = strings.ReplaceAll(strings.ToLower(strings.TrimSpace(name)), "-", "_")
		result = append(result, Setting{Name: SettingPrefix + name, Value: strings.TrimSpace(value)})
	}
	return result
}
