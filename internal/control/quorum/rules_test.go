package quorum

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// testNow is the time of all events in the tests of single rules. The cluster ID 9
// in these tests is arbitrary.
var testNow = time.Unix(1_000_000, 0)

func testMember(number int) Member {
	return Member{ID: ID{Node: cluster.NodeName(fmt.Sprintf("control-%d", number)), Disk: 1}}
}

// restoredCore returns a core of the first member, restored from the given log.
func restoredCore(t *testing.T, state HardState, log []Entry) *Core {
	t.Helper()
	self := testMember(1)
	options := Options{Self: self, Nodes: []Member{self}, Random: rand.New(rand.NewPCG(1, 1))}
	core, err := New(options, Restored{HardState: state, Entries: log}, testNow)
	if err != nil {
		t.Fatal(err)
	}
	return core
}

// step delivers a message of the second member to the core.
func step(t *testing.T, core *Core, m Message) {
	t.Helper()
	m.From, m.To, m.ClusterID = testMember(2).ID, core.self, core.state.ClusterID
	if err := core.Step(m, testNow); err != nil {
		t.Fatal(err)
	}
}

// emptyEntries returns empty entries of one term with the indexes first to last.
func emptyEntries(term, first, last uint64) (list []Entry) {
	for index := first; index <= last; index++ {
		list = append(list, Entry{Index: index, Term: term, Kind: EntryNoop})
	}
	return list
}

// initialEntry returns the entry of an initial configuration of count members.
func initialEntry(count int) Entry {
	config := &Configuration{}
	for number := range count {
		config.Members = append(config.Members, testMember(number+1))
	}
	return Entry{Index: 1, Term: initialTerm, Kind: EntryConfiguration, Configuration: config}
}

func TestCommitIsBoundedByMatchedEntries(t *testing.T) {
	tests := []struct {
		name    string
		message Message
		want    uint64
	}{
		{name: "heartbeat before entries of an old term", message: Message{Index: 2, LogTerm: 1, Commit: 5}, want: 2},
		{name: "one entry that is stored already", message: Message{Index: 2, LogTerm: 1, Commit: 5, Entries: emptyEntries(2, 3, 3)}, want: 3},
		{name: "all entries", message: Message{Index: 2, LogTerm: 1, Commit: 5, Entries: emptyEntries(4, 3, 6)}, want: 5},
		{name: "previous entry conflicts", message: Message{Index: 4, LogTerm: 4, Commit: 5}, want: 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			core := restoredCore(t, HardState{Term: 3, ClusterID: 9}, append(emptyEntries(1, 1, 2), emptyEntries(2, 3, 5)...))
			m := test.message
			m.Kind, m.Term = MessageAppend, 4
			step(t, core, m)
			if got := core.Status().CommitIndex; got != test.want {
				t.Errorf("got commit index %d, want %d", got, test.want)
			}
		})
	}
}

func TestVote(t *testing.T) {
	tests := []struct {
		name    string
		voted   ID
		message Message
		want    bool
	}{
		{name: "equal log", message: Message{Term: 4, Index: 3, LogTerm: 2}, want: true},
		{name: "longer log", message: Message{Term: 4, Index: 9, LogTerm: 2}, want: true},
		{name: "newer term in a shorter log", message: Message{Term: 4, Index: 1, LogTerm: 3}, want: true},
		{name: "shorter log", message: Message{Term: 4, Index: 2, LogTerm: 2}},
		{name: "older term in a longer log", message: Message{Term: 4, Index: 9, LogTerm: 1}},
		{name: "current term, not voted", message: Message{Term: 3, Index: 3, LogTerm: 2}, want: true},
		{name: "voted for the candidate", voted: testMember(2).ID, message: Message{Term: 3, Index: 3, LogTerm: 2}, want: true},
		{name: "voted for another", voted: testMember(3).ID, message: Message{Term: 3, Index: 3, LogTerm: 2}},
		{name: "old term", message: Message{Term: 2, Index: 3, LogTerm: 2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			log := append([]Entry{initialEntry(3)}, emptyEntries(2, 2, 3)...)
			core := restoredCore(t, HardState{Term: 3, Vote: test.voted, ClusterID: 9}, log)
			m := test.message
			m.Kind = MessageVote
			step(t, core, m)
			ready := core.Ready()
			got := len(ready.Messages) == 1 && !ready.Messages[0].Reject
			if got != test.want {
				t.Errorf("got vote %v, want %v", got, test.want)
			}
			if kept := ready.HardState.Vote == testMember(2).ID; got && !kept {
				t.Errorf("got stored vote %v, want %v", ready.HardState.Vote, testMember(2).ID)
			}
			if changed := test.voted != ready.HardState.Vote; changed && !ready.Sync {
				t.Errorf("got a changed vote without Sync, want it synced")
			}
		})
	}
}

