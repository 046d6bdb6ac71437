// Package transport is the HTTP client and server for twirp calls between
// burdockwood's processes. Requests are authenticated by a shared key.
//
// # Usage
//
//	client := transport.NewClient(key, transport.Options{})
//	control := controlpb.NewControlProtobufClient(transport.URL(address), client)
//
//	handler := transport.RequireKey(key, mux)
//	err := transport.Serve(ctx, listener, handler)
//
// The server answers a request without a valid key with status 401 before it
// reads the body. Keys that may change while the process runs come from a
// Keyring.
package transport

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

const (
	defaultDialTimeout = 500 * time.Millisecond
	// idleConnTimeout is the time after which a client closes an idle
	// connection. A server does so after twice that time.
	idleConnTimeout = 60 * time.Second
	// headerTimeout bounds the time in which a server reads a request's
	// header. It's also the interval of a client's TCP keep-alive probes.
	headerTimeout = 5 * time.Second
	// shutdownTimeout bounds the time that a server waits for requests in
	// flight before it closes their connections.
	shutdownTimeout     = 2 * time.Second
	maxIdleConnsPerHost = 4
	maxHeaderBytes      = 16 << 10
	// MaxBodyBytes is the maximum size of a request's body.
	MaxBodyBytes = 8 << 20

	authHeader      = "Authorization"
	userAgentHeader = "User-Agent"
	dateHeader      = "Date"
	authScheme      = "Bearer "
)

// ErrConnectionEnded is returned by a client of OverOneConnection once its connection has
// ended. The request wasn't sent.
var ErrConnectionEnded = eris.New("the client's only connection has ended")

// unreadHeaders are headers of twirp's clients that no server reads.
var unreadHeaders = []string{"Accept", "Twirp-Version"}

type (
	// Options configure a client.
	Options struct {
		// DialTimeout bounds the time to open a connection; zero: 500 ms.
		DialTimeout time.Duration
		// TLS makes the client use TLS for every connection, although URL
		// returns "http" addresses; nil: plain TCP.
		TLS *tls.Config
		// ByteCounter counts the bytes of all connections; nil: they aren't
		// counted.
		ByteCounter *ByteCounter
		// ResetOnClose makes each connection end with a reset, also if the process
		// is killed, so that a request that is held up on its way is lost.
		ResetOnClose bool
	}

	// ByteCounter counts the bytes sent and received on connections.
	ByteCounter struct {
		Sent     atomic.Int64
		Received atomic.Int64
	}

	// Keyring holds the keys by which the system's processes authenticate
	// each other's requests.
	Keyring interface {
		// RequestKey returns the key that outgoing requests carry; "" for none.
		RequestKey() string
		// Accepts reports whether a request that carries key is allowed.
		Accepts(key string) bool
	}

	// StaticKey is a Keyring with one key. The empty key accepts every
	// request.
	StaticKey string

	// countingConn adds the bytes sent and received to a ByteCounter.
	countingConn struct {
		net.Conn
		counter *ByteCounter
	}

	// rpcRoundTripper removes the headers that servers don't read from each request
	// and adds a key.
	rpcRoundTripper struct {
		keyring Keyring
		next    http.RoundTripper
	}
)

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.Received.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.Sent.Add(int64(n))
	return n, err
}

// RoundTrip sends the request with the keyring's key as its bearer token, and without
// the headers in unreadHeaders. They made up a fifth of a short request, and on a link of
// 2 Mbit/s each 250 bytes take a millisecond.
func (t *rpcRoundTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	trimmed := *request
	trimmed.Header = maps.Clone(request.Header)
	for _, name := range unreadHeaders {
		delete(trimmed.Header, name)
	}
	// An empty value keeps the HTTP client from sending its own.
	trimmed.Header[userAgentHeader] = []string{""}
	if key := t.keyring.RequestKey(); key != "" {
		trimmed.Header.Set(authHeader, authScheme+key)
	}
	return t.next.RoundTrip(&trimmed)
}

// RequestKey returns the key.
func (k StaticKey) RequestKey() string { return string(k) }

// Accepts reports whether key is equal to k, in constant time, or k is empty.
func (k StaticKey) Accepts(key string) bool {
	return k == "" || subtle.ConstantTimeCompare([]byte(key), []byte(k)) == 1
}

