// Package peerauth holds the credentials with which the processes of one system
// authenticate each other: a shared key and, if the settings name them,
// certificates that one certificate authority has signed. Both can be reloaded
// when their files change.
//
// # Usage
//
//	credentials, err := peerauth.Load(options.KeyFile, options.InternalTLS)
//	client := credentials.Client(transport.Options{})
//	err = transport.Serve(ctx, credentials.Listener(listener), credentials.RequireKey(mux))
//	group.Go(func() error { return keys.Watch(ctx, logger, keys.DefaultReloadInterval, credentials.Reloaders()...) })
package peerauth

import (
	"crypto/tls"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/ops/keys"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
)

// ErrLoadFailed is returned by Load if a file can't be read or used. The error
// names the setting.
var ErrLoadFailed = eris.New("can't load the credentials for connections between processes")

// Credentials are a process's own credentials and those that it requires of its
// peers.
type Credentials struct {
	keyring *keys.Ring
	// identity is nil without TLS.
	identity *keys.Identity
}

// Load reads the files that the settings name. Without a key file, no key is
// sent or required; without a certificate, connections don't use TLS. Errors:
// ErrLoadFailed.
func Load(keyFile string, tlsSettings settings.InternalTLS) (*Credentials, error) {
	keyring, err := keys.LoadRing(keyFile)
	if err != nil {
		return nil, eris.Wrapf(ErrLoadFailed, "--key-file: %v", err)
	}
	c := &Credentials{keyring: keyring}
	if tlsSettings.InternalCert == "" {
		return c, nil
	}
	c.identity, err = keys.LoadIdentity(tlsSettings.InternalCert, tlsSettings.InternalKey, tlsSettings.InternalCA)
	if err != nil {
		return nil, eris.Wrapf(ErrLoadFailed, "--internal-cert, --internal-key, --internal-ca: %v", err)
	}
	return c, nil
}

// Client returns an HTTP client for calls to other processes. It sets
// options.TLS if a certificate is loaded.
func (c *Credentials) Client(options transport.Options) *http.Client {
	if c.identity != nil {
		options.TLS = c.identity.ClientConfig()
	}
	return transport.NewKeyringClient(c.keyring, options)
}

// RequireKey returns a handler that answers a request without a valid key with
// status 401 and passes every other request to next.
func (c *Credentials) RequireKey(next http.Handler) http.Handler {
	return transport.RequireKeyring(c.keyring, next)
}

// Listener returns a TLS listener on top of listener if a certificate is
// loaded, else listener itself.
func (c *Credentials) Listener(listener net.Listener) net.Listener {
	if c.identity == nil {
		return listener
	}
	return tls.NewListener(listener, c.identity.ServerConfig())
}

// Reloaders returns the credentials that keys.Watch must reload.
func (c *Credentials) Reloaders() []keys.Reloader {
	reloaders := []keys.Reloader{c.keyring}
	if c.identity != nil {
		reloaders = append(reloaders, c.identity)
	}
	return reloaders
}
