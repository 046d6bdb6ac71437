// Package forward forwards statements between proxies. If a server accepts too few
// connections for all proxies, some proxies own its connections (see package
// ownership). Service runs the statements of other proxies on the connections that
// this proxy owns. OwnerClient sends this proxy's statements to the owners.
//
// # Usage
//
//	service := forward.New(forward.Options{Pools: m, LeaderClock: leaderClock, Logger: logger})
//	err := transport.Serve(ctx, listener, service.Handler())
//	err := service.Run(ctx)
//
//	client := forward.NewOwnerClient(httpClient, leaderClock, answers, logger)
//	conn := client.Connect(server, owners) // a backend.Conn
//
// The proxy that serves the caller keeps the session's settings and prepared
// statements, and sends the owner what each statement needs of them. It also holds
// the lease to use primaries, and it guarantees the consistency of reads, for which
// it samples the log position of the primary (see package freshness). The owner
// holds only connections, including those of open transactions between two
// statements.
package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/fleet/leaderclock"
	"github.com/burdockwood/burdockwood/internal/model/boottime"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/model/pause"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/budget"
	"github.com/burdockwood/burdockwood/internal/traffic/keyright"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
	"github.com/burdockwood/burdockwood/internal/traffic/upstream"
)

const (
	// maxTransactionIdle is how long a transaction may be idle at the owner, unless
	// callers' transactions may be idle for longer than half of that.
	maxTransactionIdle = 6 * time.Second
	// sweepInterval is the interval of the checks for abandoned transactions.
	sweepInterval = time.Second
)

type (
	// Options configure a service.
	Options struct {
		Pools *upstream.Manager
		// Statements and Answers are the memory that long statements of other proxies,
		// and the answers to them, share; nil: it has no limit.
		Statements, Answers *budget.Budget
		// LeaderClock is the clock of the deadlines in requests; nil: they count
		// from the request's arrival.
		LeaderClock *leaderclock.Clock
		// TransactionIdleTimeout returns how long a caller's transaction may be
		// idle, by the configuration in force; zero: it says nothing of that. Nil:
		// always zero.
		TransactionIdleTimeout func() time.Duration
		Logger                 logr.Logger
	}

	// Service implements fleetpb.Broker. It is safe for concurrent use.
	Service struct {
		options Options
		mu      sync.Mutex
		// transactions are the open transactions by handle, except those that
		// are running a statement. A handle identifies the transaction in later
		// requests; zero: none.
		transactions map[uint64]*openTransaction
		// executing is the number of calls of Execute.
		executing atomic.Int64
	}

	// openTransaction is an open transaction between two statements.
	openTransaction struct {
		conn      *upstream.Conn
		idleSince time.Time
	}
)

var _ fleetpb.Broker = (*Service)(nil)

// New returns a service.
func New(options Options) *Service {
	if options.LeaderClock == nil {
		options.LeaderClock = &leaderclock.Clock{}
	}
	if options.TransactionIdleTimeout == nil {
		options.TransactionIdleTimeout = func() time.Duration { return 0 }
	}
	return &Service{options: options, transactions: map[uint64]*openTransaction{}}
}

// Run closes abandoned transactions until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	for pause.For(ctx, sweepInterval) {
		s.closeAbandoned(time.Now())
	}
	return nil
}

// closeAbandoned closes the connections of transactions that have been idle for so long
// that the proxy which serves the caller must have crashed; the server rolls them back.
func (s *Service) closeAbandoned(now time.Time) {
	limit := max(maxTransactionIdle, 2*s.options.TransactionIdleTimeout())
	s.mu.Lock()
	var stale []*openTransaction
	for handle, tx := range s.transactions {
		if now.Sub(tx.idleSince) > limit {
			stale = append(stale, tx)
			delete(s.transactions, handle)
		}
	}
	s.mu.Unlock()
	for _, tx := range stale {
		s.options.Logger.Info("transaction of another proxy ended: it was idle for too long", "server", tx.conn.Pool().Server().Name)
		tx.conn.Discard()
	}
}

// Active returns the number of statements of other proxies that are queued or running, and
// of their open transactions.
func (s *Service) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.transactions) + int(s.executing.Load())
}

// Execute runs a statement of another proxy and returns the whole answer; see
// fleetpb.Broker. Failures are reported as faults of the response.
func (s *Service) Execute(ctx context.Context, r *fleetpb.ExecuteRequest) (*fleetpb.ExecuteResponse, error) {
	whole := &wholeAnswer{answerLimits: answerLimits{memory: s.options.Answers.NewHold()}}
	defer whole.memory.Release()
	response := s.run(ctx, r, time.Now(), whole)
	if len(whole.rows) > 0 && isSuccess(response) {
		response.Rows = append(whole.rows, response.Rows...)
	}
	return response, nil
}

