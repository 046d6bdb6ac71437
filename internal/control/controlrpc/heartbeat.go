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

// Heartbeat records a heartbeat of a proxy and responds once something has
// changed for the proxy, at the latest after the time that the request states,
// up to maxLongPoll.
func (s *Service) Heartbeat(ctx context.Context, request *controlpb.HeartbeatRequest) (*controlpb.HeartbeatResponse, error) {
	heartbeat, err := heartbeatFromProto(request)
	if err != nil {
		return nil, err
	}
	if err := s.options.Coordinator.Heartbeat(heartbeat, time.Now()); err != nil {
		return nil, s.rpcError(err)
	}
	if err := s.waitForUpdate(ctx, heartbeat, min(time.Duration(request.WaitMs)*time.Millisecond, maxLongPoll)); err != nil {
		return nil, err
	}
	if err := s.confirmLeadership(ctx); err != nil {
		return nil, err
	}
	response, err := s.options.Coordinator.Respond(heartbeat, time.Now())
	if err != nil {
		return nil, s.rpcError(err)
	}
	return responseToProto(response, heartbeat.Version), nil
}

// waitForUpdate waits until there is an update for the proxy or the timeout has
// passed.
func (s *Service) waitForUpdate(ctx context.Context, heartbeat coordinator.Heartbeat, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		committed := s.options.StateMachine.Changed()
		changed, own := s.options.Coordinator.Changed(heartbeat.Proxy)
		if s.options.Coordinator.HasUpdate(heartbeat, time.Now()) {
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

func heartbeatFromProto(request *controlpb.HeartbeatRequest) (coordinator.Heartbeat, error) {
	address, err := netip.ParseAddrPort(request.Address)
	if err != nil {
		return coordinator.Heartbeat{}, twirp.InvalidArgumentError("address", "want IP:port")
	}
	heartbeat := coordinator.Heartbeat{
		Proxy:       cluster.ProxyName(request.Proxy),
		Incarnation: cluster.Incarnation(request.Incarnation),
		Address:     address,
		DataCentre:  cluster.DataCentre(request.DataCentre),
		Version:     cluster.Version(request.Version),
		Revision:    request.Revision,
		Epoch:       request.LeaderEpoch,
		Draining:    request.Draining,
		Leaving:     request.Leaving,
		TakesEdits:  request.TakesEdits,
	}
	if len(request.Uses) > 0 {
		heartbeat.Usage = map[coordinator.ServerKey]allocation.Usage{}
	}
	for _, use := range request.Uses {
		if key, ok := coordinator.ParseServerKey(use.Server); ok {
			heartbeat.Usage[key] = allocation.Usage{Open: int(use.Open), Demand: int(use.Wanted), Granted: int(use.Granted)}
		}
	}
	for _, suspicion := range request.Suspicions {
		heartbeat.Suspicions = append(heartbeat.Suspicions, coordinator.Suspicion{
			Group:     cluster.GroupName(suspicion.Group),
			Term:      cluster.Term(suspicion.Term),
			Kind:      detect.Kind(suspicion.Kind),
			SilentFor: time.Duration(suspicion.SilentMs) * time.Millisecond,
		})
	}
	return heartbeat, nil
}

// responseToProto converts a response to a proxy that has the version from. Its shares are the grants of the message,
// and the part of a share that doesn't expire is the floor of a grant.
func responseToProto(update coordinator.HeartbeatResponse, from cluster.Version) *controlpb.HeartbeatResponse {
	response := &controlpb.HeartbeatResponse{
		Version:      uint64(update.Version),
		Declarations: update.Declarations,
		Revision:     update.Revision,
		LeaderEpoch:  update.Epoch,
		Full:         update.Full,
		GrantsSet:    update.SharesSet,
		PeersSet:     update.PeersSet,
		Drain:        update.Drain,
		MarkKeys:     update.MarkKeys,
	}
	if update.Edit != nil {
		response.Edit = &controlpb.DeclarationsEdit{
			FromVersion: uint64(from), Head: uint32(update.Edit.Head), Tail: uint32(update.Edit.Tail), Middle: update.Edit.Middle, Checksum: update.Checksum,
		}
	}
	for _, group := range update.Groups {
		response.Groups = append(response.Groups, groupToProto(group))
	}
	for _, share := range update.Shares {
		response.Grants = append(response.Grants, &controlpb.Grant{
			Server:      share.Server.String(),
			Connections: uint32(share.Connections),
			Floor:       uint32(share.NonExpiring),
			ExpiresMs:   uint32(share.LeaseDuration.Milliseconds()),
		})
	}
	for _, peer := range update.Peers {
		response.Peers = append(response.Peers, peerToProto(peer))
	}
	return response
}
