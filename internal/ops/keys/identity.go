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
	// ErrNoCACertificate is returned if the file of the certificate authority
	// holds no certificate in PEM form.
	ErrNoCACertificate = eris.New("the file holds no certificate in PEM form")
	// ErrUntrustedPeer is returned if the peer's certificate wasn't issued by the
	// system's certificate authority.
	ErrUntrustedPeer = eris.New("the other side's certificate is not of this system's authority")
)

type (
	// Identity holds the certificate that a process presents to the system's
	// other processes, and the certificate authority that issued the certificates
	// of them all. Names in certificates are ignored: any process with a
	// certificate of the authority belongs to the system.
	Identity struct {
		*Certificate
		caFile string
		ca     atomic.Pointer[caPool]
	}

	// caPool holds the certificates of the authority, and the file's content to
	// detect changes.
	caPool struct {
		pem  []byte
		pool *x509.CertPool
	}
)

// LoadIdentity loads a certificate, its key and the certificates of the authority from
// PEM files. It returns ErrNoCACertificate if the last file holds none.
func LoadIdentity(certFile, keyFile, caFile string) (*Identity, error) {
	certificate, err := LoadCertificate(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	i := &Identity{Certificate: certificate, caFile: caFile}
	if _, err := i.reloadCA(); err != nil {
		return nil, err
	}
	return i, nil
}

// ClientConfig returns the TLS configuration for connections to other processes. It
// uses the current certificate and authority for each new connection.
func (i *Identity) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return i.Get(nil)
		},
		// VerifyConnection verifies the chain instead, because the authority
		// may change, and because processes are addressed by IP number, which
		// certificates need not contain.
		InsecureSkipVerify: true,
		VerifyConnection:   i.verify,
	}
}

// ServerConfig returns the TLS configuration for connections from other processes. It
// uses the current certificate and authority for each new connection.
func (i *Identity) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		GetCertificate:   i.Get,
		ClientAuth:       tls.RequireAnyClientCert,
		VerifyConnection: i.verify,
	}
}

// Reload reads the files again and reports whether one of them changed.
func (i *Identity) Reload() (bool, error) {
	certificateChanged, err := i.Certificate.Reload()
	if err != nil {
		return false, err
	}
	caChanged, err := i.reloadCA()
	return certificateChanged || caChanged, err
}

func (i *Identity) reloadCA() (bool, error) {
	pem, err := os.ReadFile(i.caFile)
	if err != nil {
		return false, eris.Wrap(err, "read the certificate authority")
	}
	previous := i.ca.Load()
	if previous != nil && bytes.Equal(previous.pem, pem) {
		return false, nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return false, eris.Wrap(ErrNoCACertificate, i.caFile)
	}
	i.ca.Store(&caPool{pem: pem, pool: pool})
	return true, nil
}

// verify checks the peer's certificate chain against the authority. It returns
// ErrUntrustedPeer if the check fails.
func (i *Identity) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return ErrUntrustedPeer
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         i.ca.Load().pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return eris.Wrap(ErrUntrustedPeer, err.Error())
	}
	return nil
}
