// Package registry decides which announcements of backend servers are taken
// and which servers are silent. It is soft state of control's leader: a new
// leader starts empty and learns from the next announcements.
//
// # Usage
//
//	next, err := registry.Accept(known, announcement, now)
//	if err != nil {
//		// Tell the announcing server; known stays in force.
//	}
//	if next[server].Silent(now) { ... }
//
// All functions are pure; Servers values are never changed once made.
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
	// SilentAfter is the time without an announcement after which a server
	// gets no new work.
	SilentAfter = 2 * time.Second
	// ReplaceAfter is the time without an announcement after which another
	// server may take a voter's place.
	ReplaceAfter = 60 * time.Second
	// RemoveAfter is the time after which a silent server that is no voter
	// is forgotten.
	RemoveAfter = 10 * time.Minute

	maxServers = 64
	maxName    = 128
	maxLabels  = 64
	// maxTerm keeps a false announcement from using up the terms.
	maxTerm = 1 << 62
)

var (
	// ErrMalformed tells which field of an announcement is wrong.
	ErrMalformed = eris.New("malformed announcement")
	// ErrNameTaken tells that a live server has the name.
	ErrNameTaken = eris.New("another live server has this name")
	// ErrAddressTaken tells that a live server of the group has the address.
	ErrAddressTaken = eris.New("another live server has this address")
	// ErrOldIncarnation tells that a newer start of the server is known.
	ErrOldIncarnation = eris.New("a newer incarnation of the server is known")
	// ErrFull tells that the group has no room for another server.
	ErrFull = eris.New("the group has too many servers")
)

type (
	// Server is an announced server.
	Server struct {
		cluster.Announcement
		// LastAnnounced is when it last announced itself.
		LastAnnounced time.Time
	}

	// Servers are the announced servers of one group.
	Servers map[cluster.ServerName]Server
)

// IsSilent reports whether the server has not announced itself lately.
func (s Server) IsSilent(now time.Time) bool { return now.Sub(s.LastAnnounced) > SilentAfter }

// Accept returns the servers with the announcement taken in, or why it is
// refused. Errors: those of this package.
func Accept(known Servers, announcement cluster.Announcement, now time.Time) (Servers, error) {
	if err := check(announcement); err != nil {
		return known, err
	}
	if err := checkIdentity(known, announcement, now); err != nil {
		return known, err
	}
	next := maps.Clone(known)
	if next == nil {
		next = Servers{}
	}
	next[announcement.Server] = Server{Announcement: announcement, LastAnnounced: now}
	return next, nil
}

// RemoveExpired returns the servers without those silent for ForgetAfter.
func RemoveExpired(known Servers, now time.Time) Servers {
	next := maps.Clone(known)
	maps.DeleteFunc(next, func(_ cluster.ServerName, server Server) bool {
		return now.Sub(server.LastAnnounced) > RemoveAfter
	})
	return next
}

func checkIdentity(known Servers, announcement cluster.Announcement, now time.Time) error {
	same, ok := known[announcement.Server]
	if ok && announcement.Incarnation < same.Incarnation {
		return eris.Wrapf(ErrOldIncarnation, "server %s", announcement.Server)
	}
	if ok && same.Address != announcement.Address && !same.IsSilent(now) {
		return eris.Wrapf(ErrNameTaken, "server %s at %s", announcement.Server, same.Address)
	}
	if !ok && len(known) >= maxServers {
		return eris.Wrapf(ErrFull, "at most %d", maxServers)
	}
	for name, other := range known {
		if name != announcement.Server && other.Address == announcement.Address && !other.IsSilent(now) {
			return eris.Wrapf(ErrAddressTaken, "server %s at %s", name, other.Address)
		}
	}
	return nil
}

func check(a cluster.Announcement) error {
	switch {
	case a.Server == "" || len(a.Server) > maxName:
		return eris.Wrapf(ErrMalformed, "server: want 1 to %d bytes", maxName)
	case a.Group == "" || len(a.Group) > maxName:
		return eris.Wrapf(ErrMalformed, "group: want 1 to %d bytes", maxName)
	case a.DataCentre == "" || len(a.DataCentre) > maxName:
		return eris.Wrapf(ErrMalformed, "data centre: want 1 to %d bytes", maxName)
	case !usable(a.Address):
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

func usable(address netip.AddrPort) bool {
	ip := address.Addr()
	return address.IsValid() && address.Port() != 0 && !ip.IsUnspecified() && !ip.IsMulticast()
}
