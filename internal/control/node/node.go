// Package node runs the consensus protocol of one control node. It connects the
// core of the protocol, which does no I/O (quorum.Core), with the data folder
// (internal/control/wal), the other control nodes and the state machine.
//
// # Usage
//
//	n, err := node.New(node.Options{
//		Name: "control-1", Address: address, Peers: peers,
//		Folder: "/var/lib/burdockwood", StateMachine: stateMachine,
//		Client: httpClient, Logger: logger,
//	})
//	mux.Handle(controlpb.PeerPathPrefix, controlpb.NewPeerServer(n))
//	err = n.Run(ctx)
//
// While Run runs, Propose and ConfirmLeadership can be called on the leader from any
// goroutine. To follow changes of leadership:
//
//	for {
//		changed := n.Changes()
//		epoch, leads := n.IsLeader()
//		// act on it, then wait:
//		<-changed
//	}
//
// Run returns when ctx ends, or with an error after which the node must not be used
// any more: a failed write or sync, or quorum.ErrRetired.
package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/control/consensus"
	"github.com/burdockwood/burdockwood/internal/control/quorum"
	"github.com/burdockwood/burdockwood/internal/control/wal"
	"github.com/burdockwood/burdockwood/internal/model/broadcast"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	defaultSnapshotEntries = 10_000
	defaultSnapshotBytes   = 16 << 20
	// MaxCommandBytes is the maximum length of one command.
	MaxCommandBytes = 2 << 20

	// eventQueueSize is the number of events that may wait for loop.
	eventQueueSize = 1024
)

var (
	// ErrOptions is returned if options are incomplete or contradictory.
	ErrOptions = eris.New("node: incomplete options")
	// ErrTooLarge is returned if a command is longer than MaxCommandBytes;
	// nothing was proposed.
	ErrTooLarge = eris.New("node: the command is too large")
)

type (
	// Peer is a control node that the settings list.
	Peer struct {
		Name    cluster.NodeName
		Address netip.AddrPort
	}

	// Options configure a node. Zero durations and counts select defaults.
	Options struct {
		Name    cluster.NodeName
		Address netip.AddrPort
		// Peers lists all control nodes, including this one.
		Peers []Peer
		// Folder is the path of the data folder; FS, if set, replaces it.
		Folder       string
		FS           wal.FS
		StateMachine consensus.StateMachine
		Logger       logr.Logger
		// Client sends the calls to the other nodes.
		Client *http.Client
		// Now returns the current time; nil: time.Now.
		Now func() time.Time
		// Seed makes election timeouts repeatable; zero: random.
		Seed uint64

		// Resolve, MustJoin and TargetSize are those of quorum.Options. A node that
		// began to create a cluster goes on with that also if MustJoin is true.
		Resolve    func(cluster.NodeName) (netip.AddrPort, bool)
		MustJoin   bool
		TargetSize int

		// OnSync, if not nil, is called with the duration of each write and
		// sync.
		OnSync func(time.Duration)

		// ElectionMin, ElectionMax and Heartbeat are those of quorum.Options.
		ElectionMin time.Duration
		ElectionMax time.Duration
		Heartbeat   time.Duration
		// SnapshotEntries and SnapshotBytes bound the stored log: a
		// snapshot is taken when either is reached.
		SnapshotEntries uint64
		SnapshotBytes   int
	}

	// Node is one control node.
	Node struct {
		options       Options
		logger        logr.Logger
		now           func() time.Time
		folder        *wal.Folder
		walLog        *wal.Log
		consensusCore *quorum.Core
		stateMachine  consensus.StateMachine
		// senders holds the sender to each peer. runSenders runs those that
		// exist when it starts; loop adds others and passes them to
		// runSenders through addedSenders.
		senders      map[cluster.NodeName]*sender
		addedSenders chan *sender

		events           chan event
		snapshotsToWrite chan *quorum.Snapshot
		snapshotsWritten chan error
		// done is closed when Run ends.
		done      chan struct{}
		runCalled atomic.Bool

		// The fields below are used only by loop, by New before it and by
		// Run after it.
		// proposals holds the proposals in flight by log index, reads the
		// reads in flight by token.
		proposals map[uint64]*proposal
		reads     map[uint64]*read
		// nextToken is the token of the newest read.
		nextToken uint64
		// lastApplied is the index of the last applied entry.
		lastApplied uint64
		// snapshotIndex and snapshotBytes are the index and the data length of
		// the last snapshot.
		snapshotIndex uint64
		snapshotBytes int
		// snapshotInProgress is the snapshot that is being written, or nil.
		snapshotInProgress *quorum.Snapshot
		// membersRefreshDue is when the published members are next updated.
		membersRefreshDue time.Time

		// The fields below may be read by any goroutine. appliedIndex is the
		// copy of lastApplied that AppliedIndex returns.
		leadership        atomic.Pointer[leadership]
		members           atomic.Pointer[[]consensus.MemberInfo]
		leadershipChanged broadcast.Signal
		appliedIndex      atomic.Uint64
	}

	// leadership is the published state of the leadership, as Leader and
	// IsLeader return it.
	leadership struct {
		leader      consensus.LeaderInfo
		leaderKnown bool
		leads       bool
		epoch       uint64
	}
)

