package node_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/control/consensus"
	"github.com/burdockwood/burdockwood/internal/control/node"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
)

const (
	testKey = "key-of-the-test"
	// patience bounds waits for what must happen at last; no test depends
	// on how long it takes.
	patience = 30 * time.Second
)

type (
	// listMachine keeps every command that was applied.
	listMachine struct {
		mu       sync.Mutex
		commands []string
	}

	// countMachine counts the commands and has a state of fixed size.
	countMachine struct {
		state [4 << 20]byte
		count uint64
	}

	// process is one run of a control node.
	process struct {
		node    *node.Node
		machine *listMachine
		cancel  context.CancelFunc
		group   *errgroup.Group
		traffic *transport.Traffic
	}

	// nodes are the control nodes of a test.
	nodes struct {
		t       testing.TB
		folder  string
		peers   []node.Peer
		adjust  func(*node.Options)
		running map[cluster.NodeName]*process
		cut     atomic.Pointer[cluster.NodeName]
		// reserved are the listeners of nodes that haven't run yet.
		reserved map[cluster.NodeName]net.Listener
	}

	// link is the way from one node to the others; it is cut while the node
	// at either end is.
	link struct {
		nodes *nodes
		from  cluster.NodeName
		next  http.RoundTripper
	}
)

func (l *link) RoundTrip(request *http.Request) (*http.Response, error) {
	cut := l.nodes.cut.Load()
	if cut != nil && (*cut == l.from || l.nodes.address(*cut).String() == request.URL.Host) {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	return l.next.RoundTrip(request)
}

func (m *listMachine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = append(m.commands, string(command))
	return []byte(strconv.Itoa(len(m.commands)))
}

func (m *listMachine) Snapshot() ([]byte, error) { return json.Marshal(m.list()) }

func (m *listMachine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = nil
	return json.Unmarshal(snapshot, &m.commands)
}

func (m *listMachine) list() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.commands)
}

func (m *countMachine) Apply(uint64, []byte) []byte {
	m.count++
	return nil
}

func (m *countMachine) Snapshot() ([]byte, error) { return slices.Clone(m.state[:]), nil }

func (m *countMachine) Restore([]byte) error { return nil }

// newNodes prepares count nodes on free ports of the loopback address.
func newNodes(t testing.TB, count int, adjust func(*node.Options)) *nodes {
	t.Helper()
	s := &nodes{t: t, folder: t.TempDir(), adjust: adjust, running: map[cluster.NodeName]*process{}, reserved: map[cluster.NodeName]net.Listener{}}
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := netip.MustParseAddrPort(listener.Addr().String())
		name := cluster.NodeName("control-" + strconv.Itoa(i+1))
		s.peers = append(s.peers, node.Peer{Name: name, Address: address})
		s.reserved[name] = listener
	}
	t.Cleanup(s.release)
	t.Cleanup(s.stopAll)
	return s
}

func (s *nodes) stopAll() {
	for _, p := range s.peers {
		if s.running[p.Name] != nil {
			s.stop(p.Name)
		}
	}
}

// release closes the listeners of nodes that never ran.
func (s *nodes) release() {
	for _, listener := range s.reserved {
		if err := listener.Close(); err != nil {
			s.t.Error(err)
		}
	}
}

func (s *nodes) startAll() {
	s.t.Helper()
	for _, p := range s.peers {
		s.start(p.Name)
	}
}

