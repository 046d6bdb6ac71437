// Package fleetrpc implements the RPC service fleetpb.Fleet on a control node
// and forwards requests that only the leading control node can serve. Through
// the service, proxies renew their leases and report on backend servers, servers
// announce themselves, and operators' configuration documents are stored. It is
// the service of a deployment in which leases of the proxies fence replaced
// primaries. Where the servers themselves fence them, by promising to refuse lower
// terms, internal/control/controlrpc takes its place.
//
// # Usage
//
//	s := fleetrpc.New(fleetrpc.Options{Coordinator: c, ConsensusLog: node, Client: client, ...})
//	mux.Handle(fleetpb.FleetPathPrefix, fleetpb.NewFleetServer(s))
//	err := s.Run(ctx) // passes announcements to the leader
//	node, err := s.TakeAnnouncement(ctx, server, false)
//	version, err := s.ForwardDocument(ctx, document)
//	document, err := s.NewestDocument(ctx)
//
// TakeAnnouncement, ForwardDocument and NewestDocument work on every control node. The
// latter two call the leader and retry until ctx ends. Announcements are passed to the
// leader in batches, and only what is new in them is waited for; see package intake. The RPC methods are never
// forwarded, so that no request is forwarded twice. Only the leader serves them,
// except Fetch, which every control node serves from its own state.
//
// The messages contain three kinds of numbers: the term of a group numbers its
// successive primaries, the version of the configuration document numbers what
// operators have submitted, and a revision identifies the leader's state that was
// last sent to a proxy.
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
	"github.com/burdockwood/burdockwood/internal/fleet/packing"
	"github.com/burdockwood/burdockwood/internal/fleet/protoconv"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
)

const (
	// leaderRetryInterval is the pause before the next attempt to call the
	// leader: a third of the shortest election timeout.
	leaderRetryInterval = 80 * time.Millisecond
	// forwardTimeout bounds one call to the leader, so that there is time
	// left to call its successor if the leader is frozen.
	forwardTimeout = 600 * time.Millisecond
)

// ErrNoLeader is returned if no leader answered in time. The request may have
// been executed all the same.
var ErrNoLeader = eris.New("no leader of control answered in time")

type (
	// Options are the options of a Service.
	Options struct {
		// Name is the name of this control node.
		Name        cluster.NodeName
		Coordinator *coordinator.Coordinator
		// ConsensusLog is the replicated log of the control nodes; it names
		// the leader and the members.
		ConsensusLog coordinator.Log
		// Client is the HTTP client for calls to other control nodes.
		Client *http.Client
		Logger logr.Logger
		// Now returns the time of a clock that also runs while the VM is
		// suspended.
		Now func() time.Time
		// AppliedDocument returns the newest configuration document that
		// this node has applied.
		AppliedDocument func() state.Document
		// ProxyDocument turns the body of a configuration document into what
		// proxies are sent, which holds no keys; nil: they are sent the body
		// itself. Equal bodies have equal results, and similar ones similar
		// results, so that patches are small.
		ProxyDocument func(body []byte) ([]byte, error)
	}

	// Service implements fleetpb.Fleet. It is safe for concurrent use.
	Service struct {
		options       Options
		encoded       encodedDocument
		announcements announcements
		packed        packedParts
	}
)

var _ fleetpb.Fleet = (*Service)(nil)

// New returns a service with the given options.
func New(options Options) *Service {
	return &Service{options: options, announcements: newAnnouncements(), encoded: encodedDocument{proxyForm: options.ProxyDocument}}
}

// Renew renews a proxy's lease; see fleetpb.Fleet. If this node doesn't lead, the
// response grants no lease and names the leader if this node knows it.
func (s *Service) Renew(ctx context.Context, request *fleetpb.RenewRequest) (*fleetpb.RenewResponse, error) {
	grant, err := s.options.Coordinator.Renew(ctx, coordinator.Renewal{
		Proxy: cluster.ProxyName(request.GetProxy()), Incarnation: cluster.Incarnation(request.GetIncarnation()),
		Revision:       request.GetRevision(),
		MinUsableTerms: minUsableTermsFromProto(request.GetReleases()), Observations: observationsFromProto(request.GetEvidence()), Leaving: request.GetLeaving(),
		Peer: peerFromProto(request), Draining: request.GetDraining(), AcceptsPartial: request.GetAcceptsPartial(),
		AcceptsParts: request.GetAcceptsParts(), Digests: request.GetDigests(), NextPart: int(request.GetNextPart()),
		Clock: time.Duration(request.GetClockUs()) * time.Microsecond, Samples: samplesFromProto(request.GetSamples()),
	})
	response := &fleetpb.RenewResponse{}
	if leader, known := s.options.ConsensusLog.Leader(); known {
		response.Leader = string(leader.Name)
	}
	if err != nil {
		s.options.Logger.V(1).Info("lease not granted", "proxy", request.GetProxy(), "error", err.Error())
		return response, nil
	}
	for _, m := range s.options.ConsensusLog.Members() {
		response.Members = append(response.Members, string(m.Name))
	}
	now := s.options.Now()
	setGrant(response, grant, now)
	for _, content := range grant.Parts {
		packed, err := s.packed.get(content, now)
		if err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		response.Parts = append(response.Parts, packed)
	}
	return response, nil
}

