package session

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

const (
	// promptly is how soon after the welcome a statement comes for which the
	// caller connected: a few round trips.
	promptly = 50 * time.Millisecond
	// retryWindow is how long after a failure the same statement counts as the
	// caller's next try: above the pauses that callers make.
	retryWindow = 2 * time.Second
)

// operation is what a caller wants done: a statement, or a transaction that
// begins with it.
type operation struct {
	// first is the digest of the statement that begins it: the text may be
	// large, and each session keeps two operations.
	first uint64
	// since is when the caller began to wait for it.
	since time.Time
	// ended is when it failed.
	ended time.Time
}

// begin notes the operation that a statement begins, and returns since when the
// caller has waited for it.
//
// Two kinds of work are older than they look. After a restart, callers that
// connected meanwhile were all let wait for the first lease. And under overload
// most of what comes are next tries of what was refused: done before fresh work,
// they would be late all the same, and make that late, too.
func (s *session) begin(first statement.Statement, now time.Time) time.Time {
	since := now
	switch {
	case now.Sub(s.welcomed) < promptly:
		since = s.came
	case s.failed.again(first, now):
		since = s.failed.since
	}
	s.op = operation{first: digest(first), since: since}
	return since
}

// fail notes that the operation failed.
func (s *session) fail(now time.Time) {
	s.failed = s.op
	s.failed.ended = now
}

// again reports whether a statement begins the operation once more.
func (o operation) again(first statement.Statement, now time.Time) bool {
	if o.ended.IsZero() || now.Sub(o.ended) > retryWindow {
		return false
	}
	return o.first == digest(first)
}

// digest returns the same number for the same verb, name and text.
func digest(s statement.Statement) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{s.Verb.String(), s.Name, s.Text} {
		_, _ = d.WriteString(part) // it never fails
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
