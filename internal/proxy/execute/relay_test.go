package execute

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/proxy/conn"
)

// answerRows answers one query with rows of a length.
func answerRows(accepted net.Conn, rows, rowBytes int) error {
	defer accepted.Close()
	backend := pgproto3.NewBackend(accepted, accepted)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return err
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if err := backend.Flush(); err != nil {
		return err
	}
	if _, err := backend.Receive(); err != nil {
		return err
	}
	backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("a"), DataTypeOID: 25}}})
	row := &pgproto3.DataRow{Values: [][]byte{bytes.Repeat([]byte("x"), rowBytes)}}
	for range rows {
		backend.Send(row)
		if err := backend.Flush(); err != nil {
			return err
		}
	}
	backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return backend.Flush()
}

// TestLongAnswerIsFlushed guards against a relay that holds a long answer whole: the buffer
// holds FlushLimit and one row at most, also while the caller doesn't read.
func TestLongAnswerIsFlushed(t *testing.T) {
	const (
		rows, rowBytes = 20_000, 1000
		flushLimit     = 64 << 10
		// overhead is the rest of a row's message.
		overhead = 64
	)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var group errgroup.Group
	group.Go(func() error {
		accepted, err := listener.Accept()
		if err != nil {
			return err
		}
		return answerRows(accepted, rows, rowBytes)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	c, err := conn.Open(ctx, conn.Options{Address: listener.Addr().(*net.TCPAddr).AddrPort(), User: "u", Database: "d", Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var request Request
	var plan Plan
	add(t, &request, &Statements{}, &pgproto3.Query{String: "select a from t"})
	plan.Build(&request, c)
	if err := Send(c, &plan); err != nil {
		t.Fatal(err)
	}
	longest, flushed := 0, 0
	answer := Answer{FlushLimit: flushLimit}
	answer.Flush = func() error {
		if flushed == 0 {
			time.Sleep(100 * time.Millisecond)
		}
		longest = max(longest, len(answer.Buf))
		flushed += len(answer.Buf)
		answer.Buf = answer.Buf[:0]
		return nil
	}
	if _, err := Run(c, &plan, &answer); err != nil {
		t.Fatal(err)
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	if flushed < rows*rowBytes-flushLimit || longest > flushLimit+rowBytes+overhead {
		t.Errorf("got %d bytes flushed and a buffer of %d, want nearly %d and %d at most", flushed, longest, rows*rowBytes, flushLimit+rowBytes+overhead)
	}
}
