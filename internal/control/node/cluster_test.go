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
	// waitTimeout bounds waits for conditions that must come true; no test
	// depends on how long they take.
	waitTimeout = 30 * time.Second
)

type (
	// recordingMachine is a state machine that records every applied command.
	recordingMachine struct {
		mu       sync.Mutex
		commands []string
	}

	// fixedSizeMachine is a state machine that counts the commands and whose
	// state has a fixed size.
	fixedSizeMachine struct {
		state [4 << 20]byte
		count uint64
	}

	// process is one run of a control node, from its start until it is stopped.
	process struct {
		node    *node.Node
		machine *recordingMachine
		cancel  context.CancelFunc
		group   *errgroup.Group
		traffic *transport.ByteCounter
	}

	// testCluster holds the control nodes of a test.
	testCluster struct {
		t         testing.TB
		folder    string
		peers     []node.Peer
		configure func(*node.Options)
		running   map[cluster.NodeName]*process
		// partitioned is the node that is cut off from the others, or nil.
		partitioned atomic.Pointer[cluster.NodeName]
		// unknown counts the proposals whose outcome was unknown, and which propose
		// then repeated.
		unknown int
		// reserved holds the listeners of nodes that haven't run yet.
		reserved map[cluster.NodeName]net.Listener
	}

	// partitionTransport sends the calls of one node to the others. A call
	// blocks until its context ends while its sender or receiver is partitioned.
	partitionTransport struct {
		testCluster *testCluster
		sender      cluster.NodeName
		next        http.RoundTripper
	}
)

func (t *partitionTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	partitioned := t.testCluster.partitioned.Load()
	if partitioned != nil && (*partitioned == t.sender || t.testCluster.address(*partitioned).String() == request.URL.Host) {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	return t.next.RoundTrip(request)
}

func (m *recordingMachine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = append(m.commands, string(command))
	return []byte(strconv.Itoa(len(m.commands)))
}

func (m *recordingMachine) Snapshot() ([]byte, error) { return json.Marshal(m.list()) }

func (m *recordingMachine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = nil
	return json.Unmarshal(snapshot, &m.commands)
}

func (m *recordingMachine) list() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.commands)
}

func (m *fixedSizeMachine) Apply(uint64, []byte) []byte {
	m.count++
	return nil
}

func (m *fixedSizeMachine) Snapshot() ([]byte, error) { return slices.Clone(m.state[:]), nil }

func (m *fixedSizeMachine) Restore([]byte) error { return nil }

// newTestCluster prepares count nodes on free ports of the loopback address.
func newTestCluster(t testing.TB, count int, adjust func(*node.Options)) *testCluster {
	t.Helper()
	s := &testCluster{t: t, folder: t.TempDir(), configure: adjust, running: map[cluster.NodeName]*process{}, reserved: map[cluster.NodeName]net.Listener{}}
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
	t.Cleanup(s.closeReserved)
	t.Cleanup(s.stopAll)
	return s
}

func (s *testCluster) stopAll() {
	for _, p := range s.peers {
		if s.running[p.Name] != nil {
			s.stop(p.Name)
		}
	}
}

// closeReserved closes the listeners of nodes that never ran.
func (s *testCluster) closeReserved() {
	for _, listener := range s.reserved {
		if err := listener.Close(); err != nil {
			s.t.Error(err)
		}
	}
}

func (s *testCluster) startAll() {
	s.t.Helper()
	for _, p := range s.peers {
		s.start(p.Name)
	}
}

// start runs a node on its data folder.
func (s *testCluster) start(name cluster.NodeName) *process {
	s.t.Helper()
	at := s.peerIndex(name)
	p := &process{machine: &recordingMachine{}, traffic: &transport.ByteCounter{}}
	options := node.Options{
		Name: name, Address: s.peers[at].Address, Peers: s.peers, Folder: s.path(name),
		StateMachine: p.machine, Logger: logr.Discard(), Seed: uint64(at + 1),
		Client: transport.NewClient(testKey, transport.Options{ByteCounter: p.traffic}),
	}
	options.Client.Transport = &partitionTransport{testCluster: s, sender: name, next: options.Client.Transport}
	if s.configure != nil {
		s.configure(&options)
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
	p.group.Go(func() error { return transport.Serve(ctx, listener, transport.RequireKey(testKey, mux)) })
	p.group.Go(func() error { return p.node.Run(ctx) })
	s.running[name] = p
	return p
}

// listen returns the listener of a node. It retries, since a connection of another
// process may use the port for a short time while the node is down.
func (s *testCluster) listen(name cluster.NodeName) net.Listener {
	s.t.Helper()
	listener := s.reserved[name]
	delete(s.reserved, name)
	s.waitFor("port of "+string(name), func() bool {
		if listener == nil {
			listener, _ = net.Listen("tcp", s.address(name).String())
		}
		return listener != nil
	})
	return listener
}

func (s *testCluster) peerIndex(name cluster.NodeName) int {
	return slices.IndexFunc(s.peers, func(p node.Peer) bool { return p.Name == name })
}

func (s *testCluster) address(name cluster.NodeName) netip.AddrPort {
	return s.peers[s.peerIndex(name)].Address
}

// stop stops a node; its data folder stays.
func (s *testCluster) stop(name cluster.NodeName) {
	s.t.Helper()
	p := s.running[name]
	delete(s.running, name)
	p.cancel()
	if err := p.group.Wait(); err != nil {
		s.t.Errorf("node %s: got error %v", name, err)
	}
}

func (s *testCluster) path(name cluster.NodeName) string {
	return filepath.Join(s.folder, string(name))
}

// loseDisk removes the data folder of a stopped node.
func (s *testCluster) loseDisk(name cluster.NodeName) {
	s.t.Helper()
	if err := os.RemoveAll(s.path(name)); err != nil {
		s.t.Fatal(err)
	}
}

// waitFor waits until a condition is true; what describes it.
func (s *testCluster) waitFor(what string, condition func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); {
		if time.Now().After(deadline) {
			s.t.Fatalf("got no %s after %v", what, waitTimeout)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// leader waits for a node whose leadership a quorum confirms.
func (s *testCluster) leader() (name cluster.NodeName) {
	s.t.Helper()
	s.waitFor("leader", func() bool {
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

func (s *testCluster) confirm(p *process) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return p.node.ConfirmLeadership(ctx)
}

// propose proposes a command to the current leader until it is committed. A proposal
// whose outcome is unknown may be committed later, and is proposed again all the same.
func (s *testCluster) propose(command string) {
	s.t.Helper()
	s.waitFor("commit of "+command, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := s.running[s.leader()].node.Propose(ctx, []byte(command))
		if errors.Is(err, consensus.ErrUnknownOutcome) {
			s.unknown++
		}
		return err == nil
	})
}

// waitForCommands waits until all running nodes have applied the same commands.
func (s *testCluster) waitForCommands() {
	s.t.Helper()
	for name, p := range s.running {
		s.waitFor("all commands on "+string(name), func() bool {
			return slices.Equal(p.machine.list(), s.running[s.leader()].machine.list())
		})
	}
}

// upToDateVoters returns the number of voting members that hold the leader's log up to
// its last applied entry.
func (s *testCluster) upToDateVoters() int {
	leader := s.running[s.leader()].node
	count := 0
	for _, m := range leader.Members() {
		if m.Voter && m.MatchIndex >= leader.AppliedIndex() {
			count++
		}
	}
	return count
}

// checkNoLeader checks that no node can confirm its leadership, in a number of tries of
// each.
func (s *testCluster) checkNoLeader(tries int) {
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
