// Package history records the requests of a measurement's callers and their
// outcomes.
//
// # Usage
//
//	recorder := history.New()
//	recorder.Add(history.Operation{ID: "r-1", Kind: history.Write, Outcome: history.Done})
//	operations := recorder.Operations()
//
// Times are offsets from the start of the run, all on one clock.
package history

import (
	"sync"
	"time"
)

const (
	// Write inserts one row.
	Write Kind = "write"
	// ReadYourWrites is a read that must see all earlier writes of its session.
	ReadYourWrites Kind = "own-read"
	// BoundedStaleness is a read that accepts data up to a stated age.
	BoundedStaleness Kind = "aged-read"
	// Transaction inserts two rows and reads between the inserts.
	Transaction Kind = "transaction"

	// Done is the outcome of a request that succeeded.
	Done Outcome = "done"
	// NotRun is the outcome of a request that was refused and didn't run.
	NotRun Outcome = "not-run"
	// NotSent is the outcome of a request that was never sent: its caller got no
	// usable connection, or too many of the session's requests were waiting.
	NotSent Outcome = "not-sent"
	// Unknown is the outcome of a request that may or may not have run.
	Unknown Outcome = "unknown"
	// Failed is the outcome of a request that left no rows: a server answered it
	// with an error, or its transaction broke off before the commit.
	Failed Outcome = "failed"
)

type (
	// Kind is the kind of an operation.
	Kind string

	// Outcome is the result of an operation as far as its caller can know it.
	Outcome string

	// Operation is one request with its outcome.
	Operation struct {
		// ID is unique in the run and stored with the rows that the operation
		// inserts.
		ID      string `json:"id"`
		Session int    `json:"session"`
		Kind    Kind   `json:"kind"`
		Proxy   int    `json:"proxy"`
		// Due is when the request was scheduled. It's sent at Invoke, once the
		// earlier requests of its session have ended.
		Due     time.Duration `json:"due"`
		Invoke  time.Duration `json:"invoke"`
		Return  time.Duration `json:"return"`
		Outcome Outcome       `json:"outcome"`
		// Reason is the error's text, if any.
		Reason string `json:"reason,omitempty"`
		// Member is the member whose rows are written or read. A session writes
		// only rows of the member with its own number.
		Member int `json:"member"`
		// Sequence is the number of a write among those of its member, from 1;
		// for a read, the highest number that it saw.
		Sequence int64 `json:"sequence"`
		// MaxAge is the greatest data age that a BoundedStaleness read accepts.
		MaxAge time.Duration `json:"max-age,omitempty"`
		// Echo is the ID that the response contained.
		Echo string `json:"echo"`
		// OwnRowsSeen is the number of its own rows that a transaction saw
		// between its inserts.
		OwnRowsSeen int `json:"between,omitempty"`
		// TransactionRowsSeen is the number of rows inserted by transactions
		// that a read saw.
		TransactionRowsSeen int `json:"parts,omitempty"`
	}

	// Recorder collects operations. It is safe for concurrent use.
	Recorder struct {
		mu         sync.Mutex
		operations []Operation
	}
)

// New returns an empty recorder.
func New() *Recorder { return &Recorder{} }

// Add records an operation that has ended.
func (r *Recorder) Add(operation Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, operation)
}

// Operations returns the recorded operations in the order in which they were
// added.
func (r *Recorder) Operations() []Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Operation(nil), r.operations...)
}

// IsRead reports whether the kind is a read.
func (k Kind) IsRead() bool { return k == ReadYourWrites || k == BoundedStaleness }

// RowCount returns the number of rows that an operation of the kind inserts.
func (k Kind) RowCount() int {
	switch k {
	case Write:
		return 1
	case Transaction:
		return 2
	default:
		return 0
	}
}
