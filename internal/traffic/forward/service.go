// Package broker runs statements for other proxies, on connections to backend
// servers that this proxy owns, and has other proxies run one's own.
//
// # Usage
//
//	service := broker.New(broker.Options{Upstream: m, Logger: logger})
//	mux.Handle(fleetpb.BrokerPathPrefix, fleetpb.NewBrokerServer(service))
//	err := service.Run(ctx)
//
//	conn := broker.Connect(server, owners, client) // a backend.Conn
//
// The proxy that serves the caller keeps the session: values, prepared
// statements, leases, samples and all promises. The owner keeps connections, and
// those of open transactions between their statements.
package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/pause"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
	"github.com/burdockwood/burdockwood/internal/traffic/upstream"
)

const (
	// restLimit is how long a transaction may rest at its owner: above the
	// time after which its own proxy ends it, so that only those of proxies
	// that died are ended here.
	restLimit = 6 * time.Second
	// sweepInterval is the pause between two looks for them.
	sweepInterval = time.Second
)

type (
	// Options are what a service needs.
	Options struct {
		Pools  *upstream.Manager
		Logger logr.Logger
	}

	// Service implements fleetpb.Broker.
	Service struct {
		options Options
		mu      sync.Mutex
		next    uint64
		open    map[uint64]*held
	}

	// held is the connection of an open transaction.
	held struct {
		conn  *upstream.Conn
		since time.Time
	}
)

var _ fleetpb.Broker = (*Service)(nil)

// New returns a service.
func New(options Options) *Service {
	return &Service{options: options, open: map[uint64]*held{}}
}

// Run ends the transactions of proxies that died, until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	for pause.For(ctx, sweepInterval) {
		s.sweep(time.Now())
	}
	return nil
}

func (s *Service) sweep(now time.Time) {
	s.mu.Lock()
	var stale []*held
	for handle, h := range s.open {
		if now.Sub(h.since) > restLimit {
			stale = append(stale, h)
			delete(s.open, handle)
		}
	}
	s.mu.Unlock()
	for _, h := range stale {
		s.options.Logger.Info("transaction of another proxy ended: it rested for too long", "server", h.conn.Pool().Server().Name)
		h.conn.Discard()
	}
}

// Execute runs a statement; see fleetpb.Broker.
func (s *Service) Execute(_ context.Context, r *fleetpb.ExecuteRequest) (*fleetpb.ExecuteResponse, error) {
	deadline := time.Now().Add(milliseconds(r.GetDeadlineMs()))
	values := valuesOf(r.GetValues())
	print := statement.Fingerprint(values)
	if r.GetHandle() != 0 {
		conn := s.take(r.GetHandle())
		if conn == nil {
			return fault(fleetpb.ExecuteResponse_FAULT_NOT_SENT, errNoTransaction), nil
		}
		if err := conn.ApplyValues(values, print, deadline); err != nil {
			conn.Discard()
			return fault(fleetpb.ExecuteResponse_FAULT_NOT_SENT, err), nil
		}
		return s.run(conn, r, deadline), nil
	}
	server, ok := s.options.Pools.Pool(cluster.ServerName(r.GetServer()))
	if !ok || server.IsForwarded() {
		return fault(fleetpb.ExecuteResponse_FAULT_NOT_SENT, errNotOwner), nil
	}
	conn, err := server.Acquire(upstream.AcquireOptions{
		Fingerprint: print, Priority: int(r.GetPriority()),
		SoftDeadline: time.Now().Add(milliseconds(r.GetAimMs())), Deadline: deadline,
	})
	if err != nil {
		return fault(acquireFault(err), err), nil
	}
	if err := conn.ApplyValues(values, print, deadline); err != nil {
		conn.Discard()
		return fault(fleetpb.ExecuteResponse_FAULT_NOT_SENT, err), nil
	}
	deadline = answerBy(r, deadline)
	if response := begin(conn, r, deadline); response != nil {
		return response, nil
	}
	return s.run(conn, r, deadline), nil
}

// answerBy returns when the server must have answered, now that it is about to
// get the statement. What waits for a connection isn't bounded by it: a caller
// that gave up waiting here and came again would have lost its place.
func answerBy(r *fleetpb.ExecuteRequest, deadline time.Time) time.Time {
	if r.GetAnswerMs() == 0 {
		return deadline
	}
	limit := time.Now().Add(milliseconds(r.GetAnswerMs()))
	if limit.After(deadline) {
		return deadline
	}
	return limit
}

var (
	errNoTransaction = eris.New("the transaction isn't open here any more")
	errNotOwner      = eris.New("this proxy doesn't own connections to the server")
)

