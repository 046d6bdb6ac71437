package quorum

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

const (
	defaultElectionMin = 250 * time.Millisecond
	defaultElectionMax = 500 * time.Millisecond
	defaultHeartbeat   = 75 * time.Millisecond
	defaultAppendBytes = 512 << 10
	defaultChunkBytes  = 512 << 10
	defaultKeepEntries = 1000
	// firstElection divides the first election timeout after a start.
	firstElection = 4
	// defaultGoneAfter is four of the longest election timeouts: a member
	// that only restarts is back sooner.
	defaultGoneAfter = 2 * time.Second
)

var (
	// ErrNotLeader tells that this node doesn't lead; nothing was appended.
	ErrNotLeader = eris.New("quorum: this node does not lead")
	// ErrRetired tells that the disk of this node was replaced by another
	// one of the same name. The node must stop for good.
	ErrRetired = eris.New("quorum: another disk has replaced this one: empty the data folder to join as a new member")
	// ErrConflict tells that a leader's entries contradict committed ones.
	ErrConflict = eris.New("quorum: entries of a leader contradict committed entries: the data folder is damaged")
	// ErrOptions tells that options are incomplete.
	ErrOptions = eris.New("quorum: incomplete options")
	// ErrRestored tells that the stored state is inconsistent.
	ErrRestored = eris.New("quorum: the stored state is inconsistent")
)

type (
	// Core is the state of one node. It isn't safe for concurrent use.
	Core struct {
		options Options
		self    ID
		state   HardState
		log     journal
		role    Role

		leader           ID
		leaderHeard      time.Time
		electionDeadline time.Time
		heartbeatDue     time.Time
		probeDue         time.Time
		// beatCommit is the leader's commit index at the last heartbeat.
		beatCommit uint64

		votes    map[ID]bool
		progress map[ID]*progress
		reads    readQueue
		forming  formation
		incoming incomingSnapshot
		// latest is the snapshot that slow followers get; nil: none yet.
		latest *Snapshot

		out output
	}

	// output collects the work for the next Ready.
	output struct {
		hardStateDirty bool
		// unsaved is the first position to store; zero: none.
		unsaved  uint64
		snapshot *Snapshot
		messages []Message
		reads    []ReadState
	}
)

// New returns the core of a node that has just started with what it found in
// its data folder.
func New(options Options, restored Restored, now time.Time) (*Core, error) {
	if options.Self.ID.IsZero() || options.Self.Disk == 0 || options.Random == nil || len(options.Nodes) == 0 {
		return nil, eris.Wrap(ErrOptions, "need the own identity, the listed nodes and a random generator")
	}
	withDefaults(&options)
	c := &Core{options: options, self: options.Self.ID, state: restored.HardState}
	if s := restored.Snapshot; s != nil {
		c.log.reset(s)
		c.latest = s
	}
	for _, e := range restored.Entries {
		if e.Index != c.log.last()+1 {
			return nil, eris.Wrapf(ErrRestored, "entry %d follows entry %d", e.Index, c.log.last())
		}
		c.log.push(e)
	}
	c.log.stable = c.log.last()
	if c.state.Commit > c.log.last() {
		return nil, eris.Wrapf(ErrRestored, "committed up to %d, but the log ends at %d", c.state.Commit, c.log.last())
	}
	c.log.commit = max(c.state.Commit, c.log.commit)
	c.forming.init(options.Random.Uint64N(math.MaxInt64) + probeRounds)
	c.resetElection(now)
	// After a start nothing is known of a leader. Asking early costs nothing:
	// a pre-vote changes no state, and those that hear a leader refuse.
	c.electionDeadline = now.Add(c.electionDeadline.Sub(now) / firstElection)
	c.probeDue = now
	return c, nil
}

func withDefaults(o *Options) {
	o.ElectionMin = orDefault(o.ElectionMin, defaultElectionMin)
	o.ElectionMax = orDefault(o.ElectionMax, defaultElectionMax)
	o.Heartbeat = orDefault(o.Heartbeat, defaultHeartbeat)
	o.MaxAppendBytes = orDefault(o.MaxAppendBytes, defaultAppendBytes)
	o.MaxChunkBytes = orDefault(o.MaxChunkBytes, defaultChunkBytes)
	o.KeepEntries = orDefault(o.KeepEntries, defaultKeepEntries)
	o.MemberTimeout = orDefault(o.MemberTimeout, defaultGoneAfter)
}

