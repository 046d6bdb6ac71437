// Package keys loads keys, certificates and other secrets from files, and reloads them
// without a restart when the files change.
//
// # Usage
//
//	certificate, err := keys.LoadCertificate(certFile, keyFile)
//	config := &tls.Config{GetCertificate: certificate.Get}
//	secret, err := keys.LoadSecret(keyFile)
//	group.Go(func() error { return keys.Watch(ctx, logger, keys.DefaultReloadInterval, certificate, secret) })
//
// If a file can't be read or parsed, the previous secret stays in use.
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

// DefaultReloadInterval is the default interval at which Watch reads the files.
const DefaultReloadInterval = 5 * time.Second

// ErrNoSecret is returned if a file holds only white space.
var ErrNoSecret = eris.New("the file holds no secret")

type (
	// Reloader is a secret that can be reloaded from its files.
	Reloader interface {
		// Reload reads the files and reports whether the secret changed. On an
		// error, the previous secret stays in use.
		Reload() (changed bool, err error)
		// Files returns the name to log: that of the only file, or of the
		// certificate's if there is a key file too.
		Files() string
	}

	// Certificate is a TLS certificate with its key.
	Certificate struct {
		certFile string
		keyFile  string
		current  atomic.Pointer[tls.Certificate]
	}

	// Secret is the text of a file, without leading and trailing white space.
	Secret struct {
		file    string
		current atomic.Pointer[string]
	}
)

// LoadCertificate loads a certificate and its key from PEM files.
func LoadCertificate(certFile, keyFile string) (*Certificate, error) {
	c := &Certificate{certFile: certFile, keyFile: keyFile}
	if _, err := c.Reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// ReadSecret returns the first line of a file, such as a password, without leading and
// trailing white space. It returns "" if the file name is empty.
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

// LoadSecret loads a secret from a file. It returns ErrNoSecret if the file holds only
// white space.
func LoadSecret(file string) (*Secret, error) {
	s := &Secret{file: file}
	if _, err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Get returns the current certificate. It is meant for tls.Config.GetCertificate.
func (c *Certificate) Get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return c.current.Load(), nil
}

// Reload reads the files again and reports whether the certificate changed.
func (c *Certificate) Reload() (bool, error) {
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return false, eris.Wrap(err, "load the certificate")
	}
	previous := c.current.Load()
	if previous != nil && previous.Leaf.Equal(pair.Leaf) {
		return false, nil
	}
	c.current.Store(&pair)
	return true, nil
}

// Files returns the name of the certificate's file.
func (c *Certificate) Files() string { return c.certFile }

// Get returns the current secret.
func (s *Secret) Get() string { return *s.current.Load() }

// Reload reads the file again and reports whether the secret changed. It returns
// ErrNoSecret if the file holds only white space.
func (s *Secret) Reload() (bool, error) {
	text, err := os.ReadFile(s.file)
	if err != nil {
		return false, eris.Wrap(err, "read the secret")
	}
	trimmed := strings.TrimSpace(string(text))
	if trimmed == "" {
		return false, eris.Wrap(ErrNoSecret, s.file)
	}
	previous := s.current.Load()
	if previous != nil && *previous == trimmed {
		return false, nil
	}
	s.current.Store(&trimmed)
	return true, nil
}

// Files returns the name of the secret's file.
func (s *Secret) Files() string { return s.file }

// Watch reloads the secrets at each interval until ctx is done, and logs changes and
// errors. It always returns nil.
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
		logger.Error(err, "reload of a secret failed; the previous one stays in use", "file", r.Files())
		return
	}
	if changed {
		logger.Info("secret reloaded after a change", "file", r.Files())
	}
}