// peerFromProto returns the address at which other proxies reach the requesting
// proxy. The Peer is zero if the request has no valid address; the proxy then
// runs no statements for other proxies.
func peerFromProto(request *fleetpb.RenewRequest) coordinator.Peer {
	address, err := netip.ParseAddrPort(request.GetAddress())
	if err != nil {
		return coordinator.Peer{}
	}
	return coordinator.Peer{Address: address, DataCentre: cluster.DataCentre(request.GetDataCentre())}
}

// setGrant copies a grant, the successful outcome of a renewal, into the response.
// It leaves out the primary of a group while a change of primary is pending, so
// that the proxy stops using the old one. Warming tells the proxy to keep the
// servers that it knows, because the new leader may not know them yet.
func setGrant(response *fleetpb.RenewResponse, g coordinator.Grant, now time.Time) {
	response.Granted = true
	response.LeaseMs = uint32(g.LeaseDuration.Milliseconds())
	response.Revision = g.Revision
	response.DocumentVersion, response.DocumentBytes = g.DocumentVersion, uint32(g.DocumentBytes)
	response.Changed = g.RevisionChanged
	response.Warming = g.Discovering
	response.Proxies = uint32(g.Proxies)
	for group, p := range g.Primaries {
		response.Primacies = append(response.Primacies, primacyToProto(group, p))
	}
	for name, peer := range g.Peers {
		response.Peers = append(response.Peers, &fleetpb.Peer{
			Name: string(name), Address: peer.Address.String(), DataCentre: string(peer.DataCentre),
		})
	}
	for _, server := range g.Servers {
		response.Servers = append(response.Servers, protoconv.ServerToProto(server, now))
	}
	response.NextPart, response.DigestsWanted, response.ReleasedSum = uint32(g.NextPart), g.DigestsWanted, g.ReleasedSum
	response.PartialServers, response.PartialPeers = g.PartialServers, g.PartialPeers
	for _, name := range g.RemovedServers {
		response.RemovedServers = append(response.RemovedServers, string(name))
	}
	response.ClockUs, response.HeldMs = uint64(g.Clock.Microseconds()), uint32(g.Held.Milliseconds())
	for _, s := range g.Samples {
		response.Samples = append(response.Samples, protoconv.SampleToProto(s.Sample, s.Age))
	}
	for _, name := range g.RemovedPeers {
		response.RemovedPeers = append(response.RemovedPeers, string(name))
	}
}

// primacyToProto returns the message for a group's primary, as proxies are told it.
func primacyToProto(group cluster.GroupName, p state.GroupPrimary) *fleetpb.Primacy {
	return &fleetpb.Primacy{Group: string(group), Term: uint64(p.Term), Planned: p.Planned, Primary: string(p.Usable())}
}

// minUsableTermsFromProto returns, for each group, the lowest term in which the
// proxy may still use a primary. A fleetpb.Release contains that term: all terms
// below it are released.
func minUsableTermsFromProto(list []*fleetpb.Release) leases.MinUsableTerms {
	terms := leases.MinUsableTerms{}
	for _, r := range list {
		terms[cluster.GroupName(r.GetGroup())] = cluster.Term(r.GetTerm())
	}
	return terms
}

func samplesFromProto(list []*fleetpb.Sample) []coordinator.AgedSample {
	aged := make([]coordinator.AgedSample, 0, len(list))
	for _, pb := range list {
		s, age := protoconv.SampleFromProto(pb)
		aged = append(aged, coordinator.AgedSample{Sample: s, Age: age})
	}
	return aged
}

func observationsFromProto(list []*fleetpb.Evidence) []coordinator.Observation {
	observations := make([]coordinator.Observation, 0, len(list))
	for _, e := range list {
		observations = append(observations, coordinator.Observation{
			Server:     cluster.ServerName(e.GetServer()),
			FailingFor: time.Duration(e.GetFailingMs()) * time.Millisecond, Refused: e.GetRefused(),
			SinceResponse: time.Duration(e.GetHeardMs()) * time.Millisecond,
		})
	}
	return observations
}

// Report records what a proxy has observed of servers and which terms it has
// released since its last renewal; see fleetpb.Fleet.
func (s *Service) Report(_ context.Context, request *fleetpb.ReportRequest) (*fleetpb.ReportResponse, error) {
	err := s.options.Coordinator.Report(coordinator.Renewal{
		Proxy: cluster.ProxyName(request.GetProxy()), Incarnation: cluster.Incarnation(request.GetIncarnation()),
		MinUsableTerms: minUsableTermsFromProto(request.GetReleases()), Observations: observationsFromProto(request.GetEvidence()),
	})
	if err != nil {
		return nil, unavailableError(err)
	}
	return &fleetpb.ReportResponse{}, nil
}

