// Package sqltext splits PostgreSQL text into statements, tells their kind
// and writes them in the dialect of the stand-in's embedded engine.
//
// # Usage
//
//	for _, statement := range sqltext.Parse("insert into t values ($1); select 1") {
//		switch statement.Kind {
//		case sqltext.Write: // statement.SQL is "insert into t values (?1)"
//		}
//	}
//
// It knows just enough of the language for tests: strings, quoted names,
// comments, parameters, casts and the words that decide a statement's kind.
package sqltext

import (
	"regexp"
	"strconv"
	"strings"
)

const (
	// Empty is a statement without words.
	Empty Kind = iota
	// Read changes nothing.
	Read
	// Write may change data.
	Write
	// Begin opens a transaction.
	Begin
	// Commit ends a transaction.
	Commit
	// Rollback undoes a transaction.
	Rollback
	// Savepoint sets a savepoint.
	Savepoint
	// Release forgets a savepoint.
	Release
	// RollbackTo undoes up to a savepoint.
	RollbackTo
	// Setting changes session state that the stand-in ignores.
	Setting
	// Show asks for a setting.
	Show
	// Deallocate forgets prepared statements.
	Deallocate
	// Platform is a statement of the platform's own interface.
	Platform
	// Copy is a bulk transfer, which the stand-in refuses.
	Copy
)

// serialKey is a column definition that the engine spells differently.
var serialKey = regexp.MustCompile(`(?i)\b(big|small)?serial\s+primary\s+key\b`)

type (
	// Kind is what a statement does.
	Kind uint8

	// Statement is one statement of a text.
	Statement struct {
		Kind Kind
		// SQL is the statement in the engine's dialect.
		SQL string
		// Words are its bare words, in upper case.
		Words []string
		// Parameters is the highest parameter number.
		Parameters int
	}

	scanner struct {
		text   string
		at     int
		out    strings.Builder
		words  []string
		params int
	}
)

// Parse splits text at its semicolons. Empty statements are left out unless
// there is no other.
func Parse(text string) []Statement {
	var all []Statement
	s := &scanner{text: text}
	for s.at < len(s.text) {
		if statement := s.statement(); statement.Kind != Empty {
			all = append(all, statement)
		}
	}
	if len(all) == 0 {
		return []Statement{{Kind: Empty}}
	}
	return all
}

// Has reports whether word, in upper case, is among the statement's words.
func (s Statement) Has(word string) bool {
	for _, w := range s.Words {
		if w == word {
			return true
		}
	}
	return false
}

// Word returns the n-th word; empty if there is none.
func (s Statement) Word(n int) string {
	if n >= len(s.Words) {
		return ""
	}
	return s.Words[n]
}

// statement reads up to the next semicolon or the end.
func (s *scanner) statement() Statement {
	s.out.Reset()
	s.words = nil
	s.params = 0
	for s.at < len(s.text) {
		if s.text[s.at] == ';' {
			s.at++
			break
		}
		s.token()
	}
	sql := strings.TrimSpace(s.out.String())
	if strings.Contains(strings.ToLower(sql), "serial") {
		sql = serialKey.ReplaceAllString(sql, "integer primary key autoincrement")
	}
	statement := Statement{SQL: sql, Words: s.words, Parameters: s.params}
	statement.Kind = kindOf(statement)
	return statement
}

func (s *scanner) token() {
	rest := s.text[s.at:]
	switch c := rest[0]; {
	case c == '\'' || c == '"':
		s.copy(quotedLength(rest, c))
	case strings.HasPrefix(rest, "--"):
		s.skip(lineLength(rest))
	case strings.HasPrefix(rest, "/*"):
		s.skip(commentLength(rest))
	case strings.HasPrefix(rest, "::"):
		s.skip(castLength(rest))
	case c == '$' && len(rest) > 1 && isDigit(rest[1]):
		s.parameter(rest)
	case isLetter(c):
		s.word(rest)
	default:
		s.copy(1)
	}
}

func (s *scanner) copy(n int) {
	s.out.WriteString(s.text[s.at : s.at+n])
	s.at += n
}

func (s *scanner) skip(n int) {
	s.out.WriteByte(' ')
	s.at += n
}

func (s *scanner) parameter(rest string) {
	n := 1
	for n < len(rest) && isDigit(rest[n]) {
		n++
	}
	number, _ := strconv.Atoi(rest[1:n])
	s.params = max(s.params, number)
	s.out.WriteString("?" + rest[1:n])
	s.at += n
}

func (s *scanner) word(rest string) {
	n := 1
	for n < len(rest) && (isLetter(rest[n]) || isDigit(rest[n])) {
		n++
	}
	word := strings.ToUpper(rest[:n])
	s.words = append(s.words, word)
	following := strings.TrimLeft(rest[n:], " \t\r\n")
	if word == "FOR" && strings.HasPrefix(strings.ToUpper(following), "UPDATE") {
		s.skip(len(rest) - len(following) + len("UPDATE"))
		return
	}
	s.copy(n)
}

func kindOf(s Statement) Kind {
	switch s.Word(0) {
	case "":
		return Empty
	case "SELECT", "VALUES", "EXPLAIN", "TABLE":
		return Read
	case "WITH":
		if s.Has("INSERT") || s.Has("UPDATE") || s.Has("DELETE") {
			return Write
		}
		return Read
	case "BEGIN", "START":
		return Begin
	case "COMMIT", "END":
		return Commit
	case "ABORT":
		return Rollback
	case "ROLLBACK":
		if s.Has("TO") {
			return RollbackTo
		}
		return Rollback
	case "SAVEPOINT":
		return Savepoint
	case "RELEASE":
		return Release
	case "SET", "RESET", "DISCARD", "LISTEN", "UNLISTEN":
		return Setting
	case "SHOW":
		return Show
	case "DEALLOCATE":
		return Deallocate
	case "PLATFORM":
		return Platform
	case "COPY":
		return Copy
	default:
		return Write
	}
}

// quotedLength returns the length of the quoted text at the start of rest.
func quotedLength(rest string, quote byte) int {
	for i := 1; i < len(rest); i++ {
		if rest[i] != quote {
			continue
		}
		if i+1 < len(rest) && rest[i+1] == quote {
			i++
			continue
		}
		return i + 1
	}
	return len(rest)
}

func lineLength(rest string) int {
	if i := strings.IndexByte(rest, '\n'); i >= 0 {
		return i + 1
	}
	return len(rest)
}

func commentLength(rest string) int {
	if i := strings.Index(rest[2:], "*/"); i >= 0 {
		return i + 4
	}
	return len(rest)
}

// castLength returns the length of a cast like ::numeric(10,2)[].
func castLength(rest string) int {
	n := 2
	for n < len(rest) && (isLetter(rest[n]) || isDigit(rest[n])) {
		n++
	}
	if n < len(rest) && rest[n] == '(' {
		if i := strings.IndexByte(rest[n:], ')'); i >= 0 {
			n += i + 1
		}
	}
	if strings.HasPrefix(rest[n:], "[]") {
		n += 2
	}
	return n
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isLetter(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}
