// Package transport carries twirp calls between burdockwood's processes over
// HTTP with a shared key.
//
// # Usage
//
//	client := transport.NewClient(key, transport.Options{})
//	control := controlpb.NewControlProtobufClient(transport.URL(address), client)
//
//	handler := transport.Guard(key, mux)
//	err := transport.Serve(ctx, listener, handler)
//
// A request without the key is answered with 401 before its body is read. Keys
// that change while the process runs come from a Keyring.
package transport

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	defaultDialTimeout = 500 * time.Millisecond
	idleTimeout        = 60 * time.Second
	headerTimeout      = 5 * time.Second
	shutdownTimeout    = 2 * time.Second
	maxIdlePerHost     = 4
	maxHeaderBytes     = 16 << 10
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes = 8 << 20

	keyHeader = "Authorization"
	keyScheme = "Bearer "
)

type (
	// Options adjust a client.
	Options struct {
		// DialTimeout bounds the time to open a connection; zero: 500 ms.
		DialTimeout time.Duration
		// TLS turns on TLS, also for addresses that URL returns; nil: plain
		// TCP.
		TLS *tls.Config
		// ByteCounter counts the bytes of all connections, if set.
		ByteCounter *ByteCounter
	}

	// ByteCounter counts bytes on the wire.
	ByteCounter struct {
		Sent     atomic.Int64
		Received atomic.Int64
	}

	// Keyring holds the keys by which processes of the system know each
	// other.
	Keyring interface {
		// RequestKey returns the key that a request carries; "" for none.
		RequestKey() string
		// Accepts reports whether a request with that key is admitted.
		Accepts(key string) bool
	}

	// StaticKey is a keyring with one key; the empty one admits every
	// request.
	StaticKey string

	countedConn struct {
		net.Conn
		traffic *ByteCounter
	}

	keyedRoundTripper struct {
		ring Keyring
		next http.RoundTripper
	}
)

// Read counts the bytes received.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write counts the bytes sent.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	return n, err
}

// RoundTrip adds the key to a request.
func (t *keyedRoundTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	key := t.ring.RequestKey()
	if key == "" {
		return t.next.RoundTrip(request)
	}
	keyed := request.Clone(request.Context())
	keyed.Header.Set(keyHeader, keyScheme+key)
	return t.next.RoundTrip(keyed)
}

// RequestKey returns the key.
func (k StaticKey) RequestKey() string { return string(k) }

// Accepts compares in constant time.
func (k StaticKey) Accepts(key string) bool {
	return k == "" || subtle.ConstantTimeCompare([]byte(key), []byte(k)) == 1
}

// NewClient returns an HTTP client that presents key with each request.
// Callers bound each call with its context.
func NewClient(key string, options Options) *http.Client {
	return NewKeyringClient(StaticKey(key), options)
}

// NewKeyringClient is NewClient with a keyring.
func NewKeyringClient(ring Keyring, options Options) *http.Client {
	next := &http.Transport{
		DialContext:         dialer(options),
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &http.Client{Transport: &keyedRoundTripper{ring: ring, next: next}}
}

// dialer opens connections as the options say.
func dialer(options Options) func(ctx context.Context, network, address string) (net.Conn, error) {
	timeout := options.DialTimeout
	if timeout == 0 {
		timeout = defaultDialTimeout
	}
	tcp := &net.Dialer{Timeout: timeout, KeepAlive: headerTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := tcp.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if options.ByteCounter != nil {
			conn = &countedConn{Conn: conn, traffic: options.ByteCounter}
		}
		if options.TLS == nil {
			return conn, nil
		}
		return handshake(ctx, conn, options.TLS, timeout)
	}
}

// handshake turns a connection into one with TLS.
func handshake(ctx context.Context, conn net.Conn, config *tls.Config, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return secured, nil
}

// RequireKey answers 401 to each request that lacks the key. An empty key admits
// every request.
func RequireKey(key string, next http.Handler) http.Handler {
	return RequireKeyring(StaticKey(key), next)
}

// RequireKeyring is Guard with a keyring.
func RequireKeyring(ring Keyring, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get(keyHeader), keyScheme)
		if !ring.Accepts(key) {
			http.Error(w, "wrong or missing key: check --key-file", http.StatusUnauthorized)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

// Serve answers requests on listener until ctx ends.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       2 * idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	group.Go(func() error {
		<-groupCtx.Done()
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(stopCtx); err != nil {
			return server.Close()
		}
		return nil
	})
	return group.Wait()
}

// URL returns the base address of a process for a twirp client.
func URL(address netip.AddrPort) string { return "http://" + address.String() }
