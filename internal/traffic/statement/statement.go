// Package statement holds callers' requests and servers' answers in a form that
// doesn't depend on the protocol of either side. A codec on each side translates.
//
// # Usage
//
//	s := statement.Statement{ID: id, Verb: statement.Read, Text: "READ 1a4"}
//	answer, err := conn.Do(statement.Request{Statement: s, MinPosition: position}, deadline)
//	if answer.Code.NotRun() {
//		// it may be retried
//	}
//
// The texts of statements aren't SQL: in the line protocol of package platform, a
// statement is a verb, such as READ, WRITE or BEGIN, and its arguments. Texts, rows and
// signatures are opaque to this package.
package statement

import (
	"context"
	"encoding/binary"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
)

const (
	// Malformed is a statement that the codec couldn't parse.
	Malformed Verb = iota
	// Begin begins a transaction that may write.
	Begin
	// BeginRead begins a transaction that only reads.
	BeginRead
	// Commit ends a transaction and keeps its writes.
	Commit
	// Rollback ends a transaction and discards its writes.
	Rollback
	// Read reads rows.
	Read
	// Write changes data.
	Write
	// Set sets a session setting, a variable of the caller's session.
	Set
	// Prepare stores a query under a name.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate removes a prepared statement.
	Deallocate
	// Reset removes all session settings and prepared statements from a
	// connection to a server. Callers don't send it.
	Reset
)

const (
	// OK means that the statement succeeded.
	OK Code = iota
	// Busy means that the statement didn't run because the server or the
	// proxy is overloaded or the primary isn't available.
	Busy
	// Aborted means that the transaction was rolled back.
	Aborted
	// Behind means that the server hasn't applied Request.MinPosition; the
	// statement didn't run.
	Behind
	// ReadOnly means that the server doesn't accept writes; the statement
	// didn't run.
	ReadOnly
	// WrongServer means that another server listens at the address.
	WrongServer
	// ConnectionLimit means that the server has reached its limit of
	// connections.
	ConnectionLimit
	// NotPrepared means that no statement of the name is prepared; nothing
	// ran.
	NotPrepared
	// Failed means that the statement ran and failed.
	Failed
	// TimedOut means that the statement exceeded its deadline; it may have
	// run.
	TimedOut
	// Unknown means that the answer was lost; the statement may have run.
	Unknown
	// NoDatabase means that no route is declared for the database.
	NoDatabase
	// BadStatement means that the statement is malformed or isn't allowed in
	// the session's state.
	BadStatement
	// UnknownKey means that no customer holds the caller's key, or not any more;
	// the statement didn't run.
	UnknownKey
)

const (
	// Idle is the state outside a transaction.
	Idle TxState = iota
	// InTransaction is the state inside a transaction.
	InTransaction
	// FailedTransaction is the state inside a failed transaction, which
	// accepts nothing but its end.
	FailedTransaction
)

var (
	codeNames = [...]string{
		"ok", "busy", "aborted", "behind", "read-only", "wrong-server", "connection-limit", "not-prepared",
		"failed", "timed-out", "unknown", "no-database", "bad-statement", "unknown-key",
	}
	verbNames = [...]string{
		"malformed", "begin", "begin-read", "commit", "rollback", "read", "write", "set", "prepare", "execute",
		"deallocate", "reset",
	}
)

