package keys_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/ops/keys"
)

func TestReadSecretReturnsFirstLine(t *testing.T) {
	file := filepath.Join(t.TempDir(), "password")
	if err := os.WriteFile(file, []byte(" secret \na remark\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := keys.ReadSecret(file)
	if want := "secret"; err != nil || got != want {
		t.Errorf("ReadSecret = %q, %v, want %q", got, err, want)
	}
}

func TestSecretReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "key")
	write(t, file, " first \n")
	secret, err := keys.LoadSecret(file)
	if err != nil || secret.Get() != "first" {
		t.Fatalf("got %v, %v, want the secret \"first\"", secret, err)
	}
	write(t, file, "\n")
	if _, err := secret.Reload(); !errors.Is(err, keys.ErrNoSecret) || secret.Get() != "first" {
		t.Errorf("empty file: got %v and %q, want %v and the previous secret", err, secret.Get(), keys.ErrNoSecret)
	}
	write(t, file, "second")
	if changed, err := secret.Reload(); err != nil || !changed || secret.Get() != "second" {
		t.Errorf("changed file: got %v, %v, %q, want a change to \"second\"", changed, err, secret.Get())
	}
}

func TestCertificateReload(t *testing.T) {
	folder := t.TempDir()
	cert, key := filepath.Join(folder, "cert"), filepath.Join(folder, "key")
	writePair(t, cert, key, 1)
	certificate, err := keys.LoadCertificate(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	if changed, err := certificate.Reload(); changed || err != nil {
		t.Errorf("same files: got %v, %v, want no change", changed, err)
	}
	write(t, cert, "half a file")
	if _, err := certificate.Reload(); err == nil {
		t.Error("broken file: got no error, want one")
	}
	writePair(t, cert, key, 2)
	if changed, err := certificate.Reload(); !changed || err != nil {
		t.Errorf("new files: got %v, %v, want a change", changed, err)
	}
	current, _ := certificate.Get(nil)
	if got, want := current.Leaf.SerialNumber.Int64(), int64(2); got != want {
		t.Errorf("serial number: got %d, want %d", got, want)
	}
}

func writePair(t *testing.T, certFile, keyFile string, serial int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour)}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	write(t, certFile, string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert})))
	write(t, keyFile, string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der})))
}

func write(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
