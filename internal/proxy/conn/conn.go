// Package conn is one connection to a backend server, with what its session
// there holds: prepared statements and settings.
//
// # Usage
//
//	c, err := conn.Open(ctx, conn.Options{Address: address, Database: "ledger-1", User: user})
//	err = c.Send(messages)
//	message, err := c.Next()
//
// Start-up and authentication are pgconn's. Afterwards the connection is a
// stream of whole messages. A Conn is used by one goroutine at a time.
package conn

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/model/socket"
	"github.com/burdockwood/burdockwood/internal/proxy/wire"
)

const (
	// maxAnswerMessage is the longest message in bytes of a backend server.
	maxAnswerMessage = 1 << 30
	// maxStatements is the number of prepared statements that one connection
	// keeps at the server.
	maxStatements = 256
	closeTimeout  = 100 * time.Millisecond
	// smallRequest is the length in bytes up to which a request fits the
	// socket's buffer, so that sending it can't block.
	smallRequest = 16 << 10
	sendTimeout  = 10 * time.Second

	stateTooManyConnections = "53300"
	stateStartingUp         = "57P03"
)

var (
	// ErrUnreachable tells that no connection could be opened; nothing ran.
	ErrUnreachable = eris.New("backend server can't be reached")
	// ErrRefused tells that the server refused a connection; nothing ran.
	ErrRefused = eris.New("backend server refuses the connection")
	// ErrTooManyConnections tells that the server has no connection left; nothing ran.
	ErrTooManyConnections = eris.New("backend server has no connection left")
	// ErrLost tells that an open connection broke.
	ErrLost = eris.New("connection to the backend server is lost")
)

type (
	// Options tell where and as whom to connect.
	Options struct {
		Address  netip.AddrPort
		Database string
		User     string
		Password string
		Timeout  time.Duration
	}

	// Conn is a connection to a backend server.
	Conn struct {
		Options    Options
		PID        uint32
		Secret     []byte
		Parameters map[string]string
		// AppliedSettings is the fingerprint of the settings that were made.
		AppliedSettings string
		// Statements are the statements prepared at the server.
		Statements Statements

		net      net.Conn
		reader   *wire.Reader
		busy     atomic.Bool
		poisoned atomic.Bool
		used     time.Time
	}
)

// Open connects and authenticates.
func Open(ctx context.Context, options Options) (*Conn, error) {
	config, err := pgconn.ParseConfig("host=127.0.0.1 port=1 user=none dbname=none sslmode=disable passfile=/nonexistent")
	if err != nil {
		return nil, eris.Wrap(err, "connection settings")
	}
	config.Host = options.Address.Addr().String()
	config.Port = options.Address.Port()
	config.Database = options.Database
	config.User = options.User
	config.Password = options.Password
	config.ConnectTimeout = options.Timeout
	config.Fallbacks = nil
	config.RuntimeParams = map[string]string{}
	opened, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, refusal(err)
	}
	hijacked, err := opened.Hijack()
	if err != nil {
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	return &Conn{
		Options:    options,
		PID:        hijacked.PID,
		Secret:     hijacked.SecretKey,
		Parameters: hijacked.ParameterStatuses,
		net:        hijacked.Conn,
		reader:     wire.NewReader(hijacked.Conn, maxAnswerMessage),
	}, nil
}

// refusal turns pgconn's error into one of this package.
func refusal(err error) error {
	var answer *pgconn.PgError
	if !errors.As(err, &answer) {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	if answer.Code == stateTooManyConnections {
		return eris.Wrap(ErrTooManyConnections, answer.Message)
	}
	if answer.Code == stateStartingUp {
		return eris.Wrap(ErrUnreachable, answer.Message)
	}
	return eris.Wrap(ErrRefused, err.Error())
}

// Send writes whole messages.
func (c *Conn) Send(messages []byte) error {
	if len(messages) > smallRequest {
		if err := c.net.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
			c.poisoned.Store(true)
			return eris.Wrap(ErrLost, err.Error())
		}
	}
	if _, err := c.net.Write(messages); err != nil {
		c.poisoned.Store(true)
		return eris.Wrap(ErrLost, err.Error())
	}
	return nil
}

// Next returns the next message, valid until the following call.
func (c *Conn) Next() (wire.Message, error) {
	message, err := c.reader.Next()
	if err != nil {
		c.poisoned.Store(true)
		return nil, eris.Wrap(ErrLost, err.Error())
	}
	return message, nil
}

// SetDeadline bounds the reads under way and those that follow. Any goroutine may call it.
func (c *Conn) SetDeadline(deadline time.Time) {
	if err := c.net.SetReadDeadline(deadline); err != nil {
		c.poisoned.Store(true)
	}
}

// SetBusy records whether a request runs on the connection.
func (c *Conn) SetBusy(busy bool) { c.busy.Store(busy) }

// Interrupt ends the request that runs on the connection after grace; the
// connection isn't used again. Any goroutine may call it.
func (c *Conn) Interrupt(grace time.Duration) {
	if !c.busy.Load() {
		return
	}
	c.Poison()
	c.SetDeadline(time.Now().Add(grace))
}

// Poison marks the connection as not to be used again. Any goroutine may call
// it.
func (c *Conn) Poison() { c.poisoned.Store(true) }

// IsReusable reports whether the connection may be given to another caller:
// nothing went wrong on it and nothing is owed.
func (c *Conn) IsReusable() bool { return !c.poisoned.Load() && c.reader.Buffered() == 0 }

// Touch records when the connection was used last.
func (c *Conn) Touch(now time.Time) { c.used = now }

// LastUsed is when the connection was used last.
func (c *Conn) LastUsed() time.Time { return c.used }

// IsAlive reports whether an idle connection is still open: the server has
// neither closed it nor sent anything unasked.
func (c *Conn) IsAlive() bool {
	if !c.IsReusable() {
		return false
	}
	return socket.IsIdle(c.net)
}

// Close ends the connection.
func (c *Conn) Close() {
	c.poisoned.Store(true)
	if c.net.SetDeadline(time.Now().Add(closeTimeout)) == nil {
		terminate, err := (&pgproto3.Terminate{}).Encode(nil)
		if err == nil {
			_, _ = c.net.Write(terminate)
		}
	}
	_ = c.net.Close()
}

// Cancel asks the server to cancel what the connection runs now.
func (c *Conn) Cancel(ctx context.Context) error {
	dialer := net.Dialer{Timeout: c.Options.Timeout}
	other, err := dialer.DialContext(ctx, "tcp", c.Options.Address.String())
	if err != nil {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	defer other.Close()
	request, err := (&pgproto3.CancelRequest{ProcessID: c.PID, SecretKey: c.Secret}).Encode(nil)
	if err != nil {
		return eris.Wrap(err, "cancel request")
	}
	if err := other.SetDeadline(time.Now().Add(c.Options.Timeout)); err != nil {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	if _, err := other.Write(request); err != nil {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	// The server closes the connection once it has taken the request.
	_, _ = other.Read(make([]byte, 1))
	return nil
}
