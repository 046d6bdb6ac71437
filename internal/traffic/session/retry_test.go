package session

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

func TestTheFirstStatementHasWaitedSinceTheConnection(t *testing.T) {
	connected := time.Now()
	welcomed := connected.Add(700 * time.Millisecond)
	tests := []struct {
		name string
		came time.Time
		want time.Time
	}{
		{"sent at once after a long welcome", welcomed.Add(2 * time.Millisecond), connected},
		{"sent later, by a session that was only opened", welcomed.Add(time.Second), welcomed.Add(time.Second)},
	}
	for _, test := range tests {
		s := &session{came: connected, welcomed: welcomed}
		if got := s.begin(statement.Statement{Verb: statement.Read}, test.came); !got.Equal(test.want) {
			t.Errorf("%s: got a wait since %v, want %v", test.name, got, test.want)
		}
	}
}

// TestTheNextTryHasWaitedSinceTheFirst has an overloaded server refuse a
// statement that its caller sends again.
func TestTheNextTryHasWaitedSinceTheFirst(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	read := func(item string) statement.Statement {
		return statement.Statement{Verb: statement.Read, Text: "READ " + item}
	}
	tests := []struct {
		name   string
		second statement.Statement
		failed bool
		came   int
		want   int
	}{
		{"the same again after a failure", read("1"), true, 700, 0},
		{"another one after a failure", read("2"), true, 700, 700},
		{"the same again after a success", read("1"), false, 700, 700},
		{"the same again much later", read("1"), true, 4000, 4000},
		{"the same text as another verb", statement.Statement{Verb: statement.Execute, Text: "READ 1"}, true, 700, 700},
	}
	for _, test := range tests {
		s := &session{welcomed: at(-60_000)}
		s.begin(read("1"), at(0))
		if test.failed {
			s.fail(at(500))
		}
		if got := s.begin(test.second, at(test.came)); !got.Equal(at(test.want)) {
			t.Errorf("%s: got a wait since %v ms, want %d", test.name, got.Sub(start).Milliseconds(), test.want)
		}
	}
	s := &session{welcomed: at(-60_000)}
	s.begin(read("1"), at(0))
	s.fail(at(500))
	s.begin(read("1"), at(700))
	s.fail(at(1200))
	if got := s.begin(read("1"), at(1500)); !got.Equal(at(0)) {
		t.Errorf("third try: got a wait since %v ms, want 0", got.Sub(start).Milliseconds())
	}
}

// TestARefusalSaysWhenToComeBack has a server that takes 200 ms for a statement:
// 8 ms was the advice whatever it took.
func TestARefusalSaysWhenToComeBack(t *testing.T) {
	b := newBed(t)
	b.script("p", "READ 1", reaction{before: func() { time.Sleep(200 * time.Millisecond) }})
	b.play("primary", "READ 1")
	server, _ := b.core.options.Pools.Pool("p")
	w := &work{s: &session{core: b.core}, server: server, last: "busy"}
	answer := w.giveUp(statement.Answer{Code: statement.Busy})
	_, advice, _ := strings.Cut(answer.Detail, "retry after ")
	ms, err := strconv.Atoi(strings.TrimSuffix(advice, " ms"))
	if err != nil || ms < 50 {
		t.Errorf("got %q, want the time that a statement takes there, divided by its 4 slots", answer.Detail)
	}
}
