package line

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/traffic/budget"
)

// writeAll writes messages to a connection and closes it.
func writeAll(group *errgroup.Group, conn net.Conn, messages ...string) {
	group.Go(func() error {
		for _, message := range messages {
			if _, err := io.WriteString(conn, message); err != nil {
				return nil // the reader has closed the connection after an error
			}
		}
		return conn.Close()
	})
}

// TestLongMessagesShareMemory checks that a message for which there is no memory is read and
// dropped, that the next one is read, and that the memory is released with the next call.
func TestLongMessagesShareMemory(t *testing.T) {
	long := "QUERY a " + strings.Repeat("x", MaxBytes-100)
	synctest.Test(t, func(t *testing.T) {
		medium := budget.New(MaxBytes, budget.Options{Name: "x", Logger: logr.Discard()})
		b := budget.New(3*MaxBytes, budget.Options{Name: "long-x", Logger: logr.Discard()})
		other := b.NewHold()
		near, far := net.Pipe()
		var group errgroup.Group
		writeAll(&group, far, long+"\r\n", "b\r\n", long+"\r\n", "c\r\n")
		r := NewReader(near, Options{Memory: budget.Pair{Medium: medium, Long: b}, Copies: 2, Wait: time.Second})
		if got, err := r.Next(); err != nil || string(got) != long || b.Held() != 2*MaxBytes {
			t.Fatalf("got %d bytes, %v, %d bytes held, want the message and %d", len(got), err, b.Held(), 2*MaxBytes)
		}
		if got := r.LateAt(); !got.IsZero() {
			t.Errorf("got the deadline %v for a message that has arrived, want none", got)
		}
		if got, err := r.Next(); err != nil || string(got) != "b" || b.Held() != 0 {
			t.Fatalf("got %q, %v, %d bytes held, want b and none", got, err, b.Held())
		}
		if !other.TryReserve(2 * MaxBytes) {
			t.Fatal("the memory wasn't free")
		}
		began := time.Now()
		got, err := r.Next()
		if !errors.Is(err, ErrDropped) || !strings.HasPrefix(string(got), "QUERY a xx") || len(got) > 2*budget.FreeBytes {
			t.Fatalf("got %d bytes, %v, want the beginning and %v", len(got), err, ErrDropped)
		}
		if waited := time.Since(began); waited != time.Second {
			t.Errorf("got a wait of %v, want 1 s", waited)
		}
		if got := medium.Held(); got != 0 {
			t.Errorf("got %d bytes held for a message that was dropped, want 0", got)
		}
		if got, err := r.Next(); err != nil || string(got) != "c" {
			t.Errorf("got %q, %v, want c", got, err)
		}
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// TestLongMessageIsLate guards against memory that a sender keeps by not sending the rest of
// its message.
func TestLongMessageIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := budget.New(3*MaxBytes, budget.Options{Name: "x", Logger: logr.Discard()})
		near, far := net.Pipe()
		defer near.Close()
		defer far.Close()
		var group errgroup.Group
		group.Go(func() error {
			_, err := io.WriteString(far, strings.Repeat("x", 2*budget.FreeBytes))
			return err
		})
		var r *Reader
		r = NewReader(near, Options{Memory: budget.Pair{Medium: b}, Copies: 1, OnLong: func() error { return near.SetReadDeadline(r.LateAt()) }})
		began := time.Now()
		_, err := r.Next()
		if took := time.Since(began); !errors.Is(err, ErrTooSlow) || took != longTimeout {
			t.Errorf("got %v after %v, want %v after %v", err, took, ErrTooSlow, longTimeout)
		}
		r.Release()
		if got := b.Held(); got != 0 {
			t.Errorf("got %d bytes held after the release, want none", got)
		}
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// TestLongMessageContinuesAfterADeadline guards against a deadline that comes while a long
// message arrives, such as that of an idle session, and loses a part of it.
func TestLongMessageContinuesAfterADeadline(t *testing.T) {
	half := strings.Repeat("x", 2*budget.FreeBytes)
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer near.Close()
		var group errgroup.Group
		group.Go(func() error {
			_, err := io.WriteString(far, half)
			time.Sleep(time.Second)
			_, secondErr := io.WriteString(far, half+"\r\n")
			return errors.Join(err, secondErr)
		})
		r := NewReader(near, Options{Memory: budget.Pair{Medium: budget.New(MaxBytes, budget.Options{Name: "x", Logger: logr.Discard()})}, Copies: 1})
		if err := near.SetReadDeadline(time.Now().Add(time.Second / 2)); err != nil {
			t.Fatal(err)
		}
		if _, err := r.Next(); !errors.Is(err, os.ErrDeadlineExceeded) || !r.Pending() {
			t.Fatalf("got %v, want %v and a message that is pending", err, os.ErrDeadlineExceeded)
		}
		if err := near.SetReadDeadline(time.Time{}); err != nil {
			t.Fatal(err)
		}
		if got, err := r.Next(); err != nil || string(got) != half+half {
			t.Errorf("got %d bytes, %v, want %d", len(got), err, 2*len(half))
		}
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// TestMediumMessagesTakeLittleMemory guards against messages of some 20 KB that wait for each
// other because each reserves the memory of the longest one.
func TestMediumMessagesTakeLittleMemory(t *testing.T) {
	const readers = 40
	message := strings.Repeat("x", 20_000)
	b := budget.New(readers*3*mediumBytes, budget.Options{Name: "x", Logger: logr.Discard()})
	none := budget.New(1, budget.Options{Name: "long-x", Logger: logr.Discard()})
	for i := range readers {
		r := NewReader(strings.NewReader(message+"\r\n"), Options{Memory: budget.Pair{Medium: b, Long: none}, Copies: 3})
		if got, err := r.Next(); err != nil || string(got) != message {
			t.Fatalf("reader %d: got %d bytes, %v, want %d", i, len(got), err, len(message))
		}
	}
}
