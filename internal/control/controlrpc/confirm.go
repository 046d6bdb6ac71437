package controlrpc

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"
)

type (
	// confirmer lets many requests share one confirmation of leadership. A
	// request joins a round that has not begun yet, so each round begins
	// after all its requests.
	confirmer struct {
		confirm func(context.Context) error

		mu      sync.Mutex
		next    *round
		running bool
		group   errgroup.Group
	}

	round struct {
		done chan struct{}
		err  error
	}
)

// wait returns once a round that began after the call has ended.
func (c *confirmer) wait(ctx context.Context) error {
	mine := c.join()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-mine.done:
		return mine.err
	}
}

func (c *confirmer) join() *round {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &round{done: make(chan struct{})}
	}
	mine := c.next
	if !c.running {
		c.running = true
		c.group.Go(c.run)
	}
	return mine
}

// run executes rounds until nobody waits.
func (c *confirmer) run() error {
	for {
		c.mu.Lock()
		current := c.next
		c.next = nil
		if current == nil {
			c.running = false
			c.mu.Unlock()
			return nil
		}
		c.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		current.err = c.confirm(ctx)
		cancel()
		close(current.done)
	}
}
