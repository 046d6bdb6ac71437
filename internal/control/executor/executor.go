// Package executor executes what the coordinator decides: commands to commit,
// calls to backend servers and probes.
//
// # Usage
//
//	r := runner.New(coordinator, log, dial, logger)
//	group.Go(func() error { return r.Run(ctx) })
//
// Calls run at once up to a bound, each with a timeout, so that a server that
// doesn't answer holds up no other group.
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
	// maxRunning is the number of actions that run at once.
	maxRunning = 256
	// probeTimeout bounds a probe of a primary.
	probeTimeout = 250 * time.Millisecond
	// proposeTimeout bounds the commit of a command.
	proposeTimeout = time.Second
)

// Runner executes actions.
type Runner struct {
	coordinator *coordinator.Coordinator
	log         consensus.Log
	calls       *pool
	// probes are apart, so that a probe never follows a slow call.
	probes *pool
	logger logr.Logger
}

// New returns a runner that executes nothing yet.
func New(c *coordinator.Coordinator, log consensus.Log, dial Dial, logger logr.Logger) *Runner {
	return &Runner{coordinator: c, log: log, calls: newPool(dial), probes: newPool(dial), logger: logger}
}

// Run executes actions until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(maxRunning)
	for {
		select {
		case <-ctx.Done():
			err := group.Wait()
			r.calls.close()
			r.probes.close()
			return err
		case action := <-r.coordinator.Actions():
			group.Go(func() error {
				r.execute(ctx, action)
				return nil
			})
		}
	}
}

func (r *Runner) execute(ctx context.Context, action coordinator.Action) {
	switch {
	case action.Command != nil:
		r.propose(ctx, *action.Command)
	case action.Probe != nil:
		r.probe(ctx, *action.Probe)
	case action.Failover != nil:
		event := r.perform(ctx, *action.Failover)
		r.coordinator.HandleEvent(event, time.Now())
	}
}

func (r *Runner) propose(ctx context.Context, command state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := state.Propose(ctx, r.log, command)
	if err != nil {
		r.logger.V(1).Info("command not committed", "error", err.Error())
	}
	return result, err
}

// probe asks a primary for its status.
func (r *Runner) probe(ctx context.Context, probe coordinator.Probe) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := r.probes.use(ctx, probe.Address, func(server adapter.Server) error {
		_, err := server.Status(ctx)
		return err
	})
	r.coordinator.HandleProbeResult(probe, kindOf(err), time.Now())
}

// kindOf returns the kind of evidence that an error is; empty for none.
func kindOf(err error) detect.Kind {
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

// perform executes an action of a plan and returns its outcome.
func (r *Runner) perform(ctx context.Context, action failover.Action) failover.Event {
	event := failover.Event{Action: action, Outcome: failover.OutcomeFailed}
	command, ok := commandOf(action)
	if ok {
		result, err := r.propose(ctx, command)
		if err == nil && result.Done {
			event.Outcome = failover.OutcomeDone
		}
		r.logTerm(action, result, err)
		return event
	}
	ctx, cancel := context.WithTimeout(ctx, failover.CallTimeout)
	defer cancel()
	err := r.calls.use(ctx, action.Address, func(server adapter.Server) error {
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
		r.logger.V(1).Info("call to a backend server failed", "group", action.Group, "server", action.Server,
			"action", action.Kind.String(), "term", action.Term, "error", err.Error())
	}
	return event
}

// call makes the call that an action names and fills the event.
func call(ctx context.Context, server adapter.Server, action failover.Action, event *failover.Event) error {
	before, err := server.Status(ctx)
	if err != nil {
		return err
	}
	event.Before = before
	if before.Group != action.Group || before.Server != action.Server {
		return errWrongServer
	}
	if before.Promised < action.MinPromised {
		return errLostDisk
	}
	switch action.Kind {
	case failover.Promise:
		event.Status, err = server.Promise(ctx, action.Term)
	case failover.Wait:
		event.Status, err = server.Wait(ctx, action.Mark, failover.WaitTimeout)
	case failover.Promote:
		event.Status, err = server.Promote(ctx, action.Term)
	case failover.Follow:
		event.Status, err = server.Follow(ctx, action.Term, action.Primary)
	}
	return err
}

// commandOf returns the command of an action that is committed.
func commandOf(action failover.Action) (state.Command, bool) {
	command := state.Command{UnixMS: time.Now().UnixMilli()}
	switch action.Kind {
	case failover.Begin:
		command.Begin = &action.Begin
	case failover.Commit:
		command.Commit = &action.Commit
	case failover.Repair:
		command.Members = &state.SetMembers{Group: action.Group, Set: []state.Member{action.Member}}
	default:
		return state.Command{}, false
	}
	return command, true
}

func (r *Runner) logTerm(action failover.Action, result state.Result, err error) {
	if err != nil || !result.Done {
		r.logger.V(1).Info("command not done", "group", action.Group, "action", action.Kind.String(), "reason", result.Reason)
		return
	}
	switch action.Kind {
	case failover.Begin:
		r.logger.Info("term begun", "group", action.Group, "term", uint64(result.Term), "reason", string(action.Begin.Reason))
	case failover.Commit:
		r.logger.Info("term in force", "group", action.Group, "term", uint64(result.Term), "primary", string(action.Commit.Primary))
	case failover.Repair:
		r.logger.Info("voter's disk", "group", action.Group, "server", action.Server, "repairing", action.Member.Repairing)
	}
}
