package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/fleet/leaderclock"
	"github.com/burdockwood/burdockwood/internal/model/boottime"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/budget"
	"github.com/burdockwood/burdockwood/internal/traffic/ownership"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

const (
	// ownerBackoff is how long an unreachable owner is avoided: about the time
	// after which the control plane no longer lists a crashed proxy.
	ownerBackoff = 1500 * time.Millisecond
	// notOwnerBackoff is how long an owner is avoided that doesn't own connections
	// to the server: until all proxies know the same peers.
	notOwnerBackoff = 500 * time.Millisecond
	// transitWeight is the weight of a new measurement in the moving average of the
	// time that calls spend on the network.
	transitWeight = 0.1
	// maxOwnerTries bounds the owners that a statement is sent to one after the
	// other while it certainly hasn't reached a server.
	maxOwnerTries = 3
	// responseMargin is subtracted from the time that an owner gets, so that its
	// answer arrives before the deadline. It covers round trips between data
	// centres on a busy VM.
	responseMargin = 30 * time.Millisecond
	// callGrace is how long a call waits for the owner's answer beyond the
	// deadline.
	callGrace = 200 * time.Millisecond
	// recentResponse is the time since an owner's last response up to which a
	// failed call is blamed on the server or the load rather than on the owner.
	recentResponse = 500 * time.Millisecond
	// rollbackTimeout bounds the call that rolls back a transaction when its
	// connection is closed. If the call fails, the owner closes the transaction
	// after maxTransactionIdle.
	rollbackTimeout = 500 * time.Millisecond
)

type (
	// OwnerClient forwards statements to the proxies that own connections. It is
	// safe for concurrent use.
	OwnerClient struct {
		httpClient *http.Client
		logger     logr.Logger
		// clock is the leader's clock, on which deadlines are sent.
		clock *leaderclock.Clock
		mu    sync.Mutex
		// avoidUntil holds, for each owner that couldn't be reached or didn't
		// answer, the end of the time in which other owners are preferred.
		avoidUntil map[cluster.ProxyName]time.Time
		// lastResponse is when each owner last answered.
		lastResponse map[cluster.ProxyName]time.Time
		// uniqueHandles holds, for each owner, whether its last response said that
		// no other process gives the same handles.
		uniqueHandles map[cluster.ProxyName]bool
		// wholeAnswersUntil holds, for each owner that doesn't know statementPath, the
		// end of the time in which it is called without it.
		wholeAnswersUntil map[cluster.ProxyName]time.Time
		// answers is the memory that long rows share; nil: it has no limit.
		answers *budget.Budget
		// transit is the moving average of the time that a call and its response
		// are on the network.
		transit time.Duration
	}

	// connection forwards statements for a server to its owners. It implements
	// backend.Conn.
	connection struct {
		client *OwnerClient
		server cluster.ServerName
		owners []ownership.Peer
		// assignment holds which owners run a customer's statements; nil: any.
		assignment *ownership.Assignment
		// owner is the owner that was called last. It holds the transaction
		// that handle identifies; a zero handle means that it holds none.
		owner  ownership.Peer
		handle uint64
		// transactionClient calls the owner in a transaction whose handle a later
		// process of the owner may give again, so that the calls reach no other
		// process; nil: the client of all calls is used.
		transactionClient *http.Client
		// deferredBegin begins a transaction. It is sent with the next
		// statement.
		deferredBegin *statement.Request
		// settings and prepared are the session settings and prepared
		// statements that Do has stored, by name.
		settings map[string]string
		prepared map[string]statement.Statement
	}
)

var _ backend.Conn = (*connection)(nil)

// NewOwnerClient returns a client that calls owners through an HTTP client, with
// deadlines on the leader's clock. The long rows of answers share a budget; nil: it has no
// limit.
func NewOwnerClient(client *http.Client, clock *leaderclock.Clock, answers *budget.Budget, logger logr.Logger) *OwnerClient {
	return &OwnerClient{
		httpClient: client, clock: clock, answers: answers, logger: logger,
		avoidUntil: map[cluster.ProxyName]time.Time{}, lastResponse: map[cluster.ProxyName]time.Time{},
		uniqueHandles: map[cluster.ProxyName]bool{}, wholeAnswersUntil: map[cluster.ProxyName]time.Time{},
	}
}

// Connect returns a connection that forwards statements for a server to its
// owners. It makes no call until a statement has to be sent.
func (c *OwnerClient) Connect(server cluster.ServerName, owners []ownership.Peer) backend.Conn {
	return c.ConnectAssigned(server, owners, nil)
}

