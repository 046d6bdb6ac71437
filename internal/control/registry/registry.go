// Package registry decides which announcements of backend servers are accepted
// and which servers are silent, that is, have stopped announcing themselves. It
// also chooses the voters of a group: the servers of which a majority must hold
// each confirmed entry. The registry is soft state of control's leader: a new
// leader starts with an empty registry and fills it from the next
// announcements.
//
// # Usage
//
//	next, err := registry.Accept(servers, announcement, now)
//	if err != nil {
//		// Return err to the announcing server; servers stays valid.
//	}
//	if next[name].IsSilent(now) { ... }
//
// All functions are pure; Servers values are immutable.
package registry

import (
	"maps"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// AnnounceInterval is the time between two announcements of a server.
	AnnounceInterval = 500 * time.Millisecond
	// SilentAfter is the time without an announcement after which a server is
	// given no new requests.
	SilentAfter = 2 * time.Second
	// ReplaceAfter is the time without an announcement after which a voter may
	// be replaced by another server.
	ReplaceAfter = 60 * time.Second
	// RemoveAfter is the time without an announcement after which a server is
	// removed from the registry.
	RemoveAfter = 10 * time.Minute

	// maxServers is the maximum number of servers of one group.
	maxServers   = 64
	maxNameBytes = 128
	maxLabels    = 64
	// maxTerm keeps a wrong announcement from using up the range of terms.
	maxTerm = 1 << 62
)

var (
	// ErrMalformed says which field of an announcement is invalid.
	ErrMalformed = eris.New("malformed announcement")
	// ErrNameTaken is returned if a live server at another address has the
	// name.
	ErrNameTaken = eris.New("another live server has this name")
	// ErrAddressTaken is returned if another live server of the group has the
	// address.
	ErrAddressTaken = eris.New("another live server has this address")
	// ErrOldIncarnation is returned if the server has announced itself with a
	// newer incarnation, that is, its process was started again since.
	ErrOldIncarnation = eris.New("a newer incarnation of the server is known")
	// ErrFull is returned if the group has the maximum number of servers.
	ErrFull = eris.New("the group has too many servers")
)

type (
	// Server is a server that has announced itself.
	Server struct {
		cluster.Announcement
		// LastAnnounced is when the server last announced itself.
		LastAnnounced time.Time
	}

	// Servers are the servers of one group that have announced themselves.
	Servers map[cluster.ServerName]Server
)

// IsSilent reports whether the server has not announced itself for SilentAfter.
func (s Server) IsSilent(now time.Time) bool { return now.Sub(s.LastAnnounced) > SilentAfter }

// Accept returns the servers with an announcement recorded. It returns an error
// of this package if it refuses the announcement.
func Accept(servers Servers, announcement cluster.Announcement, now time.Time) (Servers, error) {
	if err := validate(announcement); err != nil {
		return servers, err
	}
	if err := checkIdentity(servers, announcement, now); err != nil {
		return servers, err
	}
	next := maps.Clone(servers)
	if next == nil {
		next = Servers{}
	}
	next[announcement.Server] = Server{Announcement: announcement, LastAnnounced: now}
	return next, nil
}

// RemoveExpired returns the servers without those that have been silent for
// RemoveAfter.
func RemoveExpired(servers Servers, now time.Time) Servers {
	next := maps.Clone(servers)
	maps.DeleteFunc(next, func(_ cluster.ServerName, server Server) bool {
		return now.Sub(server.LastAnnounced) > RemoveAfter
	})
	return next
}

// checkIdentity checks that the announcement claims no name or address of
// another live server and isn't of an older incarnation.
func checkIdentity(servers Servers, announcement cluster.Announcement, now time.Time) error {
	previous, ok := servers[announcement.Server]
	if ok && announcement.Incarnation < previous.Incarnation {
		return eris.Wrapf(ErrOldIncarnation, "server %s", announcement.Server)
	}
	if ok && previous.Address != announcement.Address && !previous.IsSilent(now) {
		return eris.Wrapf(ErrNameTaken, "server %s at %s", announcement.Server, previous.Address)
	}
	if !ok && len(servers) >= maxServers {
		return eris.Wrapf(ErrFull, "at most %d", maxServers)
	}
	for name, other := range servers {
		if name != announcement.Server && other.Address == announcement.Address && !other.IsSilent(now) {
			return eris.Wrapf(ErrAddressTaken, "server %s at %s", name, other.Address)
		}
	}
	return nil
}

func validate(a cluster.Announcement) error {
	switch {
	case a.Server == "" || len(a.Server) > maxNameBytes:
		return eris.Wrapf(ErrMalformed, "server: want 1 to %d bytes", maxNameBytes)
	case a.Group == "" || len(a.Group) > maxNameBytes:
		return eris.Wrapf(ErrMalformed, "group: want 1 to %d bytes", maxNameBytes)
	case a.DataCentre == "" || len(a.DataCentre) > maxNameBytes:
		return eris.Wrapf(ErrMalformed, "data centre: want 1 to %d bytes", maxNameBytes)
	case !isUsableAddress(a.Address):
		return eris.Wrapf(ErrMalformed, "address %s: want IP:port that others can reach", a.Address)
	case a.Role == cluster.RoleUnknown:
		return eris.Wrap(ErrMalformed, "role: want primary or replica")
	case a.Slots < 1 || a.Connections < 1:
		return eris.Wrap(ErrMalformed, "slots and connections: want at least 1")
	case a.Incarnation == 0:
		return eris.Wrap(ErrMalformed, "incarnation: want the time of start")
	case len(a.Labels) > maxLabels:
		return eris.Wrapf(ErrMalformed, "labels: want at most %d", maxLabels)
	case a.Promised > maxTerm:
		return eris.Wrap(ErrMalformed, "promised: the term is out of range")
	case a.Received.Term > a.Promised:
		return eris.Wrap(ErrMalformed, "received: its term is above the promise")
	case a.Received.Compare(a.Applied) < 0:
		return eris.Wrap(ErrMalformed, "applied: it is past the end of the received log")
	}
	return nil
}

// isUsableAddress reports whether other processes can connect to an address.
func isUsableAddress(address netip.AddrPort) bool {
	ip := address.Addr()
	return address.IsValid() && address.Port() != 0 && !ip.IsUnspecified() && !ip.IsMulticast()
}
