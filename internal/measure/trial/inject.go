package trial

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/measure/fault"
	"github.com/burdockwood/burdockwood/internal/measure/testbed"
)

// errNoTarget is returned if no server is in the state that a step asks for.
var errNoTarget = eris.New("no server to inject the fault into")

// injector injects the faults of a plan. It skips a step if no process fits or if
// the process has another fault at that time.
type injector struct {
	system  *testbed.System
	started time.Time
	// faulty holds the processes that have a fault.
	faulty map[any]bool
	// recovered receives each process whose fault has ended.
	recovered chan any
}

// primaryFaultTime returns when the first fault of the primary starts, or a third
// of the run if the plan has none.
func primaryFaultTime(options Options) time.Duration {
	for _, step := range fault.Plan(options.Fault, options.Seed, options.Duration) {
		if step.Target == fault.Primary {
			return step.At
		}
	}
	return options.Duration / 3
}

// injectFaults injects the run's faults and returns once they have ended.
func injectFaults(ctx context.Context, system *testbed.System, options Options, started time.Time) error {
	steps := fault.Plan(options.Fault, options.Seed, options.Duration)
	inj := &injector{system: system, started: started, faulty: make(map[any]bool), recovered: make(chan any, len(steps))}
	group, ctx := errgroup.WithContext(ctx)
	for _, step := range steps {
		if err := sleepUntil(ctx, started.Add(step.At)); err != nil {
			break
		}
		inj.releaseRecovered()
		process, begin, end, ok := inj.resolve(step)
		if !ok || inj.faulty[process] {
			continue
		}
		inj.faulty[process] = true
		group.Go(func() error {
			defer func() { inj.recovered <- process }()
			if err := begin(); err != nil {
				return err
			}
			// The fault is ended even if the run is cancelled.
			_ = sleepUntil(ctx, started.Add(step.Until))
			return end()
		})
	}
	return group.Wait()
}

// releaseRecovered removes the processes whose fault has ended from inj.faulty.
func (inj *injector) releaseRecovered() {
	for {
		select {
		case process := <-inj.recovered:
			delete(inj.faulty, process)
		default:
			return
		}
	}
}

// resolve returns the process that a step affects and the functions that begin and
// end its fault. ok is false if there is no such process.
func (inj *injector) resolve(step fault.Step) (process any, begin, end func() error, ok bool) {
	switch step.Target {
	case fault.Proxy:
		p := inj.system.Proxies()[step.Index%len(inj.system.Proxies())]
		return p, p.Kill, p.Restart, true
	case fault.ControlLeader:
		c := inj.system.Leader()
		if c == nil {
			return nil, nil, nil, false
		}
		begin, end = controlFault(c, step)
		return c, begin, end, true
	case fault.Control:
		c := inj.system.ControlNodes()[step.Index%len(inj.system.ControlNodes())]
		begin, end = controlFault(c, step)
		return c, begin, end, true
	default:
		s, err := inj.selectServer(step)
		if err != nil {
			return nil, nil, nil, false
		}
		begin, end = inj.serverFault(s, step)
		return s, begin, end, true
	}
}

// controlFault returns the functions that begin and end the fault of a control node.
func controlFault(c *testbed.ControlNode, step fault.Step) (begin, end func() error) {
	switch step.Action {
	case fault.Kill:
		return c.Kill, withoutError(c.Restart)
	case fault.Wipe:
		return c.Wipe, withoutError(c.Restart)
	case fault.CutAllButOne:
		return withoutError(c.CutAllButOne), withoutError(c.Heal)
	default:
		return withoutError(c.Cut), withoutError(c.Heal)
	}
}

// serverFault returns the functions that begin and end the fault of a server.
func (inj *injector) serverFault(s *testbed.Server, step fault.Step) (begin, end func() error) {
	switch step.Action {
	case fault.Kill:
		return withoutError(s.Kill), s.Restart
	case fault.Wipe:
		return s.Wipe, s.Restart
	case fault.Freeze:
		return withoutError(s.Freeze), withoutError(s.Heal)
	case fault.CutFromControl:
		return withoutError(s.CutFromControl), withoutError(s.Heal)
	case fault.CutFromProxy:
		p := inj.system.Proxies()[step.Index%len(inj.system.Proxies())]
		return withoutError(func() { s.CutFromProxy(p) }), withoutError(func() { s.HealProxy(p) })
	default:
		return withoutError(s.Cut), withoutError(s.Heal)
	}
}

// selectServer returns the primary if the step targets it, else a replica without a
// fault. Errors: errNoTarget.
func (inj *injector) selectServer(step fault.Step) (*testbed.Server, error) {
	primary := inj.system.Primary()
	if step.Target == fault.Primary {
		if primary == nil {
			return nil, errNoTarget
		}
		return primary, nil
	}
	for _, s := range inj.system.Servers() {
		if s != primary && !inj.faulty[s] {
			return s, nil
		}
	}
	return nil, errNoTarget
}

// withoutError adapts a function that can't fail to the type of those that can.
func withoutError(fn func()) func() error {
	return func() error {
		fn()
		return nil
	}
}
