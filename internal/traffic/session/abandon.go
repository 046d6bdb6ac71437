package session

import (
	"context"
	"time"
)

const (
	// firstGoneCheck is the time after which a statement's caller is checked for
	// the first time. Most statements have ended by then.
	firstGoneCheck = 100 * time.Millisecond
	// goneCheckInterval is the interval of further checks.
	goneCheckInterval = 50 * time.Millisecond
)

// watchCaller returns a context that ends when the caller has closed its connection,
// and a function that ends the watch. Under overload, statements whose callers have
// given up would otherwise take the place of those whose callers still wait, and keep
// the server overloaded by themselves.
func (s *session) watchCaller() (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var timer *time.Timer
	// started orders the assignment of timer before its use in the first check.
	started := make(chan struct{})
	timer = time.AfterFunc(firstGoneCheck, func() {
		<-started
		if ctx.Err() != nil {
			return
		}
		if s.caller.Gone() {
			cancel()
			return
		}
		timer.Reset(goneCheckInterval)
	})
	close(started)
	return ctx, func() {
		cancel()
		timer.Stop()
	}
}
