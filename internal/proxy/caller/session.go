// Package caller serves one caller's connection after its authentication.
//
// # Usage
//
//	session := caller.New(shared, startup)
//	err := session.Run(ctx, startup)
//
// A request is a simple query, or the messages up to a Sync or Flush. Outside a
// transaction, each request may use another backend connection; a transaction
// holds the connection on which it began. A session is pinned to its connection
// from a statement on that creates state there that can't be replayed on another
// one, such as a temporary table.
//
// An answer of a primary is sent to the caller only after a majority of the
// group's voters has confirmed that the server was still the primary, and has
// received the write, if any (package confirm).
package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/proxy/clusterview"
	"github.com/burdockwood/burdockwood/internal/proxy/execute"
	"github.com/burdockwood/burdockwood/internal/proxy/groupselect"
	"github.com/burdockwood/burdockwood/internal/proxy/handshake"
	"github.com/burdockwood/burdockwood/internal/proxy/meter"
	"github.com/burdockwood/burdockwood/internal/proxy/outcome"
	"github.com/burdockwood/burdockwood/internal/proxy/pool"
	"github.com/burdockwood/burdockwood/internal/proxy/session"
	"github.com/burdockwood/burdockwood/internal/proxy/upstream"
	"github.com/burdockwood/burdockwood/internal/proxy/wire"
)

const (
	// maxRequestSize is the maximum length of a request in bytes.
	maxRequestSize = 64 << 20
	// flushLimit is the length in bytes above which an answer is sent in parts,
	// instead of being buffered completely until it is confirmed.
	flushLimit = 256 << 10
	// maxKeptAnswer is the capacity in bytes up to which an answer buffer is
	// reused.
	maxKeptAnswer = 64 << 10
	// idleTransactionTimeout is how long a caller may leave a transaction idle.
	idleTransactionTimeout = 60 * time.Second
	// writeTimeout limits a write to a caller that doesn't read.
	writeTimeout = 30 * time.Second
)

var (
	// errSessionEnded ends a session normally.
	errSessionEnded = eris.New("session has ended")

	answerBuffers = sync.Pool{New: func() any { return &answerBuffer{} }}
)

type (
	// Shared is the state that all sessions of a proxy use.
	Shared struct {
		// Snapshot returns the state of the system as control last sent it.
		Snapshot func() *clusterview.Snapshot
		Upstream *upstream.Manager
		// Chooser returns the chooser of the newest declarations.
		Chooser         func() groupselect.Chooser
		LocalDataCentre cluster.DataCentre
		// Deadline limits each request on a held connection, and other requests
		// whose selector declares no deadline.
		Deadline  time.Duration
		Sessions  *Registry
		Positions *session.PositionStore
		Meter     *meter.Meter
		// Go starts a goroutine that the process waits for before it exits.
		Go       pool.Go
		Log      logr.Logger
		draining atomic.Bool
	}

	// Session serves one caller's connection.
	Session struct {
		shared     *Shared
		net        net.Conn
		reader     *wire.Reader
		callerInfo declaration.Caller
		prefs      preferences
		settings   settings
		statements execute.Statements
		// positions are the log positions of the session's writes, and those in
		// the tokens that the caller had set before them.
		positions session.Positions
		request   execute.Request
		plan      execute.Plan
		answer    *answerBuffer
		// status is the transaction status that was last sent to the caller.
		status byte
		// held is the backend connection that the session keeps, or nil.
		held *acquiredConn
		// skipToSync is true if messages are ignored up to the next Sync.
		skipToSync bool
		// hasReadDeadline is true if reads from the caller have a deadline.
		hasReadDeadline bool
		registration    *registryEntry
		idle            atomic.Bool
	}

	answerBuffer struct {
		data []byte
		// flushed is true if a part of the answer has been sent.
		flushed bool
		// flushRefusal is the error because of which flushPartial didn't send
		// its part of the answer, or nil.
		flushRefusal *outcome.Error
	}
)

// New returns the session of an authenticated caller.
func New(shared *Shared, startup *handshake.Startup) *Session {
	s := &Session{
		shared: shared,
		net:    startup.Conn,
		reader: startup.Reader,
		status: wire.StatusIdle,
		callerInfo: declaration.Caller{
			Database:    startup.Database,
			User:        startup.User,
			Application: startup.Application,
			Address:     remoteAddress(startup.Conn),
		},
	}
	return s
}

// Run serves the caller until it disconnects or the proxy shuts down. It
// returns nil if the session ends normally.
func (s *Session) Run(ctx context.Context, startup *handshake.Startup) error {
	defer s.closeConns()
	s.registration = s.shared.Sessions.add(s)
	defer s.shared.Sessions.remove(s.registration)
	if err := s.startUp(startup); err != nil {
		return s.runError(err)
	}
	for {
		if err := s.readRequest(); err != nil {
			return s.runError(err)
		}
		if err := s.serve(ctx); err != nil {
			return s.runError(err)
		}
	}
}

// Drain ends the session if it is idle. Otherwise the session ends by itself
// after the running request or transaction, if SetDraining has been called.
func (s *Session) Drain() {
	if s.idle.Load() {
		// A deadline in the past interrupts the read of the next request.
		_ = s.net.SetReadDeadline(time.Unix(1, 0))
	}
}

