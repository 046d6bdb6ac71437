// Package failover decides when the primary of a group is replaced, and by which
// server. Its functions do no input or output.
//
// # Usage
//
//	decision := failover.Decide(groupState, now)
//	if decision.Action == failover.ReplacePrimary {
//		// Wait until no proxy may use the old primary any more, then query the
//		// status of all servers.
//	}
//	choice := failover.ChooseTarget(statuses, servers, rule, now)
//	promotion, promoted := failover.FindPromotion(promotionState, now)
//
// A term is the time in which one server is the primary of a group. A proxy
// releases a term by reporting that it no longer uses the term's primary.
// Discovery is the time after an election in which running servers may not have
// announced themselves to the new leader yet.
//
// # When a primary is replaced
//
// A primary that drains, because it is about to shut down, is replaced while it
// still serves, so that callers wait only for milliseconds. It goes on serving until
// a replica follows it closely, as long as proxies may use it. A primary that no proxy
// can reach is replaced as soon as a probe by the leading control node fails too.
// A primary that responds to some proxies is replaced only if many others have been
// unable to reach it for a long time, because a failover loses the commits that no
// replica has received.
package failover

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// KeepPrimary leaves the primary as it is.
	KeepPrimary Action = iota
	// AdoptPrimary records a server that reports to be the primary as the first
	// primary of the group.
	AdoptPrimary
	// ProbePrimary requests a probe of the primary, whose result is needed for a
	// decision.
	ProbePrimary
	// ReplacePrimary starts a change of primary.
	ReplacePrimary
	// CheckReplicas requests a check of whether a replica follows the primary, whose
	// result is needed for a decision.
	CheckReplicas
)

const (
	// maxObservationAge is the age above which an observation is ignored. It
	// covers two lease renewals of a proxy.
	maxObservationAge = 2500 * time.Millisecond
	// refusedTimeout is how long a primary may refuse connections before it
	// is replaced. A process that its supervisor restarts listens again
	// within this time.
	refusedTimeout = 150 * time.Millisecond
	// unresponsiveTimeout is how long a primary may be unresponsive to all
	// proxies that have requests outstanding. One slow statement doesn't
	// make it so, because the primary still responds to the other proxies.
	unresponsiveTimeout = 450 * time.Millisecond
	// inFlightMargin is the minimum time between the first failure and a
	// response that shows that the primary still responds. The request that
	// failed first may have been running while others were still answered, for
	// about as long as a busy primary takes for a statement.
	inFlightMargin = 200 * time.Millisecond
	// maxReportInterval is the longest time between two reports of a proxy that
	// reaches control: the long poll of a renewal and the way there.
	maxReportInterval = 500 * time.Millisecond
	// partialFailureTimeout is how long some proxies may be unable to reach
	// the primary before it is replaced although other proxies reach it.
	partialFailureTimeout = 1200 * time.Millisecond
	// minPartialFailoverInterval is the minimum time between a change of
	// primary and the next one that is made because some proxies, but not
	// all, can't reach the primary. A fault that cuts these proxies off from
	// one primary would cut them off from the next one too.
	minPartialFailoverInterval = 6 * time.Second
	// minUnreachableShare is the share of proxies that have to be unable to
	// reach the primary for a change to be worth its cost.
	minUnreachableShare = 0.3
	// announcementTimeout is the time without an announcement after which a
	// primary is probed if no proxy reports a response from it.
	announcementTimeout = 3 * time.Second
	// maxProbeAge is the age above which the result of a probe is ignored.
	maxProbeAge = 600 * time.Millisecond
	// roleGracePeriod is how long a server may take to report its new role
	// after a change of primary or a start.
	roleGracePeriod = 1500 * time.Millisecond
)

