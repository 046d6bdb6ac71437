// Package pause waits for a time that a context can cut short.
//
// # Usage
//
//	if !pause.For(ctx, 20*time.Millisecond) {
//		return ctx.Err()
//	}
package pause

import (
	"context"
	"time"
)

// For waits for d and returns true, or returns false as soon as ctx ends.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
