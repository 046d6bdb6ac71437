package quorum

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

const (
	defaultElectionMin    = 250 * time.Millisecond
	defaultElectionMax    = 500 * time.Millisecond
	defaultHeartbeat      = 75 * time.Millisecond
	defaultMaxAppendBytes = 512 << 10
	defaultMaxChunkBytes  = 512 << 10
	defaultKeepEntries    = 1000
	// firstElectionDivisor divides the first election timeout of a node that has
	// just started.
	firstElectionDivisor = 4
	// defaultMemberTimeout is four of the longest election timeouts: a member
	// that only restarts is back sooner.
	defaultMemberTimeout = 2 * time.Second
)

var (
	// ErrNotLeader is returned on a node that isn't the leader; nothing was
	// appended.
	ErrNotLeader = eris.New("quorum: this node does not lead")
	// ErrRetired is returned once the disk of this node was replaced by
	// another one, or removed from the members. The node must stop for good.
	ErrRetired = eris.New("quorum: another disk has replaced this one: empty the data folder to join as a new member")
	// ErrConflict is returned if a leader's entries contradict committed ones.
	ErrConflict = eris.New("quorum: entries of a leader contradict committed entries: the data folder is damaged")
	// ErrOptions is returned if options are incomplete.
	ErrOptions = eris.New("quorum: incomplete options")
	// ErrRestored is returned if the stored state is inconsistent.
	ErrRestored = eris.New("quorum: the stored state is inconsistent")
)

type (
	// Core is the state of one node. It isn't safe for concurrent use.
	Core struct {
		options Options
		self    ID
		state   HardState
		log     memLog
		role    Role

		leader            ID
		lastLeaderContact time.Time
		electionDeadline  time.Time
		heartbeatDue      time.Time
		discoverDue       time.Time
		// learnerCatchUpIndex is the index up to which a learner must hold the
		// log to become a member: the leader's commit index at its last
		// heartbeat; before the first one, the last index of its log.
		learnerCatchUpIndex uint64

		votes           map[ID]bool
		progress        map[ID]*progress
		reads           readQueue
		discoveryState  discovery
		partialSnapshot incomingSnapshot
		// latestSnapshot is sent to followers that lag behind the kept
		// entries; nil: none yet.
		latestSnapshot *Snapshot

		pendingOutput output
	}

	// output collects the work for the next Ready.
	output struct {
		// hardStateDirty is true if the hard state has changed and must be
		// stored.
		hardStateDirty bool
		// firstUnsaved is the index of the first entry to store; zero: none.
		firstUnsaved uint64
		snapshot     *Snapshot
		messages     []Message
		reads        []ReadState
	}
)

// New returns the core of a node that has just started, with the state that it
// read from its data folder. Errors: ErrOptions, ErrRestored.
func New(options Options, restored Restored, now time.Time) (*Core, error) {
	if options.Self.ID.IsZero() || options.Self.Disk == 0 || options.Random == nil || len(options.Nodes) == 0 {
		return nil, eris.Wrap(ErrOptions, "the node's own ID, the listed nodes and a random generator are required")
	}
	withDefaults(&options)
	c := &Core{options: options, self: options.Self.ID, state: restored.HardState}
	if s := restored.Snapshot; s != nil {
		c.log.reset(s)
		c.latestSnapshot = s
	}
	for _, e := range restored.Entries {
		if e.Index != c.log.last()+1 {
			return nil, eris.Wrapf(ErrRestored, "entry %d follows entry %d", e.Index, c.log.last())
		}
		c.log.appendEntries(e)
	}
	c.log.stable = c.log.last()
	if c.state.Commit > c.log.last() {
		return nil, eris.Wrapf(ErrRestored, "the commit index is %d, but the log ends at %d", c.state.Commit, c.log.last())
	}
	c.log.commit = max(c.state.Commit, c.log.commit)
	c.discoveryState.init(options.Random.Uint64N(math.MaxInt64) + discoverRounds)
	c.resetElection(now)
	// A node that has just started knows no leader. An early pre-vote does no
	// harm: it changes no state, and nodes with a live leader reject it.
	c.electionDeadline = now.Add(c.electionDeadline.Sub(now) / firstElectionDivisor)
	c.discoverDue = now
	return c, nil
}

