// Package history records what the callers of a measurement asked and got.
//
// # Usage
//
//	recorder := history.New()
//	recorder.Add(history.Operation{ID: "r-1", Kind: history.Write, Outcome: history.Done})
//	operations := recorder.Operations()
//
// Times are offsets from the start of the run on one clock.
package history

import (
	"sync"
	"time"
)

const (
	// Write adds one row.
	Write Kind = "write"
	// ReadYourWrites wants all of the session's own writes.
	ReadYourWrites Kind = "own-read"
	// BoundedStaleness accepts data of a stated age.
	BoundedStaleness Kind = "aged-read"
	// Transaction adds two rows and reads between them.
	Transaction Kind = "transaction"

	// Done tells that the request was answered.
	Done Outcome = "done"
	// NotRun tells that the request was refused and didn't run.
	NotRun Outcome = "not-run"
	// NotSent tells that the caller had no connection to send it on.
	NotSent Outcome = "not-sent"
	// Unknown tells that the request may have run.
	Unknown Outcome = "unknown"
	// Failed tells that a server answered with an error, so that nothing
	// stays of the request.
	Failed Outcome = "failed"
)

type (
	// Kind is the kind of an operation.
	Kind string

	// Outcome is how an operation ended for its caller.
	Outcome string

	// Operation is one request with its answer.
	Operation struct {
		// ID is unique in the run and stored with the rows it adds.
		ID      string `json:"id"`
		Session int    `json:"session"`
		Kind    Kind   `json:"kind"`
		Proxy   int    `json:"proxy"`
		// Due is when the request was to start; it's sent at Invoke, once
		// its session's earlier requests have ended.
		Due     time.Duration `json:"due"`
		Invoke  time.Duration `json:"invoke"`
		Return  time.Duration `json:"return"`
		Outcome Outcome       `json:"outcome"`
		// Reason is the error's text, if any.
		Reason string `json:"reason,omitempty"`
		// Member is whose rows are written or read. A session writes only
		// rows of the member with its own number.
		Member int `json:"member"`
		// Sequence counts a member's writes, from 1. For a read: the
		// highest that it saw.
		Sequence int64 `json:"sequence"`
		// MaxAge is the stated age of an AgedRead.
		MaxAge time.Duration `json:"max-age,omitempty"`
		// Echo is the identifier that the answer carried.
		Echo string `json:"echo"`
		// OwnRowsSeen is the number of its own rows that a transaction saw
		// after its first write.
		OwnRowsSeen int `json:"between,omitempty"`
		// TransactionRowsSeen is the number of rows of transactions that a read saw.
		TransactionRowsSeen int `json:"parts,omitempty"`
	}

	// Recorder collects operations from many goroutines.
	Recorder struct {
		mu         sync.Mutex
		operations []Operation
	}
)

// New returns an empty recorder.
func New() *Recorder { return &Recorder{} }

// Add records an operation that ended.
func (r *Recorder) Add(operation Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, operation)
}

// Operations returns what was recorded, in the order of ending.
func (r *Recorder) Operations() []Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Operation(nil), r.operations...)
}

// IsRead reports whether the kind only reads.
func (k Kind) IsRead() bool { return k == ReadYourWrites || k == BoundedStaleness }

// RowCount returns the number of rows that an operation of the kind adds.
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