// isSuccess reports whether a response holds the end of a successful answer.
func isSuccess(response *fleetpb.ExecuteResponse) bool {
	return response.GetFault() == fleetpb.ExecuteResponse_FAULT_NONE && statement.ParseCode(response.GetCode()) == statement.OK
}

// run runs a statement that arrived at the given time.
func (s *Service) run(ctx context.Context, r *fleetpb.ExecuteRequest, arrived time.Time, sink answerSink) *fleetpb.ExecuteResponse {
	s.executing.Add(1)
	defer s.executing.Add(-1)
	response := s.execute(ctx, r, sink)
	response.ElapsedUs = uint32(time.Since(arrived).Microseconds())
	response.UniqueHandles = true
	return response
}

// execute is run without the measurement of its time.
func (s *Service) execute(ctx context.Context, r *fleetpb.ExecuteRequest, sink answerSink) *fleetpb.ExecuteResponse {
	deadline := s.deadline(r)
	sink.setDeadline(deadline)
	if !time.Now().Before(deadline) {
		return faultResponse(fleetpb.ExecuteResponse_FAULT_NOT_SENT, errTooLate)
	}
	if !isForwardable(r) {
		return faultResponse(fleetpb.ExecuteResponse_FAULT_NOT_SENT, eris.Wrapf(errUnknownVerb, "verb %d, begin %d", r.GetVerb(), r.GetBegin()))
	}
	settings := settingsFromProto(r.GetValues())
	fingerprint := statement.Fingerprint(settings)
	if r.GetHandle() != 0 {
		conn := s.takeTransaction(r.GetHandle())
		if conn == nil {
			s.options.Logger.Info("forwarded statement refused", "request-id", r.GetId(), "server", r.GetServer(),
				"verb", statement.ParseVerb(r.GetVerb()).String(), "reason", errNoTransaction.Error())
			return faultResponse(fleetpb.ExecuteResponse_FAULT_NOT_SENT, errNoTransaction)
		}
		if err := conn.ApplySettings(settings, fingerprint, deadline); err != nil {
			conn.Discard()
			return faultResponse(fleetpb.ExecuteResponse_FAULT_NOT_SENT, err)
		}
		return s.runStatement(ctx, conn, r, deadline, sink)
	}
	pool, ok := s.options.Pools.Pool(cluster.ServerName(r.GetServer()))
	if !ok || pool.ForwardsStatements() {
		response := faultResponse(fleetpb.ExecuteResponse_FAULT_NOT_SENT, errNotOwner)
		response.NotOwner = true
		return response
	}
	if err := s.options.Pools.Permit(keyed(r, statement.Request{})); err != nil {
		return s.notPermitted(r, err)
	}
	conn, err := pool.Acquire(upstream.AcquireOptions{
		Customer: customer.Name(r.GetCustomer()), Forwarded: true,
		Fingerprint: fingerprint, Priority: int(r.GetPriority()),
		SoftDeadline: time.Now().Add(milliseconds(r.GetAimMs())), Deadline: deadline, CallerContext: ctx,
		Digest:  statement.Statement{Verb: statement.ParseVerb(r.GetVerb()), Query: r.GetShape(), Text: r.GetText()}.Digest(),
		HoldFor: milliseconds(r.GetHoldMs()), Kind: r.GetKind(),
	})
	if err != nil {
		return acquireFault(err)
	}
	if err := conn.ApplySettings(settings, fingerprint, deadline); err != nil {
		conn.Discard()
		return faultResponse(fleetpb.ExecuteResponse_FAULT_NOT_SENT, err)
	}
	deadline = responseDeadline(r, deadline)
	if response := beginTransaction(conn, r, deadline); response != nil {
		return response
	}
	return s.runStatement(ctx, conn, r, deadline, sink)
}

// deadline returns the deadline of a request that has just arrived. A request that was
// held up on its way has less time left than it had when it was sent, or none.
func (s *Service) deadline(r *fleetpb.ExecuteRequest) time.Time {
	left := milliseconds(r.GetDeadlineMs())
	due := leaderclock.Time{Leader: r.GetClockLeader(), Clock: time.Duration(r.GetDeadlineClockUs()) * time.Microsecond}
	if until, known := s.options.LeaderClock.Until(due, boottime.Now()); known {
		left = min(left, until)
	}
	return time.Now().Add(left)
}

