// Package succession decides when the primary of a group is replaced, and by
// which server. It does no input or output.
//
// # Usage
//
//	verdict := succession.Judge(situation, now)
//	if verdict.Kind == succession.Replace {
//		// recall the leases of the term, ask all servers for their status
//	}
//	target, ok := succession.Choose(statuses, servers, rule)
//
// # Load patterns and failures that the decisions answer
//
// A primary that ends on purpose (it drains) is replaced while it still
// serves, so that callers wait for milliseconds. One that nobody can reach is
// replaced as soon as proxies that use it and a probe of control agree. One
// that answers some proxies is replaced only if many can't reach it for long each:
// a change rolls back what no replica has received.
package failover

import (
	"cmp"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// Keep leaves the primary as it is.
	Keep Action = iota
	// Adopt takes the server that says it is the primary: none is known yet.
	Adopt
	// Probe asks for a probe of the primary before anything is decided.
	Probe
	// Replace begins a change of primary.
	Replace
)

const (
	// sightAge is the age above which a proxy's sight of a server doesn't
	// count any more: two renewals.
	sightAge = 2500 * time.Millisecond
	// refusedPatience is how long a refused address is waited for: a process
	// that is started again by its supervisor listens within it.
	refusedPatience = 150 * time.Millisecond
	// silentPatience is how long a primary may be silent to all proxies with
	// work outstanding: one slow statement doesn't silence it to the others.
	silentPatience = 450 * time.Millisecond
	// heardMargin is how much later than the first failure a sign of life
	// must be to contradict it: answers that were on their way.
	heardMargin = 50 * time.Millisecond
	// partPatience is how long part of the proxies may be without the
	// primary before the others pay for a change.
	partPatience = 1200 * time.Millisecond
	// changePause is the least time between two changes that only part of
	// the proxies need: what one of them cuts off, the next would too.
	changePause = 6 * time.Second
	// partShare is the share of proxies that makes a change worth its cost.
	partShare = 0.3
	// unheardPatience is the silence of announcements, with no proxy that
	// tells of success, after which a primary is probed.
	unheardPatience = 3 * time.Second
	// probeAge is how long the result of a probe counts.
	probeAge = 600 * time.Millisecond
	// roleGrace is how long a server's own view of its role may lag after a
	// change or a start.
	roleGrace = 1500 * time.Millisecond
)

type (
	// Action is what is to be done.
	Action uint8

	// Observation is what one proxy has told of a server.
	Observation struct {
		// FailingFor is the time since the proxy last heard the server while
		// it tried to; zero: it answers.
		FailingFor time.Duration
		// Refused tells that nobody listens at the server's address.
		Refused bool
		// LastResponse is when the proxy last had a sign of life.
		LastResponse time.Time
		// ReportedAt is when the proxy told it.
		ReportedAt time.Time
	}

	// ProbeResult is the result of control's own try to reach the primary.
	ProbeResult struct {
		At    time.Time
		Alive bool
		// Role is the server's own view, if it is alive.
		Role cluster.Role
	}

	// GroupState is what control knows of a group.
	GroupState struct {
		Primary state.GroupPrimary
		// SettledAt is when the primacy in force was first seen settled.
		SettledAt time.Time
		// DiscoveryDone tells that servers have had the time to announce themselves
		// to this leader.
		DiscoveryDone bool
		Servers       []registry.Server
		// Observations are those of the primary, by proxy.
		Observations map[cluster.ProxyName]Observation
		Probe        ProbeResult
	}

	// Decision is what is to be done, and why.
	Decision struct {
		Action Action
		// Server is the one to adopt.
		Server  cluster.ServerName
		Planned bool
		Reason  string
	}

	// Status is the status of a server, asked after the release of the term.
	Status struct {
		cluster.ServerStatus
		Server cluster.ServerName
	}
)

// Decide decides about a group whose primacy is settled.
func Decide(s GroupState, now time.Time) Decision {
	if s.Primary.Term == 0 {
		return adopt(s)
	}
	primary, known := find(s.Servers, s.Primary.Primary)
	if len(candidates(s.Servers, s.Primary.Primary)) == 0 {
		return Decision{Action: Keep, Reason: "no other server can take over"}
	}
	switch {
	case !known && s.DiscoveryDone:
		return Decision{Action: Replace, Reason: "the primary left or isn't heard any more"}
	case known && primary.Draining:
		return Decision{Action: Replace, Planned: true, Reason: "the primary drains"}
	case known && lostLead(s, primary, now):
		return Decision{Action: Replace, Reason: "the server doesn't see itself as primary"}
	}
	return judgeSights(s, primary, known, now)
}

// adopt takes the one server that sees itself as primary.
func adopt(s GroupState) Decision {
	for _, server := range s.Servers {
		if server.Role == cluster.RolePrimary && !server.Draining {
			return Decision{Action: Adopt, Server: server.Name, Reason: "first primary of the group"}
		}
	}
	if !s.DiscoveryDone || len(s.Servers) == 0 {
		return Decision{Action: Keep}
	}
	return Decision{Action: Replace, Reason: "no server sees itself as primary"}
}

// lostLead reports whether the server has told, after it had the time to learn
// of its role, that it is a replica.
func lostLead(s GroupState, primary registry.Server, now time.Time) bool {
	if primary.Role != cluster.RoleReplica {
		return false
	}
	return now.Sub(s.SettledAt) > roleGrace && primary.LastAnnounced.Sub(s.SettledAt) > roleGrace
}

