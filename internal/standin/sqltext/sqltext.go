// Package sqltext splits PostgreSQL SQL text into statements, classifies them and
// translates them to the dialect of SQLite, which the stand-in embeds.
//
// # Usage
//
//	for _, statement := range sqltext.Parse("insert into t values ($1); select 1") {
//		switch statement.Kind {
//		case sqltext.Write: // statement.SQL is "insert into t values (?1)"
//		}
//	}
//
// It supports only the part of the language that tests need: strings, quoted
// names, comments, parameters, casts and the keywords that determine a
// statement's kind.
package sqltext

import (
	"regexp"
	"strconv"
	"strings"
)

const (
	// Empty is a statement without keywords or names.
	Empty Kind = iota
	// Read changes nothing.
	Read
	// Write may change data.
	Write
	// Begin opens a transaction.
	Begin
	// Commit ends a transaction.
	Commit
	// Rollback rolls a transaction back.
	Rollback
	// Savepoint sets a savepoint.
	Savepoint
	// Release releases a savepoint.
	Release
	// RollbackTo rolls back to a savepoint.
	RollbackTo
	// Setting changes session state: SET, RESET, DISCARD, LISTEN, UNLISTEN.
	// The stand-in ignores all but DISCARD.
	Setting
	// Show returns a setting.
	Show
	// Deallocate deallocates prepared statements.
	Deallocate
	// Platform is a PLATFORM statement (see package adapter).
	Platform
	// Copy is a COPY statement, which the stand-in doesn't support.
	Copy
)

// serialPrimaryKey matches a column definition that SQLite spells differently.
var serialPrimaryKey = regexp.MustCompile(`(?i)\b(big|small)?serial\s+primary\s+key\b`)

type (
	// Kind is the kind of a statement.
	Kind uint8

	// Statement is one statement of a text.
	Statement struct {
		Kind Kind
		// SQL is the statement in SQLite's dialect.
		SQL string
		// Words are its keywords and unquoted names, in upper case.
		Words []string
		// Parameters is the highest parameter number; 0: none.
		Parameters int
	}

	// scanner translates a text token by token.
	scanner struct {
		text         string
		pos          int
		output       strings.Builder
		words        []string
		maxParameter int
	}
)

// Parse splits text into statements, which semicolons separate. It leaves out
// empty statements; a text without any other gives one empty statement.
func Parse(text string) []Statement {
	var statements []Statement
	s := &scanner{text: text}
	for s.pos < len(s.text) {
		if statement := s.statement(); statement.Kind != Empty {
			statements = append(statements, statement)
		}
	}
	if len(statements) == 0 {
		return []Statement{{Kind: Empty}}
	}
	return statements
}

// Has reports whether word, in upper case, is one of the statement's words.
func (s Statement) Has(word string) bool {
	for _, w := range s.Words {
		if w == word {
			return true
		}
	}
	return false
}

// Word returns the word with index n, from 0; empty if there is none.
func (s Statement) Word(n int) string {
	if n >= len(s.Words) {
		return ""
	}
	return s.Words[n]
}

// statement translates the text up to the next semicolon or the end.
func (s *scanner) statement() Statement {
	s.output.Reset()
	s.words = nil
	s.maxParameter = 0
	for s.pos < len(s.text) {
		if s.text[s.pos] == ';' {
			s.pos++
			break
		}
		s.token()
	}
	sql := strings.TrimSpace(s.output.String())
	if strings.Contains(strings.ToLower(sql), "serial") {
		sql = serialPrimaryKey.ReplaceAllString(sql, "integer primary key autoincrement")
	}
	statement := Statement{SQL: sql, Words: s.words, Parameters: s.maxParameter}
	statement.Kind = kindOf(statement)
	return statement
}

// token translates the next token: it removes comments, casts and FOR UPDATE, and
// writes parameters as ?1 instead of $1.
func (s *scanner) token() {
	rest := s.text[s.pos:]
	switch c := rest[0]; {
	case c == '\'' || c == '"':
		s.copyText(quotedLength(rest, c))
	case strings.HasPrefix(rest, "--"):
		s.replaceWithSpace(lineCommentLength(rest))
	case strings.HasPrefix(rest, "/*"):
		s.replaceWithSpace(blockCommentLength(rest))
	case strings.HasPrefix(rest, "::"):
		s.replaceWithSpace(castLength(rest))
	case c == '$' && len(rest) > 1 && isDigit(rest[1]):
		s.parameter(rest)
	case isLetter(c):
		s.word(rest)
	default:
		s.copyText(1)
	}
}

func (s *scanner) copyText(n int) {
	s.output.WriteString(s.text[s.pos : s.pos+n])
	s.pos += n
}

func (s *scanner) replaceWithSpace(n int) {
	s.output.WriteByte(' ')
	s.pos += n
}

func (s *scanner) parameter(rest string) {
	n := 1
	for n < len(rest) && isDigit(rest[n]) {
		n++
	}
	number, _ := strconv.Atoi(rest[1:n])
	s.maxParameter = max(s.maxParameter, number)
	s.output.WriteString("?" + rest[1:n])
	s.pos += n
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
		s.replaceWithSpace(len(rest) - len(following) + len("UPDATE"))
		return
	}
	s.copyText(n)
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

// quotedLength returns the length of the quoted string or name at the start of
// rest, with its quotes.
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

func lineCommentLength(rest string) int {
	if i := strings.IndexByte(rest, '\n'); i >= 0 {
		return i + 1
	}
	return len(rest)
}

func blockCommentLength(rest string) int {
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
