package quorum

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// EntryNoop is the empty entry with which each leader begins its term.
	EntryNoop EntryKind = iota
	// EntryCommand carries a command of the state machine.
	EntryCommand
	// EntryConfiguration carries the members from this entry on.
	EntryConfiguration
)

const (
	// MessageProbe asks a node for its identity, and tells the sender's.
	MessageProbe MessageKind = iota + 1
	// MessageProbeResponse answers a probe.
	MessageProbeResponse
	// MessagePreVote asks whether a vote would be granted.
	MessagePreVote
	// MessagePreVoteResponse answers MessagePreVote.
	MessagePreVoteResponse
	// MessageVote asks for a vote.
	MessageVote
	// MessageVoteResponse answers MessageVote.
	MessageVoteResponse
	// MessageAppend carries entries, or none as a heartbeat.
	MessageAppend
	// MessageAppendResponse answers MessageAppend.
	MessageAppendResponse
	// MessageSnapshot carries a part of a snapshot.
	MessageSnapshot
	// MessageSnapshotResponse tells which part is wanted next.
	MessageSnapshotResponse
	// MessageRetired tells a node that its disk was replaced for good.
	MessageRetired
)

const (
	// RoleFollower takes entries from a leader. Nodes that don't vote yet
	// are followers too.
	RoleFollower Role = iota
	// RolePreCandidate asks whether it would win an election.
	RolePreCandidate
	// RoleCandidate asks for votes.
	RoleCandidate
	// RoleLeader takes proposals.
	RoleLeader
)

type (
	// EntryKind tells what an entry carries.
	EntryKind uint8
	// MessageKind tells what a message asks or answers.
	MessageKind uint8
	// Role is what a node does in its term.
	Role uint8

	// ID identifies a member: a node together with the disk that holds its
	// votes and its log. A node that lost its disk is another member.
	ID struct {
		Node cluster.NodeName
		Disk cluster.Incarnation
	}

	// Member is a member and its address.
	Member struct {
		ID
		Address netip.AddrPort
	}

	// Configuration lists the members that vote.
	Configuration struct {
		// Members is sorted by node name; each name occurs once.
		Members []Member
		// Retired lists the disks that were replaced last, oldest first.
		// They never take part again.
		Retired []ID
	}

	// Entry is one position of the log.
	Entry struct {
		Index         uint64
		Term          uint64
		Kind          EntryKind
		Data          []byte
		Configuration *Configuration
	}

	// HardState must be durable before a message that depends on it is sent.
	HardState struct {
		Term uint64
		Vote ID
		// Commit may be older than the commit index that was reached.
		Commit uint64
		// ClusterID identifies the first configuration; zero: no cluster.
		ClusterID uint64
	}

	// Snapshot is the state after the entry Index.
	Snapshot struct {
		Index         uint64
		Term          uint64
		Configuration Configuration
		Data          []byte
	}

	// Restored is what a node found in its data folder. Entries follow the
	// snapshot without a gap.
	Restored struct {
		HardState HardState
		Snapshot  *Snapshot
		Entries   []Entry
	}

	// Message goes from one member to another.
	Message struct {
		Kind      MessageKind
		From      ID
		To        ID
		ClusterID uint64
		Term      uint64
		// Index is the last position before Entries, the last position of
		// a candidate's log, the position of a snapshot, or in an answer
		// the position that matches (or that was refused).
		Index   uint64
		LogTerm uint64
		Commit  uint64
		// Round numbers the leader's confirmations of its quorum.
		Round  uint64
		Reject bool
		// Hint and HintTerm tell where a refusing follower's log may match.
		Hint          uint64
		HintTerm      uint64
		Entries       []Entry
		Configuration *Configuration
		// Offset, Total and Chunk carry a part of a snapshot, in bytes.
		Offset uint64
		Total  uint64
		Chunk  []byte
		// MembersDigest identifies the identities that a node without a cluster has
		// heard of all listed nodes; zero: some are missing.
		MembersDigest uint64
	}

	// ReadState answers Core.Read.
	ReadState struct {
		Token uint64
		// Index must be applied before the read is answered.
		Index uint64
		// Confirmed is false if leadership was lost before a quorum
		// answered.
		Confirmed bool
	}

	// Ready is the work to do before Core.Advance, in the order of fields.
	Ready struct {
		// Snapshot, if set, replaces the state machine and the stored log.
		Snapshot *Snapshot
		// HardState and Entries are to be written and synced if Sync is
		// set. Entries replace all stored ones from the first one's index.
		HardState HardState
		Entries   []Entry
		Sync      bool
		// Messages are to be sent after the sync.
		Messages []Message
		// Committed entries are to be applied.
		Committed []Entry
		Reads     []ReadState
	}

	// Options adjust a core. Zero durations and sizes take defaults.
	Options struct {
		Self Member
		// Nodes are those that the settings list, this one too; their disks
		// are ignored.
		Nodes []Member
		// Resolve returns the address of a node that Nodes doesn't list,
		// and whether the node may join; nil: only listed nodes may.
		Resolve func(cluster.NodeName) (netip.AddrPort, bool)
		// MustJoin tells that this node never takes part in forming a
		// cluster: its disk is empty because it was lost or is new.
		MustJoin bool
		// TargetSize is the number of members above which a member that is gone
		// is removed; zero: members are never removed or replaced by
		// another node.
		TargetSize int
		// MemberTimeout is the time without an answer after which a member
		// counts as gone.
		MemberTimeout time.Duration
		// ElectionMin and ElectionMax bound the random time after which a
		// follower without a leader campaigns.
		ElectionMin time.Duration
		ElectionMax time.Duration
		Heartbeat   time.Duration
		// MaxAppendBytes bounds the commands of one message.
		MaxAppendBytes int
		// MaxChunkBytes bounds the part of a snapshot in one message.
		MaxChunkBytes int
		// KeepEntries is the number of entries kept behind a snapshot.
		KeepEntries int
		Random      *rand.Rand
	}

	// MemberStatus is a member or a node that wants to be one, as the
	// leader sees it.
	MemberStatus struct {
		Member
		Voter       bool
		MatchIndex  uint64
		LastContact time.Time
	}

	// Status is a summary of a core.
	Status struct {
		Role         Role
		Term         uint64
		Leader       ID
		CommitIndex  uint64
		AppliedIndex uint64
		LastIndex    uint64
		// Formed tells that the node belongs to a cluster.
		Formed bool
		// Voter tells that the node votes in the latest configuration.
		Voter bool
	}
)

// IsZero reports whether id names no member.
func (id ID) IsZero() bool { return id == ID{} }

// Find returns the member of a node name.
func (c Configuration) Find(node cluster.NodeName) (Member, bool) {
	for _, m := range c.Members {
		if m.Node == node {
			return m, true
		}
	}
	return Member{}, false
}

// Has reports whether id is a member.
func (c Configuration) Has(id ID) bool {
	m, ok := c.Find(id.Node)
	return ok && m.ID == id
}

// IsRetired reports whether id was replaced.
func (c Configuration) IsRetired(id ID) bool {
	for _, r := range c.Retired {
		if r == id {
			return true
		}
	}
	return false
}

// String returns the name of the role.
func (r Role) String() string {
	switch r {
	case RolePreCandidate:
		return "pre-candidate"
	case RoleCandidate:
		return "candidate"
	case RoleLeader:
		return "leader"
	default:
		return "follower"
	}
}
