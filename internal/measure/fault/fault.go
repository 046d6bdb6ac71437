// Package fault plans the faults that are injected in a run.
//
// # Usage
//
//	for _, step := range fault.Plan(fault.Chaos, seed, 24*time.Second) {
//		// From step.At until step.Until, do step.Action to step.Target.
//	}
//
// A plan depends on its arguments alone, so a seed reproduces it.
package fault

import (
	"math/rand/v2"
	"time"
)

const (
	// None injects no fault.
	None Kind = "none"
	// PrimaryKilled kills the primary, without a graceful shutdown, and restarts
	// it later.
	PrimaryKilled Kind = "kill"
	// PrimaryFrozen stops the primary's traffic without closing connections.
	PrimaryFrozen Kind = "freeze"
	// PrimaryCutOff cuts the primary off from control and its replicas.
	PrimaryCutOff Kind = "cut"
	// Overload doubles the rate of requests during the second third of the run.
	Overload Kind = "overload"
	// PrimaryCutFromProxy cuts the primary off from one proxy only.
	PrimaryCutFromProxy Kind = "proxy-cut"
	// PrimaryCutFromControl cuts the primary off from control only.
	PrimaryCutFromControl Kind = "control-cut"
	// ControlNodeCutOff cuts off a control node and kills the primary meanwhile.
	ControlNodeCutOff Kind = "control-lost"
	// ProxyKilled kills a proxy, without a graceful shutdown, and restarts it
	// later.
	ProxyKilled Kind = "proxy-kill"
	// ReplicaDiskLost deletes a replica's disk while the other replica is frozen,
	// and kills the primary at the same time.
	ReplicaDiskLost Kind = "server-disk"
	// ControlDiskLost deletes a control node's disk, kills a second node once the
	// first has had the time to be repaired, and then the primary.
	ControlDiskLost Kind = "control-disk"
	// ControlLeaderPartitioned cuts control's leader off from all servers, all
	// proxies and all but one of the other nodes, and kills the primary
	// meanwhile.
	ControlLeaderPartitioned Kind = "control-partial"
	// Chaos injects many faults at random times, some of which overlap.
	Chaos Kind = "chaos"

	// Kill stops a process without a graceful shutdown; at the end of the step
	// the process is restarted.
	Kill Action = iota
	// Freeze holds all traffic of a process.
	Freeze
	// Cut cuts a server off from control and its replicas, or a control node
	// from everything.
	Cut
	// CutFromProxy cuts a server off from one proxy.
	CutFromProxy
	// CutFromControl cuts a server off from control.
	CutFromControl
	// CutAllButOne cuts a control node off from everything but one other node.
	CutAllButOne
	// Wipe kills a process and deletes its data folder; at the end of the step
	// the process is restarted.
	Wipe

	// Primary is the server that is primary when the step begins.
	Primary Target = iota
	// Replica is a server that isn't primary then.
	Replica
	// Proxy is a proxy.
	Proxy
	// Control is a control node.
	Control
	// ControlLeader is the control node that leads when the step begins.
	ControlLeader

	// replicaFreezeTime is how long a replica has been frozen when the other
	// one's disk is deleted.
	replicaFreezeTime = time.Second
	// restartDelay is the time between the loss of a disk and the restart.
	restartDelay = 100 * time.Millisecond
	controlNodes = 3

	// meanChaosInterval is the mean time between the starts of two faults.
	meanChaosInterval = 1500 * time.Millisecond
	maxChaosDuration  = 2500 * time.Millisecond
	// chaosQuietTime is the end of a run in which no fault starts.
	chaosQuietTime = 4 * time.Second
)

type (
	// Kind is the kind of fault that a run injects, as the flag --fault names
	// it.
	Kind string
	// Action is what a step does to a process.
	Action uint8
	// Target says which process a step affects.
	Target uint8

	// Step is one fault of a plan. At and Until are offsets from the start of
	// the run.
	Step struct {
		At     time.Duration
		Until  time.Duration
		Action Action
		Target Target
		// Index chooses one of the proxies or control nodes, modulo their
		// number.
		Index int
	}

	// actionOnTarget is a fault without its time.
	actionOnTarget struct {
		action Action
		target Target
	}
)