// ConnectAssigned is Connect where the statements of each customer go to the owners of
// an assignment; nil: to any owner.
func (c *OwnerClient) ConnectAssigned(server cluster.ServerName, owners []ownership.Peer, assignment *ownership.Assignment) backend.Conn {
	return &connection{
		client: c, server: server, owners: owners, assignment: assignment,
		settings: map[string]string{}, prepared: map[string]statement.Statement{},
	}
}

// pickOwner returns the owner for a customer's statement with the given digest; owners in
// their back-off come last.
func (c *connection) pickOwner(name customer.Name, digest uint64, now time.Time) ownership.Peer {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	usable := func(peer ownership.Peer) bool { return now.After(c.client.avoidUntil[peer.Name]) }
	if name == "" || c.assignment == nil {
		return ownership.ChooseOwner(c.owners, digest, usable)
	}
	return c.assignment.Choose(name, digest, usable)
}

// recordResponse records an owner's response. took is the time of the call.
func (c *OwnerClient) recordResponse(name cluster.ProxyName, response *fleetpb.ExecuteResponse, took time.Duration, now time.Time) {
	// Zero: the owner doesn't report it.
	elapsed := time.Duration(response.GetElapsedUs()) * time.Microsecond
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastResponse[name], c.uniqueHandles[name] = now, response.GetUniqueHandles()
	if elapsed > 0 && elapsed <= took {
		c.transit += time.Duration(transitWeight * float64(took-elapsed-c.transit))
	}
}

// recordHeard records that an owner has begun to respond.
func (c *OwnerClient) recordHeard(name cluster.ProxyName, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastResponse[name] = now
}

// recordWholeAnswers records that an owner passes on whole answers only.
func (c *OwnerClient) recordWholeAnswers(name cluster.ProxyName, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wholeAnswersUntil[name] = now.Add(wholeAnswersFor)
}

// passesWholeAnswers reports whether an owner passes on whole answers only, as far as is
// known.
func (c *OwnerClient) passesWholeAnswers(name cluster.ProxyName, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.wholeAnswersUntil[name])
}

// givesUniqueHandles reports whether an owner's handles are known to be unique.
func (c *OwnerClient) givesUniqueHandles(name cluster.ProxyName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.uniqueHandles[name]
}

// softDeadlineLeft returns the time that an owner has for a statement, so that its
// response arrives by the soft deadline. The whole transit is subtracted: the way there
// is still to come as well.
func (c *OwnerClient) softDeadlineLeft(softDeadline, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, softDeadline.Sub(now)-c.transit)
}

// recordFailure records a failed call, and reports whether the owner is avoided from
// now on. unreachable is true if no connection to the owner could be opened.
func (c *OwnerClient) recordFailure(name cluster.ProxyName, unreachable bool, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !unreachable && now.Sub(c.lastResponse[name]) < recentResponse {
		return false
	}
	c.avoidUntil[name] = now.Add(ownerBackoff)
	return true
}

// avoid makes other owners preferred for a time.
func (c *OwnerClient) avoid(name cluster.ProxyName, backoff time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[name] = now.Add(backoff)
}

// Do stores session settings, prepared statements and the begin of a transaction here,
// and sends them to the owner together with the next statement that reads, writes
// or ends a transaction. See backend.Conn.
func (c *connection) Do(request statement.Request, deadline time.Time) (statement.Answer, error) {
	switch request.Verb {
	case statement.Reset:
		clear(c.settings)
		clear(c.prepared)
		return statement.Answer{}, nil
	case statement.Set:
		c.settings[request.Name] = request.Value
		return statement.Answer{}, nil
	case statement.Prepare:
		c.prepared[request.Name] = request.Statement
		return statement.Answer{}, nil
	case statement.Begin, statement.BeginRead:
		c.deferredBegin = &request
		return statement.Answer{State: statement.InTransaction}, nil
	case statement.Rollback:
		if c.handle == 0 {
			c.deferredBegin = nil
			return statement.Answer{}, nil
		}
	}
	return c.send(request, deadline)
}

// send calls the owner with a request. Within a transaction, the owner is the one
// that holds it. Otherwise, if the owner can't be reached or isn't an owner any more,
// the statement hasn't reached a server, and the next owner is called at once: during
// a rolling restart of hundreds of proxies, some owner is always away.
func (c *connection) send(request statement.Request, deadline time.Time) (statement.Answer, error) {
	for try := 1; ; try++ {
		answer, another, err := c.sendOnce(request, deadline)
		if !another || try >= min(maxOwnerTries, len(c.owners)) {
			return answer, err
		}
	}
}