var _ consensus.Log = (*Node)(nil)

// New opens the data folder and restores the state machine from its snapshot. Errors:
// ErrOptions, and those of wal.OpenFolder, wal.Open, quorum.New and the state machine.
func New(options Options) (*Node, error) {
	if err := checkOptions(&options); err != nil {
		return nil, err
	}
	n := &Node{
		options:          options,
		logger:           options.Logger,
		now:              options.Now,
		stateMachine:     options.StateMachine,
		events:           make(chan event, eventQueueSize),
		snapshotsToWrite: make(chan *quorum.Snapshot, 1),
		snapshotsWritten: make(chan error, 1),
		done:             make(chan struct{}),
		proposals:        map[uint64]*proposal{},
		reads:            map[uint64]*read{},
	}
	n.leadership.Store(&leadership{})
	n.members.Store(&[]consensus.MemberInfo{})
	if err := n.open(); err != nil {
		return nil, eris.Wrap(joinClose(err, n.folder), "open the control node")
	}
	n.senders = n.newSenders()
	n.addedSenders = make(chan *sender, senderQueueSize)
	return n, nil
}

func checkOptions(o *Options) error {
	if o.Name == "" || !o.Address.IsValid() || o.StateMachine == nil || (o.Folder == "" && o.FS == nil) {
		return eris.Wrap(ErrOptions, "name, address, data folder and state machine are required")
	}
	listed := false
	for _, p := range o.Peers {
		listed = listed || p.Name == o.Name
	}
	if !listed {
		return eris.Wrapf(ErrOptions, "the list of control nodes lacks this node, %q", o.Name)
	}
	if o.Client == nil && len(o.Peers) > 1 {
		return eris.Wrap(ErrOptions, "an HTTP client is required if there are other nodes")
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = defaultSnapshotEntries
	}
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = defaultSnapshotBytes
	}
	return nil
}

// open reads the data folder and creates the core.
func (n *Node) open() error {
	fs := n.options.FS
	if fs == nil {
		folder, err := wal.OpenFolder(n.options.Folder)
		if err != nil {
			return err
		}
		n.folder, fs = folder, folder
	}
	walLog, recovered, err := wal.Open(fs, n.options.Name)
	if err != nil {
		return err
	}
	n.walLog = walLog
	if recovered.TruncatedBytes > 0 {
		n.logger.Info("truncated an incomplete write at the end of the log", "bytes", recovered.TruncatedBytes)
	}
	if s := recovered.Restored.Snapshot; s != nil {
		if err := n.restore(s); err != nil {
			return err
		}
	}
	mustJoin, err := n.mustJoin(recovered)
	if err != nil {
		return err
	}
	options := n.coreOptions(recovered.ID)
	options.MustJoin = mustJoin
	n.consensusCore, err = quorum.New(options, recovered.Restored, n.now())
	return err
}

