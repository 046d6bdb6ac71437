package settings

import (
	"net/netip"
	"strings"

	"github.com/rotisserie/eris"
)

// errPeerFormat is returned for a peer that isn't written as name=IP:port.
var errPeerFormat = eris.New("a control node is written name=IP:port")

// ParsePeer parses "name=IP:port" into a control node's name and address.
func ParsePeer(text string) (string, netip.AddrPort, error) {
	name, addressText, ok := strings.Cut(text, "=")
	if !ok || !namePattern.MatchString(name) {
		return "", netip.AddrPort{}, errPeerFormat
	}
	address, err := netip.ParseAddrPort(addressText)
	if err != nil {
		return "", netip.AddrPort{}, errPeerFormat
	}
	return name, address, nil
}

// ListenAddress returns the address that callers connect to. Check must have
// passed.
func (p *Proxy) ListenAddress() netip.AddrPort { return parseAddress(p.Listen) }

// PeerAddress returns the address that other proxies connect to and whether one
// is set.
func (p *Proxy) PeerAddress() (netip.AddrPort, bool) { return parseAddress(p.Peer), p.Peer != "" }

// ControlAddresses returns the addresses of the control nodes. Check must have
// passed.
func (p *Proxy) ControlAddresses() []netip.AddrPort { return parseAddresses(p.Control) }

// ListenAddress returns the address of this control node. Check must have passed.
func (s *Control) ListenAddress() netip.AddrPort { return parseAddress(s.Listen) }

// ControlAddresses returns the addresses of the control nodes. Check must have
// passed.
func (s *Client) ControlAddresses() []netip.AddrPort { return parseAddresses(s.Control) }

// AdminAddress returns the admin address and whether one is set.
func (s *Common) AdminAddress() (netip.AddrPort, bool) { return parseAddress(s.Admin), s.Admin != "" }

// parseAddress returns the zero address if text is malformed.
func parseAddress(text string) netip.AddrPort {
	address, _ := netip.ParseAddrPort(text)
	return address
}

func parseAddresses(texts []string) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(texts))
	for _, text := range texts {
		addresses = append(addresses, parseAddress(text))
	}
	return addresses
}
