package logging

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
)

// queueLines bounds the lines that wait to be written: about 1 MB.
const queueLines = 4096

// Queue is a writer that never blocks: lines wait in a bounded queue, and those
// that don't fit are counted and left out.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewQueue returns a queue before out. Run writes what it holds.
func NewQueue(out io.Writer) *Queue {
	return &Queue{out: out, lines: make(chan []byte, queueLines)}
}

// Write takes a line; it always succeeds.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- slices.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until ctx ends, then those that still wait.
func (q *Queue) Run(ctx context.Context) error {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		case <-ctx.Done():
			q.flush()
			return nil
		}
	}
}

func (q *Queue) flush() {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		default:
			return
		}
	}
}

// write writes a line, and before it how many were left out. An error has
// nowhere to go: the log itself can't be written.
func (q *Queue) write(line []byte) {
	if n := q.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(q.out, "{\"level\":\"info\",\"msg\":\"log lines left out\",%q:%d}\n", droppedKey, n)
	}
	_, _ = q.out.Write(line)
}
