// Package service lets any control node answer what only the leading one can:
// it serves the calls of proxies, and passes announcements and documents on.
//
// # Usage
//
//	s := service.New(service.Options{Coordinator: c, Log: node, Client: client})
//	mux.Handle(fleetpb.FleetPathPrefix, fleetpb.NewFleetServer(s))
//	leader, err := s.PassAnnouncement(ctx, server, false)
//	version, err := s.PassDocument(ctx, document)
//	document, err := s.NewestDocument(ctx)
//
// The methods named Pass and Newest find the leader wherever it is, until ctx
// ends. The calls of the generated service are answered by the leader alone,
// so that no call is passed on twice.
package fleetrpc

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"github.com/burdockwood/burdockwood/internal/fleet/coordinator"
	"github.com/burdockwood/burdockwood/internal/fleet/leases"
	"github.com/burdockwood/burdockwood/internal/fleet/protoconv"
	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
)

const (
	// leaderPoll is the pause before a new try to find the leader: a third of
	// an election.
	leaderPoll = 80 * time.Millisecond
	// passTimeout bounds one call to the leader, so that a frozen one leaves
	// time for a try with its successor.
	passTimeout = 600 * time.Millisecond
)

// ErrNoLeader tells that no leader answered in time; what was asked for may
// have happened.
var ErrNoLeader = eris.New("no leader of control answered in time")

type (
	// Options are what a service needs.
	Options struct {
		Coordinator *coordinator.Coordinator
		Log         coordinator.Log
		// Client calls other control nodes.
		Client *http.Client
		Logger logr.Logger
		Now    func() time.Time
		// AppliedDocument returns the newest document that this node has applied.
		AppliedDocument func() state.Document
	}

	// Service implements fleetpb.Fleet.
	Service struct {
		options Options
		packed  packed
	}
)

var _ fleetpb.Fleet = (*Service)(nil)

// New returns a service.
func New(options Options) *Service { return &Service{options: options} }

// Renew answers a proxy; see fleetpb.Fleet.
func (s *Service) Renew(ctx context.Context, request *fleetpb.RenewRequest) (*fleetpb.RenewResponse, error) {
	grant, err := s.options.Coordinator.Renew(ctx, coordinator.Renewal{
		Proxy: cluster.ProxyName(request.GetProxy()), Incarnation: cluster.Incarnation(request.GetIncarnation()),
		Revision:      request.GetRevision(),
		ReleasedTerms: releasesFrom(request.GetReleases()), Observations: evidenceFrom(request.GetEvidence()), Leaving: request.GetLeaving(),
		Peer: peerFrom(request), Draining: request.GetDraining(),
	})
	response := &fleetpb.RenewResponse{}
	if leader, known := s.options.Log.Leader(); known {
		response.Leader = string(leader.Name)
	}
	if err != nil {
		s.options.Logger.V(1).Info("no lease given", "proxy", request.GetProxy(), "error", err.Error())
		return response, nil
	}
	for _, m := range s.options.Log.Members() {
		response.Members = append(response.Members, string(m.Name))
	}
	fillGrant(response, grant, s.options.Now())
	return response, nil
}

// peerFrom returns the proxy as others need to know it; a proxy that tells no
// address takes no work of others.
func peerFrom(request *fleetpb.RenewRequest) coordinator.Peer {
	address, err := netip.ParseAddrPort(request.GetAddress())
	if err != nil {
		return coordinator.Peer{}
	}
	return coordinator.Peer{Address: address, DataCentre: cluster.DataCentre(request.GetDataCentre())}
}

func fillGrant(response *fleetpb.RenewResponse, g coordinator.Grant, now time.Time) {
	response.Granted = true
	response.LeaseMs = uint32(g.LeaseDuration.Milliseconds())
	response.Revision = g.Revision
	response.DocumentVersion = g.DocumentVersion
	response.Changed = g.Changed
	response.Warming = g.Discovering
	response.Proxies = uint32(g.Proxies)
	for group, p := range g.Primaries {
		primacy := &fleetpb.Primacy{Group: string(group), Term: uint64(p.Term), Planned: p.Planned}
		if p.Phase == state.Settled {
			primacy.Primary = string(p.Primary)
		}
		response.Primacies = append(response.Primacies, primacy)
	}
	for name, peer := range g.Peers {
		response.Peers = append(response.Peers, &fleetpb.Peer{
			Name: string(name), Address: peer.Address.String(), DataCentre: string(peer.DataCentre),
		})
	}
	for _, server := range g.Servers {
		response.Servers = append(response.Servers, protoconv.ServerToProto(server, now))
	}
}

func releasesFrom(list []*fleetpb.Release) leases.ReleasedTerms {
	releases := leases.ReleasedTerms{}
	for _, r := range list {
		releases[cluster.GroupName(r.GetGroup())] = cluster.Term(r.GetTerm())
	}
	return releases
}

func evidenceFrom(list []*fleetpb.Evidence) []coordinator.Observation {
	evidence := make([]coordinator.Observation, 0, len(list))
	for _, e := range list {
		evidence = append(evidence, coordinator.Observation{
			Server:     cluster.ServerName(e.GetServer()),
			FailingFor: time.Duration(e.GetFailingMs()) * time.Millisecond, Refused: e.GetRefused(),
			SinceResponse: time.Duration(e.GetHeardMs()) * time.Millisecond,
		})
	}
	return evidence
}

