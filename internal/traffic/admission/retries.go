package admission

import "time"

const (
	// retryMemory is how long a refused statement is remembered: longer than
	// callers take to come back.
	retryMemory = 2 * time.Second
	// maxRetries bounds the refused statements that are remembered.
	maxRetries = 4096
)

type (
	// Retries recognizes callers that come back with a statement that was refused.
	// Under overload, most statements are such retries. Their soft deadline has usually
	// passed already, but they arrive at another proxy, which takes them for new. If
	// they ran before statements that can still be in time, those would be late as
	// well. So the owner of a server's connections, where statements of all proxies
	// meet, remembers what was refused. Two callers that send the same text within
	// retryMemory are taken for one. Retries isn't safe for concurrent use.
	Retries struct {
		firstTries map[uint64]firstTry
		// order holds the digests in the order in which they were recorded.
		order []recordedDigest
	}

	firstTry struct {
		softDeadline time.Time
		recordedAt   time.Time
	}

	recordedDigest struct {
		digest     uint64
		recordedAt time.Time
	}
)

// NewRetries returns an empty memory.
func NewRetries() *Retries { return &Retries{firstTries: map[uint64]firstTry{}} }

// Record records that the statement with a digest was refused at the time now.
// softDeadline is that of its caller's first try.
func (r *Retries) Record(digest uint64, softDeadline, now time.Time) {
	r.forget(now)
	if len(r.order) >= maxRetries {
		r.forgetOldest()
	}
	r.firstTries[digest] = firstTry{softDeadline: softDeadline, recordedAt: now}
	r.order = append(r.order, recordedDigest{digest: digest, recordedAt: now})
}

// Done records that the statement with a digest ran.
func (r *Retries) Done(digest uint64) { delete(r.firstTries, digest) }

// SoftDeadline returns the soft deadline of a statement that arrives at the time now:
// its own, or that of its first try if it was refused before.
func (r *Retries) SoftDeadline(digest uint64, own, now time.Time) time.Time {
	try, refused := r.firstTries[digest]
	if !refused || now.Sub(try.recordedAt) > retryMemory || try.softDeadline.After(own) {
		return own
	}
	return try.softDeadline
}

// forget forgets what was recorded too long ago.
func (r *Retries) forget(now time.Time) {
	for len(r.order) > 0 && now.Sub(r.order[0].recordedAt) > retryMemory {
		r.forgetOldest()
	}
}

// forgetOldest forgets the oldest record, unless the digest was recorded again since.
func (r *Retries) forgetOldest() {
	oldest := r.order[0]
	r.order = r.order[1:]
	if r.firstTries[oldest.digest].recordedAt.Equal(oldest.recordedAt) {
		delete(r.firstTries, oldest.digest)
	}
}
