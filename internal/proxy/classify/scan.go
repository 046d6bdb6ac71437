package classify

import "strings"

// Kinds of tokens.
const (
	tokenEnd tokenKind = iota
	tokenWord
	tokenString
	tokenSymbol
	tokenQuoted
	tokenOther
)

type (
	tokenKind uint8

	token struct {
		kind tokenKind
		// text is the word in upper case, the symbol, or the content of a
		// literal.
		text string
	}

	// scanner cuts SQL text into tokens, without comments.
	scanner struct {
		sql string
		at  int
	}
)

// next returns the next token.
func (s *scanner) next() token {
	s.skipBlank()
	if s.at >= len(s.sql) {
		return token{}
	}
	c := s.sql[s.at]
	switch {
	case c == '\'':
		return s.literal()
	case c == '"':
		return token{kind: tokenQuoted, text: s.until('"')}
	case c == '$':
		return s.dollar()
	case isWordStart(c):
		return s.word()
	case isDigit(c):
		return s.number()
	default:
		s.at++
		return token{kind: tokenSymbol, text: s.sql[s.at-1 : s.at]}
	}
}

// skipBlank skips white space and comments.
func (s *scanner) skipBlank() {
	for s.at < len(s.sql) {
		rest := s.sql[s.at:]
		switch {
		case isSpace(rest[0]):
			s.at++
		case strings.HasPrefix(rest, "--"):
			s.skipLine()
		case strings.HasPrefix(rest, "/*"):
			s.at += commentLength(rest)
		default:
			return
		}
	}
}

func (s *scanner) skipLine() {
	end := strings.IndexByte(s.sql[s.at:], '\n')
	if end < 0 {
		s.at = len(s.sql)
		return
	}
	s.at += end + 1
}

// commentLength is the length of the comment at the start of text; comments
// nest.
func commentLength(text string) int {
	depth := 0
	for i := 0; i+1 < len(text); i++ {
		switch text[i : i+2] {
		case "/*":
			depth++
			i++
		case "*/":
			depth--
			i++
			if depth == 0 {
				return i + 1
			}
		}
	}
	return len(text)
}

func (s *scanner) word() token {
	start := s.at
	for s.at < len(s.sql) && (isWordStart(s.sql[s.at]) || isDigit(s.sql[s.at]) || s.sql[s.at] == '$') {
		s.at++
	}
	word := s.sql[start:s.at]
	// E'..' is a literal in which a backslash escapes.
	if len(word) == 1 && (word[0] == 'e' || word[0] == 'E') && s.at < len(s.sql) && s.sql[s.at] == '\'' {
		return s.escaped()
	}
	return token{kind: tokenWord, text: strings.ToUpper(word)}
}

func (s *scanner) number() token {
	start := s.at
	for s.at < len(s.sql) && (isDigit(s.sql[s.at]) || isWordStart(s.sql[s.at]) || s.sql[s.at] == '.') {
		s.at++
	}
	return token{kind: tokenOther, text: s.sql[start:s.at]}
}

// literal reads '...'; two quotes stand for one.
func (s *scanner) literal() token {
	return token{kind: tokenString, text: s.until('\'')}
}

func (s *scanner) until(quote byte) string {
	s.at++
	start := s.at
	doubled := false
	for s.at < len(s.sql) {
		if s.sql[s.at] != quote {
			s.at++
			continue
		}
		if s.at+1 < len(s.sql) && s.sql[s.at+1] == quote {
			doubled = true
			s.at += 2
			continue
		}
		break
	}
	text := s.sql[start:min(s.at, len(s.sql))]
	s.at = min(s.at+1, len(s.sql))
	if doubled {
		text = strings.ReplaceAll(text, string([]byte{quote, quote}), string(quote))
	}
	return text
}

func (s *scanner) escaped() token {
	s.at++
	start := s.at
	for s.at < len(s.sql) && s.sql[s.at] != '\'' {
		if s.sql[s.at] == '\\' {
			s.at++
		}
		s.at++
	}
	s.at = min(s.at, len(s.sql))
	text := s.sql[start:s.at]
	s.at = min(s.at+1, len(s.sql))
	return token{kind: tokenString, text: text}
}

// dollar reads $1, $$...$$ or $tag$...$tag$.
func (s *scanner) dollar() token {
	rest := s.sql[s.at:]
	end := 1
	for end < len(rest) && (isWordStart(rest[end]) || isDigit(rest[end])) {
		end++
	}
	if end >= len(rest) || rest[end] != '$' || (end > 1 && isDigit(rest[1])) {
		s.at += end
		return token{kind: tokenOther, text: rest[:end]}
	}
	tag := rest[:end+1]
	body := rest[end+1:]
	close := strings.Index(body, tag)
	if close < 0 {
		s.at = len(s.sql)
		return token{kind: tokenString, text: body}
	}
	s.at += len(tag) + close + len(tag)
	return token{kind: tokenString, text: body[:close]}
}

func isSpace(c byte) bool {
	return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v'
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordStart(c byte) bool {
	return c == '_' || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c >= 0x80
}
