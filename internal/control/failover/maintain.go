package failover

import (
	"maps"
	"slices"

	"github.com/burdockwood/burdockwood/internal/control/detect"
	"github.com/burdockwood/burdockwood/internal/control/registry"
	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// maintain begins a new term if one is needed, and otherwise makes every
// server do its part in the term in force.
func (d *decider) maintain() {
	record := d.s.Record
	if record.Term == 0 {
		d.form()
		return
	}
	if d.replacePrimary() || d.handOverPrimary() || d.changeVoters() {
		return
	}
	if d.promotePrimary() {
		d.repairVoters()
		d.followPrimary()
	}
}

// form begins the first term.
func (d *decider) form() {
	voters, above, ok := registry.InitialVoters(d.s.Servers, d.s.Declared, d.now)
	if !ok {
		return
	}
	d.plan.above = max(d.plan.above, above)
	d.begin(state.ReasonFormation, "", voters)
}

// replacePrimary begins a failover.
func (d *decider) replacePrimary() bool {
	record := d.s.Record
	for _, name := range record.Voters {
		d.plan.above = max(d.plan.above, d.s.Servers[name].Promised)
	}
	overtaken := d.plan.above > record.Term
	if !overtaken && !d.s.Verdict.NeedsReplacement() && !d.plan.lost[record.Primary] {
		return false
	}
	if d.liveReplicas() < cluster.Majority(len(record.Voters)) && !overtaken {
		return false
	}
	d.begin(state.ReasonFailover, "", record.Voters)
	return true
}

// liveReplicas counts the voters besides the primary that aren't silent.
func (d *decider) liveReplicas() int {
	count := 0
	for _, name := range d.s.Record.Voters {
		if name != d.s.Record.Primary && d.isLive(name) {
			count++
		}
	}
	return count
}

// handOverPrimary begins a planned switchover.
func (d *decider) handOverPrimary() bool {
	record := d.s.Record
	if d.plan.wanted != nil && d.plan.wanted.Term < record.Term {
		d.plan.wanted = nil
	}
	if d.plan.wanted == nil && !d.isLeaving(record.Primary) {
		return false
	}
	if d.s.Verdict != detect.Fine {
		return false
	}
	target, ok := d.successor()
	if !ok {
		return false
	}
	return d.beginPlanned(state.ReasonSwitchover, target, record.Voters)
}

// beginPlanned begins a planned change and returns true, unless another one
// failed or another term began just now.
func (d *decider) beginPlanned(reason state.Reason, target cluster.ServerName, voters []cluster.ServerName) bool {
	record := d.s.Record
	succeeded := record.Term == d.plan.planned.from+1 && record.Primary == d.plan.planned.target
	if (d.now.Before(d.plan.plannedAfter) && !succeeded) || d.now.Before(d.plan.next[key{kind: Begin}]) {
		return false
	}
	d.plan.plannedAfter = d.now.Add(plannedPause)
	d.plan.planned = planned{from: record.Term, target: target}
	d.begin(reason, target, voters)
	return true
}

// successor returns the wanted server, or the most advanced live voter.
func (d *decider) successor() (cluster.ServerName, bool) {
	record := d.s.Record
	var chosen cluster.ServerName
	for _, name := range record.Voters {
		server, known := d.s.Servers[name]
		if name == record.Primary || !known || server.IsSilent(d.now) || record.Members[name].Repairing {
			continue
		}
		if d.plan.wanted != nil && d.plan.wanted.To == name {
			return name, true
		}
		if d.isLeaving(name) {
			continue
		}
		if chosen == "" || server.Received.Compare(d.s.Servers[chosen].Received) > 0 {
			chosen = name
		}
	}
	if d.plan.wanted != nil && d.plan.wanted.To != "" {
		return "", false
	}
	return chosen, chosen != ""
}

// changeVoters begins a term with other voters and the same primary.
func (d *decider) changeVoters() bool {
	record := d.s.Record
	if d.s.Verdict != detect.Fine || d.plan.promoted != record.Term {
		return false
	}
	voters := registry.NextVoters(record.Voters, d.s.Servers, d.isReady, d.s.Declared, d.s.LeaderSince, d.now)
	if slices.Equal(voters, record.Voters) || !slices.Contains(voters, record.Primary) {
		return false
	}
	return d.beginPlanned(state.ReasonVoters, record.Primary, voters)
}

// isReady reports whether a server has nearly caught up with the primary.
func (d *decider) isReady(name cluster.ServerName) bool {
	record := d.s.Record
	primary, ok := d.s.Servers[record.Primary]
	if !ok || d.plan.follows[name].term != record.Term || record.Members[name].Repairing {
		return false
	}
	server := d.s.Servers[name]
	return server.Received.Term == primary.Received.Term && server.Received.Position+readyLag >= primary.Received.Position
}

// promotePrimary returns true once the primary is known to be promoted. One
// that was started again doesn't know its role, and one of an earlier term has
// no entry of this term.
func (d *decider) promotePrimary() bool {
	record := d.s.Record
	server, ok := d.s.Servers[record.Primary]
	if ok && server.LastAnnounced.After(d.plan.promotedAt) {
		d.plan.promoted = 0
		if server.Role == cluster.RolePrimary && server.Promised == record.Term && server.Received.Term == record.Term {
			d.plan.promoted = record.Term
		}
	}
	if d.plan.promoted == record.Term {
		return true
	}
	d.send(Action{Kind: Promote, Server: record.Primary, Term: record.Term, MinPromised: 1})
	return false
}

// repairVoters unmarks servers that have caught up after a lost disk.
func (d *decider) repairVoters() {
	record := d.s.Record
	for _, name := range slices.Sorted(maps.Keys(record.Members)) {
		server, ok := d.s.Servers[name]
		if !ok || name == record.Primary {
			continue
		}
		member := record.Members[name]
		if member.Repairing && d.hasCaughtUp(name, server) {
			member.Repairing = false
			d.send(Action{Kind: Repair, Server: name, Member: member})
		}
	}
}

// hasCaughtUp reports whether a voter holds all that the primary held at some
// time after the voter began to follow it.
func (d *decider) hasCaughtUp(name cluster.ServerName, server registry.Server) bool {
	followed, ok := d.plan.follows[name]
	if !ok || followed.term != d.s.Record.Term || followed.incarnation != server.Incarnation {
		return false
	}
	primary := d.s.Servers[d.s.Record.Primary]
	if followed.repaired.IsZero() && primary.LastAnnounced.After(followed.at) {
		followed.repaired = primary.Received
		d.plan.follows[name] = followed
	}
	return !followed.repaired.IsZero() && server.LastAnnounced.After(followed.at) && server.Received.Covers(followed.repaired)
}

// followPrimary makes every other member follow the primary.
func (d *decider) followPrimary() {
	record := d.s.Record
	primary := d.address(record.Primary)
	for _, name := range slices.Sorted(maps.Keys(record.Members)) {
		server := d.s.Servers[name]
		if name == record.Primary || !d.isLive(name) {
			continue
		}
		done := d.plan.follows[name]
		if done.term == record.Term && done.primary == primary && done.incarnation == server.Incarnation {
			continue
		}
		follow := Action{Kind: Follow, Server: name, Term: record.Term, Primary: primary}
		if slices.Contains(record.Voters, name) {
			d.sendToVoter(follow)
		} else {
			d.send(follow)
		}
	}
}
