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

// Schema holds the statements that create the measured table. The column request
// isn't unique, so that a duplicated write can be detected.
var Schema = []string{
	`CREATE TABLE IF NOT EXISTS ledger (
	id integer PRIMARY KEY, request text NOT NULL, part bigint NOT NULL,
	member bigint NOT NULL, sequence bigint NOT NULL, amount bigint NOT NULL)`,
	`CREATE INDEX IF NOT EXISTS ledger_member ON ledger (member, sequence)`,
	`CREATE INDEX IF NOT EXISTS ledger_request ON ledger (request)`,
}

// Server is one stand-in server with the relays around it.
type Server struct {
	system  *System
	index   int
	options standin.Options
	relay   *relay.Relay
	// controlRelays are the relays from the server to the control nodes.
	controlRelays []*relay.Relay

	mu     sync.Mutex
	server *standin.Server
	cancel context.CancelFunc
	// primaryReads, replicaReads and promotions are the counts of the server's
	// earlier runs, which Kill ended.
	primaryReads int
	replicaReads int
	promotions   int
}

// addServer starts server i and the relays around it.
func (sys *System) addServer(i int) error {
	p := sys.options.Profile
	serverRelay, err := sys.startRelay(relay.Options{Target: netip.MustParseAddrPort(unusedAddress), Latency: p.Latency, Classify: classifyConnection})
	if err != nil {
		return err
	}
	name := fmt.Sprintf("server-%d", i+1)
	s := &Server{system: sys, index: i, relay: serverRelay, options: standin.Options{
		Listen:         "127.0.0.1:0",
		Advertise:      serverRelay.Address(),
		DataFolder:     filepath.Join(sys.options.Folder, name),
		Server:         cluster.ServerName(name),
		Group:          Group,
		DataCentre:     sys.dataCentre(i),
		Slots:          p.Slots,
		MaxConnections: p.Connections,
		ConnectDelay:   p.ConnectDelay,
		ServiceTime:    p.ServiceTime,
		ApplyLag:       sys.options.ApplyLag,
		SkipSync:       !sys.options.SyncCommits,
	}}
	if sys.options.BypassServerRelays {
		s.options.Advertise = netip.AddrPort{}
	}
	if sys.options.ServersOnly {
		// Each caller has its own connection to the server, so there is no
		// limit.
		s.options.MaxConnections = 0
	}
	if sys.options.ServersOnly && i == 0 {
		s.options.PrimaryTerm = 1
	}
	for _, control := range sys.controlNodes {
		r, err := sys.startRelay(relay.Options{Target: control.address, Latency: p.Latency})
		if err != nil {
			return err
		}
		s.controlRelays = append(s.controlRelays, r)
		s.options.Control = append(s.options.Control, r.Address())
	}
	sys.servers = append(sys.servers, s)
	return s.run()
}

// run starts the server, also again after Kill.
func (s *Server) run() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx, cancel := context.WithCancel(s.system.ctx)
	server, err := standin.Start(ctx, s.options, s.system.logger.WithName(string(s.options.Server)))
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

// Kill resets the server's connections and stops it, without a graceful shutdown.
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

// Restart starts a killed server again, with its data if they weren't deleted.
func (s *Server) Restart() error {
	s.relay.SetMode(relay.Open)
	return s.run()
}

// Freeze holds all bytes on connections to the server and on its own to control,
// without closing them. The connection over which a replica receives the log isn't
// affected, since the replica opens it to the primary's relay.
func (s *Server) Freeze() {
	s.relay.SetMode(relay.Frozen)
	s.setControlMode(relay.Frozen)
}

// Cut cuts the server off from control and from its replicas.
func (s *Server) Cut() {
	s.relay.SetMode(relay.Cut, ClassReplication)
	s.CutFromControl()
}

// CutFromControl cuts the server off from control, in both directions.
func (s *Server) CutFromControl() {
	for _, c := range s.system.controlNodes {
		s.relay.SetMode(relay.Cut, c.options.Name)
	}
	s.setControlMode(relay.Cut)
}