// sendOnce calls one owner. another is true if another owner may be called.
func (c *connection) sendOnce(request statement.Request, deadline time.Time) (answer statement.Answer, another bool, err error) {
	now := time.Now()
	remaining := deadline.Sub(now)
	if remaining <= 0 {
		return statement.Answer{}, false, eris.Wrap(backend.ErrNotSent, "no time left")
	}
	inTransaction := c.handle != 0
	if !inTransaction {
		c.owner = c.pickOwner(request.Customer, request.Digest(), now)
		if c.deferredBegin != nil && !c.client.givesUniqueHandles(c.owner.Name) {
			c.transactionClient = transport.OverOneConnection(c.client.httpClient)
		}
	}
	defer c.endTransactionClient()
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(callGrace))
	defer cancel()
	if request.CallerContext != nil {
		defer context.AfterFunc(request.CallerContext, cancel)()
	}
	response, err := c.call(ctx, request.Rows, c.newRequest(request, remaining))
	if err != nil && request.CallerContext != nil && request.CallerContext.Err() != nil {
		c.handle = 0
		return statement.Answer{}, false, backend.ErrCallerClosed
	}
	if err != nil {
		err = c.callError(err)
		return statement.Answer{}, !inTransaction && errors.Is(err, backend.ErrNotSent), err
	}
	arrived := time.Now()
	c.client.recordResponse(c.owner.Name, response, arrived.Sub(now), arrived)
	if response.GetNotOwner() {
		c.client.avoid(c.owner.Name, notOwnerBackoff, time.Now())
		answer, err = c.faultResult(response)
		return answer, !inTransaction, err
	}
	answer, err = c.takeResponse(response)
	return answer, false, err
}

// isAnswered reports whether a call failed though the owner responded: it didn't send the
// statement, or the answer was cut.
func isAnswered(err error) bool {
	return errors.Is(err, backend.ErrNotSent) || errors.Is(err, backend.ErrConnectionLost) || errors.Is(err, backend.ErrTimeout)
}

// takeResponse takes over the handle in an owner's response, and returns the answer or
// error that the response holds.
func (c *connection) takeResponse(response *fleetpb.ExecuteResponse) (statement.Answer, error) {
	c.handle, c.deferredBegin = response.GetHandle(), nil
	if response.GetFault() != fleetpb.ExecuteResponse_FAULT_NONE {
		c.handle = 0
		return c.faultResult(response)
	}
	state, known := statement.ParseTxState(response.GetState())
	if !known {
		return statement.Answer{}, eris.Wrapf(backend.ErrConnectionLost, "the owner of the connection answered with the unknown state %d", response.GetState())
	}
	if c.handle == 0 && state != statement.Idle {
		// Without a handle, the next statement would run outside the transaction.
		return statement.Answer{}, eris.Wrap(backend.ErrConnectionLost, "the owner of the connection ended the transaction")
	}
	if c.handle != 0 && !response.GetUniqueHandles() && c.transactionClient == nil {
		err := eris.Wrap(backend.ErrConnectionLost, "the owner's handles aren't unique any more: an older build runs there")
		return statement.Answer{}, errors.Join(err, c.Close())
	}
	return statement.Answer{
		Code: statement.ParseCode(response.GetCode()), Detail: response.GetDetail(), Rows: response.GetRows(),
		Signature: response.GetSignature(), State: state,
		Position: newPosition(response.GetMarkTerm(), response.GetMarkPosition()),
	}, nil
}

// broker returns the client for calls to the owner.
func (c *connection) broker() fleetpb.Broker {
	return fleetpb.NewBrokerProtobufClient(transport.URL(c.owner.Address), c.httpClient())
}

func (c *connection) httpClient() *http.Client {
	if c.transactionClient != nil {
		return c.transactionClient
	}
	return c.client.httpClient
}

// closeBody ends the reading of a response. What is left of it is lost, and with it the
// connection.
func (c *connection) closeBody(body io.Closer) {
	if err := body.Close(); err != nil {
		c.client.logger.V(1).Info("closing a response of an owner failed", "proxy", c.owner.Name, "error", err.Error())
	}
}

// endTransactionClient closes the connection of a transaction that has ended.
func (c *connection) endTransactionClient() {
	if c.transactionClient != nil && c.handle == 0 {
		c.transactionClient.CloseIdleConnections()
		c.transactionClient = nil
	}
}

