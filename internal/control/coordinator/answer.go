package coordinator

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/control/allocation"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// HeartbeatResponse is all that changed for a proxy since the revision that it has.
type HeartbeatResponse struct {
	Version cluster.Version
	// Declarations are set if the proxy's version is older.
	Declarations string
	Revision     uint64
	Epoch        uint64
	// Full tells that Groups are all groups.
	Full      bool
	Groups    []GroupView
	Shares    []Share
	SharesSet bool
	Peers     []Heartbeat
	PeersSet  bool
	Drain     bool
	MarkKeys  []string
}

// HasUpdate reports whether an answer would tell the proxy anything.
func (c *Coordinator) HasUpdate(beat Heartbeat, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lead(now) || beat.Epoch != c.epoch || beat.Version < c.version {
		return true
	}
	p, ok := c.proxies[beat.Proxy]
	if !ok {
		return true
	}
	newest := max(c.fullAfter, c.groupsRevision, c.peersRevision, c.keysRevision, p.grantsRevision, p.drainRevision)
	return newest > beat.Revision
}

// Respond returns what changed for a proxy. Call it after the log has confirmed
// that this node leads. Errors: ErrNotLeader, ErrMalformed.
func (c *Coordinator) Respond(beat Heartbeat, now time.Time) (HeartbeatResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lead(now) {
		return HeartbeatResponse{}, eris.Wrap(ErrNotLeader, "heartbeat")
	}
	view := c.machine.View()
	if beat.Version > view.Version {
		return HeartbeatResponse{}, eris.Wrapf(ErrMalformed, "version %d was never accepted here", beat.Version)
	}
	answer := HeartbeatResponse{Version: view.Version, Revision: c.revision, Epoch: c.epoch}
	if beat.Version < view.Version {
		answer.Declarations = view.Declarations
	}
	if beat.Epoch != c.epoch {
		beat.Revision = 0
	}
	answer.Full = beat.Revision < c.fullAfter
	after := beat.Revision
	if answer.Full {
		after = 0
	}
	answer.Groups = c.groupsAfter(after)
	if beat.Revision < c.peersRevision {
		answer.Peers, answer.PeersSet = c.livePeers(now), true
	}
	if beat.Revision < c.keysRevision {
		answer.MarkKeys = c.keys
	}
	if p, ok := c.proxies[beat.Proxy]; ok {
		answer.Drain = p.drain
		due := beat.Revision < max(p.grantsRevision, c.fullAfter) || now.Sub(p.grantsHanded) >= allocation.RenewAfter
		if due && c.mayHand(p, now) {
			answer.Shares, answer.SharesSet = c.hand(p, now), true
		}
	}
	return answer, nil
}
