package failover

import (
	"cmp"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

type (
	// TargetRule contains the conditions under which ChooseTarget chooses a server.
	TargetRule struct {
		// OldPrimary is the primary that is being replaced.
		OldPrimary cluster.ServerName
		// OldPrimaryBusy is true if the old primary runs, but was too busy to return
		// its status.
		OldPrimaryBusy bool
		// Ineligible reports whether a server isn't promoted although it may answer,
		// because its promotion has just failed; nil: none. What it has received
		// counts nevertheless.
		Ineligible func(cluster.ServerName) bool
		// SyncReplication is true if a commit is acknowledged only once at least
		// one replica has received it. No acknowledged commit may then be lost.
		SyncReplication bool
		// CanWait is true if there is time left to query the servers again for a
		// better target.
		CanWait bool
		// Earlier are the last statuses of servers that answered before in this
		// change of primary, but don't answer now. With synchronous replication, the
		// target must have received as much as they had: they may be back, or their
		// logs may move to other servers.
		Earlier []Status
		// MaxDrainAge is how long a draining server may be the primary.
		MaxDrainAge time.Duration
	}

	// Choice is the server to promote.
	Choice struct {
		// Target is empty if the servers have to be queried again.
		Target cluster.ServerName
		// Reason is why there is no target yet, or why it is this one, for the log.
		Reason string
	}
)

// ChooseTarget chooses the server to promote: of the servers that answered and don't
// drain, the one that has received most of the log. With synchronous replication it
// has to have every commit that may have been acknowledged; a draining server that has
// them is promoted if no other one can get them any more, and is replaced later as
// planned.
func ChooseTarget(statuses []Status, servers []registry.Server, rule TargetRule, now time.Time) Choice {
	oldPrimary, oldPrimaryAnswered := findStatus(statuses, rule.OldPrimary)
	eligible := rule.withoutIneligible(eligibleServers(servers, rule.OldPrimary))
	answered := statusesOf(statuses, eligible)
	best, found := mostAdvanced(answered)
	hasAllEntries := found && oldPrimaryAnswered && best.Received.Compare(oldPrimary.Received) >= 0
	// conclusive is true if querying the servers again can't yield a better
	// target.
	conclusive := hasAllEntries || (!oldPrimaryAnswered && !rule.OldPrimaryBusy && len(answered) == len(eligible))
	switch {
	case rule.SyncReplication:
		return chooseWithAllCommits(statuses, servers, best, conclusive, rule, now)
	case !found:
		return Choice{Reason: "no server that may be promoted answers"}
	case rule.CanWait && !conclusive:
		return Choice{Reason: "waiting for a server that has received more"}
	}
	return Choice{Target: best.Server, Reason: "received most of the log"}
}

// chooseWithAllCommits returns best if it has every commit that may have been
// acknowledged, else a draining server that has them.
func chooseWithAllCommits(statuses []Status, servers []registry.Server, best Status, conclusive bool, rule TargetRule, now time.Time) Choice {
	required, known := acknowledgedPosition(statuses, servers, rule)
	if !known {
		return Choice{Reason: "acknowledged commits may be only on a server that doesn't answer"}
	}
	if best.Server != "" && best.Received.Compare(required) >= 0 {
		if rule.CanWait && !conclusive {
			return Choice{Reason: "waiting for a server that has received more"}
		}
		return Choice{Target: best.Server, Reason: "has all acknowledged commits"}
	}
	_, oldPrimaryAnswers := findStatus(statuses, rule.OldPrimary)
	// Others can still receive the rest of the log while the old primary runs.
	othersCanFollow := (oldPrimaryAnswers || rule.OldPrimaryBusy) && rule.CanWait
	draining, found := mostAdvanced(statusesOf(statuses, rule.withoutIneligible(rule.drainingServers(servers, now))))
	if found && !othersCanFollow && draining.Received.Compare(required) >= 0 {
		return Choice{Target: draining.Server, Reason: "drains, but is the only one that has all acknowledged commits"}
	}
	return Choice{Reason: "waiting for a server that has all acknowledged commits, up to " + required.String()}
}

// acknowledgedPosition returns a position up to which all commits that were acknowledged
// under synchronous replication lie. It is that of the old primary or, if this one doesn't
// answer, the highest that any other server has received. It returns false if a server
// that doesn't answer may have received more. An old primary with less than another
// server has lost its log and doesn't count.
func acknowledgedPosition(statuses []Status, servers []registry.Server, rule TargetRule) (cluster.LogPosition, bool) {
	var highest cluster.LogPosition
	for _, s := range slices.Concat(statuses, rule.Earlier) {
		if s.Received.Compare(highest) > 0 {
			highest = s.Received
		}
	}
	if oldPrimary, answered := findStatus(statuses, rule.OldPrimary); answered && oldPrimary.Received == highest {
		return highest, true
	}
	allAnswered := !slices.ContainsFunc(servers, func(s registry.Server) bool {
		_, answered := findStatus(statuses, s.Name)
		return !answered && s.Name != rule.OldPrimary
	})
	return highest, allAnswered
}

// withoutIneligible returns the servers that may be promoted now.
func (r TargetRule) withoutIneligible(servers []registry.Server) []registry.Server {
	return slices.DeleteFunc(slices.Clone(servers), func(s registry.Server) bool { return r.Ineligible != nil && r.Ineligible(s.Name) })
}

// drainingServers returns the servers that drain, but may still be the primary.
func (r TargetRule) drainingServers(servers []registry.Server, now time.Time) []registry.Server {
	return slices.DeleteFunc(slices.Clone(servers), func(s registry.Server) bool {
		return s.Name == r.OldPrimary || !s.Draining || now.Sub(s.DrainingSince) >= r.MaxDrainAge
	})
}

// statusesOf returns the statuses of those of the servers that answered.
func statusesOf(statuses []Status, servers []registry.Server) []Status {
	var list []Status
	for _, s := range servers {
		if status, ok := findStatus(statuses, s.Name); ok {
			list = append(list, status)
		}
	}
	return list
}

// mostAdvanced returns the status with the highest position; of equal ones, the one whose
// server's name sorts first. It returns false if there is none.
func mostAdvanced(statuses []Status) (Status, bool) {
	if len(statuses) == 0 {
		return Status{}, false
	}
	return slices.MaxFunc(statuses, func(a, b Status) int {
		return cmp.Or(a.Received.Compare(b.Received), cmp.Compare(b.Server, a.Server))
	}), true
}
