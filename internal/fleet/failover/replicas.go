package failover

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// ReplicaCheckInterval is the pause between two checks of whether a replica follows the
// primary.
const ReplicaCheckInterval = 250 * time.Millisecond

// ReplicaCheck is the result of the last check of whether a replica follows the primary
// closely enough for a planned change. The zero value means that there was no check.
type ReplicaCheck struct {
	Primary   cluster.ServerName
	CheckedAt time.Time
	// Received is the primary's position as of the last check in which it answered, and
	// ReceivedAt when that check began; zero: it didn't answer yet.
	Received   cluster.LogPosition
	ReceivedAt time.Time
	// PrimaryAnswers is true if the primary answered, also if it was busy.
	PrimaryAnswers bool
	// Follows is true if a server that can take over has received what the primary
	// had at this check or at the one before, that is, at FollowsSince.
	Follows      bool
	FollowsSince time.Time
}

// Next returns the result of the next check, which began at the given time and has ended
// at now. statuses are those of the servers that answered; busy is true if the primary is
// reachable, but too busy to answer.
func (c ReplicaCheck) Next(primary cluster.ServerName, servers []registry.Server, statuses []Status, busy bool, began, now time.Time) ReplicaCheck {
	current, answered := findStatus(statuses, primary)
	next := ReplicaCheck{Primary: primary, CheckedAt: now, PrimaryAnswers: answered || busy}
	if c.isRecent(primary, began) {
		next.Received, next.ReceivedAt = c.Received, c.ReceivedAt
	}
	if answered && next.ReceivedAt.IsZero() {
		next.Received, next.ReceivedAt = current.Received, began
	}
	best, found := mostAdvanced(statusesOf(statuses, eligibleServers(servers, primary)))
	next.Follows = !next.ReceivedAt.IsZero() && found && best.Received.Compare(next.Received) >= 0
	if next.Follows {
		next.FollowsSince = next.ReceivedAt
	}
	if answered {
		next.Received, next.ReceivedAt = current.Received, began
	}
	return next
}

// isRecent reports whether the check says something about the primary as of now.
func (c ReplicaCheck) isRecent(primary cluster.ServerName, now time.Time) bool {
	return c.Primary == primary && now.Sub(c.CheckedAt) <= maxProbeAge
}

// decideDraining replaces a draining primary. While it serves and proxies may use it, it
// stays until a replica follows it: a change without such a replica would lose commits or
// leave the group without a primary meanwhile.
func decideDraining(s GroupState, primary registry.Server, now time.Time) Decision {
	replace := Decision{Action: ReplacePrimary, Planned: true, Reason: "the primary drains"}
	if now.Sub(primary.DrainingSince) >= s.MaxDrainAge || countObservations(s.Observations, now).unreachable > 0 {
		return replace
	}
	if s.Replicas.isRecent(primary.Name, now) && (s.Replicas.Follows || !s.Replicas.PrimaryAnswers) {
		return replace
	}
	return Decision{Action: CheckReplicas, Reason: "the primary drains"}
}
