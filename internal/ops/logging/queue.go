package logging

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
)

// maxQueuedLines is the capacity of a queue, about 1 MB.
const maxQueuedLines = 4096

// Queue is an io.Writer that never blocks. It queues lines until Run writes them;
// while the queue is full, it drops and counts further lines. It is safe for
// concurrent use.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewQueue returns a queue whose Run method writes to out.
func NewQueue(out io.Writer) *Queue {
	return &Queue{out: out, lines: make(chan []byte, maxQueuedLines)}
}

// Write queues a line, or drops it if the queue is full. It always succeeds.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- slices.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes queued lines to the output until ctx is done and the queue is empty. It
// always returns nil.
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

// write writes a line, preceded by the number of lines dropped since the last write,
// if any. It ignores errors: if the log can't be written, they can't be logged.
func (q *Queue) write(line []byte) {
	if n := q.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(q.out, "{\"level\":\"info\",\"msg\":\"log lines left out\",%q:%d}\n", droppedKey, n)
	}
	_, _ = q.out.Write(line)
}
