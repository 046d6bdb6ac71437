package failover

import (
	"slices"

	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// establishTerm collects promises of the pending term and then commits its
// primary.
func (d *decision) establishTerm(pending *state.PendingTerm) {
	d.resetForTerm(pending)
	if d.plan.highestPromised > pending.Term {
		d.beginTerm(pending.Reason, pending.Target, pending.Voters)
		return
	}
	if d.group.Record.Term == 0 && d.now.Sub(d.plan.pendingSince) > formationTimeout {
		d.beginFormation()
	}
	if d.isPlanned(pending) && !d.handOver(pending) {
		return
	}
	for _, name := range d.participants(pending) {
		if _, ok := d.plan.promises[name]; !ok {
			d.addVoterAction(Action{Kind: ActionPromise, Server: name, Term: pending.Term})
		}
	}
	if d.hasQuorum(pending) && !d.awaitsTarget(pending) && !d.awaitsOtherPromises(pending) {
		d.choosePrimary(pending)
	}
}

// replacesPrimary reports whether the pending term is a failover that should give
// the group another primary. The old one may be the server whose log reaches no
// replica. Then its log may be the longest, by entries that no majority confirmed,
// and must not make it primary again.
func (d *decision) replacesPrimary(pending *state.PendingTerm) bool {
	return d.group.Record.Term > 0 && pending.Reason == state.ReasonFailover && pending.Target != d.group.Record.Primary
}

// othersHaveMajority reports whether the old voters other than the primary that
// have promised are a majority. Together they then hold every confirmed entry.
func (d *decision) othersHaveMajority() bool {
	old := d.group.Record.Voters
	others := slices.DeleteFunc(slices.Clone(old), func(name cluster.ServerName) bool { return name == d.group.Record.Primary })
	return d.countPromises(others) >= cluster.Majority(len(old))
}

// awaitsOtherPromises reports whether a failover still waits for promises that
// make the old primary's promise unnecessary.
func (d *decision) awaitsOtherPromises(pending *state.PendingTerm) bool {
	return d.replacesPrimary(pending) && !d.othersHaveMajority() && d.now.Sub(d.plan.pendingSince) <= otherPromisesTimeout
}

// awaitsTarget reports whether a planned change still waits for the promise of
// its target.
func (d *decision) awaitsTarget(pending *state.PendingTerm) bool {
	if !d.isPlanned(pending) || pending.Target == "" {
		return false
	}
	_, promised := d.plan.promises[pending.Target]
	return !promised && d.now.Sub(d.plan.pendingSince) <= plannedTimeout
}

// isPlanned reports whether the pending term is a planned change, in which the old
// primary takes part.
func (d *decision) isPlanned(pending *state.PendingTerm) bool {
	return pending.Reason == state.ReasonSwitchover || pending.Reason == state.ReasonVoters
}

// handOver stops the old primary's writes and waits until the servers that need
// its log have it. It returns true once the other servers may promise.
func (d *decision) handOver(pending *state.PendingTerm) bool {
	primary := d.group.Record.Primary
	timedOut := d.now.Sub(d.plan.pendingSince) > plannedTimeout
	oldPromise, ok := d.plan.promises[primary]
	if !ok {
		d.addVoterAction(Action{Kind: ActionPromise, Server: primary, Term: pending.Term})
		if timedOut {
			d.beginTerm(state.ReasonFailover, "", d.group.Record.Voters)
		}
		return false
	}
	recipients, required := d.logRecipients(pending)
	caughtUp := 0
	for _, name := range recipients {
		if name == primary || d.plan.caughtUpServers[name] {
			caughtUp++
			continue
		}
		d.addAction(Action{Kind: ActionWaitForLog, Server: name, Term: pending.Term, Position: oldPromise.received})
	}
	if caughtUp >= required {
		return true
	}
	if timedOut {
		// The old primary becomes primary again, in a new term.
		d.beginTerm(state.ReasonFailover, primary, d.group.Record.Voters)
	}
	return false
}

// logRecipients returns the servers that must hold the old primary's log before
// the others promise, and how many of them must.
func (d *decision) logRecipients(pending *state.PendingTerm) ([]cluster.ServerName, int) {
	if slices.Equal(d.group.Record.Voters, pending.Voters) {
		return []cluster.ServerName{pending.Target}, 1
	}
	return pending.Voters, cluster.Majority(len(pending.Voters))
}

// participants returns the old and the new voters.
func (d *decision) participants(pending *state.PendingTerm) []cluster.ServerName {
	all := slices.Concat(d.group.Record.Voters, pending.Voters)
	slices.Sort(all)
	return slices.Compact(all)
}

// hasQuorum reports whether enough servers have promised the pending term: a
// majority of the old voters and a majority of the new ones, or all voters at
// formation.
func (d *decision) hasQuorum(pending *state.PendingTerm) bool {
	if d.group.Record.Term == 0 {
		return d.countPromises(pending.Voters) == len(pending.Voters)
	}
	old := d.group.Record.Voters
	return d.countPromises(old) >= cluster.Majority(len(old)) &&
		d.countPromises(pending.Voters) >= cluster.Majority(len(pending.Voters))
}

// countPromises returns how many of the voters have promised the pending term,
// without those that lost their disk.
func (d *decision) countPromises(voters []cluster.ServerName) int {
	count := 0
	for _, name := range voters {
		if p, ok := d.plan.promises[name]; ok && !p.lostDisk {
			count++
		}
	}
	return count
}

// choosePrimary commits a voter with the longest log as primary, or begins
// another term if no new voter can take over.
func (d *decision) choosePrimary(pending *state.PendingTerm) {
	if d.replacesPrimary(pending) && d.othersHaveMajority() {
		d.excluded = d.group.Record.Primary
	}
	longest := d.longestLog()
	if !d.newVotersHoldLog(pending, longest) {
		d.beginTerm(state.ReasonFailover, "", d.group.Record.Voters)
		return
	}
	chosen, ok := d.pickPrimary(pending, longest)
	if !ok {
		d.beginTerm(state.ReasonFailover, "", d.group.Record.Voters)
		return
	}
	d.addAction(Action{Kind: ActionCommitTerm, CommitTerm: state.CommitTerm{
		Group: d.group.Record.Name, Term: pending.Term, Primary: chosen,
	}})
}

// longestLog returns the highest end of a log among the promises that count.
func (d *decision) longestLog() cluster.LogPosition {
	var longest cluster.LogPosition
	for name, p := range d.plan.promises {
		if name != d.excluded && !p.lostDisk && p.received.Compare(longest) > 0 {
			longest = p.received
		}
	}
	return longest
}

// newVotersHoldLog reports whether every majority of the new voters includes a
// server that holds the log up to logEnd. This is always so if the voters stay
// the same.
func (d *decision) newVotersHoldLog(pending *state.PendingTerm, logEnd cluster.LogPosition) bool {
	if d.group.Record.Term == 0 || slices.Equal(d.group.Record.Voters, pending.Voters) {
		return true
	}
	holders := 0
	for _, name := range pending.Voters {
		if p, ok := d.plan.promises[name]; ok && !p.lostDisk && p.received.Compare(logEnd) >= 0 {
			holders++
		}
	}
	return holders >= cluster.Majority(len(pending.Voters))
}

// pickPrimary returns the new primary among the voters that hold the log up to
// logEnd, preferably the target, then one that isn't leaving, then one that
// wasn't primary.
func (d *decision) pickPrimary(pending *state.PendingTerm, logEnd cluster.LogPosition) (cluster.ServerName, bool) {
	var chosen cluster.ServerName
	bestRank := -1
	for _, name := range pending.Voters {
		p, ok := d.plan.promises[name]
		if !ok || p.lostDisk || name == d.excluded || p.received.Compare(logEnd) < 0 {
			continue
		}
		if rank := d.rank(pending, name); rank > bestRank {
			chosen, bestRank = name, rank
		}
	}
	return chosen, bestRank >= 0
}

// rank returns the higher number the more a server is preferred as primary.
// Being the target outweighs not leaving, which outweighs not being the old
// primary.
func (d *decision) rank(pending *state.PendingTerm, name cluster.ServerName) int {
	rank := 0
	if name == pending.Target {
		rank += 4
	}
	if !d.isLeaving(name) {
		rank += 2
	}
	if name != d.group.Record.Primary {
		rank++
	}
	return rank
}
