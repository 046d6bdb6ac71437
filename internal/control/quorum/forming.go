package quorum

import (
	"encoding/binary"
	"hash/crc64"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// genesisTerm is the term of the first configuration's entry.
	genesisTerm = 1
	// probeRounds is the number of latest probes whose answers count.
	probeRounds = 4
)

var viewTable = crc64.MakeTable(crc64.ECMA)

// formation is what a node without a cluster knows of the others. Only answers
// to its own latest probes count, so that a late message of a lost disk is not
// taken for news.
type formation struct {
	// round numbers the probes of this run of the node.
	round uint64
	seen  map[cluster.NodeName]sighting
	// agreed are the nodes that told the same view as the own.
	agreed map[cluster.NodeName]bool
}

// sighting is a disk and the newest probe that it answered.
type sighting struct {
	disk  cluster.Incarnation
	round uint64
}

func (f *formation) init(firstRound uint64) {
	f.round = firstRound
	f.seen = map[cluster.NodeName]sighting{}
	f.agreed = map[cluster.NodeName]bool{}
}

// observe takes an identity from the answer to a probe. It reports whether the
// identity is current and whether it is new; a new disk undoes all agreement.
func (f *formation) observe(id ID, round uint64) (current, changed bool) {
	old, known := f.seen[id.Node]
	if round > f.round || f.round-round >= probeRounds {
		return false, false
	}
	changed = !known || old.disk != id.Disk
	if changed && known && round < old.round {
		return false, false
	}
	f.seen[id.Node] = sighting{disk: id.Disk, round: max(round, old.round)}
	if changed {
		clear(f.agreed)
	}
	return true, changed
}

// tickProbe asks the other nodes for their identities.
func (c *Core) tickProbe(now time.Time) {
	if now.Before(c.probeDue) {
		return
	}
	c.probeDue = now.Add(c.options.ElectionMin)
	if c.hearsLeader(now) {
		return
	}
	c.probeOthers()
}

// probeOthers asks the listed nodes by name, whatever their disks are now.
func (c *Core) probeOthers() {
	c.forming.round++
	for _, name := range c.otherNodes() {
		c.send(Message{Kind: MessageProbe, To: ID{Node: name}, Round: c.forming.round})
	}
}

func (c *Core) stepProbe(m Message, now time.Time) {
	if c.formed() {
		c.answerProbeFormed(m, now)
		return
	}
	if m.ClusterID != 0 {
		c.adoptGenesis(m, now)
		return
	}
	if m.Kind == MessageProbe {
		c.send(Message{Kind: MessageProbeResponse, To: m.From, Round: m.Round, MembersDigest: c.view()})
		return
	}
	current, changed := c.forming.observe(m.From, m.Round)
	if changed {
		c.probeDue = now
	}
	if view := c.view(); current && view != 0 && m.MembersDigest == view {
		c.forming.agreed[m.From.Node] = true
	}
	c.tryForm(now)
}

// answerProbeFormed tells a node that asks that a cluster exists.
func (c *Core) answerProbeFormed(m Message, now time.Time) {
	if m.Kind != MessageProbe {
		return
	}
	if c.isRetired(m.From) && m.ClusterID == c.state.ClusterID {
		c.send(Message{Kind: MessageRetired, To: m.From})
		return
	}
	if m.ClusterID == 0 || m.ClusterID == c.state.ClusterID {
		c.learn(m.From, now)
		c.relayProbe(m, now)
	}
	c.send(Message{Kind: MessageProbeResponse, To: m.From, Configuration: c.genesis()})
}

// relayProbe passes the probe of a node that wants to join on to the leader,
// whom the node may not know: its list of nodes can be older than all members
// but this one.
func (c *Core) relayProbe(m Message, now time.Time) {
	if c.options.Resolve == nil || c.role == RoleLeader || !c.hearsLeader(now) || m.From.Node == c.leader.Node {
		return
	}
	m.To = c.leader
	c.out.messages = append(c.out.messages, m)
}

// genesis returns the first configuration if the log still holds it.
func (c *Core) genesis() *Configuration {
	if c.log.base != 0 || len(c.log.entries) == 0 {
		return nil
	}
	return c.log.entries[0].Configuration
}

// adoptGenesis forms the cluster that another node has formed already, if the
// message brings its first configuration.
func (c *Core) adoptGenesis(m Message, now time.Time) bool {
	config := m.Configuration
	if config == nil || !config.Has(c.self) || viewOf(config.Members) != m.ClusterID {
		return false
	}
	c.form(*config, now)
	return true
}

// view identifies the known disks of all listed nodes; zero: some are unknown.
func (c *Core) view() uint64 {
	if c.formed() || c.options.MustJoin {
		return 0
	}
	members, complete := c.seenMembers()
	if !complete {
		return 0
	}
	return viewOf(members)
}

// seenMembers returns the listed nodes with their disks as far as known.
func (c *Core) seenMembers() ([]Member, bool) {
	members := make([]Member, 0, len(c.options.Nodes))
	for _, m := range c.options.Nodes {
		seen, ok := c.forming.seen[m.Node]
		if m.Node == c.self.Node {
			seen, ok = sighting{disk: c.self.Disk}, true
		}
		if !ok {
			return nil, false
		}
		members = append(members, Member{ID: ID{Node: m.Node, Disk: seen.disk}, Address: m.Address})
	}
	sortMembers(members)
	return members, true
}

// viewOf returns an identifier of a set of members; never zero.
func viewOf(members []Member) uint64 {
	var text []byte
	for _, m := range members {
		text = append(text, m.Node...)
		text = append(text, 0)
		text = binary.BigEndian.AppendUint64(text, uint64(m.Disk))
		text = append(text, m.Address.String()...)
		text = append(text, 0)
	}
	return crc64.Checksum(text, viewTable) | 1
}

// tryForm forms a cluster once all listed nodes agree on the same identities.
func (c *Core) tryForm(now time.Time) {
	if c.formed() || c.options.MustJoin || !c.allAgree() {
		return
	}
	members, complete := c.seenMembers()
	if !complete {
		return
	}
	c.form(Configuration{Members: slices.Clone(members)}, now)
}

func (c *Core) allAgree() bool {
	for _, name := range c.otherNodes() {
		if !c.forming.agreed[name] {
			return false
		}
	}
	return true
}

// form begins the log with the first configuration. It is the same on each
// node that forms, hence committed at once.
func (c *Core) form(config Configuration, now time.Time) {
	c.state = HardState{Term: genesisTerm, ClusterID: viewOf(config.Members)}
	c.out.hardStateDirty = true
	c.append(Entry{Index: 1, Term: genesisTerm, Kind: EntryConfiguration, Configuration: &config})
	c.log.commit = 1
	c.forming.init(c.forming.round)
	c.resetElection(now)
}
