package coordinator

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/control/allocation"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/textedit"
)

// HeartbeatResponse holds all that changed for a proxy since the revision that
// it has.
type HeartbeatResponse struct {
	Version cluster.Version
	// Declarations or Edit are set if the proxy has an older version. Edit turns
	// the declarations that it has into the newest, which have Checksum.
	Declarations string
	Edit         *textedit.Edit
	Checksum     uint64
	// Revision and Epoch are those of the leader's soft state at the time of
	// the response. The proxy repeats them in its next heartbeat.
	Revision uint64
	Epoch    uint64
	// Full is true if Groups are all groups; otherwise they are those that
	// changed.
	Full   bool
	Groups []GroupView
	Shares []Share
	// SharesSet is true if Shares are all current shares of the proxy;
	// otherwise the proxy keeps those that it has.
	SharesSet bool
	Peers     []Heartbeat
	// PeersSet is true if Peers are all live proxies; otherwise the proxy keeps
	// the list that it has.
	PeersSet bool
	// Drain is true if operators drain the proxy.
	Drain bool
	// MarkKeys are the keys that sign session tokens, newest first; nil if they
	// haven't changed.
	MarkKeys []string
}

// HasUpdate reports whether a response would contain changes for the proxy.
func (c *Coordinator) HasUpdate(heartbeat Heartbeat, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.updateIfLeader(now) || heartbeat.Epoch != c.epoch || heartbeat.Version < c.version {
		return true
	}
	p, ok := c.proxies[heartbeat.Proxy]
	if !ok {
		return true
	}
	newest := max(c.fullUpdateRevision, c.groupsRevision, c.peersRevision, c.keysRevision, p.sharesRevision, p.drainRevision)
	return newest > heartbeat.Revision
}

// Respond returns what changed for a proxy. Call it after the log has confirmed
// that this node leads. Errors: ErrNotLeader, ErrMalformed.
func (c *Coordinator) Respond(heartbeat Heartbeat, now time.Time) (HeartbeatResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.updateIfLeader(now) {
		return HeartbeatResponse{}, eris.Wrap(ErrNotLeader, "heartbeat")
	}
	view := c.stateMachine.View()
	if heartbeat.Version > view.Version {
		return HeartbeatResponse{}, eris.Wrapf(ErrMalformed, "version %d was never accepted here", heartbeat.Version)
	}
	response := HeartbeatResponse{Version: view.Version, Revision: c.revision, Epoch: c.epoch}
	if heartbeat.Version < view.Version {
		edit, checksum, ok := view.EditSince(heartbeat.Version)
		if ok && heartbeat.TakesEdits && c.declarations.HasCustomers {
			response.Edit, response.Checksum = edit, checksum
		} else {
			response.Declarations = view.Declarations
		}
	}
	if heartbeat.Epoch != c.epoch {
		heartbeat.Revision = 0
	}
	response.Full = heartbeat.Revision < c.fullUpdateRevision
	after := heartbeat.Revision
	if response.Full {
		after = 0
	}
	response.Groups = c.groupsAfter(after)
	if heartbeat.Revision < c.peersRevision {
		response.Peers, response.PeersSet = c.livePeers(now), true
	}
	if heartbeat.Revision < c.keysRevision {
		response.MarkKeys = c.keys
	}
	if p, ok := c.proxies[heartbeat.Proxy]; ok {
		response.Drain = p.drainRequested
		sharesDue := heartbeat.Revision < max(p.sharesRevision, c.fullUpdateRevision) || now.Sub(p.leasesRenewedAt) >= allocation.RenewAfter
		if sharesDue && c.canSendShares(p, now) {
			response.Shares, response.SharesSet = c.renewShares(p, now), true
		}
	}
	return response, nil
}
