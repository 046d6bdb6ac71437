// Package classify tells what kind of request an SQL text is, without a full
// parser: what isn't known to be a read counts as a write.
//
// # Usage
//
//	statement := classify.SQL("select sum(cents) from allowance where member = $1")
//	if statement.Kind == classify.Read {
//		// A replica may answer, and a lost answer may be asked again.
//	}
//
// A SELECT is a read unless it locks rows, fills a table, or calls a function
// that isn't known to be free of effects. A text of several statements has the
// kind of the one that demands most. Leading comments of the form
//
//	/* burdockwood: max-age=5s, request-id=abc */
//
// give settings for this one text.
package classify

import (
	"strings"
)

// Kinds of statements, in the order of what they demand.
const (
	// Empty has no statement.
	Empty Kind = iota
	// Read has no effects.
	Read
	// Begin opens a transaction.
	Begin
	// Commit commits the open transaction.
	Commit
	// Rollback ends the open transaction without effects.
	Rollback
	// Savepoint sets, releases or returns to a savepoint.
	Savepoint
	// Set changes or reads a setting of the session.
	Set
	// Write may have effects; everything unknown is a write.
	Write
	// Pin makes state of the session that can't be replayed on another
	// backend connection.
	Pin
	// CopyIn reads rows from the caller.
	CopyIn
)

const (
	// SettingPrefix starts the names of the proxy's own settings.
	SettingPrefix = "burdockwood."

	hintPrefix = "burdockwood:"
)

