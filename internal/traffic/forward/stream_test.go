package forward

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/burdockwood/burdockwood/internal/fleet/leaderclock"
	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/budget"
	"github.com/burdockwood/burdockwood/internal/traffic/ownership"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
	"github.com/burdockwood/burdockwood/internal/traffic/upstream"
)

type (
	// longAnswerConn answers each statement with many rows.
	longAnswerConn struct {
		rows, rowBytes int
		// err ends the answer after all rows.
		err error
		// ended receives the error of each call of Do.
		ended  chan error
		closed atomic.Bool
	}

	// collectedRows is a sink that keeps all rows.
	collectedRows struct {
		rows [][]byte
		// stop makes Pass wait until it is closed; nil: it doesn't wait.
		stop chan struct{}
		err  error
	}

	// longAnswers are an owner whose server answers with many rows, and a connection of
	// another proxy that forwards to it.
	longAnswers struct {
		server *longAnswerConn
		conn   backend.Conn
		client *OwnerClient
		// statements and answers are the owner's memory.
		statements, answers *budget.Budget
		service             *Service
		host                *httptest.Server
	}
)

func (c *longAnswerConn) Do(r statement.Request, _ time.Time) (statement.Answer, error) {
	answer, err := c.answer(r)
	c.ended <- err
	return answer, err
}

func (c *longAnswerConn) answer(r statement.Request) (statement.Answer, error) {
	rows := backend.Rows{Sink: r.Rows}
	row := bytes.Repeat([]byte("x"), c.rowBytes)
	for i := range c.rows {
		copy(row, fmt.Sprintf("%8d", i))
		if err := rows.Add(row); err != nil {
			return statement.Answer{}, err
		}
	}
	return statement.Answer{Rows: rows.Held(), Signature: []byte("sig"), Position: cluster.LogPosition{Term: 2, Position: 7}}, c.err
}

func (c *longAnswerConn) InitialPosition() cluster.LogPosition { return cluster.LogPosition{} }
func (c *longAnswerConn) Usable() bool                         { return true }

func (c *longAnswerConn) Close() error {
	c.closed.Store(true)
	return nil
}

func (r *collectedRows) Reserve() bool             { return true }
func (r *collectedRows) Begin() (time.Time, error) { return time.Time{}, nil }

func (r *collectedRows) Pass(rows [][]byte) error {
	if r.stop != nil {
		<-r.stop
	}
	for _, row := range rows {
		r.rows = append(r.rows, bytes.Clone(row))
	}
	return r.err
}

// startLongAnswers starts an owner. earlier makes it one of an earlier build.
func startLongAnswers(t *testing.T, server *longAnswerConn, earlier bool) *longAnswers {
	server.ended = make(chan error, 10)
	a := &longAnswers{server: server}
	a.statements = budget.New(8<<20, budget.Options{Name: "statements", Logger: logr.Discard()})
	a.answers = budget.New(8<<20, budget.Options{Name: "answers", Logger: logr.Discard()})
	m := upstream.New(upstream.Options{
		Dial: func(registry.Server, customer.Name, time.Duration) (backend.Conn, error) { return server, nil },
		Now:  time.Now, Logger: logr.Discard(),
	})
	m.SetServers([]registry.Server{{Name: "s", Group: "g", Slots: 2}}, func(registry.Server) ownership.ConnectionPlan {
		return ownership.ConnectionPlan{OwnsConnections: true, Share: 4, OwnerCount: 1}
	})
	a.service = New(Options{Pools: m, Statements: a.statements, Answers: a.answers, LeaderClock: &leaderclock.Clock{}, Logger: logr.Discard()})
	handler := a.service.Handler()
	if earlier {
		handler = fleetpb.NewBrokerServer(a.service)
	}
	a.host = httptest.NewServer(handler)
	t.Cleanup(a.host.Close)
	a.client = NewOwnerClient(&http.Client{}, &leaderclock.Clock{}, budget.New(8<<20, budget.Options{Name: "answers", Logger: logr.Discard()}), logr.Discard())
	address := netip.MustParseAddrPort(strings.TrimPrefix(a.host.URL, "http://"))
	a.conn = a.client.Connect("s", []ownership.Peer{{Name: "owner", Address: address}})
	return a
}

// read sends a read whose rows go to a sink.
func (a *longAnswers) read(sink statement.RowSink, timeout time.Duration) (statement.Answer, error) {
	r := request(statement.Read, "READ 1")
	r.Rows = sink
	return a.conn.Do(r, time.Now().Add(timeout))
}

