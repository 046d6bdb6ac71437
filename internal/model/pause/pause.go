// Package pause sleeps for a duration unless a context ends first.
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

// For sleeps for d and returns true. It returns false as soon as ctx ends.
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
