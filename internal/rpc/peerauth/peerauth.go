// Package peerauth holds what the processes of one system prove to each other: a
// shared key and, if the settings name them, certificates of one authority.
// Both are read again when their files change.
//
// # Usage
//
//	t, err := peerauth.Load(options.KeyFile, options.Internal)
//	client := t.Client(transport.Options{})
//	err = transport.Serve(ctx, t.Listener(listener), t.Guard(mux))
//	group.Go(func() error { return keys.Watch(ctx, logger, keys.DefaultInterval, t.Reloaders()...) })
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

// ErrLoadFailed tells which setting names files that can't be used.
var ErrLoadFailed = eris.New("can't load what proves membership of the system")

// Credentials is what a process proves and asks.
type Credentials struct {
	ring *keys.Ring
	// identity is nil without TLS.
	identity *keys.Identity
}

// Load reads the files that the settings name; empty names: no key, no TLS.
func Load(keyFile string, internal settings.InternalTLS) (*Credentials, error) {
	ring, err := keys.LoadRing(keyFile)
	if err != nil {
		return nil, eris.Wrapf(ErrLoadFailed, "--key-file: %v", err)
	}
	t := &Credentials{ring: ring}
	if internal.InternalCert == "" {
		return t, nil
	}
	t.identity, err = keys.LoadIdentity(internal.InternalCert, internal.InternalKey, internal.InternalCA)
	if err != nil {
		return nil, eris.Wrapf(ErrLoadFailed, "--internal-cert, --internal-key, --internal-ca: %v", err)
	}
	return t, nil
}

// Client returns an HTTP client for calls to other processes.
func (t *Credentials) Client(options transport.Options) *http.Client {
	if t.identity != nil {
		options.TLS = t.identity.ClientConfig()
	}
	return transport.NewKeyringClient(t.ring, options)
}

// RequireKey admits requests of other processes only.
func (t *Credentials) RequireKey(next http.Handler) http.Handler {
	return transport.RequireKeyring(t.ring, next)
}

// Listener returns a listener that speaks TLS, if the settings ask for it.
func (t *Credentials) Listener(listener net.Listener) net.Listener {
	if t.identity == nil {
		return listener
	}
	return tls.NewListener(listener, t.identity.ServerConfig())
}

// Reloaders returns what keys.Watch is to look after.
func (t *Credentials) Reloaders() []keys.Reloader {
	reloaders := []keys.Reloader{t.ring}
	if t.identity != nil {
		reloaders = append(reloaders, t.identity)
	}
	return reloaders
}