// TestLongAnswersAreForwarded checks that all rows arrive in their order, from owners of this
// build and of an earlier one, and that both proxies give their memory back.
func TestLongAnswersAreForwarded(t *testing.T) {
	tests := []struct {
		name           string
		rows, rowBytes int
		earlier        bool
	}{
		{"one row", 1, 100, false},
		{"within the window", 40, 1000, false},
		{"long", 20_000, 1000, false},
		{"long rows", 20, 1<<20 - 10, false},
		{"one row, earlier build", 1, 100, true},
		{"long, earlier build", 2000, 1000, true},
	}
	for _, test := range tests {
		a := startLongAnswers(t, &longAnswerConn{rows: test.rows, rowBytes: test.rowBytes}, test.earlier)
		// The second one shows that the connection can be used again.
		for range 2 {
			sink := &collectedRows{}
			answer, err := a.read(sink, 5*time.Second)
			if err != nil || answer.Code != statement.OK || string(answer.Signature) != "sig" || answer.Position.Position != 7 {
				t.Fatalf("%s: got %v %q %v, %v, want ok, sig and position 7", test.name, answer.Code, answer.Signature, answer.Position, err)
			}
			rows := append(sink.rows, answer.Rows...)
			if len(rows) != test.rows {
				t.Errorf("%s: got %d rows, want %d", test.name, len(rows), test.rows)
			}
			for i, row := range rows {
				if len(row) != test.rowBytes || string(row[:8]) != fmt.Sprintf("%8d", i) {
					t.Fatalf("%s: got %d bytes that begin with %.8q as row %d", test.name, len(row), row, i)
				}
			}
			if passed := len(sink.rows) > 0; passed != (test.rows*test.rowBytes > 64<<10) && !test.earlier {
				t.Errorf("%s: got %d rows passed on", test.name, len(sink.rows))
			}
		}
		a.host.Close()
		if held := a.answers.Held() + a.client.answers.Held() + a.statements.Held(); held != 0 {
			t.Errorf("%s: got %d bytes held at the end, want 0", test.name, held)
		}
	}
}

// TestForwardedAnswerIsCut checks what the other proxy gets if a long answer ends early: an
// error, never the end of an answer.
func TestForwardedAnswerIsCut(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want error
	}{
		{"connection lost", backend.ErrConnectionLost, backend.ErrConnectionLost},
		{"server silent", backend.ErrTimeout, backend.ErrTimeout},
	}
	for _, test := range tests {
		a := startLongAnswers(t, &longAnswerConn{rows: 1000, rowBytes: 1000, err: test.err}, false)
		sink := &collectedRows{}
		if answer, err := a.read(sink, time.Second); !errors.Is(err, test.want) || len(sink.rows) == 0 {
			t.Errorf("%s: got %v, %v after %d rows, want %v after some", test.name, answer.Code, err, len(sink.rows), test.want)
		}
	}
	a := startLongAnswers(t, &longAnswerConn{rows: 100_000, rowBytes: 1000}, false)
	sink := &collectedRows{stop: make(chan struct{})}
	var group sync.WaitGroup
	group.Go(func() {
		if answer, err := a.read(sink, 5*time.Second); !errors.Is(err, backend.ErrConnectionLost) {
			t.Errorf("owner lost: got %v, %v, want %v", answer.Code, err, backend.ErrConnectionLost)
		}
	})
	time.Sleep(20 * time.Millisecond)
	a.host.CloseClientConnections()
	close(sink.stop)
	group.Wait()
}

// TestSlowReaderReleasesTheOwnersConnection guards against a slot of a server that a proxy
// holds at its owner for longer than the statement's deadline by not reading.
func TestSlowReaderReleasesTheOwnersConnection(t *testing.T) {
	// The owner hasn't been heard for recentResponse when it ends the answer.
	const timeout = recentResponse + 300*time.Millisecond
	a := startLongAnswers(t, &longAnswerConn{rows: 100_000, rowBytes: 1000}, false)
	sink := &collectedRows{stop: make(chan struct{})}
	var group sync.WaitGroup
	began := time.Now()
	group.Go(func() {
		if answer, err := a.read(sink, timeout); err == nil {
			t.Errorf("got %v, want an error", answer.Code)
		}
	})
	select {
	case err := <-a.server.ended:
		if took := time.Since(began); !errors.Is(err, backend.ErrCallerClosed) || took > timeout+600*time.Millisecond {
			t.Errorf("got %v after %v, want %v after %v", err, took, backend.ErrCallerClosed, timeout)
		}
	case <-time.After(4 * time.Second):
		t.Error("the owner still waits after 4 s")
	}
	close(sink.stop)
	group.Wait()
	for until := time.Now().Add(time.Second); !a.server.closed.Load() && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	if !a.server.closed.Load() {
		t.Error("the connection to the server is still open")
	}
	if avoided := a.client.avoidUntil["owner"]; !avoided.IsZero() {
		t.Errorf("the owner is avoided until %v for a caller that doesn't read", avoided)
	}
}

