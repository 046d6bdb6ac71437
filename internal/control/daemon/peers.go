package daemon

import (
	"net/netip"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/control/node"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// parsePeers parses the specs of all control nodes, each "name=IP:port". If
// there are none, or if the port of self is 0, the address of self is the one
// that it listens on.
func parsePeers(specs []string, self cluster.NodeName, listenAddress netip.AddrPort) ([]node.Peer, error) {
	if len(specs) == 0 {
		return []node.Peer{{Name: self, Address: listenAddress}}, nil
	}
	peers := make([]node.Peer, 0, len(specs))
	selfListed := false
	for _, spec := range specs {
		name, address, ok := strings.Cut(spec, "=")
		parsed, err := netip.ParseAddrPort(address)
		if !ok || name == "" || err != nil {
			return nil, eris.Wrapf(ErrStart, "--peer %q: want name=IP:port", spec)
		}
		peer := node.Peer{Name: cluster.NodeName(name), Address: parsed}
		if peer.Name == self {
			selfListed = true
			if parsed.Port() == 0 {
				peer.Address = listenAddress
			}
		}
		peers = append(peers, peer)
	}
	if !selfListed {
		return nil, eris.Wrapf(ErrStart, "--peer: no entry for this node, %q", self)
	}
	return peers, nil
}

// addressOf returns the address of a node in the list of peers.
func addressOf(peers []node.Peer, name cluster.NodeName) netip.AddrPort {
	for _, peer := range peers {
		if peer.Name == name {
			return peer.Address
		}
	}
	return netip.AddrPort{}
}