func orDefault[T ~int | ~int64](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// Status returns a summary.
func (c *Core) Status() Status {
	return Status{
		Role:         c.role,
		Term:         c.state.Term,
		Leader:       c.leader,
		CommitIndex:  c.log.commit,
		AppliedIndex: c.log.applied,
		LastIndex:    c.log.last(),
		Formed:       c.formed(),
		Voter:        c.log.newest().Has(c.self),
	}
}

// Configuration returns the newest configuration.
func (c *Core) Configuration() Configuration { return c.log.newest() }

// Members returns the members of the newest configuration and, on the leader,
// the nodes that want to join.
func (c *Core) Members() []MemberStatus {
	var members []MemberStatus
	newest := c.log.newest()
	for _, m := range newest.Members {
		status := MemberStatus{Member: m, Voter: true}
		status.MatchIndex = c.matchOf(m.ID)
		if p := c.progress[m.ID]; p != nil {
			status.LastContact = p.heard
		}
		members = append(members, status)
	}
	for _, id := range sortedIDs(c.progress) {
		if newest.Has(id) {
			continue
		}
		p := c.progress[id]
		members = append(members, MemberStatus{Member: p.member, MatchIndex: p.match, LastContact: p.heard})
	}
	return members
}

// Deadline returns the time of the next Tick that does something.
func (c *Core) Deadline() time.Time {
	switch {
	case !c.formed():
		return c.probeDue
	case c.role == RoleLeader:
		return c.heartbeatDue
	case c.canCampaign():
		return c.electionDeadline
	default:
		return c.probeDue
	}
}

// Tick does what is due at now.
func (c *Core) Tick(now time.Time) {
	switch {
	case !c.formed():
		c.tickProbe(now)
		c.tryForm(now)
	case c.role == RoleLeader:
		c.tickLeader(now)
	case c.canCampaign():
		if !now.Before(c.electionDeadline) {
			c.campaign(RolePreCandidate, now)
		}
	default:
		c.tickProbe(now)
	}
}

// Step takes a message. An error is fatal: the node must stop.
func (c *Core) Step(m Message, now time.Time) error {
	if m.Kind == MessageProbe || m.Kind == MessageProbeResponse {
		if m.To.Node == c.self.Node && (m.To.Disk == 0 || m.To == c.self) {
			c.stepProbe(m, now)
		}
		return nil
	}
	if m.To != c.self || !c.sameCluster(m, now) {
		return nil
	}
	if m.Kind == MessageRetired {
		return ErrRetired
	}
	if m.Term > c.state.Term && !c.takeTerm(m, now) {
		return nil
	}
	if m.Term < c.state.Term {
		c.answerOldTerm(m)
		return nil
	}
	return c.stepCurrent(m, now)
}

// sameCluster reports whether m belongs to this node's cluster. A node without
// one takes the cluster of a leader or candidate that knows its disk: it is a
// member there, or a learner, and has never taken part in another. As long as
// candidates have the first configuration they bring it along, so that it isn't
// only on the candidate's disk when it is elected.
func (c *Core) sameCluster(m Message, now time.Time) bool {
	if c.formed() || m.ClusterID == 0 {
		return m.ClusterID == c.state.ClusterID && c.formed()
	}
	switch m.Kind {
	case MessagePreVote, MessageVote:
		if c.adoptGenesis(m, now) {
			return true
		}
	case MessageAppend, MessageSnapshot:
	default:
		return false
	}
	c.state.ClusterID = m.ClusterID
	c.out.hardStateDirty = true
	return true
}

// takeTerm handles a term higher than the own; false: the message is done.
func (c *Core) takeTerm(m Message, now time.Time) bool {
	switch m.Kind {
	case MessagePreVote:
		c.stepPreVote(m, now)
		return false
	case MessagePreVoteResponse:
		if !m.Reject {
			c.stepPreVoteAnswer(m, now)
			return false
		}
	case MessageVote:
		if c.hearsLeader(now) {
			return false
		}
	case MessageAppend, MessageSnapshot:
		c.becomeFollower(m.Term, m.From, now)
		return true
	}
	c.becomeFollower(m.Term, ID{}, now)
	return true
}

// answerOldTerm tells a sender with an old term the own one.
func (c *Core) answerOldTerm(m Message) {
	switch m.Kind {
	case MessagePreVote:
		if c.isRetired(m.From) {
			c.send(Message{Kind: MessageRetired, To: m.From})
			return
		}
		c.send(Message{Kind: MessagePreVoteResponse, To: m.From, Reject: true})
	case MessageAppend, MessageSnapshot:
		c.send(Message{Kind: MessageAppendResponse, To: m.From, Index: m.Index, Reject: true})
	}
}

func (c *Core) stepCurrent(m Message, now time.Time) error {
	switch m.Kind {
	case MessagePreVote:
		c.stepPreVote(m, now)
	case MessagePreVoteResponse:
		c.stepPreVoteAnswer(m, now)
	case MessageVote:
		c.stepVote(m, now)
	case MessageVoteResponse:
		c.stepVoteAnswer(m, now)
	case MessageAppend:
		return c.stepAppend(m, now)
	case MessageAppendResponse:
		c.stepAppendAnswer(m, now)
	case MessageSnapshot:
		c.stepSnapshot(m, now)
	case MessageSnapshotResponse:
		c.stepSnapshotAnswer(m, now)
	}
	return nil
}

// Propose appends commands, of which the first gets the returned position.
func (c *Core) Propose(commands [][]byte) (index, term uint64, err error) {
	if c.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	first := c.log.last() + 1
	for i, data := range commands {
		c.append(Entry{Index: first + uint64(i), Term: c.state.Term, Kind: EntryCommand, Data: data})
	}
	return first, c.state.Term, nil
}

func (c *Core) hardState() HardState {
	state := c.state
	state.Commit = c.log.commit
	return state
}

// HasReady reports whether Ready returns work.
func (c *Core) HasReady() bool {
	o := &c.out
	return o.hardStateDirty || o.unsaved != 0 || o.snapshot != nil || len(o.messages) > 0 ||
		len(o.reads) > 0 || c.log.applied < c.log.commit || c.hasUnsent()
}

// Ready returns the work to do. Call Advance with it before the next Ready.
func (c *Core) Ready() Ready {
	c.flushAppends()
	o := &c.out
	ready := Ready{
		Snapshot:  o.snapshot,
		HardState: c.hardState(),
		Messages:  o.messages,
		Reads:     o.reads,
		Committed: c.log.slice(c.log.applied+1, c.log.commit),
	}
	if o.unsaved != 0 {
		ready.Entries = c.log.slice(o.unsaved, c.log.last())
	}
	ready.Sync = o.hardStateDirty || len(ready.Entries) > 0 || o.snapshot != nil
	o.hardStateDirty, o.unsaved, o.snapshot, o.messages, o.reads = false, 0, nil, nil, nil
	return ready
}

// Advance tells that the work of ready is done.
func (c *Core) Advance(ready Ready, now time.Time) {
	if n := len(ready.Entries); n > 0 {
		c.log.stable = max(c.log.stable, ready.Entries[n-1].Index)
	}
	if n := len(ready.Committed); n > 0 {
		c.log.applied = max(c.log.applied, ready.Committed[n-1].Index)
	}
	if c.role == RoleLeader {
		c.advanceCommit(now)
	}
}

// append adds an entry of the leader.
func (c *Core) append(e Entry) {
	c.log.push(e)
	c.markUnsaved(e.Index)
}

func (c *Core) markUnsaved(index uint64) {
	if c.out.unsaved == 0 || index < c.out.unsaved {
		c.out.unsaved = index
	}
}

// send queues a message; term, cluster and sender are filled in.
func (c *Core) send(m Message) {
	m.From = c.self
	m.ClusterID = c.state.ClusterID
	if m.Term == 0 {
		m.Term = c.state.Term
	}
	c.out.messages = append(c.out.messages, m)
}

func (c *Core) formed() bool { return c.state.ClusterID != 0 }

func (c *Core) isRetired(id ID) bool { return c.log.committedConfig().IsRetired(id) }

// randomTimeout returns a time in [ElectionMin, ElectionMax).
func randomTimeout(r *rand.Rand, o *Options) time.Duration {
	return o.ElectionMin + time.Duration(r.Int64N(int64(o.ElectionMax-o.ElectionMin)))
}
