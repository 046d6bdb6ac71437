package broadcast

import (
	"testing"

	"golang.org/x/sync/errgroup"
)

func TestNotify(t *testing.T) {
	var s Signal
	s.Notify() // without a waiter
	first, same := s.Next(), s.Next()
	select {
	case <-first:
		t.Fatal("got a closed channel before the change, want an open one")
	default:
	}
	s.Notify()
	<-first
	<-same
	select {
	case <-s.Next():
		t.Error("got a closed channel from Next after the change, want an open one")
	default:
	}
}

// TestWaitersMissNoChange has goroutines read a counter after each change until
// it reaches its final value. A waiter that misses the last change blocks
// forever.
func TestWaitersMissNoChange(t *testing.T) {
	const changes = 1000
	var s Signal
	counter := make(chan int, 1)
	counter <- 0
	read := func() int {
		n := <-counter
		counter <- n
		return n
	}
	var group errgroup.Group
	for range 4 {
		group.Go(func() error {
			for {
				next := s.Next()
				if read() == changes {
					return nil
				}
				<-next
			}
		})
	}
	for range changes {
		counter <- <-counter + 1
		s.Notify()
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}
