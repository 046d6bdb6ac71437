package quorum

import (
	"encoding/binary"
	"hash/crc64"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// initialTerm is the term of the entry of the initial configuration.
	initialTerm = 1
	// discoverRounds is the number of newest discovery rounds whose responses
	// are accepted.
	discoverRounds = 4
	// joinerDigest is reported in place of a digest of members by a node that holds no
	// cluster and leaves its creation to others. Digests of members are odd.
	joinerDigest = 2
)

var digestTable = crc64.MakeTable(crc64.ECMA)

// discovery is what a node without a cluster has discovered of the others. It
// accepts only responses to its own newest rounds, so that a late message of a
// lost disk doesn't count as current.
type discovery struct {
	// round numbers the discovery rounds of this run of the node. It begins at
	// a random number, so that responses to an earlier run aren't accepted.
	round uint64
	disks map[cluster.NodeName]discoveredDisk
	// agreedNodes holds the nodes that reported the same digest of members as
	// this node's.
	agreedNodes map[cluster.NodeName]bool
	// joiners holds the nodes that reported joinerDigest.
	joiners map[cluster.NodeName]bool
}

// discoveredDisk is a disk and the newest round that it responded to.
type discoveredDisk struct {
	disk  cluster.Incarnation
	round uint64
}

func (d *discovery) init(firstRound uint64) {
	d.round = firstRound
	d.disks = map[cluster.NodeName]discoveredDisk{}
	d.agreedNodes = map[cluster.NodeName]bool{}
	d.joiners = map[cluster.NodeName]bool{}
}

// record records the ID from a response of the given round. It reports whether
// the ID is current and whether it is new; a new disk voids all agreement.
func (d *discovery) record(id ID, round uint64) (current, changed bool) {
	old, known := d.disks[id.Node]
	if round > d.round || d.round-round >= discoverRounds {
		return false, false
	}
	changed = !known || old.disk != id.Disk
	if changed && known && round < old.round {
		return false, false
	}
	d.disks[id.Node] = discoveredDisk{disk: id.Disk, round: max(round, old.round)}
	if changed {
		clear(d.agreedNodes)
		clear(d.joiners)
	}
	return true, changed
}

// tickDiscover starts a discovery round if one is due and no leader is live.
func (c *Core) tickDiscover(now time.Time) {
	if now.Before(c.discoverDue) {
		return
	}
	c.discoverDue = now.Add(c.options.ElectionMin)
	if c.hasLiveLeader(now) {
		return
	}
	c.sendDiscover()
}

// sendDiscover asks the other listed nodes for their IDs. It addresses them by
// name, whatever their disks are now.
func (c *Core) sendDiscover() {
	c.discoveryState.round++
	for _, name := range c.otherNodes() {
		c.send(Message{Kind: MessageDiscover, To: ID{Node: name}, Round: c.discoveryState.round})
	}
}

func (c *Core) stepDiscover(m Message, now time.Time) {
	if c.hasCluster() {
		c.stepDiscoverInCluster(m, now)
		return
	}
	if m.ClusterID != 0 {
		c.adoptInitialConfig(m, now)
		return
	}
	if m.Kind == MessageDiscover {
		c.send(Message{Kind: MessageDiscoverResponse, To: m.From, Round: m.Round, MembersDigest: c.discoveredDigest()})
		return
	}
	current, changed := c.discoveryState.record(m.From, m.Round)
	if changed {
		c.discoverDue = now
	}
	if digest := c.discoveredDigest(); current && digest != 0 {
		c.discoveryState.agreedNodes[m.From.Node] = m.MembersDigest == digest
		c.discoveryState.joiners[m.From.Node] = m.MembersDigest == joinerDigest
	}
	c.tryBootstrap(now)
}

// stepDiscoverInCluster handles discovery on a member of a cluster: it responds
// with the cluster's ID and, if the log still holds it, the initial configuration.
func (c *Core) stepDiscoverInCluster(m Message, now time.Time) {
	if m.Kind != MessageDiscover {
		return
	}
	if c.isRetired(m.From) && m.ClusterID == c.state.ClusterID {
		c.send(Message{Kind: MessageRetired, To: m.From})
		return
	}
	if m.ClusterID == 0 || m.ClusterID == c.state.ClusterID {
		c.addLearner(m.From, now)
		c.forwardDiscover(m, now)
	}
	c.send(Message{Kind: MessageDiscoverResponse, To: m.From, Configuration: c.initialConfig()})
}

