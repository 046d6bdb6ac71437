// Package clusterview holds what a proxy has received from control, the control
// nodes, as one immutable snapshot.
//
// # Usage
//
//	store := clusterview.NewStore()
//	applied := store.Apply(response, now)
//	group := store.Load().Groups["ledger-1"]
//
// Next computes the snapshot after a response, without side effects. A response
// with an older version of the declarations, or with a lower pair of leader epoch
// and revision, changes nothing. Readers load the snapshot without a lock.
//
// Declarations are the operators' configuration of the system, and each accepted
// text of them has a version number. Epochs number the successive leaders of the
// control nodes; a leader numbers the changes of what it sends by revisions. Terms
// number the successive primaries of a group.
package clusterview

import (
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/textedit"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

type (
	// Snapshot is the state of the system as control last sent it. It is
	// immutable.
	Snapshot struct {
		// Version is the version of the declarations, Declarations their text.
		Version      cluster.Version
		Declarations string
		// WantsWhole is true after an edit that didn't fit the declarations: the
		// next ones must come as a whole.
		WantsWhole bool
		// Epoch is the epoch of the control leader that sent the snapshot,
		// Revision the leader's count of changes in that epoch. Both are zero
		// before the first response.
		Epoch    uint64
		Revision uint64
		Groups   map[cluster.GroupName]*Group
		Grants   map[ServerKey]Grant
		// Peers are all live proxies, this one included.
		Peers []Peer
		// PeersChangedAt is when the proxy received the last change of Peers.
		PeersChangedAt time.Time
		// TokenKeys are the keys that sign session tokens, newest first. A
		// session token is what a caller carries from proxy to proxy so that it
		// reads its own writes.
		TokenKeys []string
		// Drain is true while an operator drains the proxy.
		Drain bool
	}

	// ServerKey identifies a backend server among the servers of all groups.
	ServerKey struct {
		Group  cluster.GroupName
		Server cluster.ServerName
	}

	// Group is the topology of a group: its term, primary and members.
	Group struct {
		Name cluster.GroupName
		Term cluster.Term
		// Revision increases with each change of the topology.
		Revision uint64
		// Primary is empty while the group has no primary.
		Primary cluster.ServerName
		Members []Member
	}

	// Member is a backend server of a group.
	Member struct {
		Server     cluster.ServerName
		Address    netip.AddrPort
		DataCentre cluster.DataCentre
		// Slots is the number of requests that the server runs at a time,
		// Connections the number of connections that it accepts.
		Slots       int
		Connections int
		// Voter is true if the server counts for the majorities that confirm
		// reads and writes in the term.
		Voter bool
		// Usable is false if the server is leaving, or if its announcements to
		// control have stopped.
		Usable bool
	}

	// Grant is the number of connections to a server that control has granted
	// to this proxy.
	Grant struct {
		Connections int
		// Floor is the part of Connections that doesn't expire.
		Floor int
		// Expires is when the rest expires; zero means never.
		Expires time.Time
	}

	// Peer is a live proxy.
	Peer struct {
		Name    cluster.ProxyName
		Address netip.AddrPort
		// Incarnation identifies one process instance of the proxy.
		Incarnation cluster.Incarnation
	}

	// Store holds the newest snapshot. Apply must not be called concurrently.
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

// Apply applies a response of control and returns true, or returns false if the
// response is older than the snapshot.
func (s *Store) Apply(response *controlpb.HeartbeatResponse, now time.Time) bool {
	next, applied := Next(s.Load(), response, now)
	if applied {
		s.current.Store(next)
	}
	return applied
}

// Next returns the snapshot after a response of control. If the response is older
// than the snapshot, it returns old and false.
func Next(old *Snapshot, response *controlpb.HeartbeatResponse, now time.Time) (next *Snapshot, applied bool) {
	if isStale(old, response) {
		return old, false
	}
	snapshot := *old
	snapshot.Epoch = response.LeaderEpoch
	snapshot.Revision = response.Revision
	snapshot.Drain = response.Drain
	if cluster.Version(response.Version) > old.Version {
		snapshot.takeDeclarations(response)
	}
	if response.Full || len(response.Groups) > 0 {
		snapshot.Groups = mergeGroups(old.Groups, response)
	}
	if response.GrantsSet {
		snapshot.Grants = grantsFromProto(response.Grants, now)
	}
	if response.PeersSet {
		peers := peersFromProto(response.Peers)
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

// takeDeclarations takes the declarations of a response, whole or as an edit.
func (s *Snapshot) takeDeclarations(response *controlpb.HeartbeatResponse) {
	text := response.Declarations
	if edit := response.Edit; edit != nil {
		e := textedit.Edit{Head: int(edit.Head), Tail: int(edit.Tail), Middle: edit.Middle}
		edited, ok := e.Apply(s.Declarations)
		if !ok || cluster.Version(edit.FromVersion) != s.Version || xxhash.Sum64String(edited) != edit.Checksum {
			s.WantsWhole = true
			return
		}
		text = edited
	}
	if text != "" {
		s.Version, s.Declarations, s.WantsWhole = cluster.Version(response.Version), text, false
	}
}

// isStale reports whether a response is older than the snapshot.
func isStale(old *Snapshot, response *controlpb.HeartbeatResponse) bool {
	if cluster.Version(response.Version) < old.Version || response.LeaderEpoch < old.Epoch {
		return true
	}
	return response.LeaderEpoch == old.Epoch && response.Revision < old.Revision
}

// mergeGroups returns the groups after a response: those in the response, and also
// the old ones unless the response is full, which means that it contains every
// group. A group never returns to a lower term.
func mergeGroups(old map[cluster.GroupName]*Group, response *controlpb.HeartbeatResponse) map[cluster.GroupName]*Group {
	groups := make(map[cluster.GroupName]*Group, len(old)+len(response.Groups))
	if !response.Full {
		for name, group := range old {
			groups[name] = group
		}
	}
	for _, message := range response.Groups {
		group := groupFromProto(message)
		if known := old[group.Name]; known != nil && known.Term > group.Term {
			group = known
		}
		groups[group.Name] = group
	}
	return groups
}

// groupFromProto converts a group. Members without a valid address are omitted.
func groupFromProto(message *controlpb.Group) *Group {
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

// VoterCount returns the number of members that are voters.
func (g *Group) VoterCount() int {
	count := 0
	for i := range g.Members {
		if g.Members[i].Voter {
			count++
		}
	}
	return count
}

// ConnectionsAt returns the number of connections that the grant allows at the
// time now.
func (g Grant) ConnectionsAt(now time.Time) int {
	if g.Expires.IsZero() || now.Before(g.Expires) {
		return g.Connections
	}
	return min(g.Floor, g.Connections)
}

// grantsFromProto converts grants. Those without a valid server key are omitted.
func grantsFromProto(messages []*controlpb.Grant, now time.Time) map[ServerKey]Grant {
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

// peersFromProto converts peers. Those without a valid address are omitted.
func peersFromProto(messages []*controlpb.ProxyPeer) []Peer {
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

// ParseServerKey parses the form "group/server" that ServerKey.String returns. It
// returns false if text has no slash after its first byte.
func ParseServerKey(text string) (ServerKey, bool) {
	for i := len(text) - 1; i > 0; i-- {
		if text[i] == '/' {
			return ServerKey{Group: cluster.GroupName(text[:i]), Server: cluster.ServerName(text[i+1:])}, true
		}
	}
	return ServerKey{}, false
}
