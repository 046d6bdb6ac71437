package state_test

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/burdockwood/burdockwood/internal/control/singlenode"
	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// newStateMachine returns a state machine and a log that applies commands to
// it.
func newStateMachine() (*state.Machine, *singlenode.Log) {
	machine := state.New()
	return machine, singlenode.New(machine, "control-1", netip.MustParseAddrPort("127.0.0.1:1"))
}

// apply proposes a text as the declarations that follow the version expect. The
// change has the identifier id.
func apply(t *testing.T, log *singlenode.Log, expect int, id, text string) state.ApplyResult {
	t.Helper()
	result, err := state.Propose(context.Background(), log, state.Command{Apply: &state.ApplyDeclarations{
		Text: text, Expect: cluster.Version(expect), ChangeID: id, Author: "author of " + id,
	}})
	if err != nil || result.ApplyResult == nil {
		t.Fatalf("Apply(%d, %s) = %+v, %v, want a result", expect, id, result, err)
	}
	return *result.ApplyResult
}

// restore returns a state machine restored from a snapshot of another, and its
// log.
func restore(t *testing.T, machine *state.Machine) (*state.Machine, *singlenode.Log) {
	t.Helper()
	snapshot, err := machine.Snapshot()
	if err != nil {
		t.Fatalf("Snapshot: %v", err)
	}
	next, log := newStateMachine()
	if err := next.Restore(snapshot); err != nil {
		t.Fatalf("Restore: %v", err)
	}
	return next, log
}

func TestRepeatedChangeGetsItsFirstResultAfterRestore(t *testing.T) {
	machine, log := newStateMachine()
	accepted := apply(t, log, 0, "a", "one")
	refused := apply(t, log, 0, "b", "two")
	if !accepted.Accepted || refused.Accepted || refused.WinnerChangeID != "a" || refused.WinnerAuthor != "author of a" {
		t.Fatalf("results %+v and %+v, want a accepted, and b refused with a as the winner", accepted, refused)
	}
	for i := 1; i < 300; i++ {
		apply(t, log, i, fmt.Sprintf("c%d", i), fmt.Sprintf("text %d", i))
	}
	machine, log = restore(t, machine)
	if got := apply(t, log, 0, "a", "one"); got != accepted {
		t.Errorf("repeated a = %+v, want %+v", got, accepted)
	}
	if got := apply(t, log, 0, "b", "two"); got != refused {
		t.Errorf("repeated b = %+v, want %+v", got, refused)
	}
	if got := apply(t, log, 300, "a", "another text"); got.Accepted {
		t.Errorf("another text under identifier a = %+v, want refused", got)
	}
	if got := machine.View().Version; got != 300 {
		t.Errorf("version %d, want 300", got)
	}
}

func TestHistoryKeepsTextsWithinLimits(t *testing.T) {
	machine, log := newStateMachine()
	body := strings.Repeat("line of a long declaration\n", 1000)
	text := func(i int) string { return body + fmt.Sprintf("changed: %d\n", i) + body }
	const versions = state.MaxChanges + 200
	for i := range versions {
		apply(t, log, i, fmt.Sprintf("c%d", i), text(i+1))
	}
	machine, _ = restore(t, machine)
	view := machine.View()
	for _, version := range []uint64{versions, versions - 1, 201} {
		if got, ok := view.TextAt(version); !ok || got != text(int(version)) {
			t.Errorf("TextAt(%d) ok = %v, want that version's text", version, ok)
		}
	}
	if _, ok := view.TextAt(200); ok {
		t.Error("TextAt(200) is kept, want it trimmed")
	}
	snapshot, err := machine.Snapshot()
	if err != nil {
		t.Fatalf("Snapshot: %v", err)
	}
	if got, want := len(snapshot), 3*len(body)+500*versions; got > want {
		t.Errorf("snapshot of %d bytes, want at most %d", got, want)
	}
}

func TestEachTermIsCommittedOnce(t *testing.T) {
	machine, log := newStateMachine()
	propose := func(command state.Command) state.Result {
		t.Helper()
		result, err := state.Propose(context.Background(), log, command)
		if err != nil {
			t.Fatalf("Propose: %v", err)
		}
		return result
	}
	begin := func(expectHighest, highestPromised cluster.Term) state.Result {
		return propose(state.Command{Begin: &state.BeginTerm{Group: "g", ExpectHighest: expectHighest, HighestPromised: highestPromised, Voters: []cluster.ServerName{"a", "b"}}})
	}
	commit := func(term cluster.Term, primary cluster.ServerName) state.Result {
		return propose(state.Command{Commit: &state.CommitTerm{Group: "g", Term: term, Primary: primary}})
	}
	if got := begin(0, 0); got.Done {
		t.Error("a term with unknown voters was begun")
	}
	propose(state.Command{Members: &state.SetMembers{Group: "g", Set: []state.Member{{Name: "a"}, {Name: "b"}}}})
	if got := begin(0, 6); !got.Done || got.Term != 7 {
		t.Errorf("begin = %+v, want term 7", got)
	}
	if got := begin(0, 0); got.Done {
		t.Error("a second term was begun with the same expected highest term")
	}
	if got := commit(7, "c"); got.Done {
		t.Error("a server that is not a voter became primary")
	}
	if got := commit(7, "a"); !got.Done {
		t.Errorf("commit = %+v, want done", got)
	}
	if got := commit(7, "b"); got.Done {
		t.Error("term 7 was committed twice")
	}
	if got := begin(7, 0); !got.Done || got.Term != 8 {
		t.Errorf("begin = %+v, want term 8", got)
	}
	if got := begin(8, 0); !got.Done || got.Term != 9 {
		t.Errorf("begin above a pending term = %+v, want term 9", got)
	}
	if got := commit(8, "b"); got.Done {
		t.Error("a term below the pending one was committed")
	}
	if group := machine.View().Groups["g"]; group.Term != 7 || group.Primary != "a" || group.Pending.Term != 9 {
		t.Errorf("record %+v, want term 7 with primary a in force and term 9 pending", group)
	}
}

func TestRestoreRejectsUnreadableSnapshots(t *testing.T) {
	machine, _ := newStateMachine()
	for _, text := range []string{"", "{", `{"format":2,"state":{}}`, `{"format":1,"state":null}`} {
		if err := machine.Restore([]byte(text)); err == nil {
			t.Errorf("Restore(%q) gave no error, want one", text)
		}
	}
}