// responseDeadline returns the deadline for the server's answer to a statement that
// is about to be sent. The request's answer_ms counts from now. If it limited the
// wait for a connection too, a statement could time out in the queue, and would lose
// its place there when it is sent again.
func responseDeadline(r *fleetpb.ExecuteRequest, deadline time.Time) time.Time {
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
	// errNoTransaction is returned to another proxy whose request has a handle that
	// identifies no open transaction of this proxy ("here").
	errNoTransaction = eris.New("the transaction isn't open here any more")
	errNotOwner      = eris.New("this proxy doesn't own connections to the server")
	errTooLate       = eris.New("the request arrived after its deadline")
	errUnknownVerb   = eris.New("this proxy doesn't run such statements for others")
)

// isForwardable reports whether a request has a verb that proxies forward, and begins a
// transaction by a verb that does so, if by any.
func isForwardable(r *fleetpb.ExecuteRequest) bool {
	switch statement.ParseVerb(r.GetVerb()) {
	case statement.Read, statement.Write, statement.Execute, statement.Commit, statement.Rollback:
	default:
		return false
	}
	begin := statement.ParseVerb(r.GetBegin())
	return r.GetBegin() == 0 || begin == statement.Begin || begin == statement.BeginRead
}

// acquireFault returns the response for a failed acquisition of a connection.
func acquireFault(err error) *fleetpb.ExecuteResponse {
	var refused *upstream.RefusedError
	if errors.As(err, &refused) {
		return noRoom(err, refused.RetryAfter)
	}
	if errors.Is(err, upstream.ErrNoPlace) {
		response := faultResponse(fleetpb.ExecuteResponse_FAULT_NOT_SENT, err)
		response.NotOwner = true
		return response
	}
	if errors.Is(err, upstream.ErrAcquireTimeout) {
		return faultResponse(fleetpb.ExecuteResponse_FAULT_NO_ROOM, err)
	}
	return faultResponse(fleetpb.ExecuteResponse_FAULT_NOT_SENT, err)
}

// noRoom returns the response for a statement that there is no room for.
func noRoom(err error, retryAfter time.Duration) *fleetpb.ExecuteResponse {
	response := faultResponse(fleetpb.ExecuteResponse_FAULT_NO_ROOM, err)
	response.RetryAfterMs = uint32(max(1, retryAfter.Milliseconds()))
	return response
}

// beginTransaction begins a transaction if the request asks for one. It returns nil on
// success. Otherwise it releases or discards the connection and returns the response.
func beginTransaction(conn *upstream.Conn, r *fleetpb.ExecuteRequest, deadline time.Time) *fleetpb.ExecuteResponse {
	if r.GetBegin() == 0 {
		return nil
	}
	request := statement.Request{Statement: statement.Statement{Verb: statement.ParseVerb(r.GetBegin())}}
	request.MinPosition = newPosition(r.GetBeginAfterTerm(), r.GetBeginAfterPosition())
	answer, err := conn.Do(request, deadline)
	if err != nil {
		conn.Discard()
		return faultResponse(fleetpb.ExecuteResponse_FAULT_NOT_SENT, err)
	}
	if answer.Code == statement.OK {
		return nil
	}
	releaseOrDiscard(conn, answer)
	answer.State = statement.Idle
	return newResponse(answer)
}

// runStatement runs the statement. Afterwards it releases the connection, or stores
// it under the response's handle if a transaction is open on it. If ctx has ended, the
// other proxy has given up or this one stops, so that nobody can use the handle, and the
// transaction is rolled back.
func (s *Service) runStatement(ctx context.Context, conn *upstream.Conn, r *fleetpb.ExecuteRequest, deadline time.Time, sink statement.RowSink) *fleetpb.ExecuteResponse {
	request, err := prepareRequest(conn, r, deadline)
	if err != nil {
		conn.Discard()
		return faultResponse(fleetpb.ExecuteResponse_FAULT_NOT_SENT, err)
	}
	request.Rows = sink
	answer, err := conn.Do(request, deadline)
	if _, refused := errors.AsType[*upstream.NotPermittedError](err); refused {
		if r.GetHandle() == 0 && r.GetBegin() == 0 {
			conn.Release()
		} else {
			conn.Discard()
		}
		return s.notPermitted(r, err)
	}
	if err != nil {
		conn.Discard()
		return faultResponse(executeFault(err), err)
	}
	if answer.Code == statement.NotPrepared || request.Verb == statement.Rollback && len(r.GetValues()) > 0 {
		// The server lacks a prepared statement that the connection has
		// recorded, or a rollback may have undone a setting that was set in
		// the transaction.
		conn.InvalidateSessionState()
	}
	response := newResponse(answer)
	if answer.State == statement.Idle {
		conn.Release()
		return response
	}
	if err := ctx.Err(); err != nil {
		conn.Discard()
		return faultResponse(fleetpb.ExecuteResponse_FAULT_BROKEN, err)
	}
	response.Handle = s.keepTransaction(conn)
	return response
}