// start runs a node on its folder.
func (s *nodes) start(name cluster.NodeName) *process {
	s.t.Helper()
	at := s.place(name)
	p := &process{machine: &listMachine{}, traffic: &transport.Traffic{}}
	options := node.Options{
		Name: name, Address: s.peers[at].Address, Peers: s.peers, Folder: s.path(name),
		StateMachine: p.machine, Logger: logr.Discard(), Seed: uint64(at + 1),
		Client: transport.NewClient(testKey, transport.Options{Traffic: p.traffic}),
	}
	options.Client.Transport = &link{nodes: s, from: name, next: options.Client.Transport}
	if s.adjust != nil {
		s.adjust(&options)
	}
	var err error
	if p.node, err = node.New(options); err != nil {
		s.t.Fatal(err)
	}
	listener := s.listen(name)
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(context.Background())
	p.group, ctx = errgroup.WithContext(ctx)
	mux := http.NewServeMux()
	mux.Handle(controlpb.PeerPathPrefix, controlpb.NewPeerServer(p.node))
	p.group.Go(func() error { return transport.Serve(ctx, listener, transport.Guard(testKey, mux)) })
	p.group.Go(func() error { return p.node.Run(ctx) })
	s.running[name] = p
	return p
}

// listen returns the listener of a node. While a node is down, a connection of
// another process may have its port for a short time.
func (s *nodes) listen(name cluster.NodeName) net.Listener {
	s.t.Helper()
	listener := s.reserved[name]
	delete(s.reserved, name)
	s.until("port of "+string(name), func() bool {
		if listener == nil {
			listener, _ = net.Listen("tcp", s.address(name).String())
		}
		return listener != nil
	})
	return listener
}

func (s *nodes) place(name cluster.NodeName) int {
	return slices.IndexFunc(s.peers, func(p node.Peer) bool { return p.Name == name })
}

func (s *nodes) address(name cluster.NodeName) netip.AddrPort { return s.peers[s.place(name)].Address }

// stop ends a node; its folder stays.
func (s *nodes) stop(name cluster.NodeName) {
	s.t.Helper()
	p := s.running[name]
	delete(s.running, name)
	p.cancel()
	if err := p.group.Wait(); err != nil {
		s.t.Errorf("node %s: got error %v", name, err)
	}
}

func (s *nodes) path(name cluster.NodeName) string { return filepath.Join(s.folder, string(name)) }

// loseDisk removes the folder of a stopped node.
func (s *nodes) loseDisk(name cluster.NodeName) {
	s.t.Helper()
	if err := os.RemoveAll(s.path(name)); err != nil {
		s.t.Fatal(err)
	}
}

// until waits for a condition that must come true.
func (s *nodes) until(what string, condition func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(patience); !condition(); {
		if time.Now().After(deadline) {
			s.t.Fatalf("got no %s after %v", what, patience)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// leader waits for a node that leads with a quorum's confirmation.
func (s *nodes) leader() (name cluster.NodeName) {
	s.t.Helper()
	s.until("leader", func() bool {
		for candidate, p := range s.running {
			if _, leads := p.node.IsLeader(); leads && s.confirm(p) == nil {
				name = candidate
				return true
			}
		}
		return false
	})
	return name
}

func (s *nodes) confirm(p *process) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return p.node.ConfirmLeadership(ctx)
}

// propose has a command committed, whichever node leads, and returns how often
// its outcome was unknown.
func (s *nodes) propose(command string) (unknown int) {
	s.t.Helper()
	s.until("commit of "+command, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := s.running[s.leader()].node.Propose(ctx, []byte(command))
		if errors.Is(err, consensus.ErrUnknownOutcome) {
			unknown++
		}
		return err == nil
	})
	return unknown
}

// voters returns the number of voting members that the leader sees up to date.
func (s *nodes) voters() int {
	leader := s.running[s.leader()].node
	count := 0
	for _, m := range leader.Members() {
		if m.Voter && m.MatchIndex >= leader.AppliedIndex() {
			count++
		}
	}
	return count
}

// neverLeader checks that no node confirms that it leads in a number of tries
// of each.
func (s *nodes) neverLeader(tries int) {
	s.t.Helper()
	for range tries {
		for name, p := range s.running {
			if err := s.confirm(p); err == nil {
				s.t.Fatalf("got a confirmed leader %s, want none", name)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// newLimited returns a group of at most limit goroutines.
func newLimited(limit int) *errgroup.Group {
	group := &errgroup.Group{}
	group.SetLimit(limit)
	return group
}
