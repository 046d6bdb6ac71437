// Package fault plans what is brought about in a run.
//
// # Usage
//
//	for _, step := range fault.Plan(fault.Chaos, seed, 24*time.Second) {
//		// At step.At do step.Action to step.Target, and end it at step.Until.
//	}
//
// A plan depends on its arguments alone.
package fault

import (
	"math/rand/v2"
	"time"
)

const (
	// None brings about no fault.
	None Kind = "none"
	// PrimaryKilled ends the primary without a farewell and starts it again later.
	PrimaryKilled Kind = "kill"
	// PrimaryFrozen stops the primary's traffic without closing anything.
	PrimaryFrozen Kind = "freeze"
	// PrimaryCutOff separates the primary from control and its replicas.
	PrimaryCutOff Kind = "cut"
	// Overload doubles the rate of requests for a while.
	Overload Kind = "overload"
	// PrimaryCutFromProxy separates the primary from one proxy only.
	PrimaryCutFromProxy Kind = "proxy-cut"
	// PrimaryCutFromControl separates the primary from control only.
	PrimaryCutFromControl Kind = "control-cut"
	// ControlNodeCutOff cuts off a control node and kills the primary meanwhile.
	ControlNodeCutOff Kind = "control-lost"
	// ProxyKilled ends a proxy without a farewell.
	ProxyKilled Kind = "proxy-kill"
	// ReplicaDiskLost loses a replica's disk while the other replica is behind,
	// and kills the primary right after.
	ReplicaDiskLost Kind = "server-disk"
	// ControlDiskLost loses a control node's disk, kills a second node after the
	// repair, and then the primary.
	ControlDiskLost Kind = "control-disk"
	// ControlLeaderPartitioned leaves control's leader one other node only, without
	// servers and proxies, and kills the primary meanwhile.
	ControlLeaderPartitioned Kind = "control-partial"
	// Chaos brings about many of these, some together.
	Chaos Kind = "chaos"

	// Kill ends a process without a farewell; its end starts it again.
	Kill Action = iota
	// Freeze holds all traffic of a process.
	Freeze
	// Cut separates a process: a server from control and its replicas, a
	// control node from everything.
	Cut
	// CutFromProxy separates a server from one proxy.
	CutFromProxy
	// CutFromControl separates a server from control.
	CutFromControl
	// CutAllButOne separates a control node from all but one other.
	CutAllButOne
	// Wipe kills a process and deletes its data folder; its end starts it
	// again.
	Wipe

	// Primary is the server that is primary when the step begins.
	Primary Target = iota
	// Replica is a server that is not.
	Replica
	// Proxy is a proxy.
	Proxy
	// Control is a control node.
	Control
	// ControlLeader is the control node that leads when the step begins.
	ControlLeader

	// behindFor is how long the frozen replica misses writes.
	behindFor = time.Second
	// wipePause is the time between the loss of a disk and the restart.
	wipePause = 100 * time.Millisecond
	controls  = 3

	chaosPause   = 1500 * time.Millisecond
	chaosLongest = 2500 * time.Millisecond
	chaosQuiet   = 4 * time.Second
)

type (
	// Kind is the fault of a run.
	Kind string
	// Action is what is done to a process.
	Action uint8
	// Target is the kind of a process.
	Target uint8

	// Step is one fault of a plan.
	Step struct {
		At     time.Duration
		Until  time.Duration
		Action Action
		Target Target
		// Index chooses among proxies and control nodes.
		Index int
	}

	choice struct {
		action Action
		target Target
	}
)

var chaosChoices = []choice{
	{Kill, Primary}, {Kill, Primary}, {Freeze, Primary}, {Cut, Primary},
	{Kill, Replica}, {Freeze, Replica}, {Kill, Proxy}, {CutFromProxy, Primary},
	{CutFromControl, Primary}, {Kill, ControlLeader}, {Cut, Control}, {CutAllButOne, ControlLeader},
}

// Kinds returns every kind.
func Kinds() []Kind {
	return []Kind{None, PrimaryKilled, PrimaryFrozen, PrimaryCutOff, Overload, PrimaryCutFromProxy, PrimaryCutFromControl, ControlNodeCutOff, ProxyKilled, ReplicaDiskLost, ControlDiskLost, ControlLeaderPartitioned, Chaos}
}

// CausesFailover reports whether the kind takes the primary away, so that a
// failover is expected.
func (k Kind) CausesFailover() bool {
	switch k {
	case PrimaryKilled, PrimaryFrozen, PrimaryCutOff, ControlNodeCutOff, ReplicaDiskLost, ControlDiskLost, ControlLeaderPartitioned, Chaos:
		return true
	}
	return false
}

// Plan returns the steps of a run of the given length, by time of beginning.
// Single faults last the second third of the run.
func Plan(kind Kind, seed uint64, length time.Duration) []Step {
	step := Step{At: length / 3, Until: length * 2 / 3, Target: Primary}
	switch kind {
	case PrimaryKilled:
		step.Action = Kill
	case PrimaryFrozen:
		step.Action = Freeze
	case PrimaryCutOff:
		step.Action = Cut
	case PrimaryCutFromProxy:
		step.Action = CutFromProxy
	case PrimaryCutFromControl:
		step.Action = CutFromControl
	case ProxyKilled:
		step.Action, step.Target = Kill, Proxy
	case ControlNodeCutOff:
		lost := Step{At: length / 6, Until: step.Until, Action: Cut, Target: Control, Index: int(seed % controls)}
		step.Action = Kill
		return []Step{lost, step}
	case ControlLeaderPartitioned:
		partly := Step{At: length / 6, Until: step.Until, Action: CutAllButOne, Target: ControlLeader}
		step.Action = Kill
		return []Step{partly, step}
	case ReplicaDiskLost:
		return serverDisk(length)
	case ControlDiskLost:
		return controlDisk(seed, length)
	case Chaos:
		return chaos(seed, length)
	default:
		return nil
	}
	return []Step{step}
}

// serverDisk lets one replica miss writes that the other holds, and takes
// that one's disk and the primary: no majority has the writes until the
// primary is back.
func serverDisk(length time.Duration) []Step {
	at := length / 3
	wiped := at + behindFor
	return []Step{
		{At: at, Until: wiped + 4*wipePause, Action: Freeze, Target: Replica},
		{At: wiped, Until: wiped + wipePause, Action: Wipe, Target: Replica},
		{At: wiped, Until: length * 2 / 3, Action: Kill, Target: Primary},
	}
}

// controlDisk loses a second node once the first has had time for its repair.
func controlDisk(seed uint64, length time.Duration) []Step {
	first := int(seed % controls)
	return []Step{
		{At: length / 6, Until: length/6 + wipePause, Action: Wipe, Target: Control, Index: first},
		{At: length / 3, Until: length * 2 / 3, Action: Kill, Target: Control, Index: first + 1},
		{At: length / 2, Until: length * 2 / 3, Action: Kill, Target: Primary},
	}
}

// chaos draws steps that may overlap, with a quiet time at the end.
func chaos(seed uint64, length time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, uint64(length)))
	var steps []Step
	for at := chaosPause; at < length-chaosQuiet; {
		c := chaosChoices[random.IntN(len(chaosChoices))]
		lasts := chaosLongest/4 + time.Duration(random.Int64N(int64(chaosLongest*3/4)))
		steps = append(steps, Step{At: at, Until: at + lasts, Action: c.action, Target: c.target, Index: random.IntN(1 << 16)})
		at += time.Duration(random.Int64N(int64(2 * chaosPause)))
	}
	return steps
}
