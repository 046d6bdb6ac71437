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
	// MessageDiscover asks a node for its ID, and carries the sender's. A
	// member of a cluster treats it as a request to join.
	MessageDiscover MessageKind = iota + 1
	// MessageDiscoverResponse responds to MessageDiscover.
	MessageDiscoverResponse
	// MessagePreVote asks whether a vote would be granted.
	MessagePreVote
	// MessagePreVoteResponse responds to MessagePreVote.
	MessagePreVoteResponse
	// MessageVote asks for a vote.
	MessageVote
	// MessageVoteResponse responds to MessageVote.
	MessageVoteResponse
	// MessageAppend carries entries, or none as a heartbeat.
	MessageAppend
	// MessageAppendResponse responds to MessageAppend.
	MessageAppendResponse
	// MessageSnapshot carries a part of a snapshot.
	MessageSnapshot
	// MessageSnapshotResponse carries the offset of the next part that the
	// follower needs.
	MessageSnapshotResponse
	// MessageRetired makes a node stop, because its disk was replaced for
	// good.
	MessageRetired
)

const (
	// RoleFollower receives entries from a leader. Nodes that don't vote
	// yet are followers too.
	RoleFollower Role = iota
	// RolePreCandidate asks whether it would win an election.
	RolePreCandidate
	// RoleCandidate asks for votes.
	RoleCandidate
	// RoleLeader appends proposals and replicates the log.
	RoleLeader
)

type (
	// EntryKind is what an entry carries.
	EntryKind uint8
	// MessageKind is what a message requests or responds to.
	MessageKind uint8
	// Role is the role of a node in its term.
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
		// RetiredIDs lists the disks that were replaced last, oldest first.
		// They never become members again.
		RetiredIDs []ID
	}

	// Entry is one entry of the log.
	Entry struct {
		Index uint64
		Term  uint64
		Kind  EntryKind
		Data  []byte
		// Configuration is set only in an EntryConfiguration.
		Configuration *Configuration
	}

	// HardState is the state of a node beside its log. It must be durable
	// before a message that depends on it is sent.
	HardState struct {
		Term uint64
		// Vote is the candidate that the node voted for in Term; zero: none.
		Vote ID
		// Commit may be older than the commit index that was reached.
		Commit uint64
		// ClusterID is the digest of the initial configuration; zero: the
		// node has no cluster.
		ClusterID uint64
	}

	// Snapshot is the state machine after the entry Index was applied.
	Snapshot struct {
		Index         uint64
		Term          uint64
		Configuration Configuration
		Data          []byte
	}

	// Restored is the state that a node read from its data folder. Entries
	// follow the snapshot without a gap.
	Restored struct {
		HardState HardState
		Snapshot  *Snapshot
		Entries   []Entry
	}

	// Message is sent from one node to another.
	Message struct {
		Kind      MessageKind
		From      ID
		To        ID
		ClusterID uint64
		Term      uint64
		// Index is the index of the entry before Entries, of the last entry
		// of a candidate's log or of a snapshot. In a response it is the
		// index up to which the logs match, or the one that was rejected.
		Index uint64
		// LogTerm is the term of the entry at Index.
		LogTerm uint64
		// Commit is the leader's commit index.
		Commit uint64
		// Round numbers the leader's rounds of quorum confirmation; in
		// discovery messages it numbers the sender's rounds of discovery.
		Round uint64
		// Reject is true if the response refuses the request.
		Reject bool
		// Hint and HintTerm are an index and its term at which the log of a
		// follower that rejects may match the leader's.
		Hint          uint64
		HintTerm      uint64
		Entries       []Entry
		Configuration *Configuration
		// Offset, Total and Chunk carry a part of a snapshot, in bytes.
		Offset uint64
		Total  uint64
		Chunk  []byte
		// MembersDigest identifies the set of IDs that a node without a
		// cluster has discovered; zero: the ID of a listed node is missing.
		MembersDigest uint64
	}

	// ReadState is the result of Core.ReadIndex.
	ReadState struct {
		// Token is the argument of Core.ReadIndex.
		Token uint64
		// Index must be applied before the read is served.
		Index uint64
		// Confirmed is false if leadership was lost before a quorum
		// responded.
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
		// CommittedEntries are to be applied to the state machine.
		CommittedEntries []Entry
		// Reads are the results of Core.ReadIndex.
		Reads []ReadState
	}

	// Options configure a core. Zero durations and sizes select defaults.
	Options struct {
		Self Member
		// Nodes are the nodes that the settings list, including this one;
		// their disks are ignored.
		Nodes []Member
		// Resolve returns the address of a node that Nodes doesn't list,
		// and whether the node may join; nil: only listed nodes may.
		Resolve func(cluster.NodeName) (netip.AddrPort, bool)
		// MustJoin is true if this node may only join a cluster that others
		// have created, because its disk is new, or empty after a loss.
		MustJoin bool
		// TargetSize is the number of members above which a member that
		// has timed out is removed; zero: members are never removed or
		// replaced by another node.
		TargetSize int
		// MemberTimeout is the time without a response after which a member
		// may be removed or replaced by another node.
		MemberTimeout time.Duration
		// ElectionMin and ElectionMax bound the random time after which a
		// follower without a leader campaigns.
		ElectionMin time.Duration
		ElectionMax time.Duration
		// Heartbeat is the interval between a leader's heartbeats.
		Heartbeat time.Duration
		// MaxAppendBytes bounds the commands of one message.
		MaxAppendBytes int
		// MaxChunkBytes bounds the part of a snapshot in one message.
		MaxChunkBytes int
		// KeepEntries is the number of entries that are kept in memory
		// although a snapshot covers them.
		KeepEntries int
		// Random is the source of election timeouts.
		Random *rand.Rand
	}

	// MemberStatus is the leader's view of a member or a learner.
	MemberStatus struct {
		Member
		// Voter is false for a learner.
		Voter bool
		// MatchIndex is the highest log index known to be durable there.
		MatchIndex uint64
		// LastContact is when the leader last received a message from it.
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
		// HasCluster reports whether the node belongs to a cluster.
		HasCluster bool
		// Voter reports whether the node votes in the newest configuration.
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

// IsRetired reports whether id is listed as replaced.
func (c Configuration) IsRetired(id ID) bool {
	for _, r := range c.RetiredIDs {
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
