// Package cluster holds the vocabulary that every other package shares: the
// names of groups, backend servers, proxies and data centres, terms and
// positions of a group's log, and the facts that a backend server announces.
//
// # Usage
//
//	mark := cluster.Mark{Term: 3, Position: 812}
//	if replica.Applied.Covers(mark) {
//		// The replica may answer a session that carries the mark.
//	}
//
// The package does no input or output and holds no state.
package cluster

import (
	"cmp"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// RoleUnknown is the role of a server that has not told its role.
	RoleUnknown Role = iota
	// RolePrimary is the role of the one server of a group that takes writes.
	RolePrimary
	// RoleReplica is the role of a server that follows a primary.
	RoleReplica
)

// ErrMark tells that a text is no mark.
var ErrMark = eris.New("not a mark: want term/position, both whole numbers")

type (
	// GroupName names a labelled group of backend servers.
	GroupName string
	// ServerName names a backend server. It is unique within its group.
	ServerName string
	// ProxyName names a proxy.
	ProxyName string
	// NodeName names a control node.
	NodeName string
	// DataCentre names the data centre of a process.
	DataCentre string
	// Term counts the primaries of a group. A term has at most one primary.
	Term uint64
	// Position counts the entries of a group's log, from 1.
	Position uint64
	// Version counts the accepted configurations, from 1.
	Version uint64
	// Incarnation tells two starts of one process apart.
	Incarnation uint64
	// Role is what a backend server does in its group.
	Role uint8
	// Labels are the labels of a group, a server or a caller.
	Labels map[string]string
)

// Mark is a place in a group's log: the position of the last entry and the
// term in which that entry was written.
type Mark struct {
	Term     Term
	Position Position
}

// ServerStatus is what a backend server tells about itself when asked.
type ServerStatus struct {
	Server     ServerName
	Group      GroupName
	DataCentre DataCentre
	Role       Role
	// Promised is the highest term that the server has promised to accept.
	Promised Term
	// Received is the end of the log that the server holds on disk.
	Received Mark
	// Applied is the end of the log that the server's reads see.
	Applied Mark
	// Leaving tells that the server asks for no new work.
	Leaving bool
}

// Announcement is what a backend server tells to control unasked.
type Announcement struct {
	ServerStatus
	Address netip.AddrPort
	// Slots is the number of requests that the server executes at once.
	Slots int
	// Connections is the most connections that the server accepts.
	Connections int
	Labels      Labels
	Incarnation Incarnation
}

// Compare orders marks by term, then position. It returns -1, 0 or +1.
func (m Mark) Compare(o Mark) int {
	if c := cmp.Compare(m.Term, o.Term); c != 0 {
		return c
	}
	return cmp.Compare(m.Position, o.Position)
}

// Covers reports whether a log that ends at m holds every confirmed entry up
// to o: neither its term nor its position is lower.
func (m Mark) Covers(o Mark) bool {
	return m.Term >= o.Term && m.Position >= o.Position
}

// IsZero reports whether the mark names no entry.
func (m Mark) IsZero() bool { return m == Mark{} }

// String returns the mark as "term/position".
func (m Mark) String() string {
	return fmt.Sprintf("%d/%d", m.Term, m.Position)
}

// ParseMark reads the form that Mark.String writes. Errors: ErrMark.
func ParseMark(text string) (Mark, error) {
	term, position, ok := strings.Cut(text, "/")
	if !ok {
		return Mark{}, eris.Wrapf(ErrMark, "%q", text)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Mark{}, eris.Wrapf(ErrMark, "%q: term: %v", text, err)
	}
	p, err := strconv.ParseUint(position, 10, 64)
	if err != nil {
		return Mark{}, eris.Wrapf(ErrMark, "%q: position: %v", text, err)
	}
	return Mark{Term: Term(t), Position: Position(p)}, nil
}

// String returns "primary", "replica" or "unknown".
func (r Role) String() string {
	switch r {
	case RolePrimary:
		return "primary"
	case RoleReplica:
		return "replica"
	default:
		return "unknown"
	}
}

// ParseRole reads the form that Role.String writes; any other text is
// RoleUnknown.
func ParseRole(text string) Role {
	switch text {
	case "primary":
		return RolePrimary
	case "replica":
		return RoleReplica
	default:
		return RoleUnknown
	}
}

// Majority returns the least number of members that is more than half of n.
func Majority(n int) int { return n/2 + 1 }

// NewIncarnation returns an incarnation that grows with the time of start.
func NewIncarnation(now time.Time) Incarnation {
	return Incarnation(now.UnixNano())
}
