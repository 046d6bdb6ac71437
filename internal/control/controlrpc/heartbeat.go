package controlrpc

import (
	"context"
	"net/netip"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/burdockwood/burdockwood/internal/control/allocation"
	"github.com/burdockwood/burdockwood/internal/control/coordinator"
	"github.com/burdockwood/burdockwood/internal/control/detect"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

// Heartbeat takes in what a proxy tells and answers once something changed for
// it, at the latest after the time that it waits.
func (s *Service) Heartbeat(ctx context.Context, request *controlpb.HeartbeatRequest) (*controlpb.HeartbeatResponse, error) {
	beat, err := beatOf(request)
	if err != nil {
		return nil, err
	}
	if err := s.options.Coordinator.Heartbeat(beat, time.Now()); err != nil {
		return nil, s.answerOf(err)
	}
	if err := s.hold(ctx, beat, min(time.Duration(request.WaitMs)*time.Millisecond, maxWait)); err != nil {
		return nil, err
	}
	if err := s.confirm(ctx); err != nil {
		return nil, err
	}
	answer, err := s.options.Coordinator.Respond(beat, time.Now())
	if err != nil {
		return nil, s.answerOf(err)
	}
	return responseOf(answer), nil
}

// hold waits until there is news for the proxy or the time is over.
func (s *Service) hold(ctx context.Context, beat coordinator.Heartbeat, atMost time.Duration) error {
	timer := time.NewTimer(atMost)
	defer timer.Stop()
	for {
		committed := s.options.Machine.Changed()
		changed, own := s.options.Coordinator.Changed(beat.Proxy)
		if s.options.Coordinator.HasUpdate(beat, time.Now()) {
			return nil
		}
		select {
		case <-ctx.Done():
			return twirp.NewError(twirp.Canceled, "the caller has gone")
		case <-timer.C:
			return nil
		case <-committed:
		case <-changed:
		case <-own:
		}
	}
}

func beatOf(request *controlpb.HeartbeatRequest) (coordinator.Heartbeat, error) {
	address, err := netip.ParseAddrPort(request.Address)
	if err != nil {
		return coordinator.Heartbeat{}, twirp.InvalidArgumentError("address", "want IP:port")
	}
	beat := coordinator.Heartbeat{
		Proxy:       cluster.ProxyName(request.Proxy),
		Incarnation: cluster.Incarnation(request.Incarnation),
		Address:     address,
		DataCentre:  cluster.DataCentre(request.DataCentre),
		Version:     cluster.Version(request.Version),
		Revision:    request.Revision,
		Epoch:       request.LeaderEpoch,
		Draining:    request.Draining,
		Leaving:     request.Leaving,
	}
	if len(request.Uses) > 0 {
		beat.Usage = map[coordinator.ServerKey]allocation.Usage{}
	}
	for _, use := range request.Uses {
		if key, ok := coordinator.ParseServerKey(use.Server); ok {
			beat.Usage[key] = allocation.Usage{Open: int(use.Open), Demand: int(use.Wanted), Granted: int(use.Granted)}
		}
	}
	for _, suspicion := range request.Suspicions {
		beat.Suspicions = append(beat.Suspicions, coordinator.Suspicion{
			Group:     cluster.GroupName(suspicion.Group),
			Term:      cluster.Term(suspicion.Term),
			Kind:      detect.Kind(suspicion.Kind),
			SilentFor: time.Duration(suspicion.SilentMs) * time.Millisecond,
		})
	}
	return beat, nil
}

func responseOf(answer coordinator.HeartbeatResponse) *controlpb.HeartbeatResponse {
	response := &controlpb.HeartbeatResponse{
		Version:      uint64(answer.Version),
		Declarations: answer.Declarations,
		Revision:     answer.Revision,
		LeaderEpoch:  answer.Epoch,
		Full:         answer.Full,
		GrantsSet:    answer.SharesSet,
		PeersSet:     answer.PeersSet,
		Drain:        answer.Drain,
		MarkKeys:     answer.MarkKeys,
	}
	for _, group := range answer.Groups {
		response.Groups = append(response.Groups, groupMessage(group))
	}
	for _, share := range answer.Shares {
		response.Grants = append(response.Grants, &controlpb.Grant{
			Server:      share.Server.String(),
			Connections: uint32(share.Connections),
			Floor:       uint32(share.NonExpiring),
			ExpiresMs:   uint32(share.LeaseDuration.Milliseconds()),
		})
	}
	for _, peer := range answer.Peers {
		response.Peers = append(response.Peers, peerMessage(peer))
	}
	return response
}
