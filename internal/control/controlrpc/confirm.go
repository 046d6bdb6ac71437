package controlrpc

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"
)

type (
	// confirmer lets many requests share one confirmation of leadership, called
	// a round. A request joins a round that has not begun yet, so that the
	// leadership is confirmed after the request arrived.
	confirmer struct {
		confirm func(context.Context) error

		mu      sync.Mutex
		next    *round
		running bool
		group   errgroup.Group
	}

	// round is one confirmation; err is valid once done is closed.
	round struct {
		done chan struct{}
		err  error
	}
)

// wait waits for a round that began after the call and returns its error.
func (c *confirmer) wait(ctx context.Context) error {
	own := c.join()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-own.done:
		return own.err
	}
}

// join returns the next round and starts run if it isn't running.
func (c *confirmer) join() *round {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &round{done: make(chan struct{})}
	}
	joined := c.next
	if !c.running {
		c.running = true
		c.group.Go(c.run)
	}
	return joined
}

// run executes rounds until no request waits for one.
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
