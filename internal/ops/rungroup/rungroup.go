// Package rungroup runs the long-lived functions of a process together.
//
// # Usage
//
//	err := rungroup.Run(ctx, server.Run, poller.Run)
package rungroup

import (
	"context"

	"github.com/oklog/run"
)

// Run runs the functions until one returns or ctx ends; then the contexts of the
// others end, and Run waits for them. It returns what the first one returned, or
// nil if ctx had ended.
func Run(ctx context.Context, actors ...func(context.Context) error) error {
	var group run.Group
	for _, actor := range actors {
		actorCtx, cancel := context.WithCancel(ctx)
		group.Add(func() error { return actor(actorCtx) }, func(error) { cancel() })
	}
	err := group.Run()
	if ctx.Err() != nil {
		return nil
	}
	return err
}
