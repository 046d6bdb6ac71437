// Package cluster defines the types that all other packages share: the names of
// groups, backend servers, proxies and data centres, the terms and positions of
// a group's log, and what a backend server announces about itself.
//
// # Usage
//
//	position := cluster.LogPosition{Term: 3, Position: 812}
//	if replica.Applied.Covers(position) {
//		// The replica may serve a session whose last write is at position.
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
	// RoleUnknown is the role of a server that has not reported its role.
	RoleUnknown Role = iota
	// RolePrimary is the role of the one server of a group that accepts
	// writes.
	RolePrimary
	// RoleReplica is the role of a server that replicates a primary.
	RoleReplica
)

// ErrInvalidLogPosition is returned for a text that is no log position. Its text
// and the RPC messages call a log position a mark.
var ErrInvalidLogPosition = eris.New("not a mark: want term/position, both whole numbers")

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
	// Term numbers the successive primaries of a group. A term has at most
	// one primary.
	Term uint64
	// Position is the index of an entry in a group's log. The first entry
	// has position 1.
	Position uint64
	// Version numbers the accepted declarations of the operators. The first
	// one is 1.
	Version uint64
	// Incarnation identifies one of the successive processes with the same
	// name.
	Incarnation uint64
	// Role is the role of a backend server in its group.
	Role uint8
	// Labels are the labels of a group, a server or a caller.
	Labels map[string]string
)

// LogPosition identifies an entry in a group's log: the entry's index and the term
// in which it was written.
type LogPosition struct {
	Term     Term
	Position Position
}

// ServerStatus is a backend server's answer to a status request.
type ServerStatus struct {
	Server     ServerName
	Group      GroupName
	DataCentre DataCentre
	Role       Role
	// Promised is the highest term that the server has promised: it refuses
	// requests and log entries of lower terms.
	Promised Term
	// Received is the last log entry that the server has on disk.
	Received LogPosition
	// Applied is the last log entry that the server's reads see.
	Applied LogPosition
	// Leaving is true if the server requests that it gets no new work.
	Leaving bool
}

// Announcement is what a backend server sends periodically to the control
// nodes.
type Announcement struct {
	ServerStatus
	Address netip.AddrPort
	// Slots is the number of requests that the server executes at once.
	Slots int
	// Connections is the maximum number of connections that the server
	// accepts.
	Connections int
	Labels      Labels
	Incarnation Incarnation
}

// Compare orders log positions by term, then position. It returns -1, 0 or +1.
func (m LogPosition) Compare(o LogPosition) int {
	if c := cmp.Compare(m.Term, o.Term); c != 0 {
		return c
	}
	return cmp.Compare(m.Position, o.Position)
}

// Covers reports whether a log that ends at m contains every confirmed entry up
// to o. That is the case if neither the term nor the position of m is lower than
// that of o.
func (m LogPosition) Covers(o LogPosition) bool {
	return m.Term >= o.Term && m.Position >= o.Position
}

// IsZero reports whether m is the zero LogPosition, which refers to no entry.
func (m LogPosition) IsZero() bool { return m == LogPosition{} }

// String returns the log position as "term/position".
func (m LogPosition) String() string {
	return fmt.Sprintf("%d/%d", m.Term, m.Position)
}

// ParseLogPosition parses the output of LogPosition.String. Errors:
// ErrInvalidLogPosition.
func ParseLogPosition(text string) (LogPosition, error) {
	term, position, ok := strings.Cut(text, "/")
	if !ok {
		return LogPosition{}, eris.Wrapf(ErrInvalidLogPosition, "%q", text)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return LogPosition{}, eris.Wrapf(ErrInvalidLogPosition, "%q: term: %v", text, err)
	}
	p, err := strconv.ParseUint(position, 10, 64)
	if err != nil {
		return LogPosition{}, eris.Wrapf(ErrInvalidLogPosition, "%q: position: %v", text, err)
	}
	return LogPosition{Term: Term(t), Position: Position(p)}, nil
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

// ParseRole parses the output of Role.String. It returns RoleUnknown for any
// other text.
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

// Majority returns the smallest number of members that is more than half of n.
func Majority(n int) int { return n/2 + 1 }

// NewIncarnation returns an incarnation that increases with the start time now.
func NewIncarnation(now time.Time) Incarnation {
	return Incarnation(now.UnixNano())
}
