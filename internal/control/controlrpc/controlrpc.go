// Package controlrpc implements controlpb.Control, the RPC service for proxies,
// backend servers and operators.
//
// # Usage
//
//	handler := controlpb.NewControlServer(controlrpc.New(controlrpc.Options{...}))
//
// It serves a deployment in which the backend servers fence replaced primaries by
// promising to refuse lower terms; internal/fleet/fleetrpc serves one in which
// leases of the proxies fence them.
//
// A node that doesn't lead responds with the error of leader.NewNotLeaderError.
// A response that contains committed state is sent only after a quorum has
// confirmed, later than the request arrived, that this node leads. Waiting
// requests share confirmations.
package controlrpc

import (
	"context"
	"errors"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"github.com/burdockwood/burdockwood/internal/control/consensus"
	"github.com/burdockwood/burdockwood/internal/control/coordinator"
	"github.com/burdockwood/burdockwood/internal/control/registry"
	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
	"github.com/burdockwood/burdockwood/internal/rpc/leader"
)

const (
	// confirmTimeout bounds a confirmation of leadership.
	confirmTimeout = 500 * time.Millisecond
	// proposeTimeout bounds the commit of an operator's command.
	proposeTimeout = 2 * time.Second
	// maxLongPoll bounds the time for which a heartbeat waits for an update.
	maxLongPoll = 2 * time.Second
)

type (
	// CheckDeclarations returns why a text can't be accepted as declarations,
	// or nil if it can.
	CheckDeclarations func(text string) error

	// Options are the dependencies of a Service.
	Options struct {
		Coordinator       *coordinator.Coordinator
		StateMachine      *state.Machine
		ConsensusLog      consensus.Log
		CheckDeclarations CheckDeclarations
		Logger            logr.Logger
	}

	// Service implements controlpb.Control.
	Service struct {
		options   Options
		confirmer confirmer
	}
)

var _ controlpb.Control = (*Service)(nil)

// New returns a service.
func New(options Options) *Service {
	s := &Service{options: options}
	s.confirmer.confirm = options.ConsensusLog.ConfirmLeadership
	return s
}

// confirmLeadership returns nil once a quorum has confirmed that this node
// leads.
func (s *Service) confirmLeadership(ctx context.Context) error {
	if err := s.confirmer.wait(ctx); err != nil {
		return s.rpcError(err)
	}
	return nil
}

// propose commits a command and returns its result.
func (s *Service) propose(ctx context.Context, command state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	command.UnixMS = time.Now().UnixMilli()
	result, err := state.Propose(ctx, s.options.ConsensusLog, command)
	if err != nil {
		return result, s.rpcError(err)
	}
	return result, nil
}

// rpcError returns the twirp error for an error of the layers below.
func (s *Service) rpcError(err error) error {
	switch {
	case errors.Is(err, consensus.ErrNotLeader), errors.Is(err, state.ErrNotLeader), errors.Is(err, coordinator.ErrNotLeader):
		return s.notLeaderError()
	case errors.Is(err, state.ErrUnknownOutcome):
		return twirp.NewError(twirp.DeadlineExceeded, "the outcome is unknown: send the same change identifier again")
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled), errors.Is(err, consensus.ErrUnknownOutcome):
		return twirp.NewError(twirp.Unavailable, "no quorum of the control nodes confirmed in time")
	case errors.Is(err, registry.ErrNameTaken), errors.Is(err, registry.ErrAddressTaken):
		return twirp.NewError(twirp.AlreadyExists, errorText(err))
	case errors.Is(err, registry.ErrOldIncarnation), errors.Is(err, registry.ErrFull):
		return twirp.NewError(twirp.FailedPrecondition, errorText(err))
	case errors.Is(err, coordinator.ErrUnknownGroup), errors.Is(err, coordinator.ErrUnknownServer):
		return twirp.NewError(twirp.NotFound, errorText(err))
	default:
		return twirp.NewError(twirp.InvalidArgument, errorText(err))
	}
}

func errorText(err error) string { return eris.ToString(err, false) }

func (s *Service) notLeaderError() error {
	info, ok := s.options.ConsensusLog.Leader()
	if !ok {
		return leader.NewNotLeaderError("")
	}
	return leader.NewNotLeaderError(info.Address.String())
}
