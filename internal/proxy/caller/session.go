// Package caller serves one caller's connection from the end of its
// authentication to its end.
//
// # Usage
//
//	session := caller.New(shared, startup)
//	err := session.Run(ctx)
//
// A request is a simple query, or the messages up to a Sync or Flush. Outside
// a transaction each request may use another backend connection; a transaction
// keeps the one it began on. The answer is released to the caller only after
// it is confirmed.
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
	"github.com/burdockwood/burdockwood/internal/proxy/execute"
	"github.com/burdockwood/burdockwood/internal/proxy/groupselect"
	"github.com/burdockwood/burdockwood/internal/proxy/listen"
	"github.com/burdockwood/burdockwood/internal/proxy/meter"
	"github.com/burdockwood/burdockwood/internal/proxy/outcome"
	"github.com/burdockwood/burdockwood/internal/proxy/pool"
	"github.com/burdockwood/burdockwood/internal/proxy/session"
	"github.com/burdockwood/burdockwood/internal/proxy/upstream"
	"github.com/burdockwood/burdockwood/internal/proxy/view"
	"github.com/burdockwood/burdockwood/internal/proxy/wire"
)

const (
	// maxRequest is the longest request in bytes.
	maxRequest = 64 << 20
	// answerBound is how much of an answer in bytes is held until it is
	// confirmed.
	answerBound = 256 << 10
	// keptAnswer is the largest answer buffer in bytes that is used again.
	keptAnswer = 64 << 10
	// idleTransaction is how long a caller may leave a transaction idle.
	idleTransaction = 60 * time.Second
	// writeTimeout bounds one write to a caller that doesn't read.
	writeTimeout = 30 * time.Second
)

var (
	// errEnd ends a session without a fault.
	errEnd = eris.New("session has ended")

	answers = sync.Pool{New: func() any { return &answerBuffer{} }}
)

type (
	// Shared is what all sessions of a proxy use.
	Shared struct {
		Snapshot func() *view.Snapshot
		Upstream *upstream.Registry
		// Chooser returns the chooser of the newest declarations.
		Chooser    func() groupselect.Chooser
		DataCentre cluster.DataCentre
		Deadline   time.Duration
		Sessions   *Registry
		Marks      *session.MarkStore
		Meter      *meter.Meter
		// Go starts a goroutine in the process's group.
		Go       pool.Go
		Log      logr.Logger
		draining atomic.Bool
	}

	// Session is one caller's connection.
	Session struct {
		shared     *Shared
		net        net.Conn
		reader     *wire.Reader
		who        declaration.Caller
		own        preferences
		settings   settings
		statements execute.Statements
		marks      session.Marks
		request    execute.Request
		plan       execute.Plan
		answer     *answerBuffer
		// status is the transaction status that the caller knows.
		status byte
		// held is the backend connection that the session keeps.
		held *held
		// skipping tells that messages are dropped up to the next Sync.
		skipping bool
		// bounded tells that reads from the caller have a deadline.
		bounded bool
		cancel  *cancelEntry
		idle    atomic.Bool
	}

	answerBuffer struct {
		data []byte
		// spilled tells that a part of the present answer has gone out.
		spilled bool
		// refusal is why a spill was refused.
		refusal *outcome.Error
	}
)

// New returns the session of an authenticated caller.
func New(shared *Shared, startup *listen.Startup) *Session {
	s := &Session{
		shared: shared,
		net:    startup.Conn,
		reader: startup.Reader,
		status: wire.StatusIdle,
		who: declaration.Caller{
			Database:    startup.Database,
			User:        startup.User,
			Application: startup.Application,
			Address:     remoteAddress(startup.Conn),
		},
	}
	return s
}

// Run serves the caller until it leaves or the proxy shuts down.
func (s *Session) Run(ctx context.Context, startup *listen.Startup) error {
	defer s.release()
	s.cancel = s.shared.Sessions.add(s)
	defer s.shared.Sessions.remove(s.cancel)
	if err := s.greet(startup); err != nil {
		return s.ended(err)
	}
	for {
		if err := s.read(); err != nil {
			return s.ended(err)
		}
		if err := s.serve(ctx); err != nil {
			return s.ended(err)
		}
	}
}

