// Package statement holds the requests and answers that pass through the
// middle of a proxy, whatever protocol callers and backend servers speak. A
// codec on each side translates.
//
// # Usage
//
//	s := statement.Statement{ID: id, Verb: statement.Read, Text: "READ 1a4"}
//	answer, err := conn.Do(statement.Request{Statement: s, After: mark}, deadline)
//	if answer.Code.NotRun() {
//		// it may be tried again
//	}
//
// Texts, rows and signatures are opaque here.
package statement

import (
	"slices"
	"strings"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// Malformed is a statement that the codec couldn't read.
	Malformed Verb = iota
	// Begin opens a transaction that may write.
	Begin
	// BeginRead opens a transaction that only reads.
	BeginRead
	// Commit ends a transaction and keeps its writes.
	Commit
	// Rollback ends a transaction and undoes its writes.
	Rollback
	// Read reads rows.
	Read
	// Write changes data.
	Write
	// Set gives a session value.
	Set
	// Prepare names a statement.
	Prepare
	// Execute runs a named statement.
	Execute
	// Deallocate forgets a name.
	Deallocate
	// Reset clears values and names of a server's connection. Callers don't
	// send it.
	Reset
)

const (
	// OK tells that the statement was done.
	OK Code = iota
	// Busy tells that nothing ran for lack of room.
	Busy
	// Aborted tells that the transaction was ended and nothing is kept.
	Aborted
	// Behind tells that the server lacks the position asked for; nothing
	// ran.
	Behind
	// ReadOnly tells that the server takes no writes; nothing ran.
	ReadOnly
	// WrongServer tells that another server listens at the address.
	WrongServer
	// ConnectionLimit tells that the server has no connection left.
	ConnectionLimit
	// NotPrepared tells that the server doesn't know the name; nothing ran.
	NotPrepared
	// Failed tells that the statement ran and failed.
	Failed
	// TimedOut tells that the statement took too long; it may have run.
	TimedOut
	// Unknown tells that the statement may have run.
	Unknown
	// NoDatabase tells that no route leads to the database.
	NoDatabase
	// BadStatement tells that the statement can't be run as it stands.
	BadStatement
)

const (
	// Idle is the state outside a transaction.
	Idle TxState = iota
	// InTransaction is the state inside a transaction.
	InTransaction
	// FailedTransaction is the state inside a transaction that can only be ended.
	FailedTransaction
)

type (
	// Verb is what a statement asks for.
	Verb uint8
	// Code is the outcome of a statement.
	Code uint8
	// TxState is the state of a session after an answer.
	TxState uint8

	// Statement is one request of a caller.
	Statement struct {
		// ID names the request; servers know it by this name.
		ID   string
		Verb Verb
		// Text is the whole text for Read, Write and Commit, and what
		// follows the name for Execute.
		Text string
		// Name is that of the value (Set) or the prepared statement.
		Name string
		// Value is that of Set.
		Value string
		// Query and Writes are those of Prepare.
		Query  string
		Writes bool
	}

	// Request is a statement as a server gets it.
	Request struct {
		Statement
		// MinMark is the position that the server must hold, if not zero.
		MinMark cluster.Mark
		// Priority and Aim order the statement where it waits: the lower
		// number and the nearer time first.
		Priority     int
		SoftDeadline time.Time
		// ResponseTimeout is how long the server may take where the statement
		// waits on its way to it; zero: until the deadline.
		ResponseTimeout time.Duration
	}

	// Answer is the outcome of a statement.
	Answer struct {
		Code Code
		// Detail explains Code to a person.
		Detail string
		// Rows and Signature are as the server sent them; an empty
		// signature marks an answer of the proxy's own.
		Rows      [][]byte
		Signature []byte
		State     TxState
		// Mark is the position of the server's log after the statement;
		// zero: not told.
		Mark cluster.Mark
	}
)

// NotRun reports whether the code says that the statement had no effect.
func (c Code) NotRun() bool {
	switch c {
	case Busy, Aborted, Behind, ReadOnly, WrongServer, ConnectionLimit, NotPrepared:
		return true
	default:
		return false
	}
}

// String names the code as logs and metrics do.
func (c Code) String() string {
	return [...]string{
		"ok", "busy", "aborted", "behind", "read-only", "wrong-server", "connection-limit", "not-prepared",
		"failed", "timed-out", "unknown", "no-database", "bad-statement",
	}[c]
}

// String names the verb as logs do.
func (v Verb) String() string {
	return [...]string{
		"malformed", "begin", "begin-read", "commit", "rollback", "read", "write", "set", "prepare", "execute",
		"deallocate", "reset",
	}[v]
}

// Fingerprint returns a text that is equal for equal session values.
func Fingerprint(values map[string]string) string {
	parts := make([]string, 0, len(values))
	for name, value := range values {
		parts = append(parts, name+"\x00"+value)
	}
	slices.Sort(parts)
	return strings.Join(parts, "\x01")
}
