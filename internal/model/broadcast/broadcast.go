// Package broadcast notifies all waiting goroutines of a change.
//
// # Usage
//
//	var changed broadcast.Signal
//	next := changed.Next() // before reading the state, so that no change is missed
//	...read the state...
//	<-next
//
//	...change the state...
//	changed.Notify()
package broadcast

import "sync/atomic"

// Signal notifies any number of goroutines of changes. It is safe for concurrent
// use; its zero value is ready to use.
type Signal struct {
	next atomic.Pointer[chan struct{}]
}

// Next returns a channel that is closed by the next call of Notify.
func (s *Signal) Next() <-chan struct{} {
	for {
		if next := s.next.Load(); next != nil {
			return *next
		}
		created := make(chan struct{})
		if s.next.CompareAndSwap(nil, &created) {
			return created
		}
	}
}

// Notify closes every channel that Next has returned since the last call of
// Notify.
func (s *Signal) Notify() {
	if next := s.next.Swap(nil); next != nil {
		close(*next)
	}
}
