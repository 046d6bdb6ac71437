package coordinator

import (
	"strconv"

	"github.com/burdockwood/burdockwood/internal/fleet/parts"
	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// maxServersPerGrant bounds the servers in one grant, and so its bytes: some 20 KB
// compressed, which a link of 2 Mbit/s carries in a tenth of a second.
const maxServersPerGrant = 600

// PartContent is everything of a part.
type PartContent struct {
	Number int
	// Digest is the part's digest; contents with the same digest are equal, but for
	// the times in them.
	Digest    uint64
	Servers   []registry.Server
	Primaries map[cluster.GroupName]state.GroupPrimary
}

// partIndex is the leader's state by parts, as of a change of the servers and a view.
type partIndex struct {
	changes uint64
	view    *state.State
	digests parts.Digests
	groups  [parts.Count][]cluster.GroupName
}

// partIndex returns the index of the current state.
func (l *leadership) partIndex(view *state.State) *partIndex {
	if l.parts != nil && l.parts.view == view && l.parts.changes == l.unsaved.changes {
		return l.parts
	}
	index := &partIndex{changes: l.unsaved.changes, view: view}
	for _, s := range l.registry.List() {
		index.digests.AddServer(s)
	}
	for group, p := range view.Primaries {
		index.digests.AddPrimary(group, p.Term, p.Usable(), p.Planned)
		index.groups[parts.Of(group)] = append(index.groups[parts.Of(group)], group)
	}
	for _, group := range l.registry.Groups() {
		if _, listed := view.Primaries[group]; !listed {
			index.groups[parts.Of(group)] = append(index.groups[parts.Of(group)], group)
		}
	}
	l.parts = index
	return index
}

// addParts adds to a grant the parts that differ from what the proxy holds, from
// Renewal.NextPart on, or from the first if differences since the proxy's revision aren't
// known, up to maxServersPerGrant. The rest follows with the next grants, together with
// what changes meanwhile.
func (l *leadership) addParts(grant *Grant, r Renewal, view *state.State, known bool) {
	if len(r.Digests) == 0 {
		// Without an answer to what differs, the proxy mustn't take this
		// revision for its own. What it is given instead names the
		// leadership alone.
		grant.DigestsWanted, grant.Revision = true, strconv.FormatUint(l.epoch, 10)+"."
		return
	}
	next := r.NextPart
	if !known {
		next = 0
	}
	index, servers := l.partIndex(view), 0
	for part := next; part < parts.Count; part++ {
		if index.digests[part] == r.Digests[part] {
			continue
		}
		if servers >= maxServersPerGrant {
			grant.NextPart = part
			return
		}
		content := PartContent{Number: part, Digest: index.digests[part], Primaries: map[cluster.GroupName]state.GroupPrimary{}}
		for _, group := range index.groups[part] {
			content.Servers = append(content.Servers, l.registry.Group(group)...)
			if p, listed := view.Primaries[group]; listed {
				content.Primaries[group] = p
			}
		}
		grant.Parts = append(grant.Parts, content)
		servers += len(content.Servers)
	}
}