// forwardDiscover forwards the request of a node that is to join to the leader.
// The node may not know the leader: of the current members, its list of nodes may
// contain only this one.
func (c *Core) forwardDiscover(m Message, now time.Time) {
	if c.options.Resolve == nil || c.role == RoleLeader || !c.hasLiveLeader(now) || m.From.Node == c.leader.Node {
		return
	}
	m.To = c.leader
	c.pendingOutput.messages = append(c.pendingOutput.messages, m)
}

// initialConfig returns the initial configuration, or nil if the log no longer
// holds it.
func (c *Core) initialConfig() *Configuration {
	if c.log.base != 0 || len(c.log.entries) == 0 {
		return nil
	}
	return c.log.entries[0].Configuration
}

// adoptInitialConfig joins the cluster that another node has created already, if
// the message carries its initial configuration and this node is a member of it.
func (c *Core) adoptInitialConfig(m Message, now time.Time) bool {
	config := m.Configuration
	if config == nil || !config.Has(c.self) || membersDigest(config.Members) != m.ClusterID {
		return false
	}
	c.bootstrap(*config, now)
	return true
}

// discoveredDigest returns the digest of all listed nodes with their disks, or
// joinerDigest if this node takes no part in creating a cluster; zero if the disk of one
// is unknown.
func (c *Core) discoveredDigest() uint64 {
	switch {
	case c.hasCluster():
		return 0
	case c.options.MustJoin:
		return joinerDigest
	}
	members, complete := c.discoveredMembers()
	if !complete {
		return 0
	}
	return membersDigest(members)
}

// discoveredMembers returns the listed nodes with their disks; false if the disk
// of one is unknown.
func (c *Core) discoveredMembers() ([]Member, bool) {
	members := make([]Member, 0, len(c.options.Nodes))
	for _, m := range c.options.Nodes {
		seen, ok := c.discoveryState.disks[m.Node]
		if m.Node == c.self.Node {
			seen, ok = discoveredDisk{disk: c.self.Disk}, true
		}
		if !ok {
			return nil, false
		}
		members = append(members, Member{ID: ID{Node: m.Node, Disk: seen.disk}, Address: m.Address})
	}
	sortMembers(members)
	return members, true
}

// membersDigest returns a checksum that identifies a set of members; never zero.
func membersDigest(members []Member) uint64 {
	var text []byte
	for _, m := range members {
		text = append(text, m.Node...)
		text = append(text, 0)
		text = binary.BigEndian.AppendUint64(text, uint64(m.Disk))
		text = append(text, m.Address.String()...)
		text = append(text, 0)
	}
	return crc64.Checksum(text, digestTable) | 1
}

// tryBootstrap creates a cluster once all listed nodes agree.
func (c *Core) tryBootstrap(now time.Time) {
	if c.hasCluster() || c.options.MustJoin || !c.allAgree() {
		return
	}
	members, complete := c.discoveredMembers()
	if !complete {
		return
	}
	c.bootstrap(Configuration{Members: slices.Clone(members)}, now)
}

// allAgree reports whether a majority of the listed nodes sees the same IDs as this one,
// and all others hold no cluster. A node that lost its disk may have been a member of a
// cluster, but then one of the others is, too, unless a majority lost its disks.
func (c *Core) allAgree() bool {
	agreed := 1
	for _, name := range c.otherNodes() {
		switch {
		case c.discoveryState.agreedNodes[name]:
			agreed++
		case !c.discoveryState.joiners[name]:
			return false
		}
	}
	return agreed >= cluster.Majority(len(c.options.Nodes))
}

// bootstrap begins the log with the initial configuration. That entry is the same
// on each node that creates the cluster, hence it is committed at once.
func (c *Core) bootstrap(config Configuration, now time.Time) {
	c.state = HardState{Term: initialTerm, ClusterID: membersDigest(config.Members)}
	c.pendingOutput.hardStateDirty = true
	c.append(Entry{Index: 1, Term: initialTerm, Kind: EntryConfiguration, Configuration: &config})
	c.log.commit = 1
	c.discoveryState.init(c.discoveryState.round)
	c.resetElection(now)
}
