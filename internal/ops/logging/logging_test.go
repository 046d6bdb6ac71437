package logging

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

func TestLevelChangesWhileRunning(t *testing.T) {
	var out bytes.Buffer
	level := NewLevel("info")
	logger := New(&out, FormatJSON, level).WithValues("role", "proxy")
	logger.V(1).Info("hidden")
	logger.Info("shown", "address", "127.0.0.1:1")
	if err := level.Set("debug"); err != nil {
		t.Fatal(err)
	}
	logger.V(1).Info("detail")
	if err := level.Set("error"); err != nil {
		t.Fatal(err)
	}
	logger.Info("hidden again")
	logger.Error(errors.New("no disk"), "failed")
	got := out.String()
	for _, want := range []string{`"level":"info","msg":"shown","role":"proxy","address":"127.0.0.1:1"`, `"level":"debug","msg":"detail"`, `"level":"error","msg":"failed"`} {
		if !strings.Contains(got, want) {
			t.Errorf("got %s, want %s in it", got, want)
		}
	}
	if strings.Contains(got, "hidden") {
		t.Errorf("got %s, want no hidden lines", got)
	}
	if err := level.Set("loud"); !errors.Is(err, ErrInvalidLevel) {
		t.Errorf("error: got %v, want %v", err, ErrInvalidLevel)
	}
}

func TestRateLimitDropsRepeatedLines(t *testing.T) {
	var out bytes.Buffer
	handler := &rateLimitHandler{next: slog.NewTextHandler(&out, nil), counter: &messageCounter{limit: RateLimit{Lines: defaultLimitLines, Window: defaultLimitWindow}, windows: map[string]*window{}}}
	start := time.Unix(1000, 0)
	write := func(message string, at time.Duration) {
		if err := handler.Handle(t.Context(), slog.NewRecord(start.Add(at), slog.LevelInfo, message, 0)); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 100 {
		write("flood", time.Duration(i)*time.Millisecond)
	}
	write("other", time.Second)
	if got, want := strings.Count(out.String(), "flood"), defaultLimitLines; got != want {
		t.Errorf("lines of the flood: got %d, want %d", got, want)
	}
	if !strings.Contains(out.String(), "other") {
		t.Error("the other line was dropped")
	}
	write("flood", defaultLimitWindow)
	if got, want := out.String(), "dropped-lines=80"; !strings.Contains(got, want) {
		t.Errorf("got %q, want %q in it", got, want)
	}
}

// blockedWriter is a writer whose Write blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

func TestQueueNeverBlocks(t *testing.T) {
	out := blockedWriter{release: make(chan struct{})}
	queue := NewQueue(out)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return queue.Run(ctx) })
	logger := NewRateLimited(queue, FormatJSON, NewLevel(LevelInfo), RateLimit{Lines: 10 * maxQueuedLines, Window: time.Hour})
	const lines = maxQueuedLines + 100
	for range lines {
		logger.Info("line")
	}
	if got := queue.dropped.Load(); got == 0 || got > lines {
		t.Errorf("got %d lines dropped with a stalled output, want at least one and no more than were written", got)
	}
	close(out.release)
	cancel()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

func TestQueueReportsDroppedLines(t *testing.T) {
	var out bytes.Buffer
	queue := NewQueue(&out)
	for range maxQueuedLines + 7 {
		if _, err := queue.Write([]byte("x\n")); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := queue.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if got, want := out.String(), `"dropped-lines":7`; !strings.Contains(got, want) {
		t.Errorf("got no %s in the output", want)
	}
	if got := strings.Count(out.String(), "x\n"); got != maxQueuedLines {
		t.Errorf("got %d lines, want %d", got, maxQueuedLines)
	}
}

// BenchmarkStalledOutput measures what a log line costs a request while the output
// is stalled and the queue is full.
func BenchmarkStalledOutput(b *testing.B) {
	logger := NewRateLimited(NewQueue(io.Discard), FormatJSON, NewLevel(LevelInfo), RateLimit{Lines: b.N + 1, Window: time.Hour})
	for b.Loop() {
		logger.Info("statement not done", "request-id", "5c0e7a21d94b36f8", "outcome", "busy", "waited-ms", 12)
	}
}
