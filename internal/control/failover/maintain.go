package failover

import (
	"maps"
	"slices"

	"github.com/burdockwood/burdockwood/internal/control/detect"
	"github.com/burdockwood/burdockwood/internal/control/registry"
	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// maintain begins a new term if one is needed. Otherwise it promotes the
// primary of the term in force and makes the other servers follow it.
func (d *decision) maintain() {
	record := d.group.Record
	if record.Term == 0 {
		d.beginFormation()
		return
	}
	if d.beginFailover() || d.beginSwitchover() || d.beginVoterChange() {
		return
	}
	if d.promotePrimary() {
		d.clearRepairing()
		d.followPrimary()
	}
}

// beginFormation begins the first term once enough servers have announced
// themselves.
func (d *decision) beginFormation() {
	voters, highestPromised, ok := registry.InitialVoters(d.group.Servers, d.group.DeclaredServers, d.now)
	if !ok {
		return
	}
	d.plan.highestPromised = max(d.plan.highestPromised, highestPromised)
	d.beginTerm(state.ReasonFormation, "", voters)
}

// beginFailover begins a failover if one is needed, and reports whether it did. Unless
// a server has promised a higher term, it begins none before the live voters other
// than the primary are a majority.
func (d *decision) beginFailover() bool {
	record := d.group.Record
	for _, name := range record.Voters {
		d.plan.highestPromised = max(d.plan.highestPromised, d.group.Servers[name].Promised)
	}
	// A server that has promised a higher term accepts no log entries of this
	// one, so a new term is needed whatever the verdict.
	promisedHigher := d.plan.highestPromised > record.Term
	if !promisedHigher && !d.group.Verdict.NeedsReplacement() && !d.plan.lostDisks[record.Primary] {
		return false
	}
	if d.countLiveReplicas() < cluster.Majority(len(record.Voters)) && !promisedHigher {
		return false
	}
	d.beginTerm(state.ReasonFailover, "", record.Voters)
	return true
}

// countLiveReplicas counts the voters other than the primary that aren't
// silent.
func (d *decision) countLiveReplicas() int {
	count := 0
	for _, name := range d.group.Record.Voters {
		if name != d.group.Record.Primary && d.isLive(name) {
			count++
		}
	}
	return count
}

// beginSwitchover begins a planned switchover if an operator requests it or the
// primary is leaving, and reports whether it did.
func (d *decision) beginSwitchover() bool {
	record := d.group.Record
	if d.plan.switchover != nil && d.plan.switchover.Term < record.Term {
		d.plan.switchover = nil
	}
	if d.plan.switchover == nil && !d.isLeaving(record.Primary) {
		return false
	}
	if d.group.Verdict != detect.Fine {
		return false
	}
	target, ok := d.successor()
	if !ok {
		return false
	}
	return d.beginPlannedChange(state.ReasonSwitchover, target, record.Voters)
}

// beginPlannedChange begins a planned change and returns true. It returns false if
// another planned change failed within the last plannedRetryDelay or another term
// began within the last minBeginInterval.
func (d *decision) beginPlannedChange(reason state.Reason, target cluster.ServerName, voters []cluster.ServerName) bool {
	record := d.group.Record
	succeeded := record.Term == d.plan.plannedChange.fromTerm+1 && record.Primary == d.plan.plannedChange.target
	if (d.now.Before(d.plan.plannedAfter) && !succeeded) || d.now.Before(d.plan.nextAttempt[actionKey{kind: ActionBeginTerm}]) {
		return false
	}
	d.plan.plannedAfter = d.now.Add(plannedRetryDelay)
	d.plan.plannedChange = plannedChange{fromTerm: record.Term, target: target}
	d.beginTerm(reason, target, voters)
	return true
}

// successor returns the requested server, or else the live voter with the
// longest log.
func (d *decision) successor() (cluster.ServerName, bool) {
	record := d.group.Record
	var chosen cluster.ServerName
	for _, name := range record.Voters {
		server, known := d.group.Servers[name]
		if name == record.Primary || !known || server.IsSilent(d.now) || record.Members[name].Repairing {
			continue
		}
		if d.plan.switchover != nil && d.plan.switchover.To == name {
			return name, true
		}
		if d.isLeaving(name) {
			continue
		}
		if chosen == "" || server.Received.Compare(d.group.Servers[chosen].Received) > 0 {
			chosen = name
		}
	}
	if d.plan.switchover != nil && d.plan.switchover.To != "" {
		return "", false
	}
	return chosen, chosen != ""
}

// beginVoterChange begins a term with other voters and the same primary if a voter
// has to be added or replaced, and reports whether it did.
func (d *decision) beginVoterChange() bool {
	record := d.group.Record
	if d.group.Verdict != detect.Fine || d.plan.promotedTerm != record.Term {
		return false
	}
	voters := registry.NextVoters(record.Voters, d.group.Servers, d.isReady, d.group.DeclaredServers, d.group.LeaderSince, d.now)
	if slices.Equal(voters, record.Voters) || !slices.Contains(voters, record.Primary) {
		return false
	}
	return d.beginPlannedChange(state.ReasonVoters, record.Primary, voters)
}

// isReady reports whether a server has nearly caught up with the primary.
func (d *decision) isReady(name cluster.ServerName) bool {
	record := d.group.Record
	primary, ok := d.group.Servers[record.Primary]
	if !ok || d.plan.follows[name].term != record.Term || record.Members[name].Repairing {
		return false
	}
	server := d.group.Servers[name]
	return server.Received.Term == primary.Received.Term && server.Received.Position+maxReadyLag >= primary.Received.Position
}

// promotePrimary promotes the primary and returns true once it is known to be
// promoted. A primary that was restarted has no role until it is promoted
// again, and one of an earlier term has no entry of this term.
func (d *decision) promotePrimary() bool {
	record := d.group.Record
	server, ok := d.group.Servers[record.Primary]
	if ok && server.LastAnnounced.After(d.plan.promotedAt) {
		d.plan.promotedTerm = 0
		if server.Role == cluster.RolePrimary && server.Promised == record.Term && server.Received.Term == record.Term {
			d.plan.promotedTerm = record.Term
		}
	}
	if d.plan.promotedTerm == record.Term {
		return true
	}
	d.addAction(Action{Kind: ActionPromote, Server: record.Primary, Term: record.Term, MinPromised: 1})
	return false
}

// clearRepairing records that servers have caught up after the loss of their
// disk.
func (d *decision) clearRepairing() {
	record := d.group.Record
	for _, name := range slices.Sorted(maps.Keys(record.Members)) {
		server, ok := d.group.Servers[name]
		if !ok || name == record.Primary {
			continue
		}
		member := record.Members[name]
		if member.Repairing && d.hasCaughtUp(name, server) {
			member.Repairing = false
			d.addAction(Action{Kind: ActionSetRepairing, Server: name, Member: member})
		}
	}
}

// hasCaughtUp reports whether a voter holds all entries that the primary held at
// some time after the voter began to follow it.
func (d *decision) hasCaughtUp(name cluster.ServerName, server registry.Server) bool {
	followed, ok := d.plan.follows[name]
	if !ok || followed.term != d.group.Record.Term || followed.incarnation != server.Incarnation {
		return false
	}
	primary := d.group.Servers[d.group.Record.Primary]
	if followed.repairTarget.IsZero() && primary.LastAnnounced.After(followed.acknowledgedAt) {
		followed.repairTarget = primary.Received
		d.plan.follows[name] = followed
	}
	return !followed.repairTarget.IsZero() && server.LastAnnounced.After(followed.acknowledgedAt) && server.Received.Covers(followed.repairTarget)
}

// followPrimary makes every other live member follow the primary.
func (d *decision) followPrimary() {
	record := d.group.Record
	primary := d.address(record.Primary)
	for _, name := range slices.Sorted(maps.Keys(record.Members)) {
		server := d.group.Servers[name]
		if name == record.Primary || !d.isLive(name) {
			continue
		}
		following := d.plan.follows[name]
		if following.term == record.Term && following.primary == primary && following.incarnation == server.Incarnation {
			continue
		}
		action := Action{Kind: ActionFollow, Server: name, Term: record.Term, Primary: primary}
		if slices.Contains(record.Voters, name) {
			d.addVoterAction(action)
		} else {
			d.addAction(action)
		}
	}
}