// Drain ends the session as soon as no request or transaction is under way.
func (s *Session) Drain() {
	if s.idle.Load() {
		// Wakes the read of the next request.
		_ = s.net.SetReadDeadline(time.Unix(1, 0))
	}
}

// Abort cuts the caller off.
func (s *Session) Abort() { _ = s.net.Close() }

// SetDraining makes every session end as soon as nothing is under way there,
// or no longer does.
func (s *Shared) SetDraining(draining bool) { s.draining.Store(draining) }

// read collects one whole request.
func (s *Session) read() error {
	for {
		message, err := s.next()
		if err != nil {
			return err
		}
		if message.Type() == wire.Terminate {
			return errEnd
		}
		if s.skipping && message.Type() != wire.Sync {
			continue
		}
		whole, err := s.request.Add(message, &s.statements)
		if err != nil {
			if err := s.reject(message, err); err != nil {
				return err
			}
			continue
		}
		if s.request.Size() > maxRequest {
			return s.fatal(outcome.Fatal(outcome.StateTooLarge, "request is longer than 64 MB"))
		}
		if whole {
			return nil
		}
	}
}

// next reads one message, and gives way to a shutdown while nothing is under
// way.
func (s *Session) next() (wire.Message, error) {
	resting := len(s.request.Items) == 0 && s.held == nil && s.status == wire.StatusIdle
	if err := s.boundRead(); err != nil {
		return nil, err
	}
	if resting && s.reader.Buffered() == 0 {
		s.idle.Store(true)
		if s.shared.draining.Load() {
			return nil, s.fatal(outcome.Fatal(outcome.StateShutdown, "the proxy shuts down: connect again"))
		}
	}
	message, err := s.reader.Next()
	s.idle.Store(false)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return message, err
	}
	if s.held != nil {
		return nil, s.fatal(outcome.Fatal(outcome.StateIdleTransaction, "the transaction was idle too long and is rolled back"))
	}
	// A shutdown woke the read; what has come in part is read on.
	s.bounded = true
	return s.next()
}

// boundRead bounds the wait for a caller within a transaction.
func (s *Session) boundRead() error {
	inTransaction := s.held != nil && !s.held.pinned
	if !inTransaction && !s.bounded {
		return nil
	}
	s.bounded = inTransaction
	if !inTransaction {
		return s.net.SetReadDeadline(time.Time{})
	}
	return s.net.SetReadDeadline(time.Now().Add(idleTransaction))
}

// reject answers a message that can't be part of a request. In the extended
// protocol everything up to the next Sync is dropped.
func (s *Session) reject(message wire.Message, err error) error {
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
	s.open()
	s.answer.data = refusal.Append(s.answer.data)
	if message.Type() == wire.Query || message.Type() == wire.FunctionCall {
		s.answer.data = outcome.AppendReady(s.answer.data, s.status)
	} else {
		s.skipping = true
	}
	return s.flush()
}

// fatal tells the caller why its connection ends.
func (s *Session) fatal(refusal *outcome.Error) error {
	s.open()
	s.answer.data = refusal.Append(s.answer.data)
	if err := s.flush(); err != nil {
		return err
	}
	return errEnd
}

// open gets an answer buffer.
func (s *Session) open() {
	if s.answer == nil {
		s.answer = answers.Get().(*answerBuffer)
	}
}

// flush sends the answer to the caller and gives the buffer back.
func (s *Session) flush() error {
	if s.answer == nil {
		return nil
	}
	err := s.send()
	if cap(s.answer.data) <= keptAnswer {
		answers.Put(s.answer)
	}
	s.answer = nil
	return err
}

// send writes what the answer holds and empties it.
func (s *Session) send() error {
	if len(s.answer.data) == 0 {
		return nil
	}
	_, err := s.net.Write(s.answer.data)
	s.answer.data = s.answer.data[:0]
	return err
}

// release ends what the session holds at backend servers.
func (s *Session) release() {
	s.drop()
	_ = s.net.Close()
}

// ended turns the reason of an end into an error; nil if it is no fault.
func (s *Session) ended(err error) error {
	if eris.Is(err, errEnd) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	if eris.Is(err, wire.ErrMalformed) || eris.Is(err, wire.ErrTooLarge) {
		return s.ended(s.fatal(outcome.Fatal(outcome.StateProtocol, err.Error())))
	}
	return err
}
