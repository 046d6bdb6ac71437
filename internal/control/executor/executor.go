// Package executor executes the actions that the coordinator decides on:
// commands to commit, calls to backend servers and probes.
//
// # Usage
//
//	e := executor.New(coordinator, consensusLog, dial, logger)
//	group.Go(func() error { return e.Run(ctx) })
//
// Actions run concurrently up to a limit. Each has a timeout, so that a server
// that doesn't answer delays no other group.
package executor

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
	"github.com/burdockwood/burdockwood/internal/control/consensus"
	"github.com/burdockwood/burdockwood/internal/control/coordinator"
	"github.com/burdockwood/burdockwood/internal/control/detect"
	"github.com/burdockwood/burdockwood/internal/control/failover"
	"github.com/burdockwood/burdockwood/internal/control/state"
)

const (
	// maxConcurrentActions is the maximum number of actions that run at the
	// same time.
	maxConcurrentActions = 256
	// probeTimeout is the timeout of a probe of a primary.
	probeTimeout = 250 * time.Millisecond
	// proposeTimeout is the timeout of the commit of a command.
	proposeTimeout = time.Second
)

// Executor executes the coordinator's actions.
type Executor struct {
	coordinator  *coordinator.Coordinator
	consensusLog consensus.Log
	callPool     *pool
	// probePool is separate from callPool, so that a probe never waits for a
	// slow call on the same connection.
	probePool *pool
	logger    logr.Logger
}

// New returns an executor. Run starts it.
func New(c *coordinator.Coordinator, consensusLog consensus.Log, dial Dial, logger logr.Logger) *Executor {
	return &Executor{coordinator: c, consensusLog: consensusLog, callPool: newPool(dial), probePool: newPool(dial), logger: logger}
}

// Run executes actions until ctx ends, then waits for those in flight.
func (e *Executor) Run(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(maxConcurrentActions)
	for {
		select {
		case <-ctx.Done():
			err := group.Wait()
			e.callPool.close()
			e.probePool.close()
			return err
		case action := <-e.coordinator.Actions():
			group.Go(func() error {
				e.execute(ctx, action)
				return nil
			})
		}
	}
}

func (e *Executor) execute(ctx context.Context, action coordinator.Action) {
	switch {
	case action.Command != nil:
		e.propose(ctx, *action.Command)
	case action.Probe != nil:
		e.probe(ctx, *action.Probe)
	case action.Failover != nil:
		event := e.performFailover(ctx, *action.Failover)
		e.coordinator.HandleEvent(event, time.Now())
	}
}

func (e *Executor) propose(ctx context.Context, command state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := state.Propose(ctx, e.consensusLog, command)
	if err != nil {
		e.logger.V(1).Info("command failed, or its outcome is unknown", "error", err.Error())
	}
	return result, err
}

// probe asks a primary for its status and reports the outcome to the
// coordinator.
func (e *Executor) probe(ctx context.Context, probe coordinator.Probe) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := e.probePool.withServer(ctx, probe.Address, func(server adapter.Server) error {
		_, err := server.Status(ctx)
		return err
	})
	e.coordinator.HandleProbeResult(probe, faultKind(err), time.Now())
}

// faultKind returns the kind of fault that the error of a probe indicates. It is
// empty if the server answered, even if it answered with an error.
func faultKind(err error) detect.Kind {
	switch {
	case err == nil, !errors.Is(err, adapter.ErrUnreachable):
		return ""
	case errors.Is(err, syscall.ECONNREFUSED):
		return detect.KindRefused
	case isTimeout(err):
		return detect.KindTimeout
	default:
		return detect.KindReset
	}
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &timeout) && timeout.Timeout())
}

// performFailover executes an action of a failover plan and returns its
// outcome.
func (e *Executor) performFailover(ctx context.Context, action failover.Action) failover.Event {
	event := failover.Event{Action: action, Outcome: failover.OutcomeFailed}
	command, ok := commandFor(action)
	if ok {
		result, err := e.propose(ctx, command)
		if err == nil && result.Done {
			event.Outcome = failover.OutcomeDone
		}
		e.logCommand(action, result, err)
		return event
	}
	ctx, cancel := context.WithTimeout(ctx, failover.CallTimeout)
	defer cancel()
	err := e.callPool.withServer(ctx, action.Address, func(server adapter.Server) error {
		return call(ctx, server, action, &event)
	})
	switch {
	case err == nil:
		event.Outcome = failover.OutcomeDone
	case errors.Is(err, adapter.ErrStaleTerm):
		event.Outcome = failover.OutcomeStale
	case errors.Is(err, errLostDisk):
		event.Outcome = failover.OutcomeLostDisk
	}
	if err != nil {
		e.logger.V(1).Info("call to a backend server failed", "group", action.Group, "server", action.Server,
			"action", action.Kind.String(), "term", action.Term, "error", err.Error())
	}
	return event
}

// call makes the call that an action describes. It sets the event's StatusBefore to
// the server's status before the call, and Status to the one after it.
func call(ctx context.Context, server adapter.Server, action failover.Action, event *failover.Event) error {
	before, err := server.Status(ctx)
	if err != nil {
		return err
	}
	event.StatusBefore = before
	if before.Group != action.Group || before.Server != action.Server {
		return errWrongServer
	}
	if before.Promised < action.MinPromised {
		return errLostDisk
	}
	switch action.Kind {
	case failover.ActionPromise:
		event.Status, err = server.Promise(ctx, action.Term)
	case failover.ActionWaitForLog:
		event.Status, err = server.Wait(ctx, action.Position, failover.LogWaitTimeout)
	case failover.ActionPromote:
		event.Status, err = server.Promote(ctx, action.Term)
	case failover.ActionFollow:
		event.Status, err = server.Follow(ctx, action.Term, action.Primary)
	}
	return err
}

// commandFor returns the command of an action that is committed in control's
// log, and false if the action is a call to a server.
func commandFor(action failover.Action) (state.Command, bool) {
	command := state.Command{UnixMS: time.Now().UnixMilli()}
	switch action.Kind {
	case failover.ActionBeginTerm:
		command.Begin = &action.BeginTerm
	case failover.ActionCommitTerm:
		command.Commit = &action.CommitTerm
	case failover.ActionSetRepairing:
		command.Members = &state.SetMembers{Group: action.Group, Set: []state.Member{action.Member}}
	default:
		return state.Command{}, false
	}
	return command, true
}

func (e *Executor) logCommand(action failover.Action, result state.Result, err error) {
	if err != nil || !result.Done {
		e.logger.V(1).Info("failover command failed or had no effect", "group", action.Group, "action", action.Kind.String(), "reason", result.Reason)
		return
	}
	switch action.Kind {
	case failover.ActionBeginTerm:
		e.logger.Info("term begun", "group", action.Group, "term", uint64(result.Term), "reason", string(action.BeginTerm.Reason))
	case failover.ActionCommitTerm:
		e.logger.Info("term in force", "group", action.Group, "term", uint64(result.Term), "primary", string(action.CommitTerm.Primary))
	case failover.ActionSetRepairing:
		e.logger.Info("voter's repair state changed", "group", action.Group, "server", action.Server, "repairing", action.Member.Repairing)
	}
}
