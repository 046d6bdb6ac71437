package classify

import "strings"

// Kinds of tokens.
const (
	tokenEnd tokenKind = iota
	tokenWord
	tokenString
	tokenSymbol
	tokenQuotedIdentifier
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

	// scanner splits SQL text into tokens and skips comments.
	scanner struct {
		sql string
		pos int
	}
)

// next returns the next token; at the end its kind is tokenEnd.
func (s *scanner) next() token {
	s.skipSpaceAndComments()
	if s.pos >= len(s.sql) {
		return token{}
	}
	c := s.sql[s.pos]
	switch {
	case c == '\'':
		return s.scanString()
	case c == '"':
		return token{kind: tokenQuotedIdentifier, text: s.scanQuoted('"')}
	case c == '$':
		return s.scanDollar()
	case isWordStart(c):
		return s.scanWord()
	case isDigit(c):
		return s.scanNumber()
	default:
		s.pos++
		return token{kind: tokenSymbol, text: s.sql[s.pos-1 : s.pos]}
	}
}

// skipSpaceAndComments skips white space and comments.
func (s *scanner) skipSpaceAndComments() {
	for s.pos < len(s.sql) {
		rest := s.sql[s.pos:]
		switch {
		case isSpace(rest[0]):
			s.pos++
		case strings.HasPrefix(rest, "--"):
			s.skipLine()
		case strings.HasPrefix(rest, "/*"):
			s.pos += commentLength(rest)
		default:
			return
		}
	}
}

func (s *scanner) skipLine() {
	end := strings.IndexByte(s.sql[s.pos:], '\n')
	if end < 0 {
		s.pos = len(s.sql)
		return
	}
	s.pos += end + 1
}

// commentLength returns the length of the block comment at the start of text.
// Block comments nest.
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

func (s *scanner) scanWord() token {
	start := s.pos
	for s.pos < len(s.sql) && (isWordStart(s.sql[s.pos]) || isDigit(s.sql[s.pos]) || s.sql[s.pos] == '$') {
		s.pos++
	}
	word := s.sql[start:s.pos]
	// In an E'...' literal, a backslash starts an escape sequence.
	if len(word) == 1 && (word[0] == 'e' || word[0] == 'E') && s.pos < len(s.sql) && s.sql[s.pos] == '\'' {
		return s.scanEscapeString()
	}
	return token{kind: tokenWord, text: strings.ToUpper(word)}
}

func (s *scanner) scanNumber() token {
	start := s.pos
	for s.pos < len(s.sql) && (isDigit(s.sql[s.pos]) || isWordStart(s.sql[s.pos]) || s.sql[s.pos] == '.') {
		s.pos++
	}
	return token{kind: tokenOther, text: s.sql[start:s.pos]}
}

// scanString scans a '...' literal, in which two quotes stand for one.
func (s *scanner) scanString() token {
	return token{kind: tokenString, text: s.scanQuoted('\'')}
}

func (s *scanner) scanQuoted(quote byte) string {
	s.pos++
	start := s.pos
	doubled := false
	for s.pos < len(s.sql) {
		if s.sql[s.pos] != quote {
			s.pos++
			continue
		}
		if s.pos+1 < len(s.sql) && s.sql[s.pos+1] == quote {
			doubled = true
			s.pos += 2
			continue
		}
		break
	}
	text := s.sql[start:min(s.pos, len(s.sql))]
	s.pos = min(s.pos+1, len(s.sql))
	if doubled {
		text = strings.ReplaceAll(text, string([]byte{quote, quote}), string(quote))
	}
	return text
}

func (s *scanner) scanEscapeString() token {
	s.pos++
	start := s.pos
	for s.pos < len(s.sql) && s.sql[s.pos] != '\'' {
		if s.sql[s.pos] == '\\' {
			s.pos++
		}
		s.pos++
	}
	s.pos = min(s.pos, len(s.sql))
	text := s.sql[start:s.pos]
	s.pos = min(s.pos+1, len(s.sql))
	return token{kind: tokenString, text: text}
}

// scanDollar scans a parameter $1, or a literal $$...$$ or $tag$...$tag$.
func (s *scanner) scanDollar() token {
	rest := s.sql[s.pos:]
	end := 1
	for end < len(rest) && (isWordStart(rest[end]) || isDigit(rest[end])) {
		end++
	}
	if end >= len(rest) || rest[end] != '$' || (end > 1 && isDigit(rest[1])) {
		s.pos += end
		return token{kind: tokenOther, text: rest[:end]}
	}
	tag := rest[:end+1]
	body := rest[end+1:]
	close := strings.Index(body, tag)
	if close < 0 {
		s.pos = len(s.sql)
		return token{kind: tokenString, text: body}
	}
	s.pos += len(tag) + close + len(tag)
	return token{kind: tokenString, text: body[:close]}
}

func isSpace(c byte) bool {
	return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v'
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordStart(c byte) bool {
	return c == '_' || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c >= 0x80
}