type (
	// Action is what has to be done about the primary of a group.
	Action uint8

	// Observation is a proxy's report on a server.
	Observation struct {
		// FailingFor is how long, at the time of the report, the server had
		// left the proxy's requests unanswered. It is 0 if the server
		// responds.
		FailingFor time.Duration
		// Refused is true if the server's address refuses connections,
		// because no process listens there.
		Refused bool
		// LastResponse is when the proxy last received anything from the
		// server.
		LastResponse time.Time
		// ReportedAt is when the leading control node received the report.
		ReportedAt time.Time
	}

	// ProbeResult is the result of the last probe of the primary by the
	// leading control node. The zero value means that there was no probe.
	ProbeResult struct {
		ProbedAt time.Time
		Alive    bool
		// Role is the role that the server reported, if it is alive.
		Role cluster.Role
	}

	// GroupState is the leading control node's information about a group.
	GroupState struct {
		// PrimaryState is the group's primary, its term and the phase of a
		// pending change of primary.
		PrimaryState state.GroupPrimary
		// SettledSince is when this leader first saw the current term in the
		// phase state.Settled, that is, without a pending change of primary.
		SettledSince time.Time
		// DiscoveryDone is true if all running servers have had the time to
		// announce themselves to this leader.
		DiscoveryDone bool
		Servers       []registry.Server
		// Observations are the reports on the primary, by proxy.
		Observations map[cluster.ProxyName]Observation
		Probe        ProbeResult
		Replicas     ReplicaCheck
		// LogsUncovered is true if commits are acknowledged only once a replica has
		// received them, and a server that left and has ended may have the only copy
		// of some; see TargetRule.MissingLogs.
		LogsUncovered bool
		// MaxDrainAge is how long a draining server may be the primary.
		MaxDrainAge time.Duration
	}

	// Decision is what has to be done about the primary of a group, and why.
	Decision struct {
		Action Action
		// Server is the server to adopt as primary if Action is AdoptPrimary.
		Server cluster.ServerName
		// Planned is true if the old primary may still be serving, so that
		// the proxies should let open transactions finish: it drains, or only
		// some proxies can't reach it. state.GroupPrimary.Planned, a stored
		// name, takes this value.
		Planned bool
		// Reason is the text for the log. It may be empty if Action is
		// KeepPrimary.
		Reason string
	}

	// Status is the status of a server. For ChooseTarget it has to be queried
	// after all proxies have released the old term, so that no proxy
	// acknowledges a commit after the query.
	Status struct {
		cluster.ServerStatus
		Server cluster.ServerName
	}
)

// Decide decides what to do about the primary of a group that has no primary
// yet or no change of primary pending.
func Decide(s GroupState, now time.Time) Decision {
	if s.PrimaryState.Term == 0 {
		return decideFirstPrimary(s)
	}
	primary, known := findServer(s.Servers, s.PrimaryState.Primary)
	if len(eligibleServers(s.Servers, s.PrimaryState.Primary)) == 0 {
		return Decision{Action: KeepPrimary, Reason: "no other server can take over"}
	}
	switch {
	case !known && s.DiscoveryDone:
		return Decision{Action: ReplacePrimary, Reason: "the primary isn't registered: it shut down or sent no announcement in time"}
	case known && primary.Draining:
		return decideDraining(s, primary, now)
	case known && hasLostPrimaryRole(s, primary, now):
		return Decision{Action: ReplacePrimary, Reason: "the primary announces itself as a replica"}
	}
	decision := decideByObservations(s, primary, known, now)
	if decision.Action == KeepPrimary && known && s.LogsUncovered {
		return Decision{Action: CheckReplicas, Reason: "a server left, whose log may have the only copy of commits"}
	}
	return decision
}

// decideFirstPrimary adopts a server that reports to be the primary. If several do, or
// none does once discovery is done, the one with the newest log has to be promoted.
func decideFirstPrimary(s GroupState) Decision {
	var primaries []cluster.ServerName
	for _, server := range s.Servers {
		if server.Role == cluster.RolePrimary && !server.Draining {
			primaries = append(primaries, server.Name)
		}
	}
	switch {
	case len(primaries) == 1:
		return Decision{Action: AdoptPrimary, Server: primaries[0], Reason: "first primary of the group"}
	case len(primaries) > 1:
		return Decision{Action: ReplacePrimary, Reason: "several servers report to be the primary"}
	case !s.DiscoveryDone || len(s.Servers) == 0:
		return Decision{Action: KeepPrimary}
	}
	return Decision{Action: ReplacePrimary, Reason: "no server reports to be the primary"}
}

// hasLostPrimaryRole reports whether the server still announces itself as a
// replica after roleGracePeriod.
func hasLostPrimaryRole(s GroupState, primary registry.Server, now time.Time) bool {
	if primary.Role != cluster.RoleReplica {
		return false
	}
	return now.Sub(s.SettledSince) > roleGracePeriod && primary.LastAnnounced.Sub(s.SettledSince) > roleGracePeriod
}

// decideByObservations decides by what the proxies report on the primary. known
// is false if the primary isn't registered; then primary is the zero value.
func decideByObservations(s GroupState, primary registry.Server, known bool, now time.Time) Decision {
	c := countObservations(s.Observations, now)
	total := c.reachable + c.unreachable
	if c.unreachable > 0 && c.reachable == 0 {
		return decideWithProbe(s, now, c.timedOut && !c.reportDue, "no proxy reaches the primary")
	}
	intervalPassed := now.Sub(s.SettledSince) >= minPartialFailoverInterval
	if longUnreachable := countLongUnreachable(s.Observations, now); longUnreachable > 0 && intervalPassed && float64(longUnreachable) >= minUnreachableShare*float64(total) {
		return Decision{Action: ReplacePrimary, Planned: true, Reason: "many proxies don't reach the primary"}
	}
	announcementsMissing := !known || now.Sub(primary.LastAnnounced) > announcementTimeout
	if c.reachable == 0 && s.DiscoveryDone && announcementsMissing {
		return decideWithProbe(s, now, true, "the primary sends no announcements and no proxy reports a response from it")
	}
	return Decision{Action: KeepPrimary}
}

