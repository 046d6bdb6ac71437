package daemon

import (
	"crypto/tls"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/ops/keys"
	"github.com/burdockwood/burdockwood/internal/proxy/authn"
)

// setDefaults sets some settings that are zero to their defaults, because options
// that weren't parsed from the command line lack them.
func setDefaults(options *settings.Proxy) {
	if options.DrainTime == 0 {
		options.DrainTime = defaultDrainTime
	}
	if options.Deadline == 0 {
		options.Deadline = defaultDeadline
	}
	if options.MaxCallers == 0 {
		options.MaxCallers = defaultMaxCallers
	}
	if options.Peer == "" {
		options.Peer = "127.0.0.1:0"
	}
}

// loadFiles reads the password and certificate files that the settings name.
func (p *Proxy) loadFiles() error {
	password, err := keys.ReadSecret(p.options.BackendPasswordFile)
	if err != nil {
		return eris.Wrapf(ErrSettings, "--backend-password-file: %v", err)
	}
	p.backendCredentials = adapter.Credentials{User: p.options.BackendUser, Password: password}
	passwords, err := authn.LoadFile(p.options.PasswordFile)
	if err != nil {
		return eris.Wrapf(ErrSettings, "--password-file: %v", err)
	}
	p.passwords = passwords
	if p.options.PasswordFile != "" {
		p.reloaders = append(p.reloaders, passwords)
	}
	if p.options.TLSCert == "" {
		return nil
	}
	certificate, err := keys.LoadCertificate(p.options.TLSCert, p.options.TLSKey)
	if err != nil {
		return eris.Wrapf(ErrSettings, "--tls-cert, --tls-key: %v", err)
	}
	p.reloaders = append(p.reloaders, certificate)
	p.tls = &tls.Config{GetCertificate: certificate.Get, MinVersion: tls.VersionTLS12}
	return nil
}

// openListeners opens the listeners for callers and for other proxies.
func (p *Proxy) openListeners() error {
	callers, err := net.Listen("tcp", p.options.Listen)
	if err != nil {
		return eris.Wrapf(ErrListen, "--listen: %v", err)
	}
	peers, err := net.Listen("tcp", p.options.Peer)
	if err != nil {
		_ = callers.Close()
		return eris.Wrapf(ErrListen, "--peer: %v", err)
	}
	p.callerListener = callers
	p.peerListener = peers
	return nil
}

// parseAddresses parses the addresses of the control nodes.
func parseAddresses(texts []string) ([]netip.AddrPort, error) {
	if len(texts) == 0 {
		return nil, eris.Wrap(ErrSettings, "--control: at least one address is required")
	}
	parsed := make([]netip.AddrPort, 0, len(texts))
	for _, text := range texts {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, eris.Wrapf(ErrSettings, "--control: %v", err)
		}
		parsed = append(parsed, address)
	}
	return parsed, nil
}

// addressOf returns the address of a listener, or the zero value if it isn't an
// IP address and port.
func addressOf(listener net.Listener) netip.AddrPort {
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return netip.AddrPort{}
	}
	return address
}
