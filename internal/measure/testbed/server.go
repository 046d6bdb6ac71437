package testbed

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
	"github.com/burdockwood/burdockwood/internal/measure/relay"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	standin "github.com/burdockwood/burdockwood/internal/standin/daemon"
)

// Schema creates the measured table. Requests aren't unique there, so that a
// doubled one shows.
var Schema = []string{
	`CREATE TABLE IF NOT EXISTS ledger (
	id integer PRIMARY KEY, request text NOT NULL, part bigint NOT NULL,
	member bigint NOT NULL, sequence bigint NOT NULL, amount bigint NOT NULL)`,
	`CREATE INDEX IF NOT EXISTS ledger_member ON ledger (member, sequence)`,
	`CREATE INDEX IF NOT EXISTS ledger_request ON ledger (request)`,
}

// Server is one stand-in server with the relays around it.
type Server struct {
	bed     *System
	index   int
	options standin.Options
	relay   *relay.Relay
	// announce are the relays from the server to control.
	announce []*relay.Relay

	mu     sync.Mutex
	server *standin.Server
	cancel context.CancelFunc
	// reads and promotions were counted by earlier starts.
	primaryReads int
	replicaReads int
	promotions   int
}

// addServer starts server i and the relays around it.
func (b *System) addServer(i int) error {
	p := b.options.Profile
	front, err := b.relay(relay.Options{Target: netip.MustParseAddrPort(nowhere), Latency: p.Latency, Classify: classify})
	if err != nil {
		return err
	}
	name := fmt.Sprintf("server-%d", i+1)
	s := &Server{bed: b, index: i, relay: front, options: standin.Options{
		Listen:         "127.0.0.1:0",
		Advertise:      front.Address(),
		DataFolder:     filepath.Join(b.options.Folder, name),
		Server:         cluster.ServerName(name),
		Group:          Group,
		DataCentre:     b.place(i),
		Slots:          p.Slots,
		MaxConnections: p.Connections,
		ConnectDelay:   p.ConnectDelay,
		ServiceTime:    p.ServiceTime,
		ApplyLag:       b.options.ApplyLag,
		SkipSync:       !b.options.SyncCommits,
	}}
	if b.options.WithoutRelays {
		s.options.Advertise = netip.AddrPort{}
	}
	if b.options.ServersOnly {
		// Every caller has a connection of its own.
		s.options.MaxConnections = 0
	}
	if b.options.ServersOnly && i == 0 {
		s.options.PrimaryTerm = 1
	}
	for _, control := range b.controls {
		r, err := b.relay(relay.Options{Target: control.address, Latency: p.Latency})
		if err != nil {
			return err
		}
		s.announce = append(s.announce, r)
		s.options.Control = append(s.options.Control, r.Address())
	}
	b.servers = append(b.servers, s)
	return s.run()
}

// run starts the server, also again after kill.
func (s *Server) run() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx, cancel := context.WithCancel(s.bed.ctx)
	server, err := standin.Start(ctx, s.options, s.bed.logger.WithName(string(s.options.Server)))
	if err != nil {
		cancel()
		return err
	}
	s.server, s.cancel = server, cancel
	s.relay.SetTarget(server.Address())
	return nil
}

// Name returns the server's name.
func (s *Server) Name() cluster.ServerName { return s.options.Server }

// Kill ends the server without a farewell.
func (s *Server) Kill() {
	s.relay.SetMode(relay.Refusing)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel()
	_ = s.server.Wait()
	primary, replica := s.server.ReadCounts()
	s.primaryReads += primary
	s.replicaReads += replica
	s.promotions += s.server.Promotions()
	s.server = nil
}

// Wipe kills the server and deletes its data folder.
func (s *Server) Wipe() error {
	s.Kill()
	return os.RemoveAll(s.options.DataFolder)
}

// Restart starts a killed server again with its data.
func (s *Server) Restart() error {
	s.relay.SetMode(relay.Open)
	return s.run()
}

// Freeze stops all traffic from and to the server without closing anything.
func (s *Server) Freeze() {
	s.relay.SetMode(relay.Frozen)
	s.setAnnounce(relay.Frozen)
}

// Cut separates the server from control and from its replicas.
func (s *Server) Cut() {
	s.relay.SetMode(relay.Cut, ClassReplication)
	s.CutFromControl()
}

// CutFromControl separates the server from control.
func (s *Server) CutFromControl() {
	for _, c := range s.bed.controls {
		s.relay.SetMode(relay.Cut, c.options.Name)
	}
	s.setAnnounce(relay.Cut)
}

