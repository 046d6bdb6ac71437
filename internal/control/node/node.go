// Package node runs the agreement protocol of one control node: it joins the
// pure core (internal/control/quorum) with the data folder
// (internal/control/wal), the other control nodes and the state machine.
//
// # Usage
//
//	n, err := node.New(node.Options{
//		Name: "control-1", Address: address, Peers: peers,
//		Folder: "/var/lib/burdockwood", Machine: machine,
//		Client: httpClient, Logger: logger,
//	})
//	mux.Handle(controlpb.PeerPathPrefix, controlpb.NewPeerServer(n))
//	err = n.Run(ctx)
//
// While Run runs, Propose and Confirm serve the leader's users from any
// goroutine. To follow changes of leadership:
//
//	for {
//		changed := n.Changes()
//		epoch, leads := n.IsLeader()
//		// act on it, then wait:
//		<-changed
//	}
//
// Run returns when ctx ends, or with an error that must end the process: a
// failed write or sync, or quorum.ErrRetired.
package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
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
	// MaxCommandBytes bounds one command.
	MaxCommandBytes = 2 << 20

	eventQueue = 1024
)

var (
	// ErrOptions tells that options are incomplete or contradictory.
	ErrOptions = eris.New("node: incomplete options")
	// ErrTooLarge tells that a command is larger than MaxCommandBytes;
	// nothing was proposed.
	ErrTooLarge = eris.New("node: the command is too large")
)

type (
	// Peer is a control node as the settings name it.
	Peer struct {
		Name    cluster.NodeName
		Address netip.AddrPort
	}

	// Options are what a node needs. Zero durations and counts take
	// defaults.
	Options struct {
		Name    cluster.NodeName
		Address netip.AddrPort
		// Peers lists all control nodes, this one too.
		Peers []Peer
		// Folder is the path of the data folder; FS, if set, replaces it.
		Folder       string
		FS           wal.FS
		StateMachine consensus.StateMachine
		Logger       logr.Logger
		// Client calls the other nodes.
		Client *http.Client
		// Now is the clock; nil: the system's.
		Now func() time.Time
		// Seed makes election timeouts repeatable; zero: random.
		Seed uint64

		// Resolve, MustJoin and Size are those of quorum.Options.
		Resolve    func(cluster.NodeName) (netip.AddrPort, bool)
		MustJoin   bool
		TargetSize int

		// OnSync, if set, gets the time of each write and sync.
		OnSync func(time.Duration)

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
		options Options
		logger  logr.Logger
		now     func() time.Time
		folder  *wal.Folder
		log     *wal.Log
		core    *quorum.Core
		machine consensus.StateMachine
		// senders belongs to Run's goroutine; hired hands new ones to the
		// group that runs them.
		senders map[cluster.NodeName]*sender
		hired   chan *sender

		events  chan event
		toWrite chan *quorum.Snapshot
		written chan error
		done    chan struct{}
		ended   atomic.Bool

		// The fields below belong to Run's goroutine.
		proposals     map[uint64]*proposal
		reads         map[uint64]*read
		nextToken     uint64
		applied       uint64
		snapshotIndex uint64
		snapshotBytes int
		// writing is the snapshot that is being written, or nil.
		writing    *quorum.Snapshot
		membersDue time.Time

		view    atomic.Pointer[view]
		members atomic.Pointer[[]consensus.MemberInfo]
		changed broadcast.Signal
		index   atomic.Uint64
	}

	// view is what users of the node see of its leadership.
	view struct {
		leader consensus.LeaderInfo
		known  bool
		leads  bool
		epoch  uint64
	}
)

var _ consensus.Log = (*Node)(nil)

// New opens the data folder and restores the machine from its snapshot.
func New(options Options) (*Node, error) {
	if err := check(&options); err != nil {
		return nil, err
	}
	n := &Node{
		options:   options,
		logger:    options.Logger,
		now:       options.Now,
		machine:   options.StateMachine,
		events:    make(chan event, eventQueue),
		toWrite:   make(chan *quorum.Snapshot, 1),
		written:   make(chan error, 1),
		done:      make(chan struct{}),
		proposals: map[uint64]*proposal{},
		reads:     map[uint64]*read{},
	}
	n.view.Store(&view{})
	n.members.Store(&[]consensus.MemberInfo{})
	if err := n.open(); err != nil {
		return nil, eris.Wrap(joinClose(err, n.folder), "open the control node")
	}
	n.senders = n.newSenders()
	n.hired = make(chan *sender, senderQueue)
	return n, nil
}

