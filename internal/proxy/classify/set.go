package classify

import "strings"

// parseSet parses the rest of SET [SESSION|LOCAL] name {=|TO} value. SET ROLE, SET
// SESSION CHARACTERISTICS and a SET without a setting's name can't be replayed on
// another backend connection; their kind is Pin: the session keeps its connection.
func parseSet(s *scanner) Statement {
	result := Statement{Kind: Set}
	before := s.pos
	t := s.next()
	switch t.text {
	case "LOCAL":
		result.IsLocal = true
	case "SESSION":
		before = s.pos
		if s.next().text == "CHARACTERISTICS" {
			return Statement{Kind: Pin}
		}
		s.pos = before
	case "TRANSACTION", "CONSTRAINTS":
		result.IsLocal = true
		return result
	case "ROLE":
		return Statement{Kind: Pin}
	default:
		s.pos = before
	}
	name, ok := parseSettingName(s)
	if !ok {
		return Statement{Kind: Pin}
	}
	result.Setting = Setting{Name: name, Value: parseSettingValue(s)}
	result.IsProxySetting = isProxySetting(name)
	return result
}

// parseSettingName parses a setting's name, which may contain dots, and the "="
// or TO after it. It returns the name in lower case, "timezone" for TIME ZONE.
func parseSettingName(s *scanner) (string, bool) {
	var name strings.Builder
	for {
		before := s.pos
		t := s.next()
		switch {
		case t.kind == tokenWord && t.text == "TO", t.text == "=" && t.kind == tokenSymbol:
			return name.String(), name.Len() > 0
		case t.kind == tokenWord && name.Len() > 0 && t.text == "ZONE":
			name.Reset()
			name.WriteString("timezone")
			return name.String(), true
		case t.kind == tokenWord, t.kind == tokenQuotedIdentifier:
			name.WriteString(strings.ToLower(t.text))
		case t.kind == tokenSymbol && (t.text == "." || t.text == "-"):
			name.WriteString(t.text)
		default:
			s.pos = before
			return name.String(), name.Len() > 0
		}
	}
}

// parseSettingValue returns the rest of the statement as the setting's value.
func parseSettingValue(s *scanner) string {
	var value strings.Builder
	for {
		before := s.pos
		t := s.next()
		if t.kind == tokenEnd || (t.kind == tokenSymbol && t.text == ";") {
			s.pos = before
			return value.String()
		}
		if t.kind == tokenWord {
			value.WriteString(strings.ToLower(t.text))
			continue
		}
		value.WriteString(t.text)
	}
}

// isProxySetting reports whether the proxy handles the setting itself.
func isProxySetting(name string) bool { return strings.HasPrefix(name, SettingPrefix) }

// parseHints returns the proxy settings in a leading comment.
func parseHints(sql string) []Setting {
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
