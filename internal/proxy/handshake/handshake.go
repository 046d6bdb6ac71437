// Package handshake negotiates TLS with a caller that has connected and reads its
// start-up packet.
//
// # Usage
//
//	startup, err := handshake.Accept(conn, tlsConfig, now)
//	if startup.Cancel != nil {
//		// The connection only carries a cancel request.
//	}
//
// If the first packet is malformed or too long, the caller gets an error that says
// so, and the connection is closed. If the packet is late, the connection is closed
// without an answer. Other callers aren't affected.
package handshake

import (
	"crypto/tls"
	"io"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/proxy/outcome"
	"github.com/burdockwood/burdockwood/internal/proxy/wire"
)

const (
	// StartupTimeout bounds the time from the accept to the end of
	// authentication.
	StartupTimeout = 10 * time.Second
	// maxMessageSize is the length in bytes of the longest message that a
	// caller may send.
	maxMessageSize = 64 << 20
	// maxEncryptionRequests is the number of encryption requests that a caller
	// may send before the start-up packet.
	maxEncryptionRequests = 2

	encryptionAccepted = 'S'
	encryptionDeclined = 'N'
)

var (
	// ErrInvalidStartup is returned if the TLS handshake fails or the caller's
	// first packet is malformed, late, or asks for something unsupported.
	ErrInvalidStartup = eris.New("invalid start-up packet")
	// ErrClosed is returned if the caller closes the connection before the
	// start-up packet, as the health checks of a load balancer do, or if
	// writing to the connection fails.
	ErrClosed = eris.New("closed before start-up")
)

type (
	// Startup is the caller's start-up packet and the connection for what
	// follows it.
	Startup struct {
		// Conn is the connection, encrypted if the caller requested TLS. Reader
		// reads from it.
		Conn   net.Conn
		Reader *wire.Reader
		// Messages decodes the messages of the start-up and of the
		// authentication from Reader.
		Messages    *pgproto3.Backend
		User        string
		Database    string
		Application string
		// Options are the settings in the start-up packet by lower-case name,
		// including those of "options=-c name=value".
		Options map[string]string
		// Cancel is set if the connection only carries a cancel request.
		Cancel *pgproto3.CancelRequest
	}

	// singleByteReader returns one byte per Read, so that the decoder of
	// start-up packets doesn't consume bytes that follow them.
	singleByteReader struct {
		reader *wire.Reader
	}
)

// Read reads at most one byte.
func (b singleByteReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	one, err := b.reader.ReadByte()
	if err != nil {
		return 0, err
	}
	p[0] = one
	return 1, nil
}

// Accept answers encryption requests and reads the start-up packet or the cancel
// request that follows them. The deadline of conn is set to StartupTimeout after
// now. A nil tlsConfig declines TLS.
//
// The error is ErrInvalidStartup or ErrClosed. An error response that gives the
// reason has then been sent to the caller as far as possible, and conn must be
// closed.
func Accept(conn net.Conn, tlsConfig *tls.Config, now time.Time) (*Startup, error) {
	if err := conn.SetDeadline(now.Add(StartupTimeout)); err != nil {
		return nil, eris.Wrap(ErrClosed, err.Error())
	}
	startup := &Startup{Conn: conn}
	startup.setConn(conn)
	for range maxEncryptionRequests + 1 {
		message, err := startup.Messages.ReceiveStartupMessage()
		if err != nil {
			return nil, startup.reject(err)
		}
		switch m := message.(type) {
		case *pgproto3.StartupMessage:
			return startup, startup.setParameters(m)
		case *pgproto3.CancelRequest:
			startup.Cancel = &pgproto3.CancelRequest{ProcessID: m.ProcessID, SecretKey: append([]byte(nil), m.SecretKey...)}
			return startup, nil
		case *pgproto3.SSLRequest:
			if err := startup.encrypt(tlsConfig); err != nil {
				return nil, err
			}
		case *pgproto3.GSSEncRequest:
			if _, err := startup.Conn.Write([]byte{encryptionDeclined}); err != nil {
				return nil, eris.Wrap(ErrClosed, err.Error())
			}
		}
	}
	return nil, startup.reject(eris.Wrap(ErrInvalidStartup, "too many encryption requests"))
}

// setConn uses conn for all further messages.
func (s *Startup) setConn(conn net.Conn) {
	s.Conn = conn
	s.Reader = wire.NewReader(conn, maxMessageSize)
	s.Messages = pgproto3.NewBackend(singleByteReader{reader: s.Reader}, conn)
}

// encrypt answers an SSLRequest: it performs the TLS handshake, or declines if
// config is nil.
func (s *Startup) encrypt(config *tls.Config) error {
	if config == nil {
		if _, err := s.Conn.Write([]byte{encryptionDeclined}); err != nil {
			return eris.Wrap(ErrClosed, err.Error())
		}
		return nil
	}
	if s.Reader.Buffered() > 0 {
		return s.reject(eris.Wrap(ErrInvalidStartup, "unencrypted data after the request for encryption"))
	}
	if _, err := s.Conn.Write([]byte{encryptionAccepted}); err != nil {
		return eris.Wrap(ErrClosed, err.Error())
	}
	encrypted := tls.Server(s.Conn, config)
	if err := encrypted.Handshake(); err != nil {
		return eris.Wrap(ErrInvalidStartup, err.Error())
	}
	s.setConn(encrypted)
	return nil
}

// setParameters sets the fields from the start-up packet's parameters. The
// database defaults to the user's name.
func (s *Startup) setParameters(message *pgproto3.StartupMessage) error {
	s.Options = map[string]string{}
	for name, value := range message.Parameters {
		switch name {
		case "user":
			s.User = value
		case "database":
			s.Database = value
		case "application_name":
			s.Application = value
		case "options":
			parseOptions(value, s.Options)
		case "replication":
			return s.reject(eris.Wrap(ErrInvalidStartup, "replication connections are not served"))
		default:
			s.Options[strings.ToLower(name)] = value
		}
	}
	if s.User == "" {
		return s.reject(eris.Wrap(ErrInvalidStartup, "no user name in the start-up packet"))
	}
	if s.Database == "" {
		s.Database = s.User
	}
	return nil
}

// reject sends err to the caller and returns it as ErrInvalidStartup. If the caller
// has closed the connection, it returns ErrClosed.
func (s *Startup) reject(err error) error {
	if eris.Is(err, io.EOF) && s.Reader.Buffered() == 0 {
		return eris.Wrap(ErrClosed, "end of file")
	}
	fatal := outcome.Fatal(outcome.StateProtocol, err.Error())
	_, _ = s.Conn.Write(fatal.Append(nil))
	return eris.Wrap(ErrInvalidStartup, err.Error())
}

// parseOptions adds the settings in text, "-c name=value --name=value", to
// options. A backslash escapes a space within a value.
func parseOptions(text string, options map[string]string) {
	for _, word := range splitOptions(text) {
		word = strings.TrimPrefix(strings.TrimPrefix(word, "-c"), "--")
		name, value, found := strings.Cut(word, "=")
		if !found {
			continue
		}
		options[strings.ToLower(name)] = value
	}
}

// splitOptions splits text at spaces and tabs without a backslash before them,
// and removes the backslashes.
func splitOptions(text string) []string {
	var words []string
	var word strings.Builder
	for i := 0; i < len(text); i++ {
		switch {
		case text[i] == '\\' && i+1 < len(text):
			i++
			word.WriteByte(text[i])
		case text[i] == ' ' || text[i] == '\t':
			words = append(words, word.String())
			word.Reset()
		default:
			word.WriteByte(text[i])
		}
	}
	return append(words, word.String())
}