// CutFromProxy cuts the server off from one proxy.
func (s *Server) CutFromProxy(p *Proxy) { s.relay.SetMode(relay.Cut, p.options.Name) }

// Heal ends Freeze, Cut and CutFromControl.
func (s *Server) Heal() {
	s.relay.SetMode(relay.Open)
	s.relay.SetMode(relay.Open, ClassReplication)
	for _, c := range s.system.controlNodes {
		s.relay.SetMode(relay.Open, c.options.Name)
	}
	s.setControlMode(relay.Open)
}

// HealProxy ends CutFromProxy.
func (s *Server) HealProxy(p *Proxy) { s.relay.SetMode(relay.Open, p.options.Name) }

// setControlMode sets the mode of the connections from the server to control.
func (s *Server) setControlMode(mode relay.Mode) {
	for _, r := range s.controlRelays {
		r.SetMode(mode)
	}
}

// Address returns the server's own address, without its relay, or the zero value if
// the server is killed.
func (s *Server) Address() netip.AddrPort {
	server := s.running()
	if server == nil {
		return netip.AddrPort{}
	}
	return server.Address()
}

// ReadCounts returns how many reads the server served as primary and as replica,
// over all of its runs.
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

// Promotions returns how often the server became primary, over all of its runs.
func (s *Server) Promotions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return s.promotions
	}
	return s.promotions + s.server.Promotions()
}

// Query reads from the server's database without opening a connection, since the
// proxies may have used up the server's connection limit. Errors: ErrNotConverged if the server
// is killed.
func (s *Server) Query(ctx context.Context, sql string) ([][]any, error) {
	server := s.running()
	if server == nil {
		return nil, eris.Wrap(ErrNotConverged, "the server is killed")
	}
	return server.Query(ctx, sql)
}

// running returns the running server, or nil if it's killed.
func (s *Server) running() *standin.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server
}

// wait waits until the server has stopped, if it runs.
func (s *Server) wait() {
	if server := s.running(); server != nil {
		_ = server.Wait()
	}
}

// startReplication makes the other servers replicate from the first one and waits
// until they do.
func (sys *System) startReplication() error {
	ctx, cancel := context.WithTimeout(sys.ctx, startTimeout)
	defer cancel()
	for _, s := range sys.servers[1:] {
		server, err := adapter.Dial(ctx, s.Address(), adapter.Credentials{User: directUser})
		if err != nil {
			return err
		}
		_, err = server.Follow(ctx, 1, sys.servers[0].relay.Address())
		server.Close()
		if err != nil {
			return err
		}
	}
	_, err := sys.AwaitConverged(ctx)
	return err
}

// Servers returns all servers.
func (sys *System) Servers() []*Server { return sys.servers }

// Primary returns the primary of the highest term among the running servers that
// have promised no higher term, or nil if there is none.
func (sys *System) Primary() *Server {
	var primary *Server
	var term cluster.Term
	for _, s := range sys.servers {
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
// applied its whole log, and returns the primary. Errors: ErrNotConverged, with the
// state of each server, if ctx is done first.
func (sys *System) AwaitConverged(ctx context.Context) (*Server, error) {
	ticker := time.NewTicker(convergePollInterval)
	defer ticker.Stop()
	for {
		if primary := sys.Primary(); primary != nil && sys.isReplicated(primary) {
			return primary, nil
		}
		select {
		case <-ctx.Done():
			return nil, eris.Wrap(ErrNotConverged, sys.describeServers())
		case <-ticker.C:
		}
	}
}

// isReplicated reports whether all servers run, have applied all that the primary
// has received and have promised its term.
func (sys *System) isReplicated(primary *Server) bool {
	primaryServer := primary.running()
	if primaryServer == nil {
		return false
	}
	primaryState := primaryServer.State()
	for _, s := range sys.servers {
		server := s.running()
		if server == nil {
			return false
		}
		if state := server.State(); state.Applied != primaryState.Received || state.Promised != primaryState.Term {
			return false
		}
	}
	return true
}

// describeServers returns the state of each server, for an error message.
func (sys *System) describeServers() string {
	text := ""
	for _, s := range sys.servers {
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
