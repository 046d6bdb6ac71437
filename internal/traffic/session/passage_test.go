package session

import (
	"errors"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/budget"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

// TestCutAnswers guards against a statement that runs again, or an answer that seems whole,
// after the caller has received its first rows. Each case is a row of the table in
// docs/design/long-answers.md.
func TestCutAnswers(t *testing.T) {
	rows := []string{"row 1", "row 2"}
	endLease := func(f *fixture) func() {
		return func() { f.setPrimary(4, "r1") }
	}
	tests := []struct {
		name     string
		database string
		response func(*fixture) scriptedResponse
		texts    []string
		// want are the answers, as run returns them.
		want    []string
		wantRan string
	}{
		{"complete", "primary", func(*fixture) scriptedResponse { return scriptedResponse{} }, []string{"READ 1"}, []string{"ok I"}, "READ 1"},
		{"lost", "primary", func(*fixture) scriptedResponse { return scriptedResponse{err: backend.ErrConnectionLost} },
			[]string{"READ 1"}, []string{"aborted I"}, "READ 1"},
		{"silent", "primary", func(*fixture) scriptedResponse { return scriptedResponse{err: backend.ErrTimeout} },
			[]string{"READ 1"}, []string{"timed-out I"}, "READ 1"},
		{"no memory for a row", "primary", func(*fixture) scriptedResponse { return scriptedResponse{err: backend.ErrNoMemory} },
			[]string{"READ 1"}, []string{"aborted I"}, "READ 1"},
		{"failed", "primary", func(*fixture) scriptedResponse { return scriptedResponse{code: statement.Failed} },
			[]string{"READ 1"}, []string{"failed I"}, "READ 1"},
		{"rejected", "primary", func(*fixture) scriptedResponse { return scriptedResponse{code: statement.Busy} },
			[]string{"READ 1"}, []string{"aborted I"}, "READ 1"},
		{"primary replaced", "primary", func(f *fixture) scriptedResponse { return scriptedResponse{beforeResponse: endLease(f)} },
			[]string{"READ 1"}, []string{"aborted I"}, "READ 1"},
		{"write lost", "primary", func(*fixture) scriptedResponse { return scriptedResponse{err: backend.ErrConnectionLost} },
			[]string{"WRITE 1 x"}, []string{"unknown I"}, "WRITE 1 x"},
		{"write silent", "primary", func(*fixture) scriptedResponse { return scriptedResponse{err: backend.ErrTimeout} },
			[]string{"WRITE 1 x"}, []string{"timed-out I"}, "WRITE 1 x"},
		{"write, primary replaced", "primary", func(f *fixture) scriptedResponse { return scriptedResponse{beforeResponse: endLease(f)} },
			[]string{"WRITE 1 x"}, []string{"unknown I"}, "WRITE 1 x"},
		{"first of a transaction lost", "primary", func(*fixture) scriptedResponse { return scriptedResponse{err: backend.ErrConnectionLost} },
			[]string{"BEGIN", "READ 1", "COMMIT"}, []string{"ok T", "aborted E", "aborted I"}, "begin; READ 1"},
		{"later one of a transaction lost", "primary", func(*fixture) scriptedResponse { return scriptedResponse{err: backend.ErrConnectionLost} },
			[]string{"BEGIN", "WRITE 1 x", "READ 1", "COMMIT"}, []string{"ok T", "ok T", "aborted E", "aborted I"}, "begin; WRITE 1 x; READ 1"},
		{"later one of a transaction rejected", "primary", func(*fixture) scriptedResponse { return scriptedResponse{code: statement.Busy} },
			[]string{"BEGIN", "WRITE 1 x", "READ 1"}, []string{"ok T", "ok T", "busy T"}, "begin; WRITE 1 x; READ 1"},
	}
	for _, test := range tests {
		f := newFixture(t)
		response := test.response(f)
		response.passed = rows
		cut := "READ 1"
		if strings.HasPrefix(test.texts[0], "WRITE") {
			cut = test.texts[0]
		}
		f.scriptResponses("p", cut, response)
		caller := &fakeCaller{}
		for i, text := range test.texts {
			caller.statements = append(caller.statements, parse(i, text))
		}
		if err := f.manager.Serve(caller, test.database, customer.Digest{}, time.Now()); err != nil && !strings.Contains(err.Error(), "closed") {
			t.Fatal(err)
		}
		if got := f.outcomes(caller); !slices.Equal(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
		if got := f.statementsRunOn("p"); got != test.wantRan {
			t.Errorf("%s: got %q on the primary, want %q", test.name, got, test.wantRan)
		}
		if !slices.Equal(caller.passed, rows) {
			t.Errorf("%s: got the rows %v, want %v", test.name, caller.passed, rows)
		}
	}
}

// TestRowsBeforeALaterAttempt checks that a long answer that is lost before its first row was
// passed on is still tried again elsewhere.
func TestRowsBeforeALaterAttempt(t *testing.T) {
	f := newFixture(t)
	f.scriptResponses("p", "READ 1", scriptedResponse{err: backend.ErrConnectionLost}, scriptedResponse{passed: []string{"a"}})
	caller := &fakeCaller{statements: []statement.Statement{parse(0, "READ 1")}}
	_ = f.manager.Serve(caller, "primary", customer.Digest{}, time.Now())
	if got := f.outcomes(caller); !slices.Equal(got, []string{"ok I"}) || !slices.Equal(caller.passed, []string{"a"}) {
		t.Errorf("got %v and the rows %v, want ok I and a", got, caller.passed)
	}
}

// TestCallerThatStopsReading checks that a caller to whom rows can't be written ends its
// session, and that the statement isn't tried again.
func TestCallerThatStopsReading(t *testing.T) {
	f := newFixture(t)
	f.scriptResponses("p", "READ 1", scriptedResponse{passed: []string{"a"}})
	caller := &fakeCaller{statements: []statement.Statement{parse(0, "READ 1")}, passErr: os.ErrDeadlineExceeded}
	_ = f.manager.Serve(caller, "primary", customer.Digest{}, time.Now())
	if got, want := f.statementsRunOn("p"), "READ 1"; got != want {
		t.Errorf("got %q on the primary, want %q", got, want)
	}
}

// TestRowsAfterTheDeadline checks that rows that come too late aren't written, so that the
// caller gets the end of its answer.
func TestRowsAfterTheDeadline(t *testing.T) {
	caller := &fakeCaller{}
	p := (&session{caller: caller}).newPassage(time.Now())
	if err := p.Pass([][]byte{[]byte("a")}); !errors.Is(err, backend.ErrTimeout) || len(caller.passed) > 0 {
		t.Errorf("got %v and the rows %v, want %v and none", err, caller.passed, backend.ErrTimeout)
	}
}

// TestDroppedStatements checks the answers to statements for which there was no memory: they
// are promises, and an open transaction is undone.
func TestDroppedStatements(t *testing.T) {
	dropped := statement.Statement{ID: "dropped", Dropped: true}
	tests := []struct {
		name       string
		statements []statement.Statement
		want       []string
		wantRan    string
	}{
		{"outside a transaction", []statement.Statement{dropped, parse(1, "READ 1")}, []string{"busy I", "ok I"}, "READ 1"},
		{"in a transaction", []statement.Statement{parse(0, "BEGIN"), parse(1, "WRITE 1 x"), dropped, parse(3, "COMMIT")},
			[]string{"ok T", "ok T", "aborted E", "aborted I"}, "begin; WRITE 1 x"},
	}
	for _, test := range tests {
		f := newFixture(t)
		caller := &fakeCaller{statements: test.statements}
		_ = f.manager.Serve(caller, "primary", customer.Digest{}, time.Now())
		if got := f.outcomes(caller); !slices.Equal(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
		if got := f.statementsRunOn("p"); got != test.wantRan {
			t.Errorf("%s: got %q on the primary, want %q", test.name, got, test.wantRan)
		}
	}
}

// TestPassageMemory checks that all attempts at a statement share the memory of its answer,
// and that it is released.
func TestPassageMemory(t *testing.T) {
	b := budget.New(backend.AnswerBytes, budget.Options{Name: "answers"})
	s := &session{answerMemory: b.NewHold()}
	first, second := s.newPassage(time.Time{}), s.newPassage(time.Time{})
	if !first.Reserve() || !second.Reserve() {
		t.Error("got no memory, want that of one answer")
	}
	other := (&session{answerMemory: b.NewHold()}).newPassage(time.Time{})
	if other.Reserve() {
		t.Error("another session got memory, want none left")
	}
	s.answerMemory.Release()
	if !other.Reserve() {
		t.Error("got no memory after the release")
	}
}
