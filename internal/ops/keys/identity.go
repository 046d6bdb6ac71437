package keys

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

var (
	// ErrNoCACertificate tells that a file holds no certificate of an authority.
	ErrNoCACertificate = eris.New("the file holds no certificate in PEM form")
	// ErrUntrustedPeer tells that the other side isn't of this system.
	ErrUntrustedPeer = eris.New("the other side's certificate is not of this system's authority")
)

type (
	// Identity is the certificate that a process shows to the system's other
	// processes, and the authority that all of their certificates come from.
	// Names in certificates don't matter: who has a certificate of the
	// authority belongs to the system.
	Identity struct {
		*Certificate
		authorityFile string
		authority     atomic.Pointer[authority]
	}

	authority struct {
		pem  []byte
		pool *x509.CertPool
	}
)

// LoadIdentity reads a certificate, its key and the authority from PEM files.
func LoadIdentity(certFile, keyFile, authorityFile string) (*Identity, error) {
	certificate, err := LoadCertificate(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	i := &Identity{Certificate: certificate, authorityFile: authorityFile}
	if _, err := i.reloadAuthority(); err != nil {
		return nil, err
	}
	return i, nil
}

// ClientConfig returns the configuration for connections to other processes.
func (i *Identity) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return i.Get(nil)
		},
		// The chain is verified below, against an authority that may change;
		// addresses are IP numbers, which certificates need not name.
		InsecureSkipVerify: true,
		VerifyConnection:   i.verify,
	}
}

// ServerConfig returns the configuration for connections from other processes.
func (i *Identity) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		GetCertificate:   i.Get,
		ClientAuth:       tls.RequireAnyClientCert,
		VerifyConnection: i.verify,
	}
}

// Reload reads the files again.
func (i *Identity) Reload() (bool, error) {
	certificateChanged, err := i.Certificate.Reload()
	if err != nil {
		return false, err
	}
	authorityChanged, err := i.reloadAuthority()
	return certificateChanged || authorityChanged, err
}

func (i *Identity) reloadAuthority() (bool, error) {
	pem, err := os.ReadFile(i.authorityFile)
	if err != nil {
		return false, eris.Wrap(err, "read the authority")
	}
	old := i.authority.Load()
	if old != nil && bytes.Equal(old.pem, pem) {
		return false, nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return false, eris.Wrap(ErrNoCACertificate, i.authorityFile)
	}
	i.authority.Store(&authority{pem: pem, pool: pool})
	return true, nil
}

// verify checks the other side's chain against the authority.
func (i *Identity) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return ErrUntrustedPeer
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         i.authority.Load().pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return eris.Wrap(ErrUntrustedPeer, err.Error())
	}
	return nil
}