func acquireFault(err error) fleetpb.ExecuteResponse_Fault {
	if errors.Is(err, upstream.ErrAcquireTimeout) {
		return fleetpb.ExecuteResponse_FAULT_NO_ROOM
	}
	return fleetpb.ExecuteResponse_FAULT_NOT_SENT
}

// begin opens a transaction if the request asks for one. It returns a response
// if that failed.
func begin(conn *upstream.Conn, r *fleetpb.ExecuteRequest, deadline time.Time) *fleetpb.ExecuteResponse {
	if r.GetBegin() == 0 {
		return nil
	}
	request := statement.Request{Statement: statement.Statement{Verb: statement.Verb(r.GetBegin())}}
	request.MinMark = mark(r.GetBeginAfterTerm(), r.GetBeginAfterPosition())
	answer, err := conn.Do(request, deadline)
	if err != nil {
		conn.Discard()
		return fault(fleetpb.ExecuteResponse_FAULT_NOT_SENT, err)
	}
	if answer.Code == statement.OK {
		return nil
	}
	giveBack(conn, answer)
	answer.State = statement.Idle
	return respond(answer)
}

// run sends the statement and gives the connection back, or keeps it for the
// transaction that is open.
func (s *Service) run(conn *upstream.Conn, r *fleetpb.ExecuteRequest, deadline time.Time) *fleetpb.ExecuteResponse {
	request, err := prepared(conn, r, deadline)
	if err != nil {
		conn.Discard()
		return fault(fleetpb.ExecuteResponse_FAULT_NOT_SENT, err)
	}
	answer, err := conn.Do(request, deadline)
	if err != nil {
		conn.Discard()
		return fault(sentFault(err), err)
	}
	if answer.Code == statement.NotPrepared || request.Verb == statement.Rollback && len(r.GetValues()) > 0 {
		// A value that was set in the transaction may be undone with it.
		conn.InvalidateState()
	}
	response := respond(answer)
	if answer.State == statement.Idle {
		conn.Release()
		return response
	}
	response.Handle = s.keep(conn)
	return response
}

func prepared(conn *upstream.Conn, r *fleetpb.ExecuteRequest, deadline time.Time) (statement.Request, error) {
	request := statement.Request{
		Statement: statement.Statement{ID: r.GetId(), Verb: statement.Verb(r.GetVerb()), Text: r.GetText()},
		MinMark:   mark(r.GetAfterTerm(), r.GetAfterPosition()),
	}
	if request.Verb != statement.Execute {
		return request, nil
	}
	name, err := conn.Prepare(r.GetShape(), r.GetWrites(), deadline)
	request.Name = name
	return request, err
}

func sentFault(err error) fleetpb.ExecuteResponse_Fault {
	switch {
	case errors.Is(err, backend.ErrNotSent):
		return fleetpb.ExecuteResponse_FAULT_NOT_SENT
	case errors.Is(err, backend.ErrTimeout):
		return fleetpb.ExecuteResponse_FAULT_SILENT
	default:
		return fleetpb.ExecuteResponse_FAULT_BROKEN
	}
}

// giveBack returns a connection after an answer.
func giveBack(conn *upstream.Conn, answer statement.Answer) {
	if answer.State == statement.Idle {
		conn.Release()
		return
	}
	conn.Discard()
}

// keep remembers the connection of an open transaction.
func (s *Service) keep(conn *upstream.Conn) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	s.open[s.next] = &held{conn: conn, since: time.Now()}
	return s.next
}

// take returns the connection of a transaction, which nobody else has then.
func (s *Service) take(handle uint64) *upstream.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.open[handle]
	if h == nil {
		return nil
	}
	delete(s.open, handle)
	return h.conn
}

func fault(kind fleetpb.ExecuteResponse_Fault, err error) *fleetpb.ExecuteResponse {
	return &fleetpb.ExecuteResponse{Fault: kind, Detail: err.Error()}
}

func respond(a statement.Answer) *fleetpb.ExecuteResponse {
	return &fleetpb.ExecuteResponse{
		Code: uint32(a.Code), Detail: a.Detail, Rows: a.Rows, Signature: a.Signature, State: uint32(a.State),
		MarkTerm: uint64(a.Mark.Term), MarkPosition: uint64(a.Mark.Position),
	}
}

func mark(term, position uint64) cluster.Mark {
	return cluster.Mark{Term: cluster.Term(term), Position: cluster.Position(position)}
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func valuesOf(list []*fleetpb.SessionValue) map[string]string {
	values := make(map[string]string, len(list))
	for _, v := range list {
		values[v.GetName()] = v.GetValue()
	}
	return values
}