// Announce records the announcement of a backend server; see fleetpb.Fleet.
func (s *Service) Announce(ctx context.Context, request *fleetpb.AnnounceRequest) (*fleetpb.AnnounceResponse, error) {
	server, err := protoconv.ServerFromProto(request.GetServer(), s.options.Now())
	if err != nil {
		return nil, twirp.InvalidArgumentError("server", err.Error())
	}
	if err := s.options.Coordinator.Announce(ctx, server, request.GetLeaving()); err != nil {
		return nil, unavailableError(err)
	}
	leader, _ := s.options.ConsensusLog.Leader()
	return &fleetpb.AnnounceResponse{Leader: string(leader.Name)}, nil
}

// Submit stores a configuration document if it is newer than the stored one; see
// fleetpb.Fleet.
func (s *Service) Submit(ctx context.Context, request *fleetpb.SubmitRequest) (*fleetpb.SubmitResponse, error) {
	version, err := s.options.Coordinator.Submit(ctx, state.Document{Version: request.GetVersion(), Body: request.GetDocument()})
	if err != nil {
		return nil, unavailableError(err)
	}
	return &fleetpb.SubmitResponse{HeldVersion: version}, nil
}

// Document returns the newest configuration document, confirmed by a quorum; see
// fleetpb.Fleet.
func (s *Service) Document(ctx context.Context, request *fleetpb.DocumentRequest) (*fleetpb.DocumentResponse, error) {
	d, err := s.options.Coordinator.Document(ctx)
	if err != nil {
		return nil, unavailableError(err)
	}
	if request.GetAcceptsPacked() {
		packed, err := packing.Pack(d.Body)
		if err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		return &fleetpb.DocumentResponse{Version: d.Version, Packed: packed}, nil
	}
	return &fleetpb.DocumentResponse{Version: d.Version, Document: d.Body}, nil
}

// Fetch returns the configuration document from this node's own state, compressed or as a
// patch of the version that the proxy holds, whether or not the node leads; see
// fleetpb.Fleet.
func (s *Service) Fetch(_ context.Context, request *fleetpb.FetchRequest) (*fleetpb.FetchResponse, error) {
	d := s.options.AppliedDocument()
	if d.Version < request.GetVersion() || d.Version == 0 {
		return nil, twirp.NewError(twirp.Unavailable, "this control node doesn't have the document yet")
	}
	encoded, from, err := s.encoded.get(d, request.GetHeldVersion())
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &fleetpb.FetchResponse{Version: d.Version, Document: encoded, FromVersion: from}, nil
}

// unavailableError returns err as a twirp error with the code Unavailable.
func unavailableError(err error) error { return twirp.NewError(twirp.Unavailable, err.Error()) }

// ForwardDocument has the leader store a configuration document if it is newer
// than the stored one. It returns the newest stored version. Errors: ErrNoLeader.
func (s *Service) ForwardDocument(ctx context.Context, d state.Document) (uint64, error) {
	request := &fleetpb.SubmitRequest{Version: d.Version, Document: d.Body}
	response, err := callLeader(ctx, s, func(ctx context.Context, f fleetpb.Fleet) (*fleetpb.SubmitResponse, error) {
		return f.Submit(ctx, request)
	})
	return response.GetHeldVersion(), err
}

// NewestDocument returns the newest configuration document. The leader confirms
// with a quorum, after the call began, that it still leads. Errors: ErrNoLeader.
func (s *Service) NewestDocument(ctx context.Context) (state.Document, error) {
	response, err := callLeader(ctx, s, func(ctx context.Context, f fleetpb.Fleet) (*fleetpb.DocumentResponse, error) {
		return f.Document(ctx, &fleetpb.DocumentRequest{AcceptsPacked: true})
	})
	d := state.Document{Version: response.GetVersion(), Body: response.GetDocument()}
	if err == nil && len(response.GetPacked()) > 0 {
		d.Body, err = packing.Unpack(response.GetPacked())
	}
	return d, err
}

// callLeader calls the leader and retries after an error until ctx ends. The call
// has to be idempotent, because an attempt that failed may have been executed.
func callLeader[T any](ctx context.Context, s *Service, call func(context.Context, fleetpb.Fleet) (T, error)) (T, error) {
	// lastErr is the error of the last call, or nil if no leader was known. The
	// text of the returned error, which operators see, calls it the last answer
	// and prints nil as <nil>.
	var lastErr error
	for {
		if leader := s.leaderService(); leader != nil {
			callCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
			response, err := call(callCtx, leader)
			cancel()
			if err == nil {
				return response, nil
			}
			lastErr = err
		}
		timer := time.NewTimer(leaderRetryInterval)
		select {
		case <-s.options.ConsensusLog.Changes():
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			var zero T
			return zero, eris.Wrapf(ErrNoLeader, "last answer: %v", lastErr)
		}
		timer.Stop()
	}
}

// leaderService returns s itself if this node leads, else an RPC client of the
// leader. It returns nil if no leader is known.
func (s *Service) leaderService() fleetpb.Fleet {
	if _, leads := s.options.ConsensusLog.IsLeader(); leads {
		return s
	}
	leader, known := s.options.ConsensusLog.Leader()
	if !known || !leader.Address.IsValid() {
		return nil
	}
	return fleetpb.NewFleetProtobufClient(transport.URL(leader.Address), s.options.Client)
}
