// Package rungroup runs the long-running functions of a process as a group: when one
// returns, the others are cancelled.
//
// # Usage
//
//	err := rungroup.Run(ctx, server.Run, poller.Run)
package rungroup

import (
	"context"

	"github.com/oklog/run"
)

// Run runs the functions concurrently, each with a context derived from ctx, until
// one of them returns. It then cancels the contexts of the others and waits for them
// to return. It returns the result of the function that returned first, or nil if
// ctx is done by then.
func Run(ctx context.Context, functions ...func(context.Context) error) error {
	var group run.Group
	for _, function := range functions {
		functionCtx, cancel := context.WithCancel(ctx)
		group.Add(func() error { return function(functionCtx) }, func(error) { cancel() })
	}
	err := group.Run()
	if ctx.Err() != nil {
		return nil
	}
	return err
}
