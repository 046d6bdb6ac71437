package peerauth_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/rpc/peerauth"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
)

const (
	ourCA            = "ours"
	otherCA          = "theirs"
	noTLS            = ""
	connectionFailed = 0
)

// certificateAuthority signs the certificates of processes.
type certificateAuthority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

// TestKeysAndCertificates checks which calls between two processes succeed, by
// their keys and certificates.
func TestKeysAndCertificates(t *testing.T) {
	tests := []struct {
		name       string
		serverKeys string
		serverTLS  string
		clientKeys string
		clientTLS  string
		want       int
	}{
		{"same key", "a", noTLS, "a", noTLS, http.StatusOK},
		{"wrong key", "a", noTLS, "b", noTLS, http.StatusUnauthorized},
		{"new key is the server's second key", "a\nb", noTLS, "b\na", noTLS, http.StatusOK},
		{"old key is the server's second key", "b\na", noTLS, "a\nb", noTLS, http.StatusOK},
		{"old key is removed from the server", "b", noTLS, "a\nb", noTLS, http.StatusUnauthorized},
		{"certificates of one CA", "a", ourCA, "a", ourCA, http.StatusOK},
		{"TLS does not replace the key", "a", ourCA, "b", ourCA, http.StatusUnauthorized},
		{"client certificate of another CA", "a", ourCA, "a", otherCA, connectionFailed},
		{"client without TLS", "a", ourCA, "a", noTLS, http.StatusBadRequest},
		{"server without TLS", "a", noTLS, "a", ourCA, connectionFailed},
	}
	folder := t.TempDir()
	identities := map[string]settings.InternalTLS{
		noTLS:   {},
		ourCA:   writeCertificates(t, folder, ourCA),
		otherCA: writeCertificates(t, folder, otherCA),
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := loadCredentials(t, filepath.Join(folder, fmt.Sprintf("server-%d", i)), test.serverKeys, identities[test.serverTLS])
			client := loadCredentials(t, filepath.Join(folder, fmt.Sprintf("client-%d", i)), test.clientKeys, identities[test.clientTLS])
			if got := callStatus(t, server, client); got != test.want {
				t.Errorf("status: got %d, want %d", got, test.want)
			}
		})
	}
}

// TestReloadAcceptsNewKey checks that a server accepts a key that was added to
// its key file, once it has reloaded the file.
func TestReloadAcceptsNewKey(t *testing.T) {
	folder := t.TempDir()
	file := filepath.Join(folder, "server")
	server := loadCredentials(t, file, "old", settings.InternalTLS{})
	client := loadCredentials(t, filepath.Join(folder, "client"), "new", settings.InternalTLS{})
	if got, want := callStatus(t, server, client), http.StatusUnauthorized; got != want {
		t.Errorf("before: got %d, want %d", got, want)
	}
	writeFile(t, file, []byte("old\nnew\n"))
	for _, r := range server.Reloaders() {
		if _, err := r.Reload(); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := callStatus(t, server, client), http.StatusOK; got != want {
		t.Errorf("after: got %d, want %d", got, want)
	}
}

// callStatus returns the HTTP status of a client's call to a server, or
// connectionFailed if there was no response.
func callStatus(t *testing.T, server, client *peerauth.Credentials) int {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	defer func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	}()
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	group.Go(func() error { return transport.Serve(ctx, server.Listener(listener), server.RequireKey(handler)) })
	response, err := client.Client(transport.Options{}).Get("http://" + listener.Addr().String() + "/")
	if err != nil {
		return connectionFailed
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func loadCredentials(t *testing.T, file, keys string, tlsSettings settings.InternalTLS) *peerauth.Credentials {
	t.Helper()
	writeFile(t, file, []byte(keys))
	credentials, err := peerauth.Load(file, tlsSettings)
	if err != nil {
		t.Fatal(err)
	}
	return credentials
}

// writeCertificates creates a certificate authority and writes its certificate,
// and a certificate and key that it has signed, to files in folder.
func writeCertificates(t *testing.T, folder, name string) settings.InternalTLS {
	t.Helper()
	ca := newCertificateAuthority(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour)}
	cert, err := x509.CreateCertificate(rand.Reader, template, ca.cert, key.Public(), ca.key)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	path := func(part string) string { return filepath.Join(folder, name+"-"+part) }
	writeFile(t, path("cert"), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}))
	writeFile(t, path("key"), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}))
	writeFile(t, path("ca"), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: ca.cert.Raw}))
	return settings.InternalTLS{InternalCert: path("cert"), InternalKey: path("key"), InternalCA: path("ca")}
}

func newCertificateAuthority(t *testing.T) certificateAuthority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return certificateAuthority{key: key, cert: cert}
}

func writeFile(t *testing.T, file string, data []byte) {
	t.Helper()
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
}
