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
		// Successor is the server that is registered at the old primary's address since
		// that crashed or left, and so has its log; empty: none.
		Successor cluster.ServerName
		// OldPrimaryBusy is true if the old primary runs, but was too busy to return
		// its status.
		OldPrimaryBusy bool
		// Ineligible reports whether a server isn't promoted although it may answer,
		// because its promotion has just failed; nil: none. What it has received
		// counts nevertheless.
		Ineligible func(cluster.ServerName) bool
		// LogTerm is the log term in which callers may have had commits acknowledged by
		// the old primary, as far as it is known.
		LogTerm cluster.Term
		// SyncReplication is true if a commit is acknowledged only once at least
		// one replica has received it. No acknowledged commit may then be lost.
		SyncReplication bool
		// CanWait is true if there is time left to query the servers again for a
		// better target.
		CanWait bool
		// GivesUp is true once the change has waited as long as a silent server stays
		// registered. Without synchronous replication, the log term LogTerm is then
		// given up.
		GivesUp bool
		// Earlier are the last statuses of servers that answered before in this
		// change of primary, but don't answer now. With synchronous replication, the
		// target must have received as much as they had: they may be back, or their
		// logs may move to other servers.
		Earlier []Status
		// MissingLogs are the servers that left the group and whose logs may hold
		// acknowledged commits that no registered server has received, until new
		// servers at their addresses have the logs.
		MissingLogs []cluster.ServerName
		// MaxDrainAge is how long a draining server may be the primary.
		MaxDrainAge time.Duration
	}

	// Choice is the server to promote.
	Choice struct {
		// Target is empty if the servers have to be queried again.
		Target cluster.ServerName
		// Reason is why there is no target yet, or why it is this one, for the log.
		Reason string
		// NeedsOldPrimary is true if the old primary has to be queried next time, also
		// if it didn't answer lately.
		NeedsOldPrimary bool
		// LosesTerm is true if the log of the target ends before TargetRule.LogTerm.
		LosesTerm bool
	}
)

// ChooseTarget chooses the server to promote: of the servers that answered and don't
// drain, the one that has received most of the log. With synchronous replication it
// has to have every commit that may have been acknowledged; a draining server that has
// them is promoted if no other one can get them any more, and is replaced later as
// planned. A server whose log ends before rule.LogTerm isn't promoted while a registered
// server may have a newer log: that would bring back commits that an earlier promotion
// rolled back, and lose those that followed. If only the old primary can be the primary
// without a loss, it is promoted again.
func ChooseTarget(statuses []Status, servers []registry.Server, rule TargetRule, now time.Time) Choice {
	servers = withoutSuperseded(servers, statuses)
	oldPrimary, oldPrimaryAnswered := findStatus(statuses, rule.OldPrimary)
	eligible := rule.withoutIneligible(eligibleServers(servers, rule.OldPrimary))
	answered := statusesOf(statuses, eligible)
	best, found := mostAdvanced(rule.preferNewest(answered))
	hasAllEntries := found && oldPrimaryAnswered && best.Received.Compare(oldPrimary.Received) >= 0
	// conclusive is true if querying the servers again can't yield a better
	// target.
	conclusive := hasAllEntries || (!oldPrimaryAnswered && !rule.OldPrimaryBusy && len(answered) == len(eligible))
	var choice Choice
	switch {
	case rule.SyncReplication:
		choice = chooseWithAllCommits(statuses, servers, best, rule, now)
	case !found:
		choice = Choice{Reason: "no server that may be promoted answers", NeedsOldPrimary: true}
	default:
		choice = Choice{Target: best.Server, Reason: "received most of the log"}
	}
	if target, chosen := findStatus(statuses, choice.Target); chosen && newestTerm(target) < rule.LogTerm {
		choice = rule.chooseOlderLog(statuses, servers, target)
	} else if chosen && target.Server == best.Server && rule.CanWait && !conclusive {
		return Choice{Reason: "waiting for a server that has received more"}
	}
	if choice.NeedsOldPrimary && oldPrimaryAnswered && rule.canReturnTo(oldPrimary, statuses, servers) {
		return Choice{Target: rule.OldPrimary, Reason: "no other server can take over without a loss"}
	}
	return choice
}

// chooseWithAllCommits returns best if it has every commit that may have been
// acknowledged, else a draining server that has them.
func chooseWithAllCommits(statuses []Status, servers []registry.Server, best Status, rule TargetRule, now time.Time) Choice {
	required, known := acknowledgedPosition(statuses, servers, rule)
	if !known && rule.missesReplicaLog() {
		return Choice{Reason: "waiting for the log of a server that left: acknowledged commits may be only there", NeedsOldPrimary: true}
	}
	if !known {
		return Choice{Reason: "acknowledged commits may be only on a server that doesn't answer", NeedsOldPrimary: true}
	}
	if best.Server != "" && best.Received.Compare(required) >= 0 {
		return Choice{Target: best.Server, Reason: "has all acknowledged commits"}
	}
	_, oldPrimaryAnswers := findStatus(statuses, rule.OldPrimary)
	// Others can still receive the rest of the log while the old primary runs.
	othersCanFollow := (oldPrimaryAnswers || rule.OldPrimaryBusy) && rule.CanWait
	draining, found := mostAdvanced(statusesOf(statuses, rule.withoutIneligible(rule.drainingServers(servers, now))))
	if found && !othersCanFollow && draining.Received.Compare(required) >= 0 {
		return Choice{Target: draining.Server, Reason: "drains, but is the only one that has all acknowledged commits"}
	}
	return Choice{Reason: "waiting for a server that has all acknowledged commits", NeedsOldPrimary: true}
}

