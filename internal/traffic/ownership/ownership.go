// Package ownership decides which proxies own the connections to a backend server.
// It does no input or output.
//
// # Usage
//
//	peers := ownership.NewPeerSet(list) // once for each change of the list
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
// If a server accepts at least one connection for each proxy, and there are at most
// eight proxies for each of its slots, every proxy owns connections. If it accepts fewer, proxies without a connection would have to wait until
// another one closes its own and would mostly be refused, and opening a connection
// for each statement costs a small server as much as the statement. So a few
// proxies own all connections, several each, and queue the statements of all
// proxies. All proxies compute the same owners. The owners are in the server's data
// centre if it has enough proxies, so that a statement crosses data centres once.
// Owners are chosen by rendezvous hashing: a proxy that is added or removed changes
// only the connections that it owns itself.
//
// # Customers
//
// Where connections belong to customers, all proxies have connections only if each has
// one for every customer. Otherwise the statements of a customer go to the owners that
// Assign names for it: one, or several for a customer that sends more than an owner's
// part. They meet where the customer's connections are, whichever proxy they come
// through, an owner that isn't one of the customer's included.
//
// # Load pattern
//
// With hundreds of proxies before servers of a few slots, a burst reaches a server
// through all of its owners at once. Each owner limits what it sends by what it sees
// itself, and sends at least one statement. So more owners than the server can queue
// make it reject statements, and the number of owners is bounded by its slots. Plans
// are computed for each server whenever a proxy starts or stops, which a rolling
// restart of hundreds does several times a second; so a plan takes time in proportion
// to the proxies and doesn't allocate for each of them.
package ownership

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
)

const (
	// minPerOwner is the minimum number of connections of an owner if only a few
	// proxies own connections; a server that accepts fewer has one owner. It is
	// more than the slots of a small server (the statements that it executes at
	// once), so that an owner with a queue of its own is worthwhile, and few enough
	// that the owner's VM doesn't become the bottleneck.
	minPerOwner = 4
	// maxOwnersPerSlot bounds the owners for each slot of the server. It is below
	// the number of statements that a server queues for each slot.
	maxOwnersPerSlot = 4
	// maxDirectPerSlot is the number of proxies for each slot of the server up to
	// which all may own connections.
	maxDirectPerSlot = 8
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
		// Slots is the number of statements that the server executes at once;
		// zero: unknown.
		Slots int
		// Customers is the number of customers that connections belong to; zero:
		// they belong to nobody.
		Customers int
	}

	// PeerSet holds peers with the hashes of their names, which many plans use.
	PeerSet struct {
		peers  []Peer
		hashes []uint64
	}

	// rankedPeer is a peer with its rank; see isBetter.
	rankedPeer struct {
		peer      Peer
		preferred bool
		weight    uint64
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
		// spread the load. If connections belong to customers, an owner has them
		// as well.
		Owners []Peer
		// ByCustomer is true if a connection belongs to one customer.
		ByCustomer bool
		// Assignment holds which of the owners run each customer's statements;
		// nil: any of them may. Customers are all customers, and Self is this proxy.
		Assignment *Assignment
		Customers  *CustomerSet
		Self       cluster.ProxyName
	}
)

// NewPeerSet returns the set of the listed peers.
func NewPeerSet(peers []Peer) PeerSet {
	set := PeerSet{peers: slices.Clone(peers), hashes: make([]uint64, len(peers))}
	for i, peer := range peers {
		set.hashes[i] = xxhash.Sum64String(string(peer.Name))
	}
	return set
}

// Len returns the number of peers.
func (s PeerSet) Len() int { return len(s.peers) }

// PlanConnections returns how the proxy self reaches a server. proxies is the number
// of all proxies, peers are those that accept forwarded statements. If self accepts
// none, it isn't among peers either.
func PlanConnections(server Server, proxies int, peers PeerSet, self Peer) ConnectionPlan {
	usable := max(1, server.MaxConnections-reservedForControl)
	proxies = max(1, proxies)
	byCustomer := server.Customers > 0
	if usable >= proxies*max(1, server.Customers) && !isCrowded(server, proxies) || peers.Len() == 0 {
		share := max(1, usable/proxies)
		return ConnectionPlan{OwnsConnections: true, Share: share, Unassigned: max(0, usable-share*proxies), OwnerCount: proxies, ByCustomer: byCustomer, Self: self.Name}
	}
	count := ownerCount(server, usable, peers.Len())
	owners := peers.highest(count, xxhash.Sum64String(string(server.Name)), server.DataCentre)
	share := usable / count
	if rank := slices.IndexFunc(owners, func(p Peer) bool { return p.Name == self.Name }); rank >= 0 {
		plan := ConnectionPlan{OwnsConnections: true, Share: share, Unassigned: usable - share*count, OwnerCount: count, ByCustomer: byCustomer, Self: self.Name}
		if byCustomer {
			plan.assignRest(rank)
			plan.Owners = owners
		}
		return plan
	}
	key := mix(xxhash.Sum64String(string(server.Name)), xxhash.Sum64String(string(self.Name)))
	return ConnectionPlan{Owners: NewPeerSet(owners).highest(count, key, self.DataCentre), ByCustomer: byCustomer, Self: self.Name}
}

