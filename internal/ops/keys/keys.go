// Package keys holds secrets that are read from files and read again when the
// files change, without a restart.
//
// # Usage
//
//	certificate, err := keys.LoadCertificate(certFile, keyFile)
//	config := &tls.Config{GetCertificate: certificate.Get}
//	secret, err := keys.LoadSecret(keyFile)
//	group.Go(func() error { return keys.Watch(ctx, logger, keys.DefaultInterval, certificate, secret) })
//
// A file that can't be read or parsed leaves the former secret in force.
package keys

import (
	"context"
	"crypto/tls"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
)

// DefaultReloadInterval is the time between two looks at the files.
const DefaultReloadInterval = 5 * time.Second

// ErrNoSecret tells that a file holds no secret.
var ErrNoSecret = eris.New("the file holds no secret")

type (
	// Reloader is a secret that can be read again.
	Reloader interface {
		// Reload reads the files and reports whether the secret changed.
		Reload() (changed bool, err error)
		// Files names the files, for logs.
		Files() string
	}

	// Certificate is a TLS certificate with its key.
	Certificate struct {
		certFile string
		keyFile  string
		current  atomic.Pointer[tls.Certificate]
	}

	// Secret is a text without surrounding space.
	Secret struct {
		file    string
		current atomic.Pointer[string]
	}
)

// LoadCertificate reads a certificate and its key from PEM files.
func LoadCertificate(certFile, keyFile string) (*Certificate, error) {
	c := &Certificate{certFile: certFile, keyFile: keyFile}
	if _, err := c.Reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// ReadSecret returns the first line of a file, such as a password, without the
// space around it. Without a file name there is no secret: it returns "".
func ReadSecret(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", eris.Wrap(err, "read the secret")
	}
	line, _, _ := strings.Cut(string(text), "\n")
	return strings.TrimSpace(line), nil
}

// LoadSecret reads a secret from a file.
func LoadSecret(file string) (*Secret, error) {
	s := &Secret{file: file}
	if _, err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Get returns the certificate in force, for tls.Config.GetCertificate.
func (c *Certificate) Get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return c.current.Load(), nil
}

// Reload reads the files again.
func (c *Certificate) Reload() (bool, error) {
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return false, eris.Wrap(err, "load the certificate")
	}
	old := c.current.Load()
	if old != nil && old.Leaf.Equal(pair.Leaf) {
		return false, nil
	}
	c.current.Store(&pair)
	return true, nil
}

// Files names the certificate's file.
func (c *Certificate) Files() string { return c.certFile }

// Get returns the secret in force.
func (s *Secret) Get() string { return *s.current.Load() }

// Reload reads the file again.
func (s *Secret) Reload() (bool, error) {
	text, err := os.ReadFile(s.file)
	if err != nil {
		return false, eris.Wrap(err, "read the secret")
	}
	trimmed := strings.TrimSpace(string(text))
	if trimmed == "" {
		return false, eris.Wrap(ErrNoSecret, s.file)
	}
	old := s.current.Load()
	if old != nil && *old == trimmed {
		return false, nil
	}
	s.current.Store(&trimmed)
	return true, nil
}

// Files names the secret's file.
func (s *Secret) Files() string { return s.file }

// Watch reloads the secrets at the interval until ctx ends.
func Watch(ctx context.Context, logger logr.Logger, interval time.Duration, reloaders ...Reloader) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, r := range reloaders {
			reload(logger, r)
		}
	}
}

func reload(logger logr.Logger, r Reloader) {
	changed, err := r.Reload()
	if err != nil {
		logger.Error(err, "kept the former secret", "file", r.Files())
		return
	}
	if changed {
		logger.Info("read a changed secret", "file", r.Files())
	}
}