// TestRefusedCallWasNotSent checks that a statement that the owner couldn't read is known not
// to have run.
func TestRefusedCallWasNotSent(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "the message can't be read", http.StatusBadRequest)
	}))
	defer host.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(host.URL, "http://"))
	conn := NewOwnerClient(&http.Client{}, &leaderclock.Clock{}, nil, logr.Discard()).Connect("s", []ownership.Peer{{Name: "owner", Address: address}})
	write := request(statement.Write, "WRITE 1 x")
	write.Rows = &collectedRows{}
	if _, err := conn.Do(write, time.Now().Add(time.Second)); !errors.Is(err, backend.ErrNotSent) {
		t.Errorf("got %v, want %v", err, backend.ErrNotSent)
	}
}

// TestSinkErrorEndsTheAnswer checks that a caller who is gone isn't taken for an owner that
// can't be reached.
func TestSinkErrorEndsTheAnswer(t *testing.T) {
	a := startLongAnswers(t, &longAnswerConn{rows: 100_000, rowBytes: 1000}, false)
	if _, err := a.read(&collectedRows{err: backend.ErrCallerClosed}, 5*time.Second); !errors.Is(err, backend.ErrCallerClosed) {
		t.Errorf("got %v, want %v", err, backend.ErrCallerClosed)
	}
	if err := <-a.server.ended; !errors.Is(err, backend.ErrCallerClosed) {
		t.Errorf("got %v at the owner, want %v", err, backend.ErrCallerClosed)
	}
	if avoided := a.client.avoidUntil["owner"]; !avoided.IsZero() {
		t.Errorf("the owner is avoided until %v", avoided)
	}
}

// TestForwardedStatementsShareMemory checks that a long statement for which the owner has no
// memory is refused with a promise, and that a short one runs.
func TestForwardedStatementsShareMemory(t *testing.T) {
	a := startLongAnswers(t, &longAnswerConn{rows: 1, rowBytes: 10}, false)
	hold := a.statements.NewHold()
	if !hold.TryReserve(8 << 20) {
		t.Fatal("the memory wasn't free")
	}
	long := request(statement.Write, "WRITE 1 "+strings.Repeat("x", 1<<19))
	long.Rows = &collectedRows{}
	answer, err := a.conn.Do(long, time.Now().Add(4*time.Second))
	if err != nil || answer.Code != statement.Busy || answer.RetryAfter != budget.RetryAfter {
		t.Errorf("got %v, %v, retry after %v, want busy and %v", answer.Code, err, answer.RetryAfter, budget.RetryAfter)
	}
	if answer, err := a.read(&collectedRows{}, time.Second); err != nil || answer.Code != statement.OK {
		t.Errorf("got %v, %v to a short statement, want ok", answer.Code, err)
	}
	hold.Release()
	if answer, err := a.conn.Do(long, time.Now().Add(4*time.Second)); err != nil || answer.Code != statement.OK {
		t.Errorf("got %v, %v once there is memory, want ok", answer.Code, err)
	}
}

// TestWholeAnswersShareMemory checks that an answer for a proxy of an earlier build, which
// takes it whole, ends when the owner has no more memory for it.
func TestWholeAnswersShareMemory(t *testing.T) {
	a := startLongAnswers(t, &longAnswerConn{rows: 60_000, rowBytes: 1000}, true)
	if _, err := a.read(&collectedRows{}, 5*time.Second); !errors.Is(err, backend.ErrConnectionLost) {
		t.Errorf("got %v, want %v", err, backend.ErrConnectionLost)
	}
	if err := <-a.server.ended; !errors.Is(err, backend.ErrNoMemory) {
		t.Errorf("got %v at the owner, want %v", err, backend.ErrNoMemory)
	}
	if got := a.answers.Held(); got != 0 {
		t.Errorf("got %d bytes held at the end, want 0", got)
	}
}