func check(o *Options) error {
	if o.Name == "" || !o.Address.IsValid() || o.StateMachine == nil || (o.Folder == "" && o.FS == nil) {
		return eris.Wrap(ErrOptions, "name, address, folder and machine are needed")
	}
	listed := false
	for _, p := range o.Peers {
		listed = listed || p.Name == o.Name
	}
	if !listed {
		return eris.Wrapf(ErrOptions, "the list of control nodes lacks this node, %q", o.Name)
	}
	if o.Client == nil && len(o.Peers) > 1 {
		return eris.Wrap(ErrOptions, "an HTTP client is needed")
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

// open reads the data folder and makes the core.
func (n *Node) open() error {
	fs := n.options.FS
	if fs == nil {
		folder, err := wal.OpenFolder(n.options.Folder)
		if err != nil {
			return err
		}
		n.folder, fs = folder, folder
	}
	log, opened, err := wal.Open(fs, n.options.Name)
	if err != nil {
		return err
	}
	n.log = log
	if opened.TruncatedBytes > 0 {
		n.logger.Info("cut an incomplete write off the log", "bytes", opened.TruncatedBytes)
	}
	if s := opened.Restored.Snapshot; s != nil {
		if err := n.restore(s); err != nil {
			return err
		}
	}
	n.core, err = quorum.New(n.coreOptions(opened.ID), opened.Restored, n.now())
	return err
}

func (n *Node) coreOptions(id quorum.ID) quorum.Options {
	o := n.options
	options := quorum.Options{
		Self:        quorum.Member{ID: id, Address: o.Address},
		ElectionMin: o.ElectionMin,
		ElectionMax: o.ElectionMax,
		Heartbeat:   o.Heartbeat,
		Resolve:     o.Resolve,
		MustJoin:    o.MustJoin,
		TargetSize:  o.TargetSize,
		Random:      rand.New(rand.NewPCG(o.Seed, uint64(id.Disk))),
	}
	for _, p := range o.Peers {
		member := quorum.Member{ID: quorum.ID{Node: p.Name}, Address: p.Address}
		options.Nodes = append(options.Nodes, member)
	}
	return options
}

// Propose returns the machine's result once the command is committed and
// applied here.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > MaxCommandBytes {
		return nil, eris.Wrapf(ErrTooLarge, "%d bytes, at most %d", len(command), MaxCommandBytes)
	}
	p := &proposal{command: command, answer: make(chan outcome, 1)}
	if err := n.enqueue(ctx, event{proposal: p}); err != nil {
		return nil, err
	}
	select {
	case o := <-p.answer:
		return o.result, o.err
	case <-ctx.Done():
		return nil, consensus.ErrUnknownOutcome
	case <-n.done:
		return lateAnswer(p.answer)
	}
}

// ConfirmLeadership returns nil once a quorum has confirmed, after the call began, that
// this node leads, and all that was committed before is applied here.
func (n *Node) ConfirmLeadership(ctx context.Context) error {
	r := &read{answer: make(chan outcome, 1)}
	if err := n.enqueue(ctx, event{read: r}); err != nil {
		return err
	}
	select {
	case o := <-r.answer:
		return o.err
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "no quorum confirmed in time that this control node leads")
	case <-n.done:
		return consensus.ErrNotLeader
	}
}

// Resign gives up leadership if this node leads, so that another takes it.
func (n *Node) Resign(ctx context.Context) error {
	return n.enqueue(ctx, event{resign: true})
}

// enqueue hands an event to Run; an error tells that it wasn't handed over.
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

// lateAnswer returns the answer of a command that was under way when Run
// ended.
func lateAnswer(answer <-chan outcome) ([]byte, error) {
	select {
	case o := <-answer:
		return o.result, o.err
	default:
		return nil, consensus.ErrUnknownOutcome
	}
}

// Leader returns the leader this node knows, and whether it knows one.
func (n *Node) Leader() (consensus.LeaderInfo, bool) {
	v := n.view.Load()
	return v.leader, v.known
}

// IsLeader reports whether this node believes that it leads, and its epoch.
// Only Confirm tells that it is so.
func (n *Node) IsLeader() (epoch uint64, leads bool) {
	v := n.view.Load()
	return v.epoch, v.leads
}

// Members returns the members as this node sees them; on the leader also
// nodes that want to join.
func (n *Node) Members() []consensus.MemberInfo { return *n.members.Load() }

// AppliedIndex returns the index of the last applied entry.
func (n *Node) AppliedIndex() uint64 { return n.index.Load() }

// Changes returns a channel that is closed at the next change of the leader or
// of this node's leadership.
func (n *Node) Changes() <-chan struct{} { return n.changed.Next() }
