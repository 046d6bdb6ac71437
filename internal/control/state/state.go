// Package state is the replicated state machine of control: the declarations
// with their history, the term records of the groups, the facts of their
// servers, drains, registered proxies and the keys that sign marks.
//
// # Usage
//
//	machine := state.New()
//	result, err := state.Propose(ctx, log, state.Command{Apply: &state.ApplyDeclarations{...}})
//	view := machine.View()
//	record := view.Groups["ledger-1"]
//
// Apply runs on the goroutine of the agreement protocol. View returns an
// immutable State at any time, without a lock. Commands carry the time;
// nothing here reads a clock.
//
// # Bounds
//
// The newest MaxChanges versions keep their metadata. Older texts are kept as
// the part that differs from the next version, up to MaxHistoryBytes. The
// answers of the newest MaxAnswers change identifiers are kept: a change sent
// again after that many others is taken as new, and is then refused by its
// expected version.
package state

import (
	"net/netip"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// MaxChanges is the number of versions whose metadata is kept.
	MaxChanges = 1000
	// MaxHistoryBytes bounds the texts of versions before the newest.
	MaxHistoryBytes = 8 << 20
	// MaxApplyResults is the number of change identifiers whose first answer is
	// kept.
	MaxApplyResults = 16384
	// MaxMarkKeys is the number of keys that signed marks are checked with.
	MaxMarkKeys = 3
)

const (
	// ReasonFormation forms a group for the first time.
	ReasonFormation Reason = "formation"
	// ReasonFailover replaces a primary that can't be used.
	ReasonFailover Reason = "failover"
	// ReasonSwitchover hands the primary's work over as planned.
	ReasonSwitchover Reason = "switchover"
	// ReasonVoters changes the voters and keeps the primary.
	ReasonVoters Reason = "voters"
)

type (
	// Reason is why a term was begun.
	Reason string

	// State is one immutable state of the machine. None of its maps or
	// slices may be changed.
	State struct {
		// Index is the log index of the last command.
		Index        uint64          `json:"index"`
		Version      cluster.Version `json:"version"`
		Declarations string          `json:"declarations"`
		// Changes are the accepted changes, oldest first; the last one is
		// Version's.
		Changes      []Change                     `json:"changes"`
		ApplyResults ApplyResults                 `json:"answers"`
		Groups       map[cluster.GroupName]*Group `json:"groups"`
		Drains       map[DrainKey]bool            `json:"drains"`
		Proxies      map[cluster.ProxyName]Proxy  `json:"proxies"`
		// MarkKeys sign marks, newest first.
		MarkKeys []string `json:"mark-keys"`
		// KeyUnixMS is when the newest of them was made.
		KeyUnixMS int64 `json:"key-unix-ms"`
	}

	// Change is one accepted version of the declarations.
	Change struct {
		Version        cluster.Version `json:"version"`
		ID             string          `json:"id"`
		Author         string          `json:"author"`
		AcceptedUnixMS int64           `json:"accepted-unix-ms"`
		// Undo makes this version's text from the next one's; nil if the
		// text isn't kept or the version is the newest.
		Undo *Edit `json:"undo,omitempty"`
	}

	// ApplyResult is the first answer to a change identifier.
	ApplyResult struct {
		// TextHash tells another text under the same identifier.
		TextHash       uint64          `json:"text-hash"`
		Accepted       bool            `json:"accepted"`
		Version        cluster.Version `json:"version"`
		Reason         string          `json:"reason,omitempty"`
		WinnerChangeID string          `json:"winner-change-id,omitempty"`
		WinnerAuthor   string          `json:"winner-author,omitempty"`
	}

	// Group is the record of a group's term.
	Group struct {
		Name cluster.GroupName `json:"name"`
		// Term is the term in force; zero before the group's formation.
		Term    cluster.Term         `json:"term"`
		Primary cluster.ServerName   `json:"primary"`
		Voters  []cluster.ServerName `json:"voters"`
		// Pending is the term that is being established; nil if none.
		Pending *PendingTerm                  `json:"pending,omitempty"`
		Members map[cluster.ServerName]Member `json:"members"`
	}

	// PendingTerm is a term whose primary is not chosen yet. Servers may have
	// promised it, so it is never abandoned but for a higher one.
	PendingTerm struct {
		Term   cluster.Term `json:"term"`
		Reason Reason       `json:"reason"`
		// Target is the wanted primary; empty: the most advanced server.
		Target cluster.ServerName   `json:"target,omitempty"`
		Voters []cluster.ServerName `json:"voters"`
	}

	// Member holds the facts of a server that outlast its silence.
	Member struct {
		Name        cluster.ServerName  `json:"name"`
		Address     netip.AddrPort      `json:"address"`
		DataCentre  cluster.DataCentre  `json:"data-centre"`
		Slots       int                 `json:"slots"`
		Connections int                 `json:"connections"`
		Labels      cluster.Labels      `json:"labels,omitempty"`
		Incarnation cluster.Incarnation `json:"incarnation"`
		// Repairing is set while a voter that lost its disk hasn't caught up:
		// its promise doesn't count.
		Repairing bool `json:"repairing,omitempty"`
		// Epoch is the epoch of the leader that first committed the server.
		// No earlier leader can have granted connections to it.
		Epoch uint64 `json:"epoch,omitempty"`
	}

	// Proxy is a proxy that may hold connections.
	Proxy struct {
		Name        cluster.ProxyName   `json:"name"`
		Incarnation cluster.Incarnation `json:"incarnation"`
		DataCentre  cluster.DataCentre  `json:"data-centre"`
		// Sequence orders the proxies by their first registration.
		Sequence uint64 `json:"sequence"`
	}

	// DrainKey names what is drained.
	DrainKey struct {
		Kind string
		Name string
	}
)

// HighestTerm returns the highest term that was ever begun.
func (g *Group) HighestTerm() cluster.Term {
	if g.Pending != nil {
		return g.Pending.Term
	}
	return g.Term
}

// MarshalText writes the key as "kind:name".
func (k DrainKey) MarshalText() ([]byte, error) { return []byte(k.Kind + ":" + k.Name), nil }

// UnmarshalText reads what MarshalText writes.
func (k *DrainKey) UnmarshalText(text []byte) error {
	kind, name, ok := cutKey(string(text))
	if !ok {
		return ErrBadSnapshot
	}
	k.Kind, k.Name = kind, name
	return nil
}
