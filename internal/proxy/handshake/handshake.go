// Package handshake takes callers in: it accepts connections, negotiates TLS and
// reads the start-up packet.
//
// # Usage
//
//	startup, err := handshake.Handshake(conn, tlsConfig, now)
//	if startup.Cancel != nil {
//		// The connection only carries a cancel request.
//	}
//
// A first packet that is garbage, too long or late is answered with a clear
// error and the connection ends. No other caller notices.
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
	// maxRequestMessage is the longest message in bytes of a caller.
	maxRequestMessage = 64 << 20
	// negotiations is the most encryption requests before the start-up.
	negotiations = 2

	yes = 'S'
	no  = 'N'
)

var (
	// ErrInvalidStartup tells that the first packet makes no sense.
	ErrInvalidStartup = eris.New("invalid start-up packet")
	// ErrClosed tells that the peer went away before the start-up; probes
	// of a balancer do that.
	ErrClosed = eris.New("closed before start-up")
)

type (
	// Startup is what a caller said first.
	Startup struct {
		Conn        net.Conn
		Reader      *wire.Reader
		Messages    *pgproto3.Backend
		User        string
		Database    string
		Application string
		// Options are the settings of the start-up packet by lower-case
		// name, those of "options=-c name=value" too.
		Options map[string]string
		// Cancel is set if the connection only carries a cancel request.
		Cancel *pgproto3.CancelRequest
	}

	// bytewise hands bytes on one at a time, so that the decoder of start-up
	// packets takes nothing that follows them.
	bytewise struct {
		reader *wire.Reader
	}
)

// Read reads one byte.
func (b bytewise) Read(p []byte) (int, error) {
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

// Accept reads up to the start-up packet. tlsConfig may be nil. On an error
// the caller has been told and the connection is to be closed.
func Accept(conn net.Conn, tlsConfig *tls.Config, now time.Time) (*Startup, error) {
	if err := conn.SetDeadline(now.Add(StartupTimeout)); err != nil {
		return nil, eris.Wrap(ErrClosed, err.Error())
	}
	startup := &Startup{Conn: conn}
	startup.use(conn)
	for range negotiations + 1 {
		message, err := startup.Messages.ReceiveStartupMessage()
		if err != nil {
			return nil, startup.refuse(err)
		}
		switch m := message.(type) {
		case *pgproto3.StartupMessage:
			return startup, startup.read(m)
		case *pgproto3.CancelRequest:
			startup.Cancel = &pgproto3.CancelRequest{ProcessID: m.ProcessID, SecretKey: append([]byte(nil), m.SecretKey...)}
			return startup, nil
		case *pgproto3.SSLRequest:
			if err := startup.encrypt(tlsConfig); err != nil {
				return nil, err
			}
		case *pgproto3.GSSEncRequest:
			if _, err := startup.Conn.Write([]byte{no}); err != nil {
				return nil, eris.Wrap(ErrClosed, err.Error())
			}
		}
	}
	return nil, startup.refuse(eris.Wrap(ErrInvalidStartup, "too many encryption requests"))
}

// use reads from conn from now on.
func (s *Startup) use(conn net.Conn) {
	s.Conn = conn
	s.Reader = wire.NewReader(conn, maxRequestMessage)
	s.Messages = pgproto3.NewBackend(bytewise{reader: s.Reader}, conn)
}

// encrypt answers an SSLRequest.
func (s *Startup) encrypt(config *tls.Config) error {
	if config == nil {
		if _, err := s.Conn.Write([]byte{no}); err != nil {
			return eris.Wrap(ErrClosed, err.Error())
		}
		return nil
	}
	if s.Reader.Buffered() > 0 {
		return s.refuse(eris.Wrap(ErrInvalidStartup, "unencrypted data after the request for encryption"))
	}
	if _, err := s.Conn.Write([]byte{yes}); err != nil {
		return eris.Wrap(ErrClosed, err.Error())
	}
	encrypted := tls.Server(s.Conn, config)
	if err := encrypted.Handshake(); err != nil {
		return eris.Wrap(ErrInvalidStartup, err.Error())
	}
	s.use(encrypted)
	return nil
}

// read takes the start-up packet's parameters.
func (s *Startup) read(message *pgproto3.StartupMessage) error {
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
			return s.refuse(eris.Wrap(ErrInvalidStartup, "replication connections are not served"))
		default:
			s.Options[strings.ToLower(name)] = value
		}
	}
	if s.User == "" {
		return s.refuse(eris.Wrap(ErrInvalidStartup, "no user name in the start-up packet"))
	}
	if s.Database == "" {
		s.Database = s.User
	}
	return nil
}

// refuse tells the caller why and returns the error.
func (s *Startup) refuse(err error) error {
	if eris.Is(err, io.EOF) && s.Reader.Buffered() == 0 {
		return eris.Wrap(ErrClosed, "end of file")
	}
	fatal := outcome.Fatal(outcome.StateProtocol, err.Error())
	_, _ = s.Conn.Write(fatal.Append(nil))
	return eris.Wrap(ErrInvalidStartup, err.Error())
}

// parseOptions reads "-c name=value --name=value"; a backslash keeps a space.
func parseOptions(text string, into map[string]string) {
	for _, word := range splitOptions(text) {
		word = strings.TrimPrefix(strings.TrimPrefix(word, "-c"), "--")
		name, value, found := strings.Cut(word, "=")
		if !found {
			continue
		}
		into[strings.ToLower(name)] = value
	}
}

// splitOptions cuts at white space that no backslash precedes.
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