// assignRest gives the first owners one more connection each, so that none is left
// unassigned: with more customers than connections, whoever opened one first would never
// close it again, and an owner that starts would be short of its share. rank is this
// proxy's rank among the owners.
func (p *ConnectionPlan) assignRest(rank int) {
	if rank < p.Unassigned {
		p.Share++
	}
	p.Unassigned = 0
}

// RunsHere reports whether this proxy runs a customer's statements on its own
// connections. The zero customer stands for work that belongs to none.
func (p ConnectionPlan) RunsHere(name customer.Name) bool {
	return p.OwnsConnections && (name == "" || p.Assignment == nil || p.Assignment.IsOwner(name, p.Self))
}

// isCrowded reports whether the proxies are so many that one statement of each is more
// than the server can execute and queue. Then their own queues would hold one statement
// each, and the server's queue, in the order of arrival, would decide what is late. After
// a restart of all proxies, opening one connection for each would keep it busy for longer
// than the work that waits.
func isCrowded(server Server, proxies int) bool {
	return server.Slots > 0 && proxies > maxDirectPerSlot*server.Slots
}

// ownerCount returns the number of proxies that own the usable connections of a
// server if they can't all own some.
func ownerCount(server Server, usable, peers int) int {
	count := min(peers, max(1, usable/minPerOwner))
	if server.Slots > 0 {
		count = min(count, maxOwnersPerSlot*server.Slots)
	}
	return count
}

// highest returns the count peers with the highest rendezvous weights for a key, by
// descending weight, those in the preferred data centre first.
func (s PeerSet) highest(count int, key uint64, preferred cluster.DataCentre) []Peer {
	ranked := make([]rankedPeer, 0, count+1)
	for i, peer := range s.peers {
		r := rankedPeer{peer: peer, preferred: peer.DataCentre == preferred, weight: mix(key, s.hashes[i])}
		if len(ranked) == count && !r.isBetter(ranked[count-1]) {
			continue
		}
		at := len(ranked)
		for at > 0 && r.isBetter(ranked[at-1]) {
			at--
		}
		ranked = slices.Insert(ranked, at, r)
		ranked = ranked[:min(len(ranked), count)]
	}
	peers := make([]Peer, len(ranked))
	for i, r := range ranked {
		peers[i] = r.peer
	}
	return peers
}

// isBetter reports whether r goes before other.
func (r rankedPeer) isBetter(other rankedPeer) bool {
	if r.preferred != other.preferred {
		return r.preferred
	}
	return cmp.Or(cmp.Compare(other.weight, r.weight), cmp.Compare(r.peer.Name, other.peer.Name)) < 0
}

// ChooseOwner returns the owner for a piece of work with the given digest: the one of
// the highest rendezvous weight for which usable returns true, or the highest of all if
// there is none. Work with the same digest meets at the same owner, whichever proxy
// forwards it.
func ChooseOwner(owners []Peer, digest uint64, usable func(Peer) bool) Peer {
	best, bestUsable, bestWeight := owners[0], false, uint64(0)
	for i, owner := range owners {
		weight, ok := mix(digest, xxhash.Sum64String(string(owner.Name))), usable(owner)
		if i == 0 || ok && !bestUsable || ok == bestUsable && weight > bestWeight {
			best, bestUsable, bestWeight = owner, ok, weight
		}
	}
	return best
}

// mix returns a hash of two hashes: the finalizer of SplitMix64 over their
// combination, so that the weights of one peer for different keys are independent.
func mix(a, b uint64) uint64 {
	x := a ^ (b*0x9e3779b97f4a7c15 + 0x9e3779b97f4a7c15)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
