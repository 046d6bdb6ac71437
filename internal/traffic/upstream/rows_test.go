package upstream

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/ownership"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

type (
	// longAnswer is a connection whose answers are passed on in two parts.
	longAnswer struct{ fakeConn }

	// slowSink takes a time for each part.
	slowSink struct {
		delay   time.Duration
		between func()
		err     error
	}
)

func (c *longAnswer) Do(r statement.Request, _ time.Time) (statement.Answer, error) {
	time.Sleep(10 * time.Millisecond)
	for range 2 {
		if err := r.Rows.Pass([][]byte{[]byte("row")}); err != nil {
			return statement.Answer{}, err
		}
	}
	time.Sleep(10 * time.Millisecond)
	return statement.Answer{Signature: []byte("sig")}, nil
}

func (s *slowSink) Reserve() bool             { return true }
func (s *slowSink) Begin() (time.Time, error) { return time.Time{}, nil }

func (s *slowSink) Pass([][]byte) error {
	time.Sleep(s.delay)
	s.between()
	return s.err
}

// TestSlowCallerIsNotBlamedOnTheServer guards against a caller that reads slowly, or not at
// all, for which the server of its answer is reported as unresponsive or as slow.
func TestSlowCallerIsNotBlamedOnTheServer(t *testing.T) {
	const delay = 3 * time.Second
	tests := []struct {
		name    string
		sinkErr error
	}{
		{"slow", nil},
		{"gone", backend.ErrCallerClosed},
		{"no memory", backend.ErrNoMemory},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeServers{limit: 4}
			m := New(Options{
				Dial: func(registry.Server, customer.Name, time.Duration) (backend.Conn, error) {
					return &longAnswer{fakeConn{f: f}}, nil
				},
				Now: time.Now, Logger: logr.Discard(),
			})
			m.SetServers([]registry.Server{{Name: "s", Group: "g", Slots: 2}}, func(registry.Server) ownership.ConnectionPlan {
				return ownership.ConnectionPlan{OwnsConnections: true, Share: 4, OwnerCount: 1}
			})
			pool, _ := m.Pool("s")
			conn, err := pool.Acquire(options(time.Second))
			if err != nil {
				t.Fatal(err)
			}
			unresponsive := func() time.Duration {
				pool.mu.Lock()
				defer pool.mu.Unlock()
				return pool.unresponsiveFor(time.Now())
			}
			sink := &slowSink{delay: delay, err: test.sinkErr, between: func() {
				if got := unresponsive(); got != 0 {
					t.Errorf("%s: got a server that is unresponsive for %v while the caller reads", test.name, got)
				}
			}}
			_, err = conn.Do(statement.Request{Statement: statement.Statement{Verb: statement.Read}, Rows: sink}, time.Now().Add(time.Minute))
			if got := unresponsive(); got != 0 {
				t.Errorf("%s: got a server that is unresponsive for %v, want 0", test.name, got)
			}
			if got := pool.Load(time.Now()).RecentLatency; err == nil && (got > 30*time.Millisecond || conn.served != 20*time.Millisecond) {
				t.Errorf("%s: got a latency of %v and %v served, want 20 ms", test.name, got, conn.served)
			}
			conn.Discard()
		})
	}
}

// TestServerThatStopsInALongAnswer checks that a server that sends nothing more is reported,
// though it has begun to answer.
func TestServerThatStopsInALongAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, pool := newManager(&fakeServers{limit: 4}, 1)
		conn, err := pool.Acquire(options(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		request := statement.Request{Rows: &slowSink{between: func() {}}}
		rows := conn.watchRows(&request)
		if err := rows.Pass(nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * unresponsiveAfter)
		pool.mu.Lock()
		defer pool.mu.Unlock()
		if got := pool.unresponsiveFor(time.Now()); got != 2*unresponsiveAfter {
			t.Errorf("got a server that is unresponsive for %v, want %v", got, 2*unresponsiveAfter)
		}
	})
}