// observationCount is what the proxies' reports on a primary show together.
type observationCount struct {
	// reachable and unreachable are the numbers of proxies that reach the primary
	// and that don't.
	reachable, unreachable int
	// timedOut is true if a failure has exceeded its timeout.
	timedOut bool
	// reportDue is true if the next report of a proxy without a failure may show
	// that the primary still responds.
	reportDue bool
}

// countObservations counts the proxies that reach the primary and those that don't. It
// ignores a proxy that has no failure, but whose last response came before the first
// failure of another proxy or at most inFlightMargin after it: that response doesn't
// show whether the primary still responds.
func countObservations(observations map[cluster.ProxyName]Observation, now time.Time) observationCount {
	failureStart := earliestFailure(observations, now)
	conclusiveFrom := failureStart.Add(inFlightMargin)
	var c observationCount
	for _, o := range observations {
		switch {
		case !isRecent(o, now):
		case o.FailingFor > 0:
			c.unreachable++
			c.timedOut = c.timedOut || exceedsTimeout(o, now)
		case o.LastResponse.After(conclusiveFrom):
			c.reachable++
		case o.ReportedAt.Before(conclusiveFrom) && now.Sub(conclusiveFrom) < maxReportInterval:
			c.reportDue = true
		}
	}
	return c
}

// earliestFailure returns when the first of the proxies that don't reach the
// primary lost contact with it. If all proxies reach it, earliestFailure returns
// the time before which observations are ignored.
func earliestFailure(observations map[cluster.ProxyName]Observation, now time.Time) time.Time {
	var earliest time.Time
	for _, o := range observations {
		since := o.ReportedAt.Add(-o.FailingFor)
		if isRecent(o, now) && o.FailingFor > 0 && (earliest.IsZero() || since.Before(earliest)) {
			earliest = since
		}
	}
	if earliest.IsZero() {
		return now.Add(-maxObservationAge)
	}
	return earliest
}

func isRecent(o Observation, now time.Time) bool { return now.Sub(o.ReportedAt) <= maxObservationAge }

// exceedsTimeout reports whether a failure has lasted for the timeout that
// applies to it: refusedTimeout or unresponsiveTimeout.
func exceedsTimeout(o Observation, now time.Time) bool {
	timeout := unresponsiveTimeout
	if o.Refused {
		timeout = refusedTimeout
	}
	return now.Sub(o.ReportedAt.Add(-o.FailingFor)) >= timeout
}

// countLongUnreachable counts the proxies that have each been unable to reach
// the primary for partialFailureTimeout. This distinguishes a network partition,
// which affects the same proxies all the time, from an overloaded primary, which
// is unresponsive to many proxies for a short time each.
func countLongUnreachable(observations map[cluster.ProxyName]Observation, now time.Time) int {
	count := 0
	for _, o := range observations {
		if isRecent(o, now) && o.FailingFor > 0 && now.Sub(o.ReportedAt.Add(-o.FailingFor)) >= partialFailureTimeout {
			count++
		}
	}
	return count
}

// decideWithProbe replaces the primary if a recent probe failed too and the
// failure has exceeded its timeout. It requests the probe before the timeout, so
// that the result is available by then.
func decideWithProbe(s GroupState, now time.Time, timedOut bool, reason string) Decision {
	if now.Sub(s.Probe.ProbedAt) > maxProbeAge || s.Probe.ProbedAt.IsZero() {
		return Decision{Action: ProbePrimary, Reason: reason}
	}
	if s.Probe.Alive && s.Probe.Role == cluster.RolePrimary {
		return Decision{Action: KeepPrimary, Reason: "control reaches the primary"}
	}
	if !timedOut {
		return Decision{Action: KeepPrimary, Reason: "the primary has been unreachable for less than the timeout"}
	}
	return Decision{Action: ReplacePrimary, Reason: reason}
}

func findServer(servers []registry.Server, name cluster.ServerName) (registry.Server, bool) {
	for _, s := range servers {
		if s.Name == name {
			return s, true
		}
	}
	return registry.Server{}, false
}

// eligibleServers returns the servers that may replace the primary old: all that
// don't drain.
func eligibleServers(servers []registry.Server, old cluster.ServerName) []registry.Server {
	var list []registry.Server
	for _, s := range servers {
		if s.Name != old && !s.Draining {
			list = append(list, s)
		}
	}
	return list
}

func findStatus(statuses []Status, name cluster.ServerName) (Status, bool) {
	for _, s := range statuses {
		if s.Server == name {
			return s, true
		}
	}
	return Status{}, false
}