type (
	// Verb is the kind of a statement.
	Verb uint8
	// Code is the outcome of a statement.
	Code uint8
	// TxState is the transaction state of a session after an answer.
	TxState uint8

	// Statement is one request of a caller.
	Statement struct {
		// ID identifies the request. It is passed on to the server.
		ID   string
		Verb Verb
		// Text is the whole text for Read, Write and Commit, and what
		// follows the name for Execute.
		Text string
		// Name is the name of the session setting (Set) or of the prepared
		// statement (Prepare, Execute, Deallocate).
		Name string
		// Value is the value that Set gives the session setting.
		Value string
		// Query is the text that Prepare stores; Writes is true if it changes
		// data.
		Query  string
		Writes bool
		// Dropped is true if there was no memory to receive the statement. Of Text,
		// nothing is left.
		Dropped bool
	}

	// Request is a statement as it is sent to a server.
	Request struct {
		Statement
		// MinPosition is the log position that the server must have applied;
		// zero: any.
		MinPosition cluster.LogPosition
		// Priority and SoftDeadline order the statement in a queue (see package
		// admission): the lower number first, then the earlier time. SoftDeadline is
		// when the statement should be done; a late one still runs.
		Priority     int
		SoftDeadline time.Time
		// ResponseTimeout bounds the server's time for a statement that is
		// forwarded, without the time that the statement is queued at the
		// proxy that owns the connection; zero: only the deadline applies.
		ResponseTimeout time.Duration
		// HoldFor is how long the statement may be queued once it can't be done by
		// SoftDeadline any more; zero: until the deadline.
		HoldFor time.Duration
		// Kind identifies work that takes about as long, a transaction with all of
		// its statements; zero: unknown.
		Kind uint64
		// Customer is the customer that the caller's key belongs to, and Key the
		// key's digest; zero: the caller needs no key. ConfigVersion is the
		// version of the configuration that says so.
		Customer      customer.Name
		Key           customer.Digest
		ConfigVersion uint64
		// Rows takes the rows of an answer that is too long to be held; nil: the
		// whole answer is returned. It is a field for the reason given below.
		Rows RowSink
		// CallerContext ends when the caller has given up. A forwarded statement
		// that is still queued then is withdrawn. It is nil if that isn't
		// watched. It is a field because a Request is passed through pools and
		// connections unchanged.
		CallerContext context.Context
	}

	// RowSink takes the rows of a long answer while the rest is still being read. It
	// isn't safe for concurrent use.
	RowSink interface {
		// Reserve reserves memory to hold an answer of more than budget.FreeBytes up
		// to its end, and reports whether there is any left.
		Reserve() bool
		// Begin is called once, before the first call of Pass. It returns the deadline
		// of the whole answer. After an error, the answer must not be passed on.
		Begin() (time.Time, error)
		// Pass passes rows on and waits until they are written. The rows belong to the
		// sink until it returns.
		Pass(rows [][]byte) error
	}

	// Answer is the outcome of a statement.
	Answer struct {
		Code Code
		// Detail explains Code in plain text.
		Detail string
		// Rows are the rows that the server returned, without those that Request.Rows
		// has taken. Signature is the text with
		// which the server signs a successful answer; empty: the proxy itself
		// answered. The proxy passes on both unchanged and doesn't verify the
		// signature.
		Rows      [][]byte
		Signature []byte
		State     TxState
		// RetryAfter is when there will be room, if Code is Busy because the
		// statement was refused before it was sent to the server; else zero.
		RetryAfter time.Duration
		// Position is the position of the server's log after the statement;
		// zero: unknown.
		Position cluster.LogPosition
	}
)

// NotRun reports whether the code means that the statement had no effect.
func (c Code) NotRun() bool {
	switch c {
	case Busy, Aborted, Behind, ReadOnly, WrongServer, ConnectionLimit, NotPrepared, UnknownKey:
		return true
	default:
		return false
	}
}

// String returns the code's name in logs and metrics.
func (c Code) String() string { return nameOf(codeNames[:], c) }

// String returns the verb's name in logs.
func (v Verb) String() string { return nameOf(verbNames[:], v) }

// nameOf returns the name of a value, or its number if it has none.
func nameOf[T ~uint8](names []string, value T) string {
	if int(value) < len(names) {
		return names[value]
	}
	return strconv.Itoa(int(value))
}

// ParseCode returns the code with a number that another process sent, and Unknown for a
// number that this build doesn't know.
func ParseCode(number uint32) Code {
	if number < uint32(len(codeNames)) {
		return Code(number)
	}
	return Unknown
}

// ParseTxState returns the state with a number that another process sent, and false for a
// number that this build doesn't know.
func ParseTxState(number uint32) (state TxState, known bool) {
	return TxState(number), number <= uint32(FailedTransaction)
}

// ParseVerb returns the verb with a number that another process sent, and Malformed for a
// number that this build doesn't know.
func ParseVerb(number uint32) Verb {
	if number < uint32(len(verbNames)) {
		return Verb(number)
	}
	return Malformed
}

// Digest returns a hash of what the statement does: its verb, the query that it
// executes, and its text. A caller that comes back with the same operation has the same
// digest, though another identifier and, at another proxy, other prepared names.
func (s Statement) Digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	var length [binary.MaxVarintLen64]byte
	for _, part := range []string{s.Verb.String(), s.Query, s.Text} {
		_, _ = d.Write(length[:binary.PutUvarint(length[:], uint64(len(part)))]) // never fails
		_, _ = d.WriteString(part)
	}
	return d.Sum64()
}

// Fingerprint returns a text that is the same for equal sets of session settings, and
// differs between others, whatever bytes they hold. It is empty if there are none.
func Fingerprint(settings map[string]string) string {
	var text []byte
	for _, name := range slices.Sorted(maps.Keys(settings)) {
		for _, part := range []string{name, settings[name]} {
			text = binary.AppendUvarint(text, uint64(len(part)))
			text = append(text, part...)
		}
	}
	return string(text)
}
