package failover

import (
	"slices"

	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// establish drives the pending term to its commit.
func (d *decider) establish(pending *state.PendingTerm) {
	d.startTerm(pending)
	if d.plan.above > pending.Term {
		d.begin(pending.Reason, pending.Target, pending.Voters)
		return
	}
	if d.s.Record.Term == 0 && d.now.Sub(d.plan.started) > formationTimeout {
		d.form()
	}
	if d.isPlanned(pending) && !d.handOver(pending) {
		return
	}
	for _, name := range d.participants(pending) {
		if _, ok := d.plan.promises[name]; !ok {
			d.sendToVoter(Action{Kind: Promise, Server: name, Term: pending.Term})
		}
	}
	if d.hasQuorum(pending) && !d.awaitsTarget(pending) && !d.awaitsOthers(pending) {
		d.choose(pending)
	}
}

// replacesPrimary reports whether the old primary is to lose its place. It may
// hold the longest log, by entries that no majority confirmed, and be the very
// server whose log reaches nobody.
func (d *decider) replacesPrimary(pending *state.PendingTerm) bool {
	return d.s.Record.Term > 0 && pending.Reason == state.ReasonFailover && pending.Target != d.s.Record.Primary
}

// othersSuffice reports whether the old voters besides the primary are a
// majority that promised: they hold every confirmed entry.
func (d *decider) othersSuffice() bool {
	old := d.s.Record.Voters
	others := slices.DeleteFunc(slices.Clone(old), func(name cluster.ServerName) bool { return name == d.s.Record.Primary })
	return d.promised(others) >= cluster.Majority(len(old))
}

// awaitsOthers reports whether a failover still waits for promises that make
// the old primary's unnecessary.
func (d *decider) awaitsOthers(pending *state.PendingTerm) bool {
	return d.replacesPrimary(pending) && !d.othersSuffice() && d.now.Sub(d.plan.started) <= othersTimeout
}

// awaitsTarget reports whether a planned change still waits for the promise of
// the server that it is for.
func (d *decider) awaitsTarget(pending *state.PendingTerm) bool {
	if !d.isPlanned(pending) || pending.Target == "" {
		return false
	}
	_, promised := d.plan.promises[pending.Target]
	return !promised && d.now.Sub(d.plan.started) <= plannedTimeout
}

// isPlanned reports whether the old primary takes part in the change.
func (d *decider) isPlanned(pending *state.PendingTerm) bool {
	return pending.Reason == state.ReasonSwitchover || pending.Reason == state.ReasonVoters
}

// handOver stops the old primary's writes and waits until the servers that
// need its log have it. It returns true once the other servers may promise.
func (d *decider) handOver(pending *state.PendingTerm) bool {
	primary := d.s.Record.Primary
	late := d.now.Sub(d.plan.started) > plannedTimeout
	stopped, ok := d.plan.promises[primary]
	if !ok {
		d.sendToVoter(Action{Kind: Promise, Server: primary, Term: pending.Term})
		if late {
			d.begin(state.ReasonFailover, "", d.s.Record.Voters)
		}
		return false
	}
	needed, least := d.needsLog(pending)
	reached := 0
	for _, name := range needed {
		if name == primary || d.plan.reached[name] {
			reached++
			continue
		}
		d.send(Action{Kind: Wait, Server: name, Term: pending.Term, Mark: stopped.received})
	}
	if reached >= least {
		return true
	}
	if late {
		// The old primary takes its work up again in a term of its own.
		d.begin(state.ReasonFailover, primary, d.s.Record.Voters)
	}
	return false
}

// needsLog returns the servers that must hold the old primary's log before
// the others promise, and how many of them.
func (d *decider) needsLog(pending *state.PendingTerm) ([]cluster.ServerName, int) {
	if slices.Equal(d.s.Record.Voters, pending.Voters) {
		return []cluster.ServerName{pending.Target}, 1
	}
	return pending.Voters, cluster.Majority(len(pending.Voters))
}

// participants returns the old and the new voters.
func (d *decider) participants(pending *state.PendingTerm) []cluster.ServerName {
	all := slices.Concat(d.s.Record.Voters, pending.Voters)
	slices.Sort(all)
	return slices.Compact(all)
}

// hasQuorum reports whether enough servers have promised the pending term: a
// majority of the old voters and of the new ones, or everyone at formation.
func (d *decider) hasQuorum(pending *state.PendingTerm) bool {
	if d.s.Record.Term == 0 {
		return d.promised(pending.Voters) == len(pending.Voters)
	}
	old := d.s.Record.Voters
	return d.promised(old) >= cluster.Majority(len(old)) &&
		d.promised(pending.Voters) >= cluster.Majority(len(pending.Voters))
}

func (d *decider) promised(voters []cluster.ServerName) int {
	count := 0
	for _, name := range voters {
		if p, ok := d.plan.promises[name]; ok && !p.lost {
			count++
		}
	}
	return count
}

// choose commits the most advanced server as primary.
func (d *decider) choose(pending *state.PendingTerm) {
	if d.replacesPrimary(pending) && d.othersSuffice() {
		d.avoid = d.s.Record.Primary
	}
	best := d.longestLog()
	if !d.newVotersHold(pending, best) {
		d.begin(state.ReasonFailover, "", d.s.Record.Voters)
		return
	}
	chosen, ok := d.pick(pending, best)
	if !ok {
		d.begin(state.ReasonFailover, "", d.s.Record.Voters)
		return
	}
	d.send(Action{Kind: Commit, Commit: state.CommitTerm{
		Group: d.s.Record.Name, Term: pending.Term, Primary: chosen,
	}})
}

func (d *decider) longestLog() cluster.Mark {
	var best cluster.Mark
	for name, p := range d.plan.promises {
		if name != d.avoid && !p.lost && p.received.Compare(best) > 0 {
			best = p.received
		}
	}
	return best
}

// newVotersHold reports whether a later majority of the new voters is sure to
// include a server with the log. It always is if the voters stay the same.
func (d *decider) newVotersHold(pending *state.PendingTerm, log cluster.Mark) bool {
	if d.s.Record.Term == 0 || slices.Equal(d.s.Record.Voters, pending.Voters) {
		return true
	}
	holding := 0
	for _, name := range pending.Voters {
		if p, ok := d.plan.promises[name]; ok && !p.lost && p.received.Compare(log) >= 0 {
			holding++
		}
	}
	return holding >= cluster.Majority(len(pending.Voters))
}

// pick returns the new primary among the voters with the longest log: the
// target, else one that isn't leaving and wasn't primary, else the first.
func (d *decider) pick(pending *state.PendingTerm, log cluster.Mark) (cluster.ServerName, bool) {
	var chosen cluster.ServerName
	bestRank := -1
	for _, name := range pending.Voters {
		p, ok := d.plan.promises[name]
		if !ok || p.lost || name == d.avoid || p.received.Compare(log) < 0 {
			continue
		}
		if rank := d.rank(pending, name); rank > bestRank {
			chosen, bestRank = name, rank
		}
	}
	return chosen, bestRank >= 0
}

func (d *decider) rank(pending *state.PendingTerm, name cluster.ServerName) int {
	rank := 0
	if name == pending.Target {
		rank += 4
	}
	if !d.isLeaving(name) {
		rank += 2
	}
	if name != d.s.Record.Primary {
		rank++
	}
	return rank
}
