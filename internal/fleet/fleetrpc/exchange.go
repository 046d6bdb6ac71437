package fleetrpc

import (
	"context"
	"errors"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/coordinator"
	"github.com/burdockwood/burdockwood/internal/fleet/protoconv"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
)

// Exchange records what a proxy holds of customers' limits; see fleetpb.Fleet. If this
// node doesn't lead, the response names the leader if this node knows it.
func (s *Service) Exchange(ctx context.Context, request *fleetpb.ExchangeRequest) (*fleetpb.ExchangeResponse, error) {
	exchanged, err := s.options.Coordinator.Exchange(ctx, protoconv.ExchangeFromProto(request))
	response := &fleetpb.ExchangeResponse{}
	if err != nil {
		if leader, known := s.options.ConsensusLog.Leader(); known && errors.Is(err, coordinator.ErrNotLeader) {
			response.Leader = string(leader.Name)
		}
		s.options.Logger.V(1).Info("exchange not served", "proxy", request.GetProxy(), "error", err.Error())
		return response, nil
	}
	response.Granted, response.Epoch, response.Resync = true, exchanged.Epoch, exchanged.Resync
	response.ValidMs = uint32(exchanged.ValidFor / time.Millisecond)
	response.Allotments = protoconv.AllotmentsToProto(exchanged.Allotments)
	return response, nil
}
