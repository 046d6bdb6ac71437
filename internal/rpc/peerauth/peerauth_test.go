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
	ours     = "ours"
	theirs   = "theirs"
	noTLS    = ""
	noAnswer = 0
)

// authority signs certificates of processes.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

// TestTrust calls a process from one that proves this or that.
func TestTrust(t *testing.T) {
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
		{"new key is second at the server", "a\nb", noTLS, "b\na", noTLS, http.StatusOK},
		{"old key is second at the server", "b\na", noTLS, "a\nb", noTLS, http.StatusOK},
		{"old key is removed", "b", noTLS, "a\nb", noTLS, http.StatusUnauthorized},
		{"TLS of one authority", "a", ours, "a", ours, http.StatusOK},
		{"TLS does not replace the key", "a", ours, "b", ours, http.StatusUnauthorized},
		{"client of another authority", "a", ours, "a", theirs, noAnswer},
		{"client without TLS", "a", ours, "a", noTLS, http.StatusBadRequest},
		{"server without TLS", "a", noTLS, "a", ours, noAnswer},
	}
	folder := t.TempDir()
	identities := map[string]settings.InternalTLS{
		noTLS:  {},
		ours:   writeIdentity(t, folder, ours),
		theirs: writeIdentity(t, folder, theirs),
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := load(t, filepath.Join(folder, fmt.Sprintf("server-%d", i)), test.serverKeys, identities[test.serverTLS])
			client := load(t, filepath.Join(folder, fmt.Sprintf("client-%d", i)), test.clientKeys, identities[test.clientTLS])
			if got := call(t, server, client); got != test.want {
				t.Errorf("status: got %d, want %d", got, test.want)
			}
		})
	}
}

// TestKeyChangesWithoutRestart changes the server's file while it runs.
func TestKeyChangesWithoutRestart(t *testing.T) {
	folder := t.TempDir()
	file := filepath.Join(folder, "server")
	server := load(t, file, "old", settings.InternalTLS{})
	client := load(t, filepath.Join(folder, "client"), "new", settings.InternalTLS{})
	if got, want := call(t, server, client), http.StatusUnauthorized; got != want {
		t.Errorf("before: got %d, want %d", got, want)
	}
	write(t, file, []byte("old\nnew\n"))
	for _, r := range server.Reloaders() {
		if _, err := r.Reload(); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := call(t, server, client), http.StatusOK; got != want {
		t.Errorf("after: got %d, want %d", got, want)
	}
}

// call returns the status of a client's call to a server; noAnswer if the
// connection failed.
func call(t *testing.T, server, client *peerauth.Credentials) int {
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
	answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	group.Go(func() error { return transport.Serve(ctx, server.Listener(listener), server.RequireKey(answer)) })
	response, err := client.Client(transport.Options{}).Get("http://" + listener.Addr().String() + "/")
	if err != nil {
		return noAnswer
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func load(t *testing.T, file, keys string, internal settings.InternalTLS) *peerauth.Credentials {
	t.Helper()
	write(t, file, []byte(keys))
	loaded, err := peerauth.Load(file, internal)
	if err != nil {
		t.Fatal(err)
	}
	return loaded
}

// writeIdentity writes an authority of its own and a certificate that it
// signed.
func writeIdentity(t *testing.T, folder, name string) settings.InternalTLS {
	t.Helper()
	root := newAuthority(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour)}
	cert, err := x509.CreateCertificate(rand.Reader, template, root.cert, key.Public(), root.key)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	path := func(part string) string { return filepath.Join(folder, name+"-"+part) }
	write(t, path("cert"), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}))
	write(t, path("key"), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}))
	write(t, path("ca"), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: root.cert.Raw}))
	return settings.InternalTLS{InternalCert: path("cert"), InternalKey: path("key"), InternalCA: path("ca")}
}

func newAuthority(t *testing.T) authority {
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
	return authority{key: key, cert: cert}
}

func write(t *testing.T, file string, text []byte) {
	t.Helper()
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
}
