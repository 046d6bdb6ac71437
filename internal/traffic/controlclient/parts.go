package controlclient

import (
	"bytes"
	"compress/flate"
	"io"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/burdockwood/burdockwood/internal/fleet/parts"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
)

// maxPartBytes bounds a decompressed part.
const maxPartBytes = 4 << 20

type (
	// syncProgress is how far a proxy has found out what is new. As long as it
	// renews its lease with the same leader, that sends what changes. Otherwise the
	// proxy sends digests of what it holds, and is sent the parts that differ.
	syncProgress struct {
		// source is the control node that granted last.
		source netip.AddrPort
		// nextPart is the first part that may still differ; 0: none.
		nextPart int
		// wanted is true if the control plane asked for digests.
		wanted bool
	}

	// releaseLog holds the released terms that the control plane knows of, so that
	// only others are sent. It is safe for concurrent use.
	releaseLog struct {
		mu    sync.Mutex
		terms map[cluster.GroupName]cluster.Term
		sum   uint64
	}
)

// digests returns the digests of what this proxy holds, or nil if the control node
// target knows that from the revision.
func (c *Client) digests(target netip.AddrPort) []uint64 {
	if c.revision != "" && c.sync.source == target && c.sync.nextPart == 0 && !c.sync.wanted {
		return nil
	}
	var digests parts.Digests
	c.serversMu.Lock()
	for _, s := range c.registry.List() {
		digests.AddServer(s)
	}
	c.serversMu.Unlock()
	for group, p := range c.primaries {
		digests.AddPrimary(group, p.Term, p.Primary, p.Planned)
	}
	return digests[:]
}

// unpackParts adds the content of a response's parts to its servers and primaries. It
// returns the numbers of the parts.
func unpackParts(response *fleetpb.RenewResponse) (listed map[int]bool, err error) {
	listed = map[int]bool{}
	for _, packed := range response.GetParts() {
		encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxPartBytes))
		if err != nil {
			return nil, eris.Wrap(err, "decompress a part of the control plane's state")
		}
		part := &fleetpb.Part{}
		if err := proto.Unmarshal(encoded, part); err != nil {
			return nil, eris.Wrap(err, "decode a part of the control plane's state")
		}
		listed[int(part.GetNumber())] = true
		response.Servers = append(response.Servers, part.GetServers()...)
		response.Primacies = append(response.Primacies, part.GetPrimacies()...)
	}
	return listed, nil
}

// removeUnlisted removes the servers of the listed parts that aren't among names.
// c.serversMu is held.
func (c *Client) removeUnlisted(isListed map[int]bool, names map[cluster.ServerName]bool) {
	for _, s := range c.registry.List() {
		if isListed[parts.Of(s.Group)] && !names[s.Name] {
			c.registry.Remove(s.Name)
		}
	}
}

// unsent returns those of the released terms that the control plane doesn't know of.
func (l *releaseLog) unsent(terms map[cluster.GroupName]cluster.Term) []*fleetpb.Release {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*fleetpb.Release
	for group, term := range terms {
		if term > l.terms[group] {
			list = append(list, &fleetpb.Release{Group: string(group), Term: uint64(term)})
		}
	}
	return list
}

// reset has all released terms sent again.
func (l *releaseLog) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.terms, l.sum = map[cluster.GroupName]cluster.Term{}, 0
}

// acknowledged records that the control plane received released terms with a renewal.
// sum is the sum of all that it knows of. If that isn't the sum of what it was sent, as
// after a change of leader, all are sent again.
func (l *releaseLog) acknowledged(sent []*fleetpb.Release, sum uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range sent {
		group, term := cluster.GroupName(r.GetGroup()), cluster.Term(r.GetTerm())
		l.sum += uint64(term - l.terms[group])
		l.terms[group] = term
	}
	if sum != l.sum {
		l.terms, l.sum = map[cluster.GroupName]cluster.Term{}, 0
	}
}