// chaosChoices are the faults from which Chaos draws; one that is listed twice is
// drawn twice as often.
var chaosChoices = []actionOnTarget{
	{Kill, Primary}, {Kill, Primary}, {Freeze, Primary}, {Cut, Primary},
	{Kill, Replica}, {Freeze, Replica}, {Kill, Proxy}, {CutFromProxy, Primary},
	{CutFromControl, Primary}, {Kill, ControlLeader}, {Cut, Control}, {CutAllButOne, ControlLeader},
}

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{None, PrimaryKilled, PrimaryFrozen, PrimaryCutOff, Overload, PrimaryCutFromProxy, PrimaryCutFromControl, ControlNodeCutOff, ProxyKilled, ReplicaDiskLost, ControlDiskLost, ControlLeaderPartitioned, Chaos}
}

// CausesFailover reports whether the fault makes the primary unavailable, so that
// a failover is expected.
func (k Kind) CausesFailover() bool {
	switch k {
	case PrimaryKilled, PrimaryFrozen, PrimaryCutOff, ControlNodeCutOff, ReplicaDiskLost, ControlDiskLost, ControlLeaderPartitioned, Chaos:
		return true
	}
	return false
}

// Plan returns the steps of a run of the given length, ordered by At. A fault of
// one step lasts during the second third of the run. Plan returns nil for None,
// Overload and unknown kinds.
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
		cutOff := Step{At: length / 6, Until: step.Until, Action: Cut, Target: Control, Index: int(seed % controlNodes)}
		step.Action = Kill
		return []Step{cutOff, step}
	case ControlLeaderPartitioned:
		partition := Step{At: length / 6, Until: step.Until, Action: CutAllButOne, Target: ControlLeader}
		step.Action = Kill
		return []Step{partition, step}
	case ReplicaDiskLost:
		return planReplicaDiskLost(length)
	case ControlDiskLost:
		return planControlDiskLost(seed, length)
	case Chaos:
		return planChaos(seed, length)
	default:
		return nil
	}
	return []Step{step}
}

// planReplicaDiskLost freezes one replica, which proxies and control then can't
// reach, and replicaFreezeTime later deletes the other replica's disk and kills the
// primary. Writes that only these two had received are on no majority until the
// primary is back. The frozen replica still receives the log, since it opens its
// replication connection itself; see testbed.Server.Freeze.
func planReplicaDiskLost(length time.Duration) []Step {
	at := length / 3
	wiped := at + replicaFreezeTime
	return []Step{
		{At: at, Until: wiped + 4*restartDelay, Action: Freeze, Target: Replica},
		{At: wiped, Until: wiped + restartDelay, Action: Wipe, Target: Replica},
		{At: wiped, Until: length * 2 / 3, Action: Kill, Target: Primary},
	}
}

// planControlDiskLost deletes the disk of one node, kills a second node once the
// first has had the time to be repaired, and then kills the primary.
func planControlDiskLost(seed uint64, length time.Duration) []Step {
	first := int(seed % controlNodes)
	return []Step{
		{At: length / 6, Until: length/6 + restartDelay, Action: Wipe, Target: Control, Index: first},
		{At: length / 3, Until: length * 2 / 3, Action: Kill, Target: Control, Index: first + 1},
		{At: length / 2, Until: length * 2 / 3, Action: Kill, Target: Primary},
	}
}

// planChaos draws random steps that may overlap. None of them starts during the
// first meanChaosInterval and the last chaosQuietTime of the run.
func planChaos(seed uint64, length time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, uint64(length)))
	var steps []Step
	for at := meanChaosInterval; at < length-chaosQuietTime; {
		c := chaosChoices[random.IntN(len(chaosChoices))]
		lasts := maxChaosDuration/4 + time.Duration(random.Int64N(int64(maxChaosDuration*3/4)))
		steps = append(steps, Step{At: at, Until: at + lasts, Action: c.action, Target: c.target, Index: random.IntN(1 << 16)})
		at += time.Duration(random.Int64N(int64(2 * meanChaosInterval)))
	}
	return steps
}