// chooseOlderLog returns target, whose log ends before the old primary's log term, once
// neither a registered server nor the successor of one that left can have a newer log.
func (r TargetRule) chooseOlderLog(statuses []Status, servers []registry.Server, target Status) Choice {
	newerPossible := slices.ContainsFunc(servers, func(s registry.Server) bool {
		status, answered := findStatus(statuses, s.Name)
		return !answered || newestTerm(status) >= r.LogTerm
	}) || len(r.MissingLogs) > 0
	if newerPossible && (r.SyncReplication || !r.GivesUp) {
		return Choice{Reason: "waiting for a server whose log doesn't end in an older term", NeedsOldPrimary: true}
	}
	return Choice{Target: target.Server, Reason: "no server that can be promoted has a log of the newest term: its commits are lost", LosesTerm: true}
}

// canReturnTo reports whether the old primary can be promoted again: it doesn't drain, has
// as much as any other server of the newest log term, and others had the time to get that.
func (r TargetRule) canReturnTo(oldPrimary Status, statuses []Status, servers []registry.Server) bool {
	server, registered := findServer(servers, r.OldPrimary)
	if r.CanWait || !registered || server.Draining || r.isIneligible(r.OldPrimary) || newestTerm(oldPrimary) < r.LogTerm {
		return false
	}
	most, _ := mostAdvanced(r.preferNewest(slices.Concat(statuses, r.Earlier)))
	return oldPrimary.Received.Compare(most.Received) >= 0
}

// preferNewest returns those of the statuses that know the old primary's log term, or all
// if none does.
func (r TargetRule) preferNewest(statuses []Status) []Status {
	newest := slices.DeleteFunc(slices.Clone(statuses), func(s Status) bool { return newestTerm(s) < r.LogTerm })
	if len(newest) == 0 {
		return statuses
	}
	return newest
}

// newestTerm returns the newest log term that a server knows.
func newestTerm(s Status) cluster.Term { return max(s.Promised, s.Received.Term) }

// acknowledgedPosition returns a position up to which all commits that were acknowledged
// under synchronous replication lie. It is that of the old primary or its successor or, if
// neither answers, the highest that any other server has received. It returns false if a
// server that doesn't answer, or a replica that left, may have received more. An old primary
// with less than another server has lost its log and doesn't count.
func acknowledgedPosition(statuses []Status, servers []registry.Server, rule TargetRule) (cluster.LogPosition, bool) {
	var highest cluster.LogPosition
	for _, s := range slices.Concat(statuses, rule.Earlier) {
		if s.Received.Compare(highest) > 0 {
			highest = s.Received
		}
	}
	for _, name := range []cluster.ServerName{rule.OldPrimary, rule.Successor} {
		if s, answered := findStatus(statuses, name); answered && s.Received == highest {
			return highest, true
		}
	}
	allAnswered := !slices.ContainsFunc(servers, func(s registry.Server) bool {
		_, answered := findStatus(statuses, s.Name)
		return !answered && s.Name != rule.OldPrimary
	})
	return highest, allAnswered && !rule.missesReplicaLog()
}

// missesReplicaLog reports whether the log of a server that left, other than the old
// primary, may hold commits that no registered server has received.
func (r TargetRule) missesReplicaLog() bool {
	return slices.ContainsFunc(r.MissingLogs, func(name cluster.ServerName) bool { return name != r.OldPrimary })
}

// withoutIneligible returns the servers that may be promoted now.
func (r TargetRule) withoutIneligible(servers []registry.Server) []registry.Server {
	return slices.DeleteFunc(slices.Clone(servers), func(s registry.Server) bool { return r.isIneligible(s.Name) })
}

func (r TargetRule) isIneligible(name cluster.ServerName) bool {
	return r.Ineligible != nil && r.Ineligible(name)
}

// drainingServers returns the servers that drain, but may still be the primary.
func (r TargetRule) drainingServers(servers []registry.Server, now time.Time) []registry.Server {
	return slices.DeleteFunc(slices.Clone(servers), func(s registry.Server) bool {
		return s.Name == r.OldPrimary || !s.Draining || now.Sub(s.DrainingSince) >= r.MaxDrainAge
	})
}

// withoutSuperseded returns the servers whose address isn't that of a later process that
// answered there: they have ended, and their logs are with that one.
func withoutSuperseded(servers []registry.Server, statuses []Status) []registry.Server {
	return slices.DeleteFunc(slices.Clone(servers), func(old registry.Server) bool {
		return slices.ContainsFunc(servers, func(s registry.Server) bool {
			_, answered := findStatus(statuses, s.Name)
			return answered && s.Address.IsValid() && s.Address == old.Address && s.StartedAt.After(old.StartedAt)
		})
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