// Report takes a proxy's evidence; see fleetpb.Fleet.
func (s *Service) Report(_ context.Context, request *fleetpb.ReportRequest) (*fleetpb.ReportResponse, error) {
	err := s.options.Coordinator.Report(coordinator.Renewal{
		Proxy: cluster.ProxyName(request.GetProxy()), Incarnation: cluster.Incarnation(request.GetIncarnation()),
		ReleasedTerms: releasesFrom(request.GetReleases()), Observations: evidenceFrom(request.GetEvidence()),
	})
	if err != nil {
		return nil, asTwirp(err)
	}
	return &fleetpb.ReportResponse{}, nil
}

// Announce takes an announcement; see fleetpb.Fleet.
func (s *Service) Announce(_ context.Context, request *fleetpb.AnnounceRequest) (*fleetpb.AnnounceResponse, error) {
	server, err := protoconv.ServerFromProto(request.GetServer(), s.options.Now())
	if err != nil {
		return nil, twirp.InvalidArgumentError("server", err.Error())
	}
	if err := s.options.Coordinator.Announce(server, request.GetLeaving()); err != nil {
		return nil, asTwirp(err)
	}
	leader, _ := s.options.Log.Leader()
	return &fleetpb.AnnounceResponse{Leader: string(leader.Name)}, nil
}

// Submit stores a document; see fleetpb.Fleet.
func (s *Service) Submit(ctx context.Context, request *fleetpb.SubmitRequest) (*fleetpb.SubmitResponse, error) {
	version, err := s.options.Coordinator.Submit(ctx, state.Document{Version: request.GetVersion(), Body: request.GetDocument()})
	if err != nil {
		return nil, asTwirp(err)
	}
	return &fleetpb.SubmitResponse{HeldVersion: version}, nil
}

// Document returns the newest document; see fleetpb.Fleet.
func (s *Service) Document(ctx context.Context, _ *fleetpb.DocumentRequest) (*fleetpb.DocumentResponse, error) {
	d, err := s.options.Coordinator.Document(ctx)
	if err != nil {
		return nil, asTwirp(err)
	}
	return &fleetpb.DocumentResponse{Version: d.Version, Document: d.Body}, nil
}

// Fetch returns a document from this node's own state; see fleetpb.Fleet.
func (s *Service) Fetch(_ context.Context, request *fleetpb.FetchRequest) (*fleetpb.FetchResponse, error) {
	d := s.options.AppliedDocument()
	if d.Version < request.GetVersion() || d.Version == 0 {
		return nil, twirp.NewError(twirp.Unavailable, "this control node doesn't have the document yet")
	}
	packed, err := s.packed.get(d)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &fleetpb.FetchResponse{Version: d.Version, Document: packed}, nil
}

func asTwirp(err error) error { return twirp.NewError(twirp.Unavailable, err.Error()) }

// ForwardAnnouncement hands an announcement to the leader and returns the
// leader's name. Errors: ErrNoLeader.
func (s *Service) ForwardAnnouncement(ctx context.Context, server registry.Server, leaving bool) (cluster.NodeName, error) {
	request := &fleetpb.AnnounceRequest{Server: protoconv.ServerToProto(server, s.options.Now()), Leaving: leaving}
	response, err := withLeader(ctx, s, func(ctx context.Context, f fleetpb.Fleet) (*fleetpb.AnnounceResponse, error) {
		return f.Announce(ctx, request)
	})
	return cluster.NodeName(response.GetLeader()), err
}

// ForwardDocument stores a document if it is newer than the stored one, and
// returns the newest version. Errors: ErrNoLeader.
func (s *Service) ForwardDocument(ctx context.Context, d state.Document) (uint64, error) {
	request := &fleetpb.SubmitRequest{Version: d.Version, Document: d.Body}
	response, err := withLeader(ctx, s, func(ctx context.Context, f fleetpb.Fleet) (*fleetpb.SubmitResponse, error) {
		return f.Submit(ctx, request)
	})
	return response.GetHeldVersion(), err
}

// NewestDocument returns the newest document, confirmed by a quorum after the
// call began. Errors: ErrNoLeader.
func (s *Service) NewestDocument(ctx context.Context) (state.Document, error) {
	response, err := withLeader(ctx, s, func(ctx context.Context, f fleetpb.Fleet) (*fleetpb.DocumentResponse, error) {
		return f.Document(ctx, &fleetpb.DocumentRequest{})
	})
	return state.Document{Version: response.GetVersion(), Body: response.GetDocument()}, err
}

// withLeader calls the leader, again after a failure, until ctx ends. The calls
// that are made so may be repeated without harm.
func withLeader[T any](ctx context.Context, s *Service, call func(context.Context, fleetpb.Fleet) (T, error)) (T, error) {
	var last error
	for {
		if fleet := s.leader(); fleet != nil {
			callCtx, cancel := context.WithTimeout(ctx, passTimeout)
			response, err := call(callCtx, fleet)
			cancel()
			if err == nil {
				return response, nil
			}
			last = err
		}
		timer := time.NewTimer(leaderPoll)
		select {
		case <-s.options.Log.Changes():
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			var none T
			return none, eris.Wrapf(ErrNoLeader, "last answer: %v", last)
		}
		timer.Stop()
	}
}

// leader returns the service of the leader: this node's own or a client.
func (s *Service) leader() fleetpb.Fleet {
	if _, leads := s.options.Log.IsLeader(); leads {
		return s
	}
	leader, known := s.options.Log.Leader()
	if !known || !leader.Address.IsValid() {
		return nil
	}
	return fleetpb.NewFleetProtobufClient(transport.URL(leader.Address), s.options.Client)
}
