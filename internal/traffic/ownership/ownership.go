// Package ownership decides which proxies own the connections to a backend server.
// It does no input or output.
//
// # Usage
//
//	plan := ownership.PlanConnections(server, proxies, peers, self)
//	if plan.OwnsConnections {
//		// open up to plan.Share connections, and up to plan.Unassigned more
//		// as long as the server accepts them
//	} else {
//		// forward statements to one of plan.Owners
//	}
//
// # Owners
//
// If a server accepts at least one connection for each proxy, every proxy owns
// connections. If it doesn't, proxies without a connection would have to wait until
// another one closes its own and would mostly be refused, and opening a connection
// for each statement costs a small server as much as the statement. So a few
// proxies own all connections, several each, and queue the statements of all
// proxies. All proxies compute the same owners. The owners are in the server's data
// centre if it has enough proxies, so that a statement crosses data centres once.
// Owners are chosen by rendezvous hashing: a proxy that is added or removed changes
// only the connections that it owns itself.
package ownership

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// minPerOwner is the minimum number of connections of an owner if only a few
	// proxies own connections; a server that accepts fewer has one owner. It is
	// more than the slots of a small server (the statements that it executes at
	// once), so that an owner with a queue of its own is worthwhile, and few enough
	// that the owner's VM doesn't become the bottleneck.
	minPerOwner = 4
	// reservedForControl is the number of connections of each server that the
	// proxies leave to the control plane.
	reservedForControl = 1
)

type (
	// Peer is a proxy that accepts statements which other proxies forward, and
	// so may own connections for them.
	Peer struct {
		Name       cluster.ProxyName
		Address    netip.AddrPort
		DataCentre cluster.DataCentre
	}

	// Server describes a backend server.
	Server struct {
		Name       cluster.ServerName
		DataCentre cluster.DataCentre
		// MaxConnections is the number of connections that the server accepts.
		MaxConnections int
	}

	// ConnectionPlan is how one proxy reaches a server: over connections that it
	// owns, or through the proxies that own them.
	ConnectionPlan struct {
		// OwnsConnections is true if the proxy opens connections itself, and
		// false if it forwards statements to Owners.
		OwnsConnections bool
		// Share is the number of connections that the proxy may always open.
		// Unassigned is the number of connections that are no proxy's share;
		// each owner may open them as long as the server accepts them.
		Share      int
		Unassigned int
		// OwnerCount is the number of proxies that own connections.
		OwnerCount int
		// Owners are the proxies to forward statements to, in this proxy's
		// order of preference. The order differs from proxy to proxy, to
		// spread the load.
		Owners []Peer
	}
)

// PlanConnections returns how the proxy self reaches a server. proxies is the number
// of all proxies, peers are those that accept forwarded statements. If self accepts
// none, it isn't among peers either.
func PlanConnections(server Server, proxies int, peers []Peer, self Peer) ConnectionPlan {
	usable := max(1, server.MaxConnections-reservedForControl)
	proxies = max(1, proxies)
	if usable >= proxies || len(peers) == 0 {
		share := max(1, usable/proxies)
		return ConnectionPlan{OwnsConnections: true, Share: share, Unassigned: max(0, usable-share*proxies), OwnerCount: proxies}
	}
	count := min(len(peers), max(1, usable/minPerOwner))
	owners := rankPeers(peers, string(server.Name), server.DataCentre)[:count]
	share := usable / count
	if slices.ContainsFunc(owners, func(p Peer) bool { return p.Name == self.Name }) {
		return ConnectionPlan{OwnsConnections: true, Share: share, Unassigned: usable - share*count, OwnerCount: count}
	}
	key := string(server.Name) + "\x00" + string(self.Name)
	return ConnectionPlan{Owners: rankPeers(owners, key, self.DataCentre)}
}

// rankPeers returns the peers by descending rendezvous weight for a key, those in the
// preferred data centre first.
func rankPeers(peers []Peer, key string, preferred cluster.DataCentre) []Peer {
	list := slices.Clone(peers)
	weight := func(p Peer) uint64 { return xxhash.Sum64String(key + "\x00" + string(p.Name)) }
	slices.SortFunc(list, func(a, b Peer) int {
		if (a.DataCentre == preferred) != (b.DataCentre == preferred) {
			return cmp.Compare(boolRank(b.DataCentre == preferred), boolRank(a.DataCentre == preferred))
		}
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Name, b.Name))
	})
	return list
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}
