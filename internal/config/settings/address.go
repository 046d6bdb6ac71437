package settings

import (
	"net/netip"
	"strings"

	"github.com/rotisserie/eris"
)

// errPeer tells that a peer isn't written name=IP:port.
var errPeer = eris.New("a control node is written name=IP:port")

// ParsePeer reads "name=IP:port".
func ParsePeer(text string) (string, netip.AddrPort, error) {
	name, place, ok := strings.Cut(text, "=")
	if !ok || !nameForm.MatchString(name) {
		return "", netip.AddrPort{}, errPeer
	}
	address, err := netip.ParseAddrPort(place)
	if err != nil {
		return "", netip.AddrPort{}, errPeer
	}
	return name, address, nil
}

// ListenAddress returns the address for callers; Check has passed.
func (p *Proxy) ListenAddress() netip.AddrPort { return addressOf(p.Listen) }

// PeerAddress returns the address for the other proxies and whether there is
// one.
func (p *Proxy) PeerAddress() (netip.AddrPort, bool) { return addressOf(p.Peer), p.Peer != "" }

// ControlAddresses returns the addresses of the control nodes.
func (p *Proxy) ControlAddresses() []netip.AddrPort { return addressesOf(p.Control) }

// ListenAddress returns the address of this control node; Check has passed.
func (s *Control) ListenAddress() netip.AddrPort { return addressOf(s.Listen) }

// ControlAddresses returns the addresses of the control nodes.
func (s *Client) ControlAddresses() []netip.AddrPort { return addressesOf(s.Control) }

// AdminAddress returns the admin address and whether there is one.
func (s *Common) AdminAddress() (netip.AddrPort, bool) { return addressOf(s.Admin), s.Admin != "" }

// addressOf returns the zero address for a malformed text.
func addressOf(text string) netip.AddrPort {
	address, _ := netip.ParseAddrPort(text)
	return address
}

func addressesOf(texts []string) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(texts))
	for _, text := range texts {
		addresses = append(addresses, addressOf(text))
	}
	return addresses
}