func TestEntryOfOldTermIsNotCommittedByMajority(t *testing.T) {
	core := restoredCore(t, HardState{Term: 3, Commit: 1, ClusterID: 9}, append([]Entry{initialEntry(3)}, emptyEntries(2, 2, 2)...))
	core.campaign(RoleCandidate, testNow)
	step(t, core, Message{Kind: MessageVoteResponse, Term: 4})
	core.Advance(core.Ready(), testNow)
	for _, test := range []struct{ matched, want uint64 }{{matched: 2, want: 1}, {matched: 3, want: 3}} {
		step(t, core, Message{Kind: MessageAppendResponse, Term: 4, Index: test.matched})
		if got := core.Status().CommitIndex; got != test.want {
			t.Errorf("index %d is stored by a majority: got commit index %d, want %d", test.matched, got, test.want)
		}
	}
}

func TestCandidateSendsInitialConfiguration(t *testing.T) {
	for _, kind := range []MessageKind{MessagePreVote, MessageVote} {
		core := restoredCore(t, HardState{}, nil)
		config := initialEntry(3).Configuration
		other := restoredCore(t, HardState{Term: 1, Commit: 1, ClusterID: membersDigest(config.Members)}, []Entry{initialEntry(3)})
		other.campaign(map[MessageKind]Role{MessagePreVote: RolePreCandidate, MessageVote: RoleCandidate}[kind], testNow)
		for _, m := range other.Ready().Messages {
			if m.Kind != kind || m.To != testMember(2).ID {
				continue
			}
			// The core without a cluster takes the place of the second member.
			core.self, core.options.Self = m.To, testMember(2)
			if err := core.Step(m, testNow); err != nil {
				t.Fatal(err)
			}
		}
		if got := core.Status(); !got.Voter || got.LastIndex != 1 {
			t.Errorf("message kind %d: got %+v, want a member with the first entry", kind, got)
		}
	}
}

func TestOldMajorityNeededUntilChangeIsCommitted(t *testing.T) {
	replaced := withMember(*initialEntry(3).Configuration, Member{ID: ID{Node: "control-3", Disk: 2}})
	change := Entry{Index: 2, Term: 2, Kind: EntryConfiguration, Configuration: &replaced}
	tests := []struct {
		name string
		// from is the only member that responds to the candidate, and then to
		// the leader.
		from ID
		// commit is the commit index of the node before it campaigns. The change
		// of members is the entry at index 2.
		commit uint64
		want   bool
	}{
		{name: "old member", from: testMember(2).ID, commit: 1, want: true},
		{name: "new member", from: ID{Node: "control-3", Disk: 2}, commit: 1},
		{name: "replaced member", from: testMember(3).ID, commit: 1},
		{name: "new member after the commit", from: ID{Node: "control-3", Disk: 2}, commit: 2, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state := HardState{Term: 3, Commit: test.commit, ClusterID: 9}
			core := restoredCore(t, state, []Entry{initialEntry(3), change})
			core.campaign(RoleCandidate, testNow)
			m := Message{Kind: MessageVoteResponse, Term: 4, From: test.from, To: core.self, ClusterID: 9}
			if err := core.Step(m, testNow); err != nil {
				t.Fatal(err)
			}
			if got := core.Status().Role == RoleLeader; got != test.want {
				t.Fatalf("got elected %v by its own vote and that of %v, want %v", got, test.from, test.want)
			}
			core = restoredCore(t, state, []Entry{initialEntry(3), change})
			core.campaign(RoleCandidate, testNow)
			core.becomeLeader(testNow)
			core.Advance(core.Ready(), testNow)
			m = Message{Kind: MessageAppendResponse, Term: 4, From: test.from, To: core.self, ClusterID: 9, Index: 3}
			if err := core.Step(m, testNow); err != nil {
				t.Fatal(err)
			}
			if got := core.Status().CommitIndex == 3; got != test.want {
				t.Errorf("got commit %v by the leader and %v, want %v", got, test.from, test.want)
			}
		})
	}
}