type (
	// Kind is what a statement demands.
	Kind uint8

	// Setting is one name and value.
	Setting struct {
		Name  string
		Value string
	}

	// Statement is what is known about an SQL text.
	Statement struct {
		Kind Kind
		// Count is the number of statements in the text.
		Count int
		// IsProxySetting tells that the text is one SET or RESET of a setting of the
		// proxy's own, which is in Setting.
		IsProxySetting bool
		// Setting is what a single SET sets, or the name a SHOW asks for.
		Setting Setting
		// IsLocal tells that a SET ends with its transaction.
		IsLocal bool
		// IsShow tells that the text is one SHOW of Setting.Name.
		IsShow bool
		// Hints are the settings from a leading comment.
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
	result := Statement{Hints: hints(sql)}
	s := scanner{sql: sql}
	for {
		one, more := next(&s)
		if one.Kind != Empty {
			result.Count++
			merge(&result, one)
		}
		if !more {
			return result
		}
	}
}

// merge adds one statement of a text to what is known about the text.
func merge(result *Statement, one Statement) {
	if result.Count == 1 {
		one.Hints = result.Hints
		one.Count = 1
		*result = one
		return
	}
	result.IsProxySetting = false
	result.IsShow = false
	result.Setting = Setting{}
	// A setting among other statements can't be replayed elsewhere.
	if one.Kind == Set || result.Kind == Set {
		one.Kind = Pin
	}
	if one.Kind > result.Kind {
		result.Kind = one.Kind
	}
	// Transaction control among other statements can't be followed: the
	// text is treated as a write.
	if result.Kind > Read && result.Kind < Write {
		result.Kind = Write
	}
}

// next classifies the statement at the scanner; more is false at the end.
func next(s *scanner) (statement Statement, more bool) {
	first := s.next()
	if first.kind == tokenEnd {
		return Statement{}, false
	}
	if first.kind == tokenSymbol && first.text == ";" {
		return Statement{}, true
	}
	statement = verb(first, s)
	return statement, skipStatement(s)
}

// verb classifies by the first word. The scanner may be left anywhere in the
// statement.
func verb(first token, s *scanner) Statement {
	switch first.text {
	case "SELECT", "VALUES", "TABLE", "WITH", "(":
		return Statement{Kind: query(s, first.text == "WITH")}
	case "EXPLAIN":
		return Statement{Kind: explain(s)}
	case "SHOW":
		name, _ := settingName(s)
		return Statement{Kind: Read, IsShow: true, Setting: Setting{Name: name}}
	case "BEGIN", "START":
		return Statement{Kind: Begin}
	case "COMMIT", "END":
		return Statement{Kind: commit(s)}
	case "ROLLBACK", "ABORT":
		return Statement{Kind: rollback(s)}
	case "SAVEPOINT", "RELEASE":
		return Statement{Kind: Savepoint}
	case "SET":
		return set(s)
	case "RESET":
		name, _ := settingName(s)
		return Statement{Kind: Set, Setting: Setting{Name: name}, IsProxySetting: isOwn(name)}
	case "DISCARD", "DEALLOCATE":
		return Statement{Kind: Set, Setting: Setting{Name: strings.ToLower(first.text)}}
	case "LISTEN", "UNLISTEN", "PREPARE", "DECLARE", "LOAD", "EXECUTE":
		return Statement{Kind: Pin}
	case "CREATE":
		return Statement{Kind: create(s)}
	case "COPY":
		return Statement{Kind: copyKind(s)}
	default:
		return Statement{Kind: Write}
	}
}

// query reads the rest of a SELECT, VALUES, TABLE or WITH.
func query(s *scanner, with bool) Kind {
	kind := Read
	previous := token{}
	for {
		at := s.at
		t := s.next()
		if t.kind == tokenEnd || (t.kind == tokenSymbol && t.text == ";") {
			s.at = at
			return kind
		}
		if demandsWrite(previous, t, with) {
			kind = max(kind, Write)
		}
		if pins(previous, t) {
			kind = Pin
		}
		previous = t
	}
}

// demandsWrite reports whether a token within a query makes it a write.
func demandsWrite(previous, t token, with bool) bool {
	if t.kind == tokenSymbol && t.text == "(" {
		return calls(previous) && !harmless(previous)
	}
	if t.kind != tokenWord {
		return false
	}
	switch t.text {
	case "INTO":
		return true
	case "INSERT", "UPDATE", "DELETE", "MERGE":
		return with || previous.text == "FOR" || previous.text == "KEY"
	case "SHARE", "NO", "KEY":
		return previous.text == "FOR"
	}
	return false
}

// pins reports whether a call leaves state in the session of the server.
func pins(previous, t token) bool {
	if t.text != "(" || previous.kind != tokenWord {
		return false
	}
	return strings.HasPrefix(previous.text, "PG_ADVISORY_LOCK") || strings.HasPrefix(previous.text, "PG_TRY_ADVISORY_LOCK")
}

// calls reports whether a "(" after the token calls a function.
func calls(previous token) bool {
	return previous.kind == tokenQuoted || (previous.kind == tokenWord && !openers[previous.text])
}

// harmless reports whether a function is known to have no effects.
func harmless(name token) bool {
	return name.kind == tokenWord && functions[name.text]
}

func explain(s *scanner) Kind {
	for {
		at := s.at
		t := s.next()
		switch {
		case t.kind == tokenEnd, t.text == ";":
			s.at = at
			return Read
		case t.text == "ANALYZE" || t.text == "ANALYSE":
			return Write
		}
	}
}

func commit(s *scanner) Kind {
	at := s.at
	t := s.next()
	if t.text == "PREPARED" {
		return Write
	}
	s.at = at
	return Commit
}

func rollback(s *scanner) Kind {
	for {
		at := s.at
		t := s.next()
		switch {
		case t.kind == tokenEnd, t.text == ";":
			s.at = at
			return Rollback
		case t.text == "TO":
			return Savepoint
		case t.text == "PREPARED":
			return Write
		}
	}
}

func create(s *scanner) Kind {
	for range 3 {
		at := s.at
		t := s.next()
		switch {
		case t.text == "TEMP" || t.text == "TEMPORARY":
			return Pin
		case t.kind == tokenEnd, t.text == ";":
			s.at = at
			return Write
		}
	}
	return Write
}

// copyKind tells COPY ... FROM STDIN from other copies.
func copyKind(s *scanner) Kind {
	depth := 0
	for {
		at := s.at
		t := s.next()
		switch {
		case t.kind == tokenEnd, t.text == ";" && t.kind == tokenSymbol:
			s.at = at
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

// skipStatement moves past the next ";" and reports whether text follows.
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
