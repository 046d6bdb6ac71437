// Package clusterview holds what a proxy knows from control as one immutable
// snapshot.
//
// # Usage
//
//	store := clusterview.NewStore()
//	changed := store.Apply(response, now)
//	group := store.Load().Groups["ledger-1"]
//
// Next is the pure decision: an answer with an older version of the
// declarations, or with a lower pair of leader epoch and revision, changes
// nothing. Readers load the snapshot without a lock.
package clusterview

import (
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

type (
	// Snapshot is the state of the system as the proxy knows it. Nothing in
	// it changes.
	Snapshot struct {
		Version      cluster.Version
		Declarations string
		Epoch        uint64
		Revision     uint64
		Groups       map[cluster.GroupName]*Group
		Grants       map[ServerKey]Grant
		Peers        []Peer
		// PeersChangedAt is when the list of peers last changed here.
		PeersChangedAt time.Time
		// TokenKeys sign session marks, newest first.
		TokenKeys []string
		Drain     bool
	}

	// ServerKey names a backend server among all groups.
	ServerKey struct {
		Group  cluster.GroupName
		Server cluster.ServerName
	}

	// Group is a group as it is in force.
	Group struct {
		Name     cluster.GroupName
		Term     cluster.Term
		Revision uint64
		Primary  cluster.ServerName
		Members  []Member
	}

	// Member is a backend server of a group.
	Member struct {
		Server      cluster.ServerName
		Address     netip.AddrPort
		DataCentre  cluster.DataCentre
		Slots       int
		Connections int
		// Voter tells that the server counts for the term's majorities.
		Voter bool
		// Usable is false for a server that leaves or is silent.
		Usable bool
	}

	// Grant is the right to hold connections to a server.
	Grant struct {
		Connections int
		// Floor is the part of Connections that stays after Expires.
		Floor int
		// Expires is when the right ends; zero: never.
		Expires time.Time
	}

	// Peer is a live proxy.
	Peer struct {
		Name        cluster.ProxyName
		Address     netip.AddrPort
		Incarnation cluster.Incarnation
	}

	// Store holds the newest snapshot. Apply is called by one goroutine.
	Store struct {
		current atomic.Pointer[Snapshot]
	}
)

// String returns "group/server".
func (k ServerKey) String() string { return string(k.Group) + "/" + string(k.Server) }

// NewStore returns a store with an empty snapshot.
func NewStore() *Store {
	store := &Store{}
	store.current.Store(&Snapshot{})
	return store
}

// Load returns the newest snapshot.
func (s *Store) Load() *Snapshot { return s.current.Load() }

// Apply takes an answer of control in and reports whether it was taken.
func (s *Store) Apply(response *controlpb.HeartbeatResponse, now time.Time) bool {
	next, taken := Next(s.Load(), response, now)
	if taken {
		s.current.Store(next)
	}
	return taken
}

// Next returns the snapshot after an answer of control; taken is false if the
// answer is older than the snapshot.
func Next(old *Snapshot, response *controlpb.HeartbeatResponse, now time.Time) (next *Snapshot, taken bool) {
	if isOlder(old, response) {
		return old, false
	}
	snapshot := *old
	snapshot.Epoch = response.LeaderEpoch
	snapshot.Revision = response.Revision
	snapshot.Drain = response.Drain
	if cluster.Version(response.Version) > old.Version && response.Declarations != "" {
		snapshot.Version = cluster.Version(response.Version)
		snapshot.Declarations = response.Declarations
	}
	if response.Full || len(response.Groups) > 0 {
		snapshot.Groups = groupsAfter(old.Groups, response)
	}
	if response.GrantsSet {
		snapshot.Grants = grantsOf(response.Grants, now)
	}
	if response.PeersSet {
		peers := peersOf(response.Peers)
		if !slices.Equal(peers, old.Peers) {
			snapshot.Peers = peers
			snapshot.PeersChangedAt = now
		}
	}
	if len(response.MarkKeys) > 0 {
		snapshot.TokenKeys = response.MarkKeys
	}
	return &snapshot, true
}

// isOlder reports whether an answer tells less than the snapshot knows.
func isOlder(old *Snapshot, response *controlpb.HeartbeatResponse) bool {
	if cluster.Version(response.Version) < old.Version || response.LeaderEpoch < old.Epoch {
		return true
	}
	return response.LeaderEpoch == old.Epoch && response.Revision < old.Revision
}

// groupsAfter merges changed groups. A group never goes back to a lower term.
func groupsAfter(old map[cluster.GroupName]*Group, response *controlpb.HeartbeatResponse) map[cluster.GroupName]*Group {
	groups := make(map[cluster.GroupName]*Group, len(old)+len(response.Groups))
	if !response.Full {
		for name, group := range old {
			groups[name] = group
		}
	}
	for _, message := range response.Groups {
		group := groupOf(message)
		if known := old[group.Name]; known != nil && known.Term > group.Term {
			group = known
		}
		groups[group.Name] = group
	}
	return groups
}

// groupOf decodes a group; members without a valid address are left out.
func groupOf(message *controlpb.Group) *Group {
	group := &Group{
		Name:     cluster.GroupName(message.Name),
		Term:     cluster.Term(message.Term),
		Revision: message.Revision,
		Primary:  cluster.ServerName(message.Primary),
	}
	voters := map[string]bool{}
	for _, voter := range message.Voters {
		voters[voter] = true
	}
	for _, member := range message.Members {
		address, err := netip.ParseAddrPort(member.Address)
		if err != nil {
			continue
		}
		group.Members = append(group.Members, Member{
			Server:      cluster.ServerName(member.Server),
			Address:     address,
			DataCentre:  cluster.DataCentre(member.DataCentre),
			Slots:       int(member.Slots),
			Connections: int(member.Connections),
			Voter:       voters[member.Server],
			Usable:      !member.Leaving && !member.Silent,
		})
	}
	return group
}

// VoterCount returns the number of voters.
func (g *Group) VoterCount() int {
	count := 0
	for i := range g.Members {
		if g.Members[i].Voter {
			count++
		}
	}
	return count
}

// ConnectionsAt returns the number of connections that the grant allows at a time.
func (g Grant) ConnectionsAt(now time.Time) int {
	if g.Expires.IsZero() || now.Before(g.Expires) {
		return g.Connections
	}
	return min(g.Floor, g.Connections)
}

func grantsOf(messages []*controlpb.Grant, now time.Time) map[ServerKey]Grant {
	grants := make(map[ServerKey]Grant, len(messages))
	for _, message := range messages {
		key, ok := ParseServerKey(message.Server)
		if !ok {
			continue
		}
		grant := Grant{Connections: int(message.Connections), Floor: int(message.Floor)}
		if message.ExpiresMs > 0 {
			grant.Expires = now.Add(time.Duration(message.ExpiresMs) * time.Millisecond)
		}
		grants[key] = grant
	}
	return grants
}

func peersOf(messages []*controlpb.ProxyPeer) []Peer {
	peers := make([]Peer, 0, len(messages))
	for _, message := range messages {
		address, err := netip.ParseAddrPort(message.Address)
		if err != nil {
			continue
		}
		peers = append(peers, Peer{
			Name:        cluster.ProxyName(message.Name),
			Address:     address,
			Incarnation: cluster.Incarnation(message.Incarnation),
		})
	}
	return peers
}

// ParseServerKey reads the form that ServerKey.String writes.
func ParseServerKey(text string) (ServerKey, bool) {
	for i := len(text) - 1; i > 0; i-- {
		if text[i] == '/' {
			return ServerKey{Group: cluster.GroupName(text[:i]), Server: cluster.ServerName(text[i+1:])}, true
		}
	}
	return ServerKey{}, false
}
