// Package ownership decides which proxies hold connections to a backend server.
// It does no input or output.
//
// # Usage
//
//	plan := ownership.Decide(server, limit, peers, self)
//	if plan.Direct {
//		// open up to plan.Share connections, and plan.Spare that nobody owns
//	} else {
//		// send statements through one of plan.Owners
//	}
//
// # Load patterns that the decision answers
//
// Where a server accepts at least one connection for each proxy, all proxies
// hold their own. Where it doesn't, a proxy that had to wait for a connection of
// the others' would be refused most of the time, and opening one for each
// statement would cost a small server as much as the statement. So a few proxies,
// the same in the eyes of all, own all connections, each several, and order the
// work of all in one queue. They are in the server's data centre if it has enough,
// so that a statement crosses data centres once. A proxy that comes or goes moves
// only what it owned.
package ownership

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// perOwner is the number of connections that makes a queue of its own
	// worth having: more than the slots of a small server, and few enough
	// that an owner's VM isn't what waits.
	perOwner = 4
	// kept is the number of connections that are left to control.
	kept = 1
)

type (
	// Peer is a proxy that may own connections.
	Peer struct {
		Name       cluster.ProxyName
		Address    netip.AddrPort
		DataCentre cluster.DataCentre
	}

	// Server is what the decision needs of a server.
	Server struct {
		Name       cluster.ServerName
		DataCentre cluster.DataCentre
		// MaxConnections is the number of connections that it accepts.
		MaxConnections int
	}

	// Plan is what one proxy does with a server.
	Plan struct {
		// OwnsConnections tells that the proxy holds connections of its own.
		OwnsConnections bool
		// Share is the number that it may always open, Spare what belongs
		// to nobody.
		Share      int
		Unassigned int
		// OwnerCount is the number of proxies that hold connections.
		OwnerCount int
		// Owners are the proxies to send through, in an order of preference
		// that is this proxy's own.
		Owners []Peer
	}
)

// PlanFor returns the plan of the proxy self, which is among peers unless it
// takes no work of others. proxies is the number of all proxies.
func PlanFor(server Server, proxies int, peers []Peer, self Peer) Plan {
	usable := max(1, server.MaxConnections-kept)
	proxies = max(1, proxies)
	if usable >= proxies || len(peers) == 0 {
		share := max(1, usable/proxies)
		return Plan{OwnsConnections: true, Share: share, Unassigned: max(0, usable-share*proxies), OwnerCount: proxies}
	}
	count := min(len(peers), max(1, usable/perOwner))
	owners := ranked(peers, string(server.Name), server.DataCentre)[:count]
	share := usable / count
	if slices.ContainsFunc(owners, func(p Peer) bool { return p.Name == self.Name }) {
		return Plan{OwnsConnections: true, Share: share, Unassigned: usable - share*count, OwnerCount: count}
	}
	key := string(server.Name) + "\x00" + string(self.Name)
	return Plan{Owners: ranked(owners, key, self.DataCentre)}
}

// ranked orders peers by their weight for a key, those of a data centre first.
func ranked(peers []Peer, key string, near cluster.DataCentre) []Peer {
	list := slices.Clone(peers)
	weight := func(p Peer) uint64 { return xxhash.Sum64String(key + "\x00" + string(p.Name)) }
	slices.SortFunc(list, func(a, b Peer) int {
		if (a.DataCentre == near) != (b.DataCentre == near) {
			return cmp.Compare(rank(b.DataCentre == near), rank(a.DataCentre == near))
		}
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Name, b.Name))
	})
	return list
}

func rank(near bool) int {
	if near {
		return 1
	}
	return 0
}