func judgeSights(s GroupState, primary registry.Server, known bool, now time.Time) Decision {
	answered, failing, worth := weigh(s.Observations, now)
	total := answered + failing
	if failing > 0 && answered == 0 {
		return afterProbe(s, now, worth, "no proxy reaches the primary")
	}
	steady := now.Sub(s.SettledAt) >= changePause
	if parted := partedCount(s.Observations, now); parted > 0 && steady && float64(parted) >= partShare*float64(total) {
		return Decision{Action: Replace, Planned: true, Reason: "many proxies don't reach the primary"}
	}
	unheard := !known || now.Sub(primary.LastAnnounced) > unheardPatience
	if answered == 0 && s.DiscoveryDone && unheard {
		return afterProbe(s, now, true, "the primary is silent and no proxy uses it")
	}
	return Decision{Action: Keep}
}

// weigh counts the proxies by what they see, and tells whether the failures
// have lasted long enough. A proxy that heard the primary before others began to
// miss it, and not since, tells nothing.
func weigh(sights map[cluster.ProxyName]Observation, now time.Time) (answered, failing int, worth bool) {
	began := firstFailure(sights, now)
	for _, sight := range sights {
		switch {
		case !recent(sight, now):
		case sight.FailingFor > 0:
			failing++
			worth = worth || lasted(sight, now)
		case sight.LastResponse.After(began.Add(heardMargin)):
			answered++
		}
	}
	return answered, failing, worth
}

// firstFailure returns when a proxy began to miss the primary; where none does,
// the time before which a sight is too old to count.
func firstFailure(sights map[cluster.ProxyName]Observation, now time.Time) time.Time {
	var began time.Time
	for _, sight := range sights {
		since := sight.ReportedAt.Add(-sight.FailingFor)
		if recent(sight, now) && sight.FailingFor > 0 && (began.IsZero() || since.Before(began)) {
			began = since
		}
	}
	if began.IsZero() {
		return now.Add(-sightAge)
	}
	return began
}

func recent(sight Observation, now time.Time) bool { return now.Sub(sight.ReportedAt) <= sightAge }

// lasted reports whether a failure is long enough for its kind.
func lasted(sight Observation, now time.Time) bool {
	patience := silentPatience
	if sight.Refused {
		patience = refusedPatience
	}
	return now.Sub(sight.ReportedAt.Add(-sight.FailingFor)) >= patience
}

// partedCount counts the proxies that have been without the primary for
// partPatience each. An overloaded primary is silent to many for a short time, a
// cut parts the same ones all the while.
func partedCount(sights map[cluster.ProxyName]Observation, now time.Time) int {
	count := 0
	for _, sight := range sights {
		if recent(sight, now) && sight.FailingFor > 0 && now.Sub(sight.ReportedAt.Add(-sight.FailingFor)) >= partPatience {
			count++
		}
	}
	return count
}

// afterProbe replaces a primary that a recent probe of control didn't reach
// either, once the failure has lasted long enough. The probe begins before that.
func afterProbe(s GroupState, now time.Time, worth bool, reason string) Decision {
	if now.Sub(s.Probe.At) > probeAge || s.Probe.At.IsZero() {
		return Decision{Action: Probe, Reason: reason}
	}
	if s.Probe.Alive && s.Probe.Role == cluster.RolePrimary {
		return Decision{Action: Keep, Reason: "control reaches the primary"}
	}
	if !worth {
		return Decision{Action: Keep, Reason: "the primary has been silent for too short a time"}
	}
	return Decision{Action: Replace, Reason: reason}
}

func find(servers []registry.Server, name cluster.ServerName) (registry.Server, bool) {
	for _, s := range servers {
		if s.Name == name {
			return s, true
		}
	}
	return registry.Server{}, false
}

// candidates returns the servers that may become the primary in place of old.
func candidates(servers []registry.Server, old cluster.ServerName) []registry.Server {
	var list []registry.Server
	for _, s := range servers {
		if s.Name != old && !s.Draining {
			list = append(list, s)
		}
	}
	return list
}

// TargetRule tells Choose what the chosen server has to hold.
type TargetRule struct {
	// OldPrimary is the primary that is replaced.
	OldPrimary cluster.ServerName
	// SyncReplication tells that an acknowledged commit is on one replica at
	// least, so that none may be lost.
	SyncReplication bool
	// CanWait tells that there is time left to wait for a better answer.
	CanWait bool
}

// ChooseTarget returns the server that takes over: the one that received most. It
// returns false if it is better to ask again.
func ChooseTarget(statuses []Status, servers []registry.Server, rule TargetRule) (cluster.ServerName, bool) {
	old, oldAnswered := statusOf(statuses, rule.OldPrimary)
	able := candidates(servers, rule.OldPrimary)
	var answered []Status
	for _, s := range able {
		if status, ok := statusOf(statuses, s.Name); ok {
			answered = append(answered, status)
		}
	}
	if len(answered) == 0 {
		return "", false
	}
	best := slices.MaxFunc(answered, func(a, b Status) int {
		return cmp.Or(a.Received.Compare(b.Received), cmp.Compare(b.Server, a.Server))
	})
	holdsAll := oldAnswered && best.Received.Compare(old.Received) >= 0
	complete := holdsAll || (!oldAnswered && len(answered) == len(able))
	if rule.CanWait && !complete {
		return "", false
	}
	if rule.SyncReplication && !holdsAll && !allReplicasAnswered(statuses, servers, rule.OldPrimary) {
		return "", false
	}
	return best.Server, true
}

// allReplicasAnswered reports whether each server but the old primary told
// what it has received, those that drain included.
func allReplicasAnswered(statuses []Status, servers []registry.Server, old cluster.ServerName) bool {
	for _, s := range servers {
		if _, ok := statusOf(statuses, s.Name); !ok && s.Name != old {
			return false
		}
	}
	return true
}

func statusOf(statuses []Status, name cluster.ServerName) (Status, bool) {
	for _, s := range statuses {
		if s.Server == name {
			return s, true
		}
	}
	return Status{}, false
}
