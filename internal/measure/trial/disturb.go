package trial

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/measure/fault"
	"github.com/burdockwood/burdockwood/internal/measure/testbed"
)

var errNoTarget = eris.New("there is no such process to disturb now")

// disturbance brings about the faults of a plan. A process that is disturbed
// already is left alone.
type disturbance struct {
	bed     *testbed.System
	started time.Time
	busy    map[any]bool
	done    chan any
}

// faultAt returns when the first fault takes the primary away.
func faultAt(options Options) time.Duration {
	for _, step := range fault.Plan(options.Fault, options.Seed, options.Duration) {
		if step.Target == fault.Primary {
			return step.At
		}
	}
	return options.Duration / 3
}

// disturb brings about the run's faults and returns once they have ended.
func disturb(ctx context.Context, b *testbed.System, options Options, started time.Time) error {
	steps := fault.Plan(options.Fault, options.Seed, options.Duration)
	d := &disturbance{bed: b, started: started, busy: make(map[any]bool), done: make(chan any, len(steps))}
	group, ctx := errgroup.WithContext(ctx)
	for _, step := range steps {
		if err := sleepUntil(ctx, started.Add(step.At)); err != nil {
			break
		}
		d.forget()
		process, begin, end, ok := d.find(step)
		if !ok || d.busy[process] {
			continue
		}
		d.busy[process] = true
		group.Go(func() error {
			defer func() { d.done <- process }()
			if err := begin(); err != nil {
				return err
			}
			// The fault ends even if the run is given up.
			_ = sleepUntil(ctx, started.Add(step.Until))
			return end()
		})
	}
	return group.Wait()
}

// forget frees the processes whose fault has ended.
func (d *disturbance) forget() {
	for {
		select {
		case process := <-d.done:
			delete(d.busy, process)
		default:
			return
		}
	}
}

// find returns the process of a step and how its fault begins and ends.
func (d *disturbance) find(step fault.Step) (process any, begin, end func() error, ok bool) {
	switch step.Target {
	case fault.Proxy:
		p := d.bed.Proxies()[step.Index%len(d.bed.Proxies())]
		return p, p.Kill, p.Restart, true
	case fault.ControlLeader:
		c := d.bed.Leader()
		if c == nil {
			return nil, nil, nil, false
		}
		begin, end = controlFault(c, step)
		return c, begin, end, true
	case fault.Control:
		c := d.bed.ControlNodes()[step.Index%len(d.bed.ControlNodes())]
		begin, end = controlFault(c, step)
		return c, begin, end, true
	default:
		s, err := d.server(step)
		if err != nil {
			return nil, nil, nil, false
		}
		begin, end = d.serverFault(s, step)
		return s, begin, end, true
	}
}

func controlFault(c *testbed.ControlNode, step fault.Step) (begin, end func() error) {
	switch step.Action {
	case fault.Kill:
		return c.Kill, nothing(c.Restart)
	case fault.Wipe:
		return c.Wipe, nothing(c.Restart)
	case fault.CutAllButOne:
		return nothing(c.CutAllButOne), nothing(c.Heal)
	default:
		return nothing(c.Cut), nothing(c.Heal)
	}
}

func (d *disturbance) serverFault(s *testbed.Server, step fault.Step) (begin, end func() error) {
	switch step.Action {
	case fault.Kill:
		return nothing(s.Kill), s.Restart
	case fault.Wipe:
		return s.Wipe, s.Restart
	case fault.Freeze:
		return nothing(s.Freeze), nothing(s.Heal)
	case fault.CutFromControl:
		return nothing(s.CutFromControl), nothing(s.Heal)
	case fault.CutFromProxy:
		p := d.bed.Proxies()[step.Index%len(d.bed.Proxies())]
		return nothing(func() { s.CutFromProxy(p) }), nothing(func() { s.HealProxy(p) })
	default:
		return nothing(s.Cut), nothing(s.Heal)
	}
}

// server returns the primary, or a replica that isn't disturbed.
func (d *disturbance) server(step fault.Step) (*testbed.Server, error) {
	primary := d.bed.Primary()
	if step.Target == fault.Primary {
		if primary == nil {
			return nil, errNoTarget
		}
		return primary, nil
	}
	for _, s := range d.bed.Servers() {
		if s != primary && !d.busy[s] {
			return s, nil
		}
	}
	return nil, errNoTarget
}

// nothing makes a function that can't fail one that doesn't.
func nothing(fn func()) func() error {
	return func() error {
		fn()
		return nil
	}
}
