package controlrpc

import (
	"context"
	"net/netip"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/burdockwood/burdockwood/internal/control/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

// Announce handles the announcement of a backend server.
func (s *Service) Announce(_ context.Context, request *controlpb.AnnounceRequest) (*controlpb.AnnounceResponse, error) {
	address, err := netip.ParseAddrPort(request.Address)
	if err != nil {
		return nil, twirp.InvalidArgumentError("address", "want IP:port")
	}
	if err := s.options.Coordinator.Announce(announcementFromProto(request, address), time.Now()); err != nil {
		return nil, s.rpcError(err)
	}
	return &controlpb.AnnounceResponse{IntervalMs: uint32(registry.AnnounceInterval.Milliseconds())}, nil
}

func announcementFromProto(request *controlpb.AnnounceRequest, address netip.AddrPort) cluster.Announcement {
	return cluster.Announcement{
		ServerStatus: cluster.ServerStatus{
			Server:     cluster.ServerName(request.Server),
			Group:      cluster.GroupName(request.Group),
			DataCentre: cluster.DataCentre(request.DataCentre),
			Role:       cluster.ParseRole(request.Role),
			Promised:   cluster.Term(request.Promised),
			Received:   positionFromProto(request.Received),
			Applied:    positionFromProto(request.Applied),
			Leaving:    request.Leaving,
		},
		Address:     address,
		Slots:       int(request.Slots),
		Connections: int(request.Connections),
		Labels:      request.Labels,
		Incarnation: cluster.Incarnation(request.Incarnation),
	}
}
