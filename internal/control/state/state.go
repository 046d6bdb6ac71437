// Package state is the replicated state machine of control. It holds the
// declarations and their history, the term record of each group, the servers of
// the groups, drains, registered proxies and the keys that sign session
// tokens.
//
// # Usage
//
//	machine := state.New()
//	result, err := state.Propose(ctx, log, state.Command{Apply: &state.ApplyDeclarations{...}})
//	view := machine.View()
//	record := view.Groups["ledger-1"]
//
// A term is the time in which one server is the primary of a group. It begins as
// pending: its voters, the servers of which a majority decides, promise to refuse
// lower terms. Then one voter is committed as its primary, which puts the term in
// force. A drain asks a server or proxy to finish its work and take no more.
//
// Apply runs on the goroutine of the consensus protocol. View returns an
// immutable State at any time, without a lock. Nothing here reads a clock:
// commands carry the time.
//
// # Limits
//
// The newest MaxChanges versions keep their metadata. An older text is kept as
// the part that differs from the next version; together these parts take at
// most MaxHistoryBytes. The results of the newest MaxApplyResults change
// identifiers are kept. A change that is sent again after more changes than
// that counts as a new one; it is then refused because its expected version is
// no longer in force.
package state

import (
	"net/netip"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/textedit"
)

const (
	// MaxChanges is the number of versions whose metadata is kept.
	MaxChanges = 1000
	// MaxHistoryBytes is the maximum size of the texts that are kept of
	// versions before the newest.
	MaxHistoryBytes = 8 << 20
	// MaxApplyResults is the number of change identifiers whose first result is
	// kept.
	MaxApplyResults = 16384
	// MaxMarkKeys is the number of keys against which session tokens are
	// verified.
	MaxMarkKeys = 3
)

const (
	// ReasonFormation is the reason of a group's first term.
	ReasonFormation Reason = "formation"
	// ReasonFailover is the replacement of a failed primary.
	ReasonFailover Reason = "failover"
	// ReasonSwitchover is a planned change of the primary.
	ReasonSwitchover Reason = "switchover"
	// ReasonVoters is a change of the voters that keeps the primary.
	ReasonVoters Reason = "voters"
)

type (
	// Reason is why a term was begun.
	Reason string

	// State is one immutable state of the machine. Its maps and slices must not
	// be changed.
	State struct {
		// Index is the log index of the last executed command.
		Index        uint64          `json:"index"`
		Version      cluster.Version `json:"version"`
		Declarations string          `json:"declarations"`
		// Changes are the accepted changes, oldest first. The last one led to
		// Version.
		Changes      []Change                     `json:"changes"`
		ApplyResults ApplyResults                 `json:"answers"`
		Groups       map[cluster.GroupName]*Group `json:"groups"`
		Drains       map[DrainKey]bool            `json:"drains"`
		Proxies      map[cluster.ProxyName]Proxy  `json:"proxies"`
		// MarkKeys are the keys that sign session tokens, newest first.
		MarkKeys []string `json:"mark-keys"`
		// KeyUnixMS is when the newest of them was added.
		KeyUnixMS int64 `json:"key-unix-ms"`
	}

	// Change is one accepted version of the declarations.
	Change struct {
		Version        cluster.Version `json:"version"`
		ID             string          `json:"id"`
		Author         string          `json:"author"`
		AcceptedUnixMS int64           `json:"accepted-unix-ms"`
		// Undo turns the next version's text into this version's. It is nil if
		// the text is no longer kept or the version is the newest.
		Undo *textedit.Edit `json:"undo,omitempty"`
	}

	// ApplyResult is the first result of a change identifier.
	ApplyResult struct {
		// TextHash detects another text under the same identifier.
		TextHash uint64          `json:"text-hash"`
		Accepted bool            `json:"accepted"`
		Version  cluster.Version `json:"version"`
		Reason   string          `json:"reason,omitempty"`
		// WinnerChangeID and WinnerAuthor name the change that was accepted
		// after the expected version, if the version in force is a later one.
		WinnerChangeID string `json:"winner-change-id,omitempty"`
		WinnerAuthor   string `json:"winner-author,omitempty"`
	}

	// Group is the stored record of a group: its term, primary, voters and
	// members, which are all its servers.
	Group struct {
		Name cluster.GroupName `json:"name"`
		// Term is the term in force; zero until the first one is in force.
		Term    cluster.Term         `json:"term"`
		Primary cluster.ServerName   `json:"primary"`
		Voters  []cluster.ServerName `json:"voters"`
		// Pending is the term that is being established; nil if there is none.
		Pending *PendingTerm                  `json:"pending,omitempty"`
		Members map[cluster.ServerName]Member `json:"members"`
	}

	// PendingTerm is a term whose primary is not chosen yet. Servers may have
	// promised it, so it ends only when its primary is committed or a higher
	// term begins.
	PendingTerm struct {
		Term   cluster.Term `json:"term"`
		Reason Reason       `json:"reason"`
		// Target is the preferred primary; empty means the server with the
		// longest log.
		Target cluster.ServerName   `json:"target,omitempty"`
		Voters []cluster.ServerName `json:"voters"`
	}

	// Member is the stored record of a server. It is kept when the server stops
	// announcing itself.
	Member struct {
		Name       cluster.ServerName `json:"name"`
		Address    netip.AddrPort     `json:"address"`
		DataCentre cluster.DataCentre `json:"data-centre"`
		// Slots is the number of requests that the server executes at once,
		// Connections the number of connections that it accepts.
		Slots       int                 `json:"slots"`
		Connections int                 `json:"connections"`
		Labels      cluster.Labels      `json:"labels,omitempty"`
		Incarnation cluster.Incarnation `json:"incarnation"`
		// Repairing is true while a voter that lost its disk hasn't caught up.
		// Its promises don't count.
		Repairing bool `json:"repairing,omitempty"`
		// Epoch is the epoch (the term of the consensus protocol) of the
		// leader that first committed the server. No earlier leader can have granted connections to it.
		Epoch uint64 `json:"epoch,omitempty"`
	}

	// Proxy is a registered proxy; only registered proxies may hold
	// connections to servers.
	Proxy struct {
		Name        cluster.ProxyName   `json:"name"`
		Incarnation cluster.Incarnation `json:"incarnation"`
		DataCentre  cluster.DataCentre  `json:"data-centre"`
		// Sequence orders the proxies by their first registration.
		Sequence uint64 `json:"sequence"`
	}

	// DrainKey names a drained server or proxy.
	DrainKey struct {
		Kind string
		Name string
	}
)

// HighestTerm returns the highest term begun so far.
func (g *Group) HighestTerm() cluster.Term {
	if g.Pending != nil {
		return g.Pending.Term
	}
	return g.Term
}

// MarshalText returns the key as "kind:name".
func (k DrainKey) MarshalText() ([]byte, error) { return []byte(k.Kind + ":" + k.Name), nil }

// UnmarshalText parses the form that MarshalText returns.
func (k *DrainKey) UnmarshalText(text []byte) error {
	kind, name, ok := cutDrainKey(string(text))
	if !ok {
		return ErrBadSnapshot
	}
	k.Kind, k.Name = kind, name
	return nil
}
