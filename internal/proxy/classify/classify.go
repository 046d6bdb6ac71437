// Package classify determines the kind of a request from its SQL text, without
// a full parser. Everything that isn't known to be a read is classified as a
// write.
//
// # Usage
//
//	statement := classify.SQL("select sum(cents) from allowance where member = $1")
//	if statement.Kind == classify.Read {
//		// A replica may execute it, and it may be retried if its answer is lost.
//	}
//
// A SELECT is a read unless it locks rows, creates a table, or calls a function
// that isn't known to have no effects. A text of several statements has the
// highest kind among them. Leading comments of the form
//
//	/* burdockwood: max-age=5s, request-id=abc */
//
// contain proxy settings for this text only.
package classify

import (
	"strings"
)

// Kinds of statements, ordered by what they demand of the proxy.
const (
	// Empty means that the text contains no statement.
	Empty Kind = iota
	// Read has no effects.
	Read
	// Begin begins a transaction.
	Begin
	// Commit commits the open transaction.
	Commit
	// Rollback rolls the open transaction back.
	Rollback
	// Savepoint sets, releases or rolls back to a savepoint.
	Savepoint
	// Set changes a setting of the session.
	Set
	// Write may have effects; every unknown statement is a write.
	Write
	// Pin creates session state that can't be replayed on another backend
	// connection, so the session must keep its connection.
	Pin
	// CopyIn is COPY ... FROM, which loads rows into a table.
	CopyIn
)

const (
	// SettingPrefix is the prefix of the names of proxy settings, which the
	// proxy handles itself.
	SettingPrefix = "burdockwood."

	hintPrefix = "burdockwood:"
)

type (
	// Kind is the kind of a statement.
	Kind uint8

	// Setting is the name and value of a setting.
	Setting struct {
		Name  string
		Value string
	}

	// Statement describes an SQL text.
	Statement struct {
		Kind Kind
		// Count is the number of statements in the text.
		Count int
		// IsProxySetting is true if the text is a single SET or RESET of a
		// proxy setting, which Setting contains.
		IsProxySetting bool
		// Setting is the setting of a single SET or RESET, or the name in a
		// single SHOW. For a single DISCARD or DEALLOCATE, its name is that
		// keyword in lower case.
		Setting Setting
		// IsLocal is true if a SET applies only to its transaction.
		IsLocal bool
		// IsShow is true if the text is a single SHOW of Setting.Name.
		IsShow bool
		// Hints are the proxy settings in a leading comment.
		Hints []Setting
	}
)