// Abort closes the caller's connection.
func (s *Session) Abort() { _ = s.net.Close() }

// SetDraining sets whether sessions end as soon as they have no running request
// or transaction.
func (s *Shared) SetDraining(draining bool) { s.draining.Store(draining) }

// readRequest reads one complete request.
func (s *Session) readRequest() error {
	for {
		message, err := s.readMessage()
		if err != nil {
			return err
		}
		if message.Type() == wire.Terminate {
			return errSessionEnded
		}
		if s.skipToSync && message.Type() != wire.Sync {
			continue
		}
		complete, err := s.request.Add(message, &s.statements)
		if err != nil {
			if err := s.rejectMessage(message, err); err != nil {
				return err
			}
			continue
		}
		if s.request.Size() > maxRequestSize {
			return s.endWith(outcome.Fatal(outcome.StateTooLarge, "request is longer than 64 MB"))
		}
		if complete {
			return nil
		}
	}
}

// readMessage reads one message. It ends the session if the proxy is draining
// and the session is idle.
func (s *Session) readMessage() (wire.Message, error) {
	isIdle := len(s.request.Items) == 0 && s.held == nil && s.status == wire.StatusIdle
	if err := s.setReadDeadline(); err != nil {
		return nil, err
	}
	if isIdle && s.reader.Buffered() == 0 {
		s.idle.Store(true)
		if s.shared.draining.Load() {
			return nil, s.endWith(outcome.Fatal(outcome.StateShutdown, "the proxy shuts down: connect again"))
		}
	}
	message, err := s.reader.Next()
	s.idle.Store(false)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return message, err
	}
	if s.held != nil {
		return nil, s.endWith(outcome.Fatal(outcome.StateIdleTransaction, "the transaction was idle too long and is rolled back"))
	}
	// Drain has interrupted the read of a message that was received in part;
	// the rest is read now.
	s.hasReadDeadline = true
	return s.readMessage()
}

// setReadDeadline sets the idle-in-transaction timeout while a transaction is
// open, and clears it afterwards.
func (s *Session) setReadDeadline() error {
	inTransaction := s.held != nil && !s.held.pinned
	if !inTransaction && !s.hasReadDeadline {
		return nil
	}
	s.hasReadDeadline = inTransaction
	if !inTransaction {
		return s.net.SetReadDeadline(time.Time{})
	}
	return s.net.SetReadDeadline(time.Now().Add(idleTransactionTimeout))
}

// rejectMessage answers a message that can't be part of a request with an
// error. In the extended query protocol, it ignores everything up to the next
// Sync.
func (s *Session) rejectMessage(message wire.Message, err error) error {
	refusal := outcome.New(outcome.StateProtocol, err.Error())
	switch {
	case eris.Is(err, execute.ErrUnknownStatement):
		refusal.State = stateNoStatement
	case eris.Is(err, execute.ErrUnsupported):
		refusal.State = outcome.StateUnsupported
	case eris.Is(err, execute.ErrTooManyStatements):
		refusal.State = outcome.StateTooLarge
	}
	s.request.Reset()
	s.ensureAnswer()
	s.answer.data = refusal.Append(s.answer.data)
	if message.Type() == wire.Query || message.Type() == wire.FunctionCall {
		s.answer.data = outcome.AppendReady(s.answer.data, s.status)
	} else {
		s.skipToSync = true
	}
	return s.flushAnswer()
}

// endWith sends the caller the error that ends its connection.
func (s *Session) endWith(refusal *outcome.Error) error {
	s.ensureAnswer()
	s.answer.data = refusal.Append(s.answer.data)
	if err := s.flushAnswer(); err != nil {
		return err
	}
	return errSessionEnded
}

// ensureAnswer allocates an answer buffer if there is none.
func (s *Session) ensureAnswer() {
	if s.answer == nil {
		s.answer = answerBuffers.Get().(*answerBuffer)
	}
}

// flushAnswer sends the answer to the caller and frees the buffer.
func (s *Session) flushAnswer() error {
	if s.answer == nil {
		return nil
	}
	err := s.writeAnswer()
	if cap(s.answer.data) <= maxKeptAnswer {
		answerBuffers.Put(s.answer)
	}
	s.answer = nil
	return err
}

// writeAnswer writes the buffered answer to the caller and empties the buffer.
func (s *Session) writeAnswer() error {
	if len(s.answer.data) == 0 {
		return nil
	}
	_, err := s.net.Write(s.answer.data)
	s.answer.data = s.answer.data[:0]
	return err
}

// closeConns closes the held backend connection and the caller's connection.
func (s *Session) closeConns() {
	s.dropHeld()
	_ = s.net.Close()
}

// runError converts the error that ended the session to the result of Run. It
// sends an error to the caller after a protocol violation.
func (s *Session) runError(err error) error {
	if eris.Is(err, errSessionEnded) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	if eris.Is(err, wire.ErrMalformed) || eris.Is(err, wire.ErrTooLarge) {
		return s.runError(s.endWith(outcome.Fatal(outcome.StateProtocol, err.Error())))
	}
	return err
}
