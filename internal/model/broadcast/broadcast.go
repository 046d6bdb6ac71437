// Package broadcast wakes all who wait for a change.
//
// # Usage
//
//	var changed broadcast.Signal
//	next := changed.Next() // before the state is read, so that no change is missed
//	...read the state...
//	<-next
//
//	...change the state...
//	changed.Notify()
package broadcast

import "sync/atomic"

// Signal is safe for concurrent use; its zero value is ready.
type Signal struct {
	next atomic.Pointer[chan struct{}]
}

// Next returns a channel that is closed by the next Notify.
func (s *Signal) Next() <-chan struct{} {
	for {
		if next := s.next.Load(); next != nil {
			return *next
		}
		fresh := make(chan struct{})
		if s.next.CompareAndSwap(nil, &fresh) {
			return fresh
		}
	}
}

// Notify closes the channels that Next has returned so far.
func (s *Signal) Notify() {
	if next := s.next.Swap(nil); next != nil {
		close(*next)
	}
}
