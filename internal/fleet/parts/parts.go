// Package parts divides the servers and primaries of all groups into parts with a digest
// each, so that a proxy and a leader find out cheaply in which parts they differ. It does
// no input or output.
//
// # Usage
//
//	part := parts.Of("group-1")
//	var digests parts.Digests
//	digests.AddServer(server)
//	digests.AddPrimary("group-1", 3, "server-1", false)
//	differs := digests[part] != other[part]
//
// # Load pattern
//
// After a change of leader or a restart, 300 proxies on links of 2 Mbit/s need to know
// what is new of 3,600 servers in 1,200 groups: 350 KB a proxy in full, 512 bytes if
// nothing is.
package parts

import (
	"encoding/binary"
	"hash/fnv"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// Count is the number of parts.
const Count = 64

// Digests holds the digest of each part: the sum of the digests of its servers and
// primaries. The zero value is that of empty parts.
type Digests [Count]uint64

// Of returns the part of a group.
func Of(group cluster.GroupName) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(group)) // a hash never fails
	return int(h.Sum32() % Count)
}

// AddServer adds a server to its part.
func (d *Digests) AddServer(s registry.Server) { d[Of(s.Group)] += s.Digest() }

// AddPrimary adds a group's primary, as proxies are told it, to the group's part.
func (d *Digests) AddPrimary(group cluster.GroupName, term cluster.Term, primary cluster.ServerName, planned bool) {
	h := fnv.New64a()
	b := append(append(append([]byte(nil), group...), 0), primary...)
	b = binary.LittleEndian.AppendUint64(append(b, 0), uint64(term))
	if planned {
		b = append(b, 1)
	}
	_, _ = h.Write(b) // a hash never fails
	d[Of(group)] += h.Sum64()
}