// mustJoin reports whether this node leaves the creation of a cluster to others. A node
// that was to create one and was started again before it did goes on with that, as long as
// the same nodes are listed.
func (n *Node) mustJoin(recovered wal.Recovered) (bool, error) {
	if recovered.Restored.HardState.ClusterID != 0 {
		return n.options.MustJoin, nil
	}
	names := make([]string, 0, len(n.options.Peers))
	for _, p := range n.options.Peers {
		names = append(names, string(p.Name))
	}
	slices.Sort(names)
	list := strings.Join(names, ",")
	if !n.options.MustJoin {
		return false, n.walLog.MarkFounder(list)
	}
	founders, err := n.walLog.Founders()
	if err != nil || founders != list {
		return true, err
	}
	n.logger.Info("continues the first start", "nodes", list)
	return false, nil
}

func (n *Node) coreOptions(id quorum.ID) quorum.Options {
	o := n.options
	options := quorum.Options{
		Self:        quorum.Member{ID: id, Address: o.Address},
		ElectionMin: o.ElectionMin,
		ElectionMax: o.ElectionMax,
		Heartbeat:   o.Heartbeat,
		Resolve:     o.Resolve,
		TargetSize:  o.TargetSize,
		Random:      rand.New(rand.NewPCG(o.Seed, uint64(id.Disk))),
	}
	for _, p := range o.Peers {
		member := quorum.Member{ID: quorum.ID{Node: p.Name}, Address: p.Address}
		options.Nodes = append(options.Nodes, member)
	}
	return options
}

// Propose returns the state machine's result once the command is committed and
// applied on this node. Errors: ErrTooLarge, consensus.ErrNotLeader (not proposed),
// consensus.ErrUnknownOutcome (may be committed).
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > MaxCommandBytes {
		return nil, eris.Wrapf(ErrTooLarge, "%d bytes, at most %d", len(command), MaxCommandBytes)
	}
	p := &proposal{command: command, done: make(chan outcome, 1)}
	if err := n.enqueue(ctx, event{proposal: p}); err != nil {
		return nil, err
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
		return nil, consensus.ErrUnknownOutcome
	case <-n.done:
		return finalOutcome(p.done)
	}
}

// ConfirmLeadership returns nil once a quorum has confirmed, after the call began, that
// this node leads, and all entries committed before are applied here. Errors:
// consensus.ErrNotLeader, and ctx.Err() if no quorum confirmed in time.
func (n *Node) ConfirmLeadership(ctx context.Context) error {
	r := &read{done: make(chan outcome, 1)}
	if err := n.enqueue(ctx, event{read: r}); err != nil {
		return err
	}
	select {
	case o := <-r.done:
		return o.err
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "no quorum confirmed in time that this control node leads")
	case <-n.done:
		return consensus.ErrNotLeader
	}
}

// Resign gives up leadership if this node leads, so that another can be elected.
func (n *Node) Resign(ctx context.Context) error {
	return n.enqueue(ctx, event{resign: true})
}

// enqueue passes an event to Run. Errors: consensus.ErrNotLeader if it wasn't passed.
func (n *Node) enqueue(ctx context.Context, e event) error {
	select {
	case n.events <- e:
		return nil
	case <-n.done:
		return consensus.ErrNotLeader
	case <-ctx.Done():
		return eris.Wrap(consensus.ErrNotLeader, ctx.Err().Error())
	}
}

// finalOutcome returns the outcome of a command that was in flight when Run ended.
func finalOutcome(done <-chan outcome) ([]byte, error) {
	select {
	case o := <-done:
		return o.result, o.err
	default:
		return nil, consensus.ErrUnknownOutcome
	}
}

// Leader returns the leader; false if this node knows of none.
func (n *Node) Leader() (consensus.LeaderInfo, bool) {
	v := n.leadership.Load()
	return v.leader, v.leaderKnown
}

// IsLeader reports whether this node is in the role of leader, and its epoch. Another
// node may have been elected since; only ConfirmLeadership excludes that.
func (n *Node) IsLeader() (epoch uint64, leads bool) {
	v := n.leadership.Load()
	return v.epoch, v.leads
}

// Members returns the members in this node's newest configuration; on the leader also
// the learners, which are waiting to join.
func (n *Node) Members() []consensus.MemberInfo { return *n.members.Load() }

// AppliedIndex returns the index of the last applied entry.
func (n *Node) AppliedIndex() uint64 { return n.appliedIndex.Load() }

// Changes returns a channel that is closed at the next change of the leader or of this
// node's leadership.
func (n *Node) Changes() <-chan struct{} { return n.leadershipChanged.Next() }
