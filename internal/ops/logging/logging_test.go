package logging

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"
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
	if err := level.Set("loud"); !errors.Is(err, ErrLevel) {
		t.Errorf("error: got %v, want %v", err, ErrLevel)
	}
}

func TestRepeatedLinesAreDropped(t *testing.T) {
	var out bytes.Buffer
	handler := &limiter{next: slog.NewTextHandler(&out, nil), repeats: &repeats{messages: map[string]*window{}}}
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
	if got, want := strings.Count(out.String(), "flood"), repeatLimit; got != want {
		t.Errorf("lines of the flood: got %d, want %d", got, want)
	}
	if !strings.Contains(out.String(), "other") {
		t.Error("the other line was dropped")
	}
	write("flood", repeatWindow)
	if got, want := out.String(), "dropped-lines=80"; !strings.Contains(got, want) {
		t.Errorf("got %q, want %q in it", got, want)
	}
}
