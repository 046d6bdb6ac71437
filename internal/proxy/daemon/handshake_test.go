package daemon

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/binary"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/burdockwood/burdockwood/internal/config/settings"
)

// writeFile writes a file into a new folder and returns its path.
func writeFile(t testing.TB, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its key.
func writeCertificate(t testing.TB) (certFile, keyFile string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "proxy"},
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	cert, err := x509.CreateCertificate(rand.Reader, &template, &template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	certFile = writeFile(t, "cert.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert})))
	keyFile = writeFile(t, "key.pem", string(pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der})))
	return certFile, keyFile
}

func TestPasswordAuthenticationAndTLS(t *testing.T) {
	g := newFakeGroup(t, 3)
	certFile, keyFile := writeCertificate(t)
	p, _ := startProxy(t, "p1", g, newFakeControl(t, responseGrantingConnections(g, 4)), func(o *settings.Proxy) {
		o.PasswordFile = writeFile(t, "callers.txt", "# callers\npayroll:show day\n")
		o.TLSCert, o.TLSKey = certFile, keyFile
	})
	// want is the name of the server that answers "select name", the primary "a",
	// or the SQLSTATE of the failure.
	tests := []struct {
		name, parameters, want string
	}{
		{"right password", "password='show day'", "a"},
		{"right password and TLS", "password='show day' sslmode=require", "a"},
		{"wrong password", "password=wrong", "28P01"},
		{"unknown user", "user=nobody password='show day'", "28P01"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			conn, err := pgx.Connect(testContext(t), dsn(p, test.parameters))
			if err != nil {
				if got := sqlState(err); got != test.want {
					t.Errorf("connect = %v, want %s", err, test.want)
				}
				return
			}
			defer closeConn(conn)
			var got string
			if err := conn.QueryRow(testContext(t), "select name").Scan(&got); err != nil || got != test.want {
				t.Errorf("select = %q, %v, want %q", got, err, test.want)
			}
		})
	}
}

// Malformed and oversized first packets are answered with an error. Neither they
// nor an incomplete packet affect other callers.
func TestInvalidFirstPackets(t *testing.T) {
	g := newFakeGroup(t, 3)
	p, _ := startProxy(t, "p1", g, newFakeControl(t, responseGrantingConnections(g, 4)), nil)
	bystander := connect(t, p, "")
	oversized := binary.BigEndian.AppendUint32(nil, 1<<30)
	// want is a part of the error that the caller receives. A packet begins with
	// its length (4 bytes) and the protocol version or, in a cancel request, the
	// request code.
	tests := []struct {
		name, packet, want string
	}{
		{"HTTP", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "invalid"},
		{"oversized", string(oversized) + "xxxx", "invalid"},
		{"unknown version", "\x00\x00\x00\x08\x00\x09\x00\x00", "unknown"},
		{"no user", "\x00\x00\x00\x14\x00\x03\x00\x00database\x00x\x00\x00", "no user"},
		{"cancel without a session", "\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x01\x00\x00\x00\x02", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", p.Address().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := conn.Write([]byte(test.packet)); err != nil {
				t.Fatal(err)
			}
			answer, _ := io.ReadAll(conn)
			if got := string(answer); !strings.Contains(got, test.want) {
				t.Errorf("answer = %q, want it to contain %q", got, test.want)
			}
		})
	}
	incomplete, err := net.Dial("tcp", p.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer incomplete.Close()
	if _, err := incomplete.Write([]byte{0, 0}); err != nil {
		t.Fatal(err)
	}
	writeValue(t, bystander, "a", "1")
}

// A caller beyond the limit is refused, and the others aren't affected.
func TestTooManyCallers(t *testing.T) {
	g := newFakeGroup(t, 3)
	p, _ := startProxy(t, "p1", g, newFakeControl(t, responseGrantingConnections(g, 4)), func(o *settings.Proxy) { o.MaxCallers = 1 })
	first := connect(t, p, "")
	if _, err := pgx.Connect(testContext(t), dsn(p, "")); sqlState(err) != "53300" {
		t.Errorf("second caller = %v, want 53300", err)
	}
	if err := first.Ping(context.Background()); err != nil {
		t.Errorf("first caller: %v", err)
	}
}