// String returns the kind's name.
func (k Kind) String() string {
	names := [...]string{"empty", "read", "begin", "commit", "rollback", "savepoint", "set", "write", "pin", "copy-in"}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// SQL classifies a text of any number of statements.
func SQL(sql string) Statement {
	result := Statement{Hints: parseHints(sql)}
	s := scanner{sql: sql}
	for {
		one, more := nextStatement(&s)
		if one.Kind != Empty {
			result.Count++
			mergeStatement(&result, one)
		}
		if !more {
			return result
		}
	}
}

// mergeStatement adds the classification of the text's next statement to
// result.
func mergeStatement(result *Statement, one Statement) {
	if result.Count == 1 {
		one.Hints = result.Hints
		one.Count = 1
		*result = one
		return
	}
	result.IsProxySetting = false
	result.IsShow = false
	result.Setting = Setting{}
	// A setting among other statements can't be replayed on another connection.
	if one.Kind == Set || result.Kind == Set {
		one.Kind = Pin
	}
	if one.Kind > result.Kind {
		result.Kind = one.Kind
	}
	// Transaction control among other statements can't be tracked, so the text
	// is treated as a write.
	if result.Kind > Read && result.Kind < Write {
		result.Kind = Write
	}
}

// nextStatement classifies the scanner's next statement. more is false at the
// end of the text.
func nextStatement(s *scanner) (statement Statement, more bool) {
	first := s.next()
	if first.kind == tokenEnd {
		return Statement{}, false
	}
	if first.kind == tokenSymbol && first.text == ";" {
		return Statement{}, true
	}
	statement = classifyStatement(first, s)
	return statement, skipStatement(s)
}

// classifyStatement classifies a statement by its first word. It may leave the
// scanner anywhere in the statement.
func classifyStatement(first token, s *scanner) Statement {
	switch first.text {
	case "SELECT", "VALUES", "TABLE", "WITH", "(":
		return Statement{Kind: classifyQuery(s, first.text == "WITH")}
	case "EXPLAIN":
		return Statement{Kind: classifyExplain(s)}
	case "SHOW":
		name, _ := parseSettingName(s)
		return Statement{Kind: Read, IsShow: true, Setting: Setting{Name: name}}
	case "BEGIN", "START":
		return Statement{Kind: Begin}
	case "COMMIT", "END":
		return Statement{Kind: classifyCommit(s)}
	case "ROLLBACK", "ABORT":
		return Statement{Kind: classifyRollback(s)}
	case "SAVEPOINT", "RELEASE":
		return Statement{Kind: Savepoint}
	case "SET":
		return parseSet(s)
	case "RESET":
		name, _ := parseSettingName(s)
		return Statement{Kind: Set, Setting: Setting{Name: name}, IsProxySetting: isProxySetting(name)}
	case "DISCARD", "DEALLOCATE":
		return Statement{Kind: Set, Setting: Setting{Name: strings.ToLower(first.text)}}
	case "LISTEN", "UNLISTEN", "PREPARE", "DECLARE", "LOAD", "EXECUTE":
		return Statement{Kind: Pin}
	case "CREATE":
		return Statement{Kind: classifyCreate(s)}
	case "COPY":
		return Statement{Kind: classifyCopy(s)}
	default:
		return Statement{Kind: Write}
	}
}

// classifyQuery classifies the rest of a SELECT, VALUES, TABLE or WITH.
func classifyQuery(s *scanner, isWith bool) Kind {
	kind := Read
	previous := token{}
	for {
		before := s.pos
		t := s.next()
		if t.kind == tokenEnd || (t.kind == tokenSymbol && t.text == ";") {
			s.pos = before
			return kind
		}
		if makesWrite(previous, t, isWith) {
			kind = max(kind, Write)
		}
		if takesAdvisoryLock(previous, t) {
			kind = Pin
		}
		previous = t
	}
}

// makesWrite reports whether a token makes the query that contains it a write:
// the "(" of a call that may have effects, the INTO of SELECT ... INTO, a
// data-modifying statement within WITH, or a row lock such as FOR UPDATE.
func makesWrite(previous, t token, isWith bool) bool {
	if t.kind == tokenSymbol && t.text == "(" {
		return isFunctionCall(previous) && !hasNoEffects(previous)
	}
	if t.kind != tokenWord {
		return false
	}
	switch t.text {
	case "INTO":
		return true
	case "INSERT", "UPDATE", "DELETE", "MERGE":
		return isWith || previous.text == "FOR" || previous.text == "KEY"
	case "SHARE", "NO", "KEY":
		return previous.text == "FOR"
	}
	return false
}

// takesAdvisoryLock reports whether the tokens call a function that takes an
// advisory lock, which the server's session may hold beyond the statement.
func takesAdvisoryLock(previous, t token) bool {
	if t.text != "(" || previous.kind != tokenWord {
		return false
	}
	return strings.HasPrefix(previous.text, "PG_ADVISORY_LOCK") || strings.HasPrefix(previous.text, "PG_TRY_ADVISORY_LOCK")
}

// isFunctionCall reports whether a "(" after the token is a function call.
func isFunctionCall(previous token) bool {
	return previous.kind == tokenQuotedIdentifier || (previous.kind == tokenWord && !nonFunctionWords[previous.text])
}

// hasNoEffects reports whether the function is known to have no effects.
func hasNoEffects(name token) bool {
	return name.kind == tokenWord && effectFreeFunctions[name.text]
}

// classifyExplain classifies EXPLAIN ANALYZE as a write, since it executes the
// explained statement.
func classifyExplain(s *scanner) Kind {
	for {
		before := s.pos
		t := s.next()
		switch {
		case t.kind == tokenEnd, t.text == ";":
			s.pos = before
			return Read
		case t.text == "ANALYZE" || t.text == "ANALYSE":
			return Write
		}
	}
}

// classifyCommit classifies COMMIT PREPARED as a write, since it commits another
// transaction than the open one.
func classifyCommit(s *scanner) Kind {
	before := s.pos
	t := s.next()
	if t.text == "PREPARED" {
		return Write
	}
	s.pos = before
	return Commit
}

// classifyRollback classifies ROLLBACK TO as Savepoint, and ROLLBACK PREPARED as
// a write, since it rolls another transaction back than the open one.
func classifyRollback(s *scanner) Kind {
	for {
		before := s.pos
		t := s.next()
		switch {
		case t.kind == tokenEnd, t.text == ";":
			s.pos = before
			return Rollback
		case t.text == "TO":
			return Savepoint
		case t.text == "PREPARED":
			return Write
		}
	}
}

// classifyCreate classifies the creation of a temporary object as Pin, since
// the object exists only in the server's session. TEMP is among the next three
// words, as in CREATE OR REPLACE TEMP.
func classifyCreate(s *scanner) Kind {
	for range 3 {
		before := s.pos
		t := s.next()
		switch {
		case t.text == "TEMP" || t.text == "TEMPORARY":
			return Pin
		case t.kind == tokenEnd, t.text == ";":
			s.pos = before
			return Write
		}
	}
	return Write
}

// classifyCopy classifies COPY ... FROM as CopyIn, whatever its source, and
// other copies as Write. A FROM in parentheses belongs to a query whose rows are
// copied.
func classifyCopy(s *scanner) Kind {
	depth := 0
	for {
		before := s.pos
		t := s.next()
		switch {
		case t.kind == tokenEnd, t.text == ";" && t.kind == tokenSymbol:
			s.pos = before
			return Write
		case t.text == "(":
			depth++
		case t.text == ")":
			depth--
		case t.kind == tokenWord && t.text == "FROM" && depth == 0:
			return CopyIn
		}
	}
}

// skipStatement skips to the end of the statement, after the next ";". It
// returns false at the end of the text.
func skipStatement(s *scanner) bool {
	for {
		t := s.next()
		if t.kind == tokenEnd {
			return false
		}
		if t.kind == tokenSymbol && t.text == ";" {
			return true
		}
	}
}
