package rungroup

import (
	"context"
	"errors"
	"testing"
)

func TestRun(t *testing.T) {
	failed := errors.New("failed")
	wait := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	tests := []struct {
		name   string
		cancel bool
		first  func(context.Context) error
		want   error
	}{
		{"one fails", false, func(context.Context) error { return failed }, failed},
		{"one ends", false, func(context.Context) error { return nil }, nil},
		{"the context ends", true, wait, nil},
	}
	for _, test := range tests {
		ctx, cancel := context.WithCancel(t.Context())
		if test.cancel {
			cancel()
		}
		if got := Run(ctx, test.first, wait); !errors.Is(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
		cancel()
	}
}
