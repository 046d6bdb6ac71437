// Package conn implements a connection to a backend server, including the state
// of its session there: prepared statements and settings.
//
// # Usage
//
//	c, err := conn.Open(ctx, conn.Options{Address: address, Database: "ledger-1", User: user})
//	err = c.Send(messages)
//	message, err := c.Next()
//
// pgconn does the start-up and authentication. Afterwards the connection is a
// stream of complete messages. A Conn must be used by one goroutine at a time,
// except for the methods that say otherwise.
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
	// maxServerMessage is the maximum length in bytes of a message from a
	// backend server.
	maxServerMessage = 1 << 30
	// maxStatements is the maximum number of prepared statements per
	// connection.
	maxStatements = 256
	closeTimeout  = 100 * time.Millisecond
	// maxNonBlockingSend is the length in bytes up to which a request fits into
	// the socket's send buffer, so that sending it can't block and needs no
	// write deadline.
	maxNonBlockingSend = 16 << 10
	sendTimeout        = 10 * time.Second

	stateTooManyConnections = "53300"
	stateStartingUp         = "57P03"
)

var (
	// ErrUnreachable is returned if the server can't be reached or is starting
	// up. No request was executed.
	ErrUnreachable = eris.New("backend server can't be reached")
	// ErrRefused is returned if the server refuses the connection. No request
	// was executed.
	ErrRefused = eris.New("backend server refuses the connection")
	// ErrTooManyConnections is returned if the server's connection limit is
	// reached. No request was executed.
	ErrTooManyConnections = eris.New("backend server has no connection left")
	// ErrLost is returned if an open connection fails.
	ErrLost = eris.New("connection to the backend server is lost")
)

type (
	// Options configures Open. Timeout limits connecting, and each step of a
	// cancel request.
	Options struct {
		Address  netip.AddrPort
		Database string
		User     string
		Password string
		Timeout  time.Duration
	}

	// Conn is a connection to a backend server.
	Conn struct {
		Options Options
		// PID and Secret identify the server's session in a cancel request.
		PID    uint32
		Secret []byte
		// Parameters are the values of the ParameterStatus messages that the
		// server sent during the start-up.
		Parameters map[string]string
		// AppliedSettings holds the SET statements of the settings that are in
		// effect in the server's session. It is compared with the caller's
		// settings.
		AppliedSettings string
		// Statements are the statements prepared in the server's session.
		Statements Statements

		net            net.Conn
		reader         *wire.Reader
		busy           atomic.Bool
		reusePrevented atomic.Bool
		lastUsed       time.Time
	}
)

// Open connects to the server and authenticates. Errors are ErrUnreachable,
// ErrRefused and ErrTooManyConnections.
func Open(ctx context.Context, options Options) (*Conn, error) {
	// These placeholders take precedence over the environment and the password
	// file. The actual values replace them below.
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
		return nil, connectError(err)
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
		reader:     wire.NewReader(hijacked.Conn, maxServerMessage),
	}, nil
}

// connectError converts an error of pgconn to one of this package's errors.
func connectError(err error) error {
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

// Send writes complete messages. If it fails, it returns ErrLost and the
// connection isn't reused.
func (c *Conn) Send(messages []byte) error {
	if len(messages) > maxNonBlockingSend {
		if err := c.net.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
			c.reusePrevented.Store(true)
			return eris.Wrap(ErrLost, err.Error())
		}
	}
	if _, err := c.net.Write(messages); err != nil {
		c.reusePrevented.Store(true)
		return eris.Wrap(ErrLost, err.Error())
	}
	return nil
}

// Next returns the next message, which is valid until the following call. If it
// fails, it returns ErrLost and the connection isn't reused.
func (c *Conn) Next() (wire.Message, error) {
	message, err := c.reader.Next()
	if err != nil {
		c.reusePrevented.Store(true)
		return nil, eris.Wrap(ErrLost, err.Error())
	}
	return message, nil
}

// SetDeadline sets the deadline of current and future reads. It is safe for
// concurrent use.
func (c *Conn) SetDeadline(deadline time.Time) {
	if err := c.net.SetReadDeadline(deadline); err != nil {
		c.reusePrevented.Store(true)
	}
}

// SetBusy sets whether a request is running on the connection.
func (c *Conn) SetBusy(busy bool) { c.busy.Store(busy) }

// Interrupt makes the reads of a running request time out after grace and
// prevents the connection from being reused. It does nothing if no request is
// running. It is safe for concurrent use.
func (c *Conn) Interrupt(grace time.Duration) {
	if !c.busy.Load() {
		return
	}
	c.PreventReuse()
	c.SetDeadline(time.Now().Add(grace))
}

// PreventReuse makes IsReusable return false, so that the pool closes the
// connection when it is released. It is safe for concurrent use.
func (c *Conn) PreventReuse() { c.reusePrevented.Store(true) }

// IsReusable reports whether the connection may be given to another caller:
// PreventReuse hasn't been called, reads and writes haven't failed, and no
// received data is left unread.
func (c *Conn) IsReusable() bool { return !c.reusePrevented.Load() && c.reader.Buffered() == 0 }

// Touch sets the time of the last use.
func (c *Conn) Touch(now time.Time) { c.lastUsed = now }

// LastUsed returns the time of the last use.
func (c *Conn) LastUsed() time.Time { return c.lastUsed }

// IsAlive reports whether an idle connection is still open: the server has
// neither closed it nor sent unexpected data.
func (c *Conn) IsAlive() bool {
	if !c.IsReusable() {
		return false
	}
	return socket.IsIdle(c.net)
}

// Close sends a Terminate message, if the socket accepts it in time, and closes
// the connection.
func (c *Conn) Close() {
	c.reusePrevented.Store(true)
	if c.net.SetDeadline(time.Now().Add(closeTimeout)) == nil {
		terminate, err := (&pgproto3.Terminate{}).Encode(nil)
		if err == nil {
			_, _ = c.net.Write(terminate)
		}
	}
	_ = c.net.Close()
}

// Cancel sends a cancel request for the statement that the connection is
// running.
func (c *Conn) Cancel(ctx context.Context) error {
	dialer := net.Dialer{Timeout: c.Options.Timeout}
	cancelConn, err := dialer.DialContext(ctx, "tcp", c.Options.Address.String())
	if err != nil {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	defer cancelConn.Close()
	request, err := (&pgproto3.CancelRequest{ProcessID: c.PID, SecretKey: c.Secret}).Encode(nil)
	if err != nil {
		return eris.Wrap(err, "cancel request")
	}
	if err := cancelConn.SetDeadline(time.Now().Add(c.Options.Timeout)); err != nil {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	if _, err := cancelConn.Write(request); err != nil {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	// The server closes the connection once it has processed the request.
	_, _ = cancelConn.Read(make([]byte, 1))
	return nil
}