// CutFromProxy separates the server from one proxy.
func (s *Server) CutFromProxy(p *Proxy) { s.relay.SetMode(relay.Cut, p.options.Name) }

// Heal ends a freeze or a cut of the server.
func (s *Server) Heal() {
	s.relay.SetMode(relay.Open)
	s.relay.SetMode(relay.Open, ClassReplication)
	for _, c := range s.bed.controls {
		s.relay.SetMode(relay.Open, c.options.Name)
	}
	s.setAnnounce(relay.Open)
}

// HealProxy ends a cut between the server and one proxy.
func (s *Server) HealProxy(p *Proxy) { s.relay.SetMode(relay.Open, p.options.Name) }

func (s *Server) setAnnounce(mode relay.Mode) {
	for _, r := range s.announce {
		r.SetMode(mode)
	}
}

// Address returns the server's own address, past its relay; zero if it's
// killed.
func (s *Server) Address() netip.AddrPort {
	server := s.running()
	if server == nil {
		return netip.AddrPort{}
	}
	return server.Address()
}

// ReadCounts returns the reads that the server served as primary and as replica.
func (s *Server) ReadCounts() (primary, replica int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	primary, replica = s.primaryReads, s.replicaReads
	if s.server == nil {
		return primary, replica
	}
	p, r := s.server.ReadCounts()
	return primary + p, replica + r
}

// Promotions returns how often the server became primary.
func (s *Server) Promotions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return s.promotions
	}
	return s.promotions + s.server.Promotions()
}

// Query reads from the server's database, outside its connections, which
// proxies may have used up.
func (s *Server) Query(ctx context.Context, sql string) ([][]any, error) {
	server := s.running()
	if server == nil {
		return nil, eris.Wrap(ErrNotConverged, "the server is killed")
	}
	return server.Query(ctx, sql)
}

func (s *Server) running() *standin.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server
}

func (s *Server) wait() {
	if server := s.running(); server != nil {
		_ = server.Wait()
	}
}

// follow makes the first server the primary of the others.
func (b *System) follow() error {
	ctx, cancel := context.WithTimeout(b.ctx, startLimit)
	defer cancel()
	for _, s := range b.servers[1:] {
		server, err := adapter.Dial(ctx, s.Address(), adapter.Credentials{User: directUser})
		if err != nil {
			return err
		}
		_, err = server.Follow(ctx, 1, b.servers[0].relay.Address())
		server.Close()
		if err != nil {
			return err
		}
	}
	_, err := b.AwaitConverged(ctx)
	return err
}

// Servers returns all servers.
func (b *System) Servers() []*Server { return b.servers }

// Primary returns the server that is primary of the highest term; nil if
// there is none.
func (b *System) Primary() *Server {
	var primary *Server
	var term cluster.Term
	for _, s := range b.servers {
		server := s.running()
		if server == nil {
			continue
		}
		state := server.State()
		if state.Role == cluster.RolePrimary && state.Term > term && state.Promised == state.Term {
			primary, term = s, state.Term
		}
	}
	return primary
}

// AwaitConverged waits until all servers run, one is primary and the others have
// applied its whole log, and returns the primary.
func (b *System) AwaitConverged(ctx context.Context) (*Server, error) {
	ticker := time.NewTicker(startPoll)
	defer ticker.Stop()
	for {
		if primary := b.Primary(); primary != nil && b.followed(primary) {
			return primary, nil
		}
		select {
		case <-ctx.Done():
			return nil, eris.Wrap(ErrNotConverged, b.describe())
		case <-ticker.C:
		}
	}
}

func (b *System) followed(primary *Server) bool {
	head := primary.running()
	if head == nil {
		return false
	}
	want := head.State()
	for _, s := range b.servers {
		server := s.running()
		if server == nil {
			return false
		}
		if got := server.State(); got.Applied != want.Received || got.Promised != want.Term {
			return false
		}
	}
	return true
}

// describe tells the state of each server.
func (b *System) describe() string {
	text := ""
	for _, s := range b.servers {
		server := s.running()
		if server == nil {
			text += fmt.Sprintf("%s killed; ", s.Name())
			continue
		}
		state := server.State()
		text += fmt.Sprintf("%s %v term %d promised %d received %v applied %v; ",
			s.Name(), state.Role, state.Term, state.Promised, state.Received, state.Applied)
	}
	return text
}
