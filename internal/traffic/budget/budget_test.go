package budget

import (
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/burdockwood/burdockwood/internal/ops/metrics"
)

func TestReserve(t *testing.T) {
	tests := []struct {
		name    string
		held, n int64
		want    error
	}{
		{"room", 40, 60, nil},
		{"full", 41, 60, ErrExhausted},
		{"more than the budget", 0, 101, ErrExhausted},
	}
	for _, test := range tests {
		b := New(100, Options{Name: "x", Logger: logr.Discard()})
		first, second := b.NewHold(), b.NewHold()
		if test.held > 0 && !first.TryReserve(test.held) {
			t.Fatalf("%s: %d bytes weren't free", test.name, test.held)
		}
		err := second.Reserve(test.n, time.Now().Add(20*time.Millisecond))
		if !errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, err, test.want)
		}
		if got := second.TryReserve(test.n); got && test.want != nil {
			t.Errorf("%s: got memory without waiting, want none", test.name)
		}
		first.Release()
		second.Release()
		if got := b.Held(); got != 0 {
			t.Errorf("%s: got %d bytes held after the release, want 0", test.name, got)
		}
	}
}

// TestWaitersGetReleasedMemory checks that a reservation that waits is served once memory is
// released, and that all waits make one log line and are counted.
func TestWaitersGetReleasedMemory(t *testing.T) {
	const waiters = 5
	var mu sync.Mutex
	lines := 0
	logger := funcr.New(func(string, string) {
		mu.Lock()
		defer mu.Unlock()
		lines++
	}, funcr.Options{})
	registry := metrics.NewRegistry()
	b := New(10, Options{Name: "x", Logger: logger, Registry: registry})
	first := b.NewHold()
	if !first.TryReserve(10) {
		t.Fatal("the whole budget wasn't free")
	}
	var group sync.WaitGroup
	errs := make(chan error, waiters)
	for range waiters {
		group.Go(func() {
			hold := b.NewHold()
			defer hold.Release()
			errs <- hold.Reserve(10, time.Now().Add(5*time.Second))
		})
	}
	waits := metrics.Counter(registry, "message-memory-waits", "kind", "x")
	for until := time.Now().Add(5 * time.Second); waits.Count() < waiters && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	first.Release()
	group.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			t.Errorf("got %v, want memory", err)
		}
	}
	if waits.Count() != waiters || lines != 1 {
		t.Errorf("got %d waits and %d log lines, want %d and 1", waits.Count(), lines, waiters)
	}
}

func TestNilBudgetHasNoLimit(t *testing.T) {
	var b *Budget
	hold := b.NewHold()
	if !hold.TryReserve(1<<40) || hold.Reserve(1<<40, time.Now()) != nil {
		t.Error("got no memory, want any amount")
	}
	hold.Release()
	if got := b.Held(); got != 0 {
		t.Errorf("got %d bytes held, want 0", got)
	}
}
