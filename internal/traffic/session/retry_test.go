package session

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

// TestFirstStatementsWaitStartsAtConnect checks from when on the caller's wait for its
// first statement counts. The soft deadline of the statement follows from it.
func TestFirstStatementsWaitStartsAtConnect(t *testing.T) {
	connected := time.Now()
	ready := connected.Add(700 * time.Millisecond)
	tests := []struct {
		name     string
		received time.Time
		want     time.Time
	}{
		{"sent at once after a long handshake", ready.Add(2 * time.Millisecond), connected},
		{"sent later, after an idle time", ready.Add(time.Second), ready.Add(time.Second)},
	}
	for _, test := range tests {
		s := &session{connectedAt: connected, readyAt: ready}
		if got := s.recordWaitStart(statement.Statement{Verb: statement.Read}, test.received); !got.Equal(test.want) {
			t.Errorf("%s: got a wait that starts at %v, want %v", test.name, got, test.want)
		}
	}
}

// TestRetryWaitStartsAtFirstAttempt checks the start of the wait for a statement that
// was rejected under overload and that the caller sends again.
func TestRetryWaitStartsAtFirstAttempt(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	// Statements aren't SQL: "READ 1" reads item 1.
	read := func(item string) statement.Statement {
		return statement.Statement{Verb: statement.Read, Text: "READ " + item}
	}
	tests := []struct {
		name   string
		second statement.Statement
		// failed is true if the first statement, received at 0 ms, failed at
		// 500 ms.
		failed bool
		// received is when the second statement was received, and want the start
		// of the wait for it, both in milliseconds.
		received int
		want     int
	}{
		{"same statement after a failure", read("1"), true, 700, 0},
		{"other statement after a failure", read("2"), true, 700, 700},
		{"same statement after a success", read("1"), false, 700, 700},
		{"same statement after the retry window", read("1"), true, 4000, 4000},
		{"same text with another verb", statement.Statement{Verb: statement.Execute, Text: "READ 1"}, true, 700, 700},
	}
	for _, test := range tests {
		s := &session{readyAt: at(-60_000)}
		s.recordWaitStart(read("1"), at(0))
		if test.failed {
			s.recordFailure(at(500))
		}
		if got := s.recordWaitStart(test.second, at(test.received)); !got.Equal(at(test.want)) {
			t.Errorf("%s: got a wait that starts at %v ms, want %d", test.name, got.Sub(start).Milliseconds(), test.want)
		}
	}
	s := &session{readyAt: at(-60_000)}
	s.recordWaitStart(read("1"), at(0))
	s.recordFailure(at(500))
	s.recordWaitStart(read("1"), at(700))
	s.recordFailure(at(1200))
	if got := s.recordWaitStart(read("1"), at(1500)); !got.Equal(at(0)) {
		t.Errorf("second retry: got a wait that starts at %v ms, want 0", got.Sub(start).Milliseconds())
	}
}

// TestRetryAdviceFollowsStatementTime guards against a fixed retry advice of 8 ms,
// however long statements took. Here a statement takes 200 ms on the primary p, which
// executes slots statements at once.
func TestRetryAdviceFollowsStatementTime(t *testing.T) {
	f := newFixture(t)
	f.scriptResponses("p", "READ 1", scriptedResponse{beforeResponse: func() { time.Sleep(200 * time.Millisecond) }})
	f.run("primary", "READ 1") // measures the time of a statement
	pool, _ := f.manager.options.Pools.Pool("p")
	e := &execution{session: &session{manager: f.manager}, lastPool: pool, lastFailure: "busy"}
	answer := e.finalAnswer(statement.Answer{Code: statement.Busy})
	_, advice, _ := strings.Cut(answer.Detail, "retry after ")
	ms, err := strconv.Atoi(strings.TrimSuffix(advice, " ms"))
	if err != nil || ms < 50 {
		t.Errorf("got %q, want at least 50 ms: 200 ms for a statement, divided by %d slots", answer.Detail, slots)
	}
}