// newRequest returns the RPC request. remaining is the time until the deadline. In the
// RPC, the aim is the soft deadline, answer_ms the response timeout, a shape the query of
// a prepared statement, and values are session settings.
func (c *connection) newRequest(request statement.Request, remaining time.Duration) *fleetpb.ExecuteRequest {
	r := &fleetpb.ExecuteRequest{
		Server: string(c.server), Handle: c.handle, Id: request.ID, Verb: uint32(request.Verb), Text: request.Text,
		AfterTerm: uint64(request.MinPosition.Term), AfterPosition: uint64(request.MinPosition.Position),
		DeadlineMs: uint32(max(remaining-responseMargin, remaining/2).Milliseconds()), AimMs: uint32(c.client.softDeadlineLeft(request.SoftDeadline, time.Now()).Milliseconds()),
		HoldMs: uint32(request.HoldFor.Milliseconds()), Kind: request.Kind,
		Priority: uint32(request.Priority), AnswerMs: uint32(request.ResponseTimeout.Milliseconds()),
	}
	now := boottime.Now()
	if due, known := c.client.clock.At(now.Add(remaining), now); known {
		r.ClockLeader, r.DeadlineClockUs = due.Leader, uint64(due.Clock.Microseconds())
	}
	if request.Customer != "" {
		r.Customer, r.Key, r.ConfigVersion = string(request.Customer), request.Key[:], request.ConfigVersion
	}
	if c.deferredBegin != nil {
		r.Begin = uint32(c.deferredBegin.Verb)
		r.BeginAfterTerm, r.BeginAfterPosition = uint64(c.deferredBegin.MinPosition.Term), uint64(c.deferredBegin.MinPosition.Position)
	}
	if request.Verb == statement.Execute {
		p := c.prepared[request.Name]
		r.Shape, r.Writes = p.Query, p.Writes
	}
	for name, value := range c.settings {
		r.Values = append(r.Values, &fleetpb.SessionValue{Name: name, Value: value})
	}
	return r
}

// callError returns the error for a statement whose call failed. If no
// connection to the owner could be opened, the statement wasn't sent.
func (c *connection) callError(err error) error {
	if isAnswered(err) {
		c.handle = 0
		return err
	}
	var operation *net.OpError
	unreachable := errors.As(err, &operation) && operation.Op == "dial"
	if c.client.recordFailure(c.owner.Name, unreachable, time.Now()) {
		c.client.logger.Info("forwarding to the owner of a connection failed; the owner is avoided", "proxy", c.owner.Name, "server", c.server, "error", err.Error())
	}
	inTransaction := c.handle != 0
	c.handle = 0
	switch {
	case unreachable && !inTransaction:
		return eris.Wrap(backend.ErrNotSent, err.Error())
	case errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded):
		return eris.Wrap(backend.ErrTimeout, err.Error())
	default:
		return eris.Wrap(backend.ErrConnectionLost, err.Error())
	}
}

// faultResult converts a fault that the owner reported to an answer or an error. A
// statement for which no connection became free gets an answer, because this
// connection can still be used.
func (c *connection) faultResult(r *fleetpb.ExecuteResponse) (statement.Answer, error) {
	switch r.GetFault() {
	case fleetpb.ExecuteResponse_FAULT_NO_ROOM:
		return statement.Answer{Code: statement.Busy, Detail: r.GetDetail(), RetryAfter: milliseconds(r.GetRetryAfterMs())}, nil
	case fleetpb.ExecuteResponse_FAULT_KEY:
		return statement.Answer{Code: statement.UnknownKey, Detail: r.GetDetail()}, nil
	case fleetpb.ExecuteResponse_FAULT_NOT_SENT:
		return statement.Answer{}, eris.Wrap(backend.ErrNotSent, r.GetDetail())
	case fleetpb.ExecuteResponse_FAULT_SILENT:
		return statement.Answer{}, eris.Wrap(backend.ErrTimeout, r.GetDetail())
	default:
		return statement.Answer{}, eris.Wrap(backend.ErrConnectionLost, r.GetDetail())
	}
}

// InitialPosition returns the zero LogPosition, because the owner opened its
// connection earlier.
func (c *connection) InitialPosition() cluster.LogPosition { return cluster.LogPosition{} }

// Usable always returns true. Whether the owner is reachable shows with the next
// statement.
func (c *connection) Usable() bool { return true }

// Close rolls back the transaction at the owner, if one is open.
func (c *connection) Close() error {
	if c.handle == 0 {
		return nil
	}
	handle := c.handle
	rollback := statement.Request{Statement: statement.Statement{Verb: statement.Rollback}}
	request := c.newRequest(rollback, rollbackTimeout)
	c.handle = 0
	ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
	defer cancel()
	defer c.endTransactionClient()
	if _, err := c.broker().Execute(ctx, request); err != nil {
		return eris.Wrapf(err, "roll back transaction %d at %s", handle, c.owner.Name)
	}
	return nil
}
