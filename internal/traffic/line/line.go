// Package line reads messages that are lines with CR LF at their end. Long messages share
// memory with those of other readers.
//
// # Usage
//
//	r := line.NewReader(conn, line.Options{Memory: pair, Copies: 3, Wait: budget.StatementWait})
//	defer r.Release()
//	message, err := r.Next()
//	if errors.Is(err, line.ErrDropped) {
//		// message is the beginning; there was no memory for all of it
//	}
package line

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/traffic/budget"
)

const (
	// MaxBytes is the limit on the length of a message, its end included.
	MaxBytes = 1 << 20
	// bufferBytes is the size of a read buffer; most messages fit into it.
	bufferBytes = 4 << 10
	// mediumBytes is the length up to which a message takes a small part of the memory.
	// Its length isn't known before its end.
	mediumBytes = 128 << 10
	// longTimeout bounds the receipt of a message over budget.FreeBytes. On a network of
	// 2 Mbit/s, 1 MiB takes 4 s.
	longTimeout = 10 * time.Second
)

var (
	// ErrInvalid is returned for a message that doesn't end with CR LF, or holds a CR.
	ErrInvalid = eris.New("the message can't be read")
	// ErrTooLong is returned for a message over MaxBytes.
	ErrTooLong = eris.New("the message is longer than 1 MiB")
	// ErrDropped is returned with the beginning of a message for which there was no
	// memory. The rest was read and dropped.
	ErrDropped = eris.New("there is no memory for the message")
	// ErrTooSlow is returned for a message over budget.FreeBytes that took longer than
	// 10 s to arrive.
	ErrTooSlow = eris.New("the message wasn't received in time")
)

type (
	// Options say which memory a reader's long messages take.
	Options struct {
		// Memory.Medium is the memory for messages over budget.FreeBytes, and
		// Memory.Long that for those over 128 KiB, so that the ones that hold the first
		// and wait for the second don't wait for each other; nil: it has no limit. A
		// message takes memory for Copies copies from its receipt to the next call of
		// Next, and waits for it for up to Wait.
		Memory budget.Pair
		Copies int64
		Wait   time.Duration
		// OnLong is called when a long message begins; see Reader.LateAt. Nil: nobody
		// needs to know.
		OnLong func() error
	}

	// Reader reads messages. It isn't safe for concurrent use.
	Reader struct {
		options  Options
		buffered *bufio.Reader
		// begun is what was received of a message that is longer than the read buffer,
		// or whose reading a deadline interrupted. The next call continues it.
		begun []byte
		// returned is true if begun was returned as a message.
		returned bool
		// medium and long are the memory of the message that begun holds.
		medium, long *budget.Hold
		// received is the length of begun and of the part that was dropped, if dropping
		// is true.
		received int
		dropping bool
		// lateAt is when the long message that begun holds must have been received;
		// zero: there is none.
		lateAt time.Time
	}
)

// NewReader returns a reader of messages from a connection.
func NewReader(conn io.Reader, options Options) *Reader {
	return &Reader{options: options, buffered: bufio.NewReaderSize(conn, bufferBytes), medium: options.Memory.Medium.NewHold(), long: options.Memory.Long.NewHold()}
}

// Next returns the next message without its CR LF. The slice is valid until the next
// call. A lone CR or LF is an error, so that no message can contain another one. After an
// error of the connection, such as a deadline, Next may be called again and loses nothing
// of a message that was received in part. Errors: ErrInvalid, ErrTooLong, ErrDropped,
// ErrTooSlow, and those of the connection and of Options.OnLong.
func (r *Reader) Next() ([]byte, error) {
	message, err := r.read()
	if err != nil {
		return message, err
	}
	text, ok := bytes.CutSuffix(message, []byte("\r\n"))
	if !ok || bytes.IndexByte(text, '\r') >= 0 {
		return nil, eris.Wrap(ErrInvalid, "it doesn't end with CR LF, or holds a CR")
	}
	return text, nil
}

// read returns the next message with its end. The slice is valid until the next call.
func (r *Reader) read() ([]byte, error) {
	if r.returned {
		r.Release()
	}
	for {
		part, err := r.buffered.ReadSlice('\n')
		if err == nil && r.received == 0 {
			return part, nil
		}
		if r.received += len(part); r.received > MaxBytes {
			return nil, ErrTooLong
		}
		if !r.dropping {
			r.begun = append(r.begun, part...)
		}
		if len(r.begun) > budget.FreeBytes {
			if memoryErr := r.reserve(); memoryErr != nil {
				return nil, memoryErr
			}
		}
		switch {
		case err == nil && r.dropping:
			r.returned = true
			return r.begun, ErrDropped
		case err == nil:
			r.returned = true
			return r.begun, nil
		case errors.Is(err, os.ErrDeadlineExceeded) && !r.lateAt.IsZero() && !time.Now().Before(r.lateAt):
			return nil, ErrTooSlow
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		}
	}
}

// reserve reserves the memory for a message over budget.FreeBytes, unless it has it. Without
// any left, the message is dropped.
func (r *Reader) reserve() error {
	switch now := time.Now(); {
	case r.dropping:
		return nil
	case r.lateAt.IsZero():
		r.dropping = r.medium.Reserve(r.options.Copies*mediumBytes, now.Add(r.options.Wait)) != nil
		r.lateAt = now.Add(longTimeout)
		if r.options.OnLong != nil {
			return r.options.OnLong()
		}
	case len(r.begun) > mediumBytes && !r.long.Reserved():
		r.dropping = r.long.Reserve(r.options.Copies*MaxBytes, now.Add(r.options.Wait)) != nil
		r.medium.Release()
		if r.dropping {
			r.begun = bytes.Clone(r.begun[:budget.FreeBytes])
		}
	}
	return nil
}

// LateAt returns when the long message that is being received must have arrived; zero: there
// is none. A read of the connection that reaches this deadline ends with ErrTooSlow.
func (r *Reader) LateAt() time.Time {
	if r.returned {
		return time.Time{}
	}
	return r.lateAt
}

// Pending reports whether a message has been received in part, or not yet returned.
func (r *Reader) Pending() bool {
	return len(r.begun) > 0 && !r.returned || r.buffered.Buffered() > 0
}

// Release drops the last message, also one that was received in part, and releases its
// memory.
func (r *Reader) Release() {
	r.begun, r.received, r.returned, r.dropping, r.lateAt = r.begun[:0], 0, false, false, time.Time{}
	if cap(r.begun) > budget.FreeBytes {
		r.begun = nil
	}
	r.medium.Release()
	r.long.Release()
}