func withDefaults(o *Options) {
	o.ElectionMin = orDefault(o.ElectionMin, defaultElectionMin)
	o.ElectionMax = orDefault(o.ElectionMax, defaultElectionMax)
	o.Heartbeat = orDefault(o.Heartbeat, defaultHeartbeat)
	o.MaxAppendBytes = orDefault(o.MaxAppendBytes, defaultMaxAppendBytes)
	o.MaxChunkBytes = orDefault(o.MaxChunkBytes, defaultMaxChunkBytes)
	o.KeepEntries = orDefault(o.KeepEntries, defaultKeepEntries)
	o.MemberTimeout = orDefault(o.MemberTimeout, defaultMemberTimeout)
}

func orDefault[T ~int | ~int64](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// Status returns a summary of the core.
func (c *Core) Status() Status {
	return Status{
		Role:         c.role,
		Term:         c.state.Term,
		Leader:       c.leader,
		CommitIndex:  c.log.commit,
		AppliedIndex: c.log.applied,
		LastIndex:    c.log.last(),
		HasCluster:   c.hasCluster(),
		Voter:        c.log.newestConfig().Has(c.self),
	}
}

// Configuration returns the newest configuration.
func (c *Core) Configuration() Configuration { return c.log.newestConfig() }

// Members returns the members of the newest configuration and, on the leader,
// the learners, which are waiting to join.
func (c *Core) Members() []MemberStatus {
	var members []MemberStatus
	newest := c.log.newestConfig()
	for _, m := range newest.Members {
		status := MemberStatus{Member: m, Voter: true}
		status.MatchIndex = c.matchOf(m.ID)
		if p := c.progress[m.ID]; p != nil {
			status.LastContact = p.lastContact
		}
		members = append(members, status)
	}
	for _, id := range sortedIDs(c.progress) {
		if newest.Has(id) {
			continue
		}
		p := c.progress[id]
		members = append(members, MemberStatus{Member: p.member, MatchIndex: p.match, LastContact: p.lastContact})
	}
	return members
}

// Deadline returns the time at which Tick has work to do next.
func (c *Core) Deadline() time.Time {
	switch {
	case !c.hasCluster():
		return c.discoverDue
	case c.role == RoleLeader:
		return c.heartbeatDue
	case c.canCampaign():
		return c.electionDeadline
	default:
		return c.discoverDue
	}
}

// Tick runs the timers that are due at now.
func (c *Core) Tick(now time.Time) {
	switch {
	case !c.hasCluster():
		c.tickDiscover(now)
		c.tryBootstrap(now)
	case c.role == RoleLeader:
		c.tickLeader(now)
	case c.canCampaign():
		if !now.Before(c.electionDeadline) {
			c.campaign(RolePreCandidate, now)
		}
	default:
		c.tickDiscover(now)
	}
}

// Step handles a received message. An error is fatal: the node must stop.
func (c *Core) Step(m Message, now time.Time) error {
	if m.Kind == MessageDiscover || m.Kind == MessageDiscoverResponse {
		if m.To.Node == c.self.Node && (m.To.Disk == 0 || m.To == c.self) {
			c.stepDiscover(m, now)
		}
		return nil
	}
	if m.To != c.self || !c.acceptsCluster(m, now) {
		return nil
	}
	if m.Kind == MessageRetired {
		return ErrRetired
	}
	if m.Term > c.state.Term && !c.stepHigherTerm(m, now) {
		return nil
	}
	if m.Term < c.state.Term {
		c.rejectOldTerm(m)
		return nil
	}
	return c.stepCurrentTerm(m, now)
}

// acceptsCluster reports whether m belongs to this node's cluster. A node without
// a cluster adopts the cluster of a leader or candidate that sends a message to its
// disk: the node is a member or a learner of that cluster, and has never taken part
// in another. A candidate sends the initial configuration along if its log still
// holds it, so that it isn't only on the candidate's disk when the candidate is
// elected.
func (c *Core) acceptsCluster(m Message, now time.Time) bool {
	if c.hasCluster() || m.ClusterID == 0 {
		return m.ClusterID == c.state.ClusterID && c.hasCluster()
	}
	switch m.Kind {
	case MessagePreVote, MessageVote:
		if c.adoptInitialConfig(m, now) {
			return true
		}
	case MessageAppend, MessageSnapshot:
	default:
		return false
	}
	c.state.ClusterID = m.ClusterID
	c.pendingOutput.hardStateDirty = true
	return true
}

// stepHigherTerm handles a message of a term higher than this node's. It returns
// false if the message needs no further handling.
func (c *Core) stepHigherTerm(m Message, now time.Time) bool {
	switch m.Kind {
	case MessagePreVote:
		c.stepPreVote(m, now)
		return false
	case MessagePreVoteResponse:
		if !m.Reject {
			c.stepPreVoteResponse(m, now)
			return false
		}
	case MessageVote:
		if c.hasLiveLeader(now) {
			return false
		}
	case MessageAppend, MessageSnapshot:
		c.becomeFollower(m.Term, m.From, now)
		return true
	}
	c.becomeFollower(m.Term, ID{}, now)
	return true
}

// rejectOldTerm responds to a message of an old term with this node's current term.
func (c *Core) rejectOldTerm(m Message) {
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

func (c *Core) stepCurrentTerm(m Message, now time.Time) error {
	switch m.Kind {
	case MessagePreVote:
		c.stepPreVote(m, now)
	case MessagePreVoteResponse:
		c.stepPreVoteResponse(m, now)
	case MessageVote:
		c.stepVote(m, now)
	case MessageVoteResponse:
		c.stepVoteResponse(m, now)
	case MessageAppend:
		return c.stepAppend(m, now)
	case MessageAppendResponse:
		c.stepAppendResponse(m, now)
	case MessageSnapshot:
		c.stepSnapshot(m, now)
	case MessageSnapshotResponse:
		c.stepSnapshotResponse(m, now)
	}
	return nil
}

// Propose appends commands; index is that of the first one. Errors: ErrNotLeader.
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
	o := &c.pendingOutput
	return o.hardStateDirty || o.firstUnsaved != 0 || o.snapshot != nil || len(o.messages) > 0 ||
		len(o.reads) > 0 || c.log.applied < c.log.commit || c.hasUnsent()
}

// Ready returns the work to do. Call Advance with it before the next Ready.
func (c *Core) Ready() Ready {
	c.flushAppends()
	o := &c.pendingOutput
	ready := Ready{
		Snapshot:         o.snapshot,
		HardState:        c.hardState(),
		Messages:         o.messages,
		Reads:            o.reads,
		CommittedEntries: c.log.slice(c.log.applied+1, c.log.commit),
	}
	if o.firstUnsaved != 0 {
		ready.Entries = c.log.slice(o.firstUnsaved, c.log.last())
	}
	ready.Sync = o.hardStateDirty || len(ready.Entries) > 0 || o.snapshot != nil
	o.hardStateDirty, o.firstUnsaved, o.snapshot, o.messages, o.reads = false, 0, nil, nil, nil
	return ready
}

// Advance reports that the work of ready is done.
func (c *Core) Advance(ready Ready, now time.Time) {
	if n := len(ready.Entries); n > 0 {
		c.log.stable = max(c.log.stable, ready.Entries[n-1].Index)
	}
	if n := len(ready.CommittedEntries); n > 0 {
		c.log.applied = max(c.log.applied, ready.CommittedEntries[n-1].Index)
	}
	if c.role == RoleLeader {
		c.advanceCommit(now)
	}
}

// append adds an entry at the end of the log and marks it as unsaved.
func (c *Core) append(e Entry) {
	c.log.appendEntries(e)
	c.markUnsaved(e.Index)
}

func (c *Core) markUnsaved(index uint64) {
	if c.pendingOutput.firstUnsaved == 0 || index < c.pendingOutput.firstUnsaved {
		c.pendingOutput.firstUnsaved = index
	}
}

// send queues a message; term, cluster and sender are filled in.
func (c *Core) send(m Message) {
	m.From = c.self
	m.ClusterID = c.state.ClusterID
	if m.Term == 0 {
		m.Term = c.state.Term
	}
	c.pendingOutput.messages = append(c.pendingOutput.messages, m)
}

func (c *Core) hasCluster() bool { return c.state.ClusterID != 0 }

// isRetired reports whether the committed configuration lists id as the ID of a
// node whose disk was replaced.
func (c *Core) isRetired(id ID) bool { return c.log.committedConfig().IsRetired(id) }

// randomTimeout returns a time in [ElectionMin, ElectionMax).
func randomTimeout(r *rand.Rand, o *Options) time.Duration {
	return o.ElectionMin + time.Duration(r.Int64N(int64(o.ElectionMax-o.ElectionMin)))
}