// NewClient returns an HTTP client that sends key with each request. The client
// has no timeout for a request; the request's context bounds it.
func NewClient(key string, options Options) *http.Client {
	return NewKeyringClient(StaticKey(key), options)
}

// NewKeyringClient is like NewClient but takes the key from a keyring.
func NewKeyringClient(keyring Keyring, options Options) *http.Client {
	next := &http.Transport{
		DialContext:         newDialFunc(options),
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &http.Client{Transport: &rpcRoundTripper{keyring: keyring, next: next}}
}

// OverOneConnection returns a client like client that opens only one connection, to the
// first address that it calls. All its calls therefore reach the same process, also if
// another one listens at the address later: they fail then, with ErrConnectionEnded at the
// latest once the client has seen the end of its connection. Close the connection with
// CloseIdleConnections after the last call.
func OverOneConnection(client *http.Client) *http.Client {
	if rpc, ok := client.Transport.(*rpcRoundTripper); ok {
		return &http.Client{Transport: &rpcRoundTripper{keyring: rpc.keyring, next: overOneConnection(rpc.next)}}
	}
	return &http.Client{Transport: overOneConnection(client.Transport)}
}

// overOneConnection returns a copy of an HTTP transport, nil for the default one, that
// opens only one connection.
func overOneConnection(roundTripper http.RoundTripper) *http.Transport {
	original, ok := roundTripper.(*http.Transport)
	if !ok {
		original = http.DefaultTransport.(*http.Transport)
	}
	single := original.Clone()
	single.MaxConnsPerHost = 1
	dial := single.DialContext
	if dial == nil {
		dial = newDialFunc(Options{})
	}
	var dialed atomic.Bool
	single.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if dialed.Swap(true) {
			return nil, ErrConnectionEnded
		}
		return dial(ctx, network, address)
	}
	return single
}

// CloseIdleConnections closes the connections of the wrapped transport that aren't in use;
// http.Client.CloseIdleConnections calls it.
func (t *rpcRoundTripper) CloseIdleConnections() {
	if closer, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// newDialFunc returns a function that opens connections as options say.
func newDialFunc(options Options) func(ctx context.Context, network, address string) (net.Conn, error) {
	timeout := options.DialTimeout
	if timeout == 0 {
		timeout = defaultDialTimeout
	}
	tcpDialer := &net.Dialer{Timeout: timeout, KeepAlive: headerTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := tcpDialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok && options.ResetOnClose {
			if err := tcp.SetLinger(0); err != nil {
				return nil, errors.Join(err, conn.Close())
			}
		}
		if options.ByteCounter != nil {
			conn = &countingConn{Conn: conn, counter: options.ByteCounter}
		}
		if options.TLS == nil {
			return conn, nil
		}
		return handshakeTLS(ctx, conn, options.TLS, timeout)
	}
}

// handshakeTLS performs a client's TLS handshake on conn and returns the secured
// connection. If the handshake fails, it closes conn.
func handshakeTLS(ctx context.Context, conn net.Conn, config *tls.Config, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	tlsConn := tls.Client(conn, config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return tlsConn, nil
}

// RequireKey returns a handler that answers a request without the key with
// status 401 and passes every other request to next, with its body limited to
// MaxBodyBytes. An empty key allows every request.
func RequireKey(key string, next http.Handler) http.Handler {
	return RequireKeyring(StaticKey(key), next)
}

// RequireKeyring is like RequireKey but accepts the keys of a keyring.
func RequireKeyring(keyring Keyring, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get(authHeader), authScheme)
		if !keyring.Accepts(key) {
			http.Error(w, "wrong or missing key: check --key-file", http.StatusUnauthorized)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

// withoutDate returns a handler that doesn't send the time of day with responses.
func withoutDate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()[dateHeader] = nil
		next.ServeHTTP(w, r)
	})
}

// Serve serves requests on listener until ctx ends, then shuts the server down.
// Requests still in flight after 2 s are aborted.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           withoutDate(handler),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       2 * idleConnTimeout,
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

// URL returns the base URL of the process at address, for a twirp client.
func URL(address netip.AddrPort) string { return "http://" + address.String() }