// prepareRequest returns the request for the server. For Execute, it prepares the
// query on the connection if needed.
func prepareRequest(conn *upstream.Conn, r *fleetpb.ExecuteRequest, deadline time.Time) (statement.Request, error) {
	request := keyed(r, statement.Request{
		Statement:   statement.Statement{ID: r.GetId(), Verb: statement.ParseVerb(r.GetVerb()), Text: r.GetText()},
		MinPosition: newPosition(r.GetAfterTerm(), r.GetAfterPosition()),
	})
	if request.Verb != statement.Execute {
		return request, nil
	}
	name, err := conn.Prepare(r.GetShape(), r.GetWrites(), deadline)
	request.Name = name
	return request, err
}

// executeFault returns the fault for a failed request to the server.
func executeFault(err error) fleetpb.ExecuteResponse_Fault {
	switch {
	case errors.Is(err, backend.ErrNotSent):
		return fleetpb.ExecuteResponse_FAULT_NOT_SENT
	case errors.Is(err, backend.ErrTimeout):
		return fleetpb.ExecuteResponse_FAULT_SILENT
	default:
		return fleetpb.ExecuteResponse_FAULT_BROKEN
	}
}

// releaseOrDiscard releases a connection, or discards it if a transaction is open on
// it.
func releaseOrDiscard(conn *upstream.Conn, answer statement.Answer) {
	if answer.State == statement.Idle {
		conn.Release()
		return
	}
	conn.Discard()
}

// keepTransaction stores the connection of an open transaction and returns its
// handle. Handles are random: another proxy may still use one that an earlier process at
// this address gave it, and must not reach a transaction of this process with it.
func (s *Service) keepTransaction(conn *upstream.Conn) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	handle := rand.Uint64()
	for handle == 0 || s.transactions[handle] != nil {
		handle = rand.Uint64()
	}
	s.transactions[handle] = &openTransaction{conn: conn, idleSince: time.Now()}
	return handle
}

// takeTransaction removes an open transaction and returns its connection, or nil if
// no transaction has the handle.
func (s *Service) takeTransaction(handle uint64) *upstream.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	tx := s.transactions[handle]
	if tx == nil {
		return nil
	}
	delete(s.transactions, handle)
	return tx.conn
}

func faultResponse(kind fleetpb.ExecuteResponse_Fault, err error) *fleetpb.ExecuteResponse {
	return &fleetpb.ExecuteResponse{Fault: kind, Detail: err.Error()}
}

// newResponse copies the answer into a response. Its Signature is the text with which
// the server signs an answer; the proxies pass it on unverified.
func newResponse(a statement.Answer) *fleetpb.ExecuteResponse {
	return &fleetpb.ExecuteResponse{
		Code: uint32(a.Code), Detail: a.Detail, Rows: a.Rows, Signature: a.Signature, State: uint32(a.State),
		MarkTerm: uint64(a.Position.Term), MarkPosition: uint64(a.Position.Position),
	}
}

func newPosition(term, position uint64) cluster.LogPosition {
	return cluster.LogPosition{Term: cluster.Term(term), Position: cluster.Position(position)}
}

// keyed returns the request with the customer, the key and the version of r.
func keyed(r *fleetpb.ExecuteRequest, request statement.Request) statement.Request {
	request.Customer, request.Key, request.ConfigVersion = customer.Name(r.GetCustomer()), keyFromProto(r.GetKey()), r.GetConfigVersion()
	return request
}

// notPermitted returns the response for a statement that wasn't sent because of its key.
// Unless the key is unknown here, another owner may be able to send it.
func (s *Service) notPermitted(r *fleetpb.ExecuteRequest, err error) *fleetpb.ExecuteResponse {
	s.options.Logger.Info("forwarded statement refused", "request-id", r.GetId(), "customer", r.GetCustomer(),
		"config-version", r.GetConfigVersion(), "reason", err.Error())
	if errors.Is(err, keyright.ErrUnknownKey) {
		return faultResponse(fleetpb.ExecuteResponse_FAULT_KEY, err)
	}
	response := faultResponse(fleetpb.ExecuteResponse_FAULT_NOT_SENT, err)
	response.NotOwner = r.GetHandle() == 0
	return response
}

// keyFromProto returns the digest of a key, or the zero digest, which no customer holds, if
// it has another length.
func keyFromProto(key []byte) customer.Digest {
	var digest customer.Digest
	if len(key) == len(digest) {
		copy(digest[:], key)
	}
	return digest
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func settingsFromProto(list []*fleetpb.SessionValue) map[string]string {
	settings := make(map[string]string, len(list))
	for _, v := range list {
		settings[v.GetName()] = v.GetValue()
	}
	return settings
}
