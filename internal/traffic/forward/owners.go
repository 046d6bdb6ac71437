package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/ownership"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

const (
	// ownerPause is how long an owner that couldn't be reached isn't asked
	// again: about the time after which control stops to name it.
	ownerPause = 1500 * time.Millisecond
	// ownerMargin is taken off the time that an owner gets, so that its answer
	// is back in time: round trips between data centres on a busy VM.
	ownerMargin = 30 * time.Millisecond
	// callMargin is what an answer may take beyond the deadline before the
	// owner counts as lost.
	callMargin = 200 * time.Millisecond
	// heardRecently is how lately an owner must have answered for a call
	// without answer to be the server's or the load's fault.
	heardRecently = 500 * time.Millisecond
	// endTimeout bounds the call that ends a transaction whose proxy gave it
	// up; the owner ends it by itself later.
	endTimeout = 500 * time.Millisecond
)

type (
	// OwnerClient reaches the proxies that own connections. It is safe for
	// concurrent use.
	OwnerClient struct {
		client *http.Client
		logger logr.Logger
		mu     sync.Mutex
		// bad are owners that couldn't be reached, and until when they
		// aren't asked.
		bad map[cluster.ProxyName]time.Time
		// heard is when each owner last answered.
		heard map[cluster.ProxyName]time.Time
	}

	// connection is a connection through an owner; it implements backend.Conn.
	connection struct {
		owners *OwnerClient
		server cluster.ServerName
		list   []ownership.Peer
		// owner is the one asked last; it holds the transaction if handle
		// isn't zero.
		owner  ownership.Peer
		handle uint64
		// begin is a transaction that the owner doesn't know of yet.
		begin    *statement.Request
		values   map[string]string
		prepared map[string]statement.Statement
	}
)

var _ backend.Conn = (*connection)(nil)

// NewOwnerClient returns the way to owners through client.
func NewOwnerClient(client *http.Client, logger logr.Logger) *OwnerClient {
	return &OwnerClient{client: client, logger: logger, bad: map[cluster.ProxyName]time.Time{}, heard: map[cluster.ProxyName]time.Time{}}
}

// Connect returns a connection to a server through its owners. It costs
// nothing until it is used.
func (o *OwnerClient) Connect(server cluster.ServerName, list []ownership.Peer) backend.Conn {
	return &connection{owners: o, server: server, list: list, values: map[string]string{}, prepared: map[string]statement.Statement{}}
}

// choose returns the first owner that isn't known to be unreachable.
func (o *OwnerClient) choose(list []ownership.Peer, now time.Time) ownership.Peer {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, peer := range list {
		if now.After(o.bad[peer.Name]) {
			return peer
		}
	}
	return list[0]
}

// answered notes a sign of life of an owner.
func (o *OwnerClient) answered(name cluster.ProxyName, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.heard[name] = now
}

// failed notes a call that failed, and reports whether the owner is avoided from
// now on.
func (o *OwnerClient) failed(name cluster.ProxyName, unreachable bool, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !unreachable && now.Sub(o.heard[name]) < heardRecently {
		return false
	}
	o.bad[name] = now.Add(ownerPause)
	return true
}

// Do keeps what only prepares a statement, and sends the rest to the owner.
func (c *connection) Do(request statement.Request, deadline time.Time) (statement.Answer, error) {
	switch request.Verb {
	case statement.Reset:
		clear(c.values)
		clear(c.prepared)
		return statement.Answer{}, nil
	case statement.Set:
		c.values[request.Name] = request.Value
		return statement.Answer{}, nil
	case statement.Prepare:
		c.prepared[request.Name] = request.Statement
		return statement.Answer{}, nil
	case statement.Begin, statement.BeginRead:
		c.begin = &request
		return statement.Answer{State: statement.InTransaction}, nil
	case statement.Rollback:
		if c.handle == 0 {
			c.begin = nil
			return statement.Answer{}, nil
		}
	}
	return c.send(request, deadline)
}

func (c *connection) send(request statement.Request, deadline time.Time) (statement.Answer, error) {
	now := time.Now()
	left := deadline.Sub(now)
	if left <= 0 {
		return statement.Answer{}, eris.Wrap(backend.ErrNotSent, "no time left")
	}
	if c.handle == 0 {
		c.owner = c.owners.choose(c.list, now)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(callMargin))
	defer cancel()
	client := fleetpb.NewBrokerProtobufClient(transport.URL(c.owner.Address), c.owners.client)
	response, err := client.Execute(ctx, c.message(request, left))
	if err != nil {
		return statement.Answer{}, c.callFailed(err)
	}
	c.owners.answered(c.owner.Name, time.Now())
	c.handle, c.begin = response.GetHandle(), nil
	if response.GetFault() != fleetpb.ExecuteResponse_FAULT_NONE {
		c.handle = 0
		return c.faulty(response)
	}
	return statement.Answer{
		Code: statement.Code(response.GetCode()), Detail: response.GetDetail(), Rows: response.GetRows(),
		Signature: response.GetSignature(), State: statement.TxState(response.GetState()),
		Mark: mark(response.GetMarkTerm(), response.GetMarkPosition()),
	}, nil
}

// message returns the request as the owner takes it.
func (c *connection) message(request statement.Request, left time.Duration) *fleetpb.ExecuteRequest {
	m := &fleetpb.ExecuteRequest{
		Server: string(c.server), Handle: c.handle, Id: request.ID, Verb: uint32(request.Verb), Text: request.Text,
		AfterTerm: uint64(request.MinMark.Term), AfterPosition: uint64(request.MinMark.Position),
		DeadlineMs: uint32(max(left-ownerMargin, left/2).Milliseconds()), AimMs: uint32(max(0, time.Until(request.SoftDeadline)).Milliseconds()),
		Priority: uint32(request.Priority), AnswerMs: uint32(request.ResponseTimeout.Milliseconds()),
	}
	if c.begin != nil {
		m.Begin = uint32(c.begin.Verb)
		m.BeginAfterTerm, m.BeginAfterPosition = uint64(c.begin.MinMark.Term), uint64(c.begin.MinMark.Position)
	}
	if request.Verb == statement.Execute {
		p := c.prepared[request.Name]
		m.Shape, m.Writes = p.Query, p.Writes
	}
	for name, value := range c.values {
		m.Values = append(m.Values, &fleetpb.SessionValue{Name: name, Value: value})
	}
	return m
}

// callFailed tells what is known of a statement whose owner didn't answer. If
// the owner couldn't even be connected to, nothing was sent.
func (c *connection) callFailed(err error) error {
	var operation *net.OpError
	unreachable := errors.As(err, &operation) && operation.Op == "dial"
	if c.owners.failed(c.owner.Name, unreachable, time.Now()) {
		c.owners.logger.Info("an owner of connections didn't answer", "proxy", c.owner.Name, "server", c.server, "error", err.Error())
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

// faulty turns a fault at the owner into an outcome. What found no room is an
// answer: the connection itself is sound.
func (c *connection) faulty(r *fleetpb.ExecuteResponse) (statement.Answer, error) {
	switch r.GetFault() {
	case fleetpb.ExecuteResponse_FAULT_NO_ROOM:
		return statement.Answer{Code: statement.Busy, Detail: r.GetDetail()}, nil
	case fleetpb.ExecuteResponse_FAULT_NOT_SENT:
		return statement.Answer{}, eris.Wrap(backend.ErrNotSent, r.GetDetail())
	case fleetpb.ExecuteResponse_FAULT_SILENT:
		return statement.Answer{}, eris.Wrap(backend.ErrTimeout, r.GetDetail())
	default:
		return statement.Answer{}, eris.Wrap(backend.ErrConnectionLost, r.GetDetail())
	}
}

// InitialMark tells nothing: the owner's connection was opened before.
func (c *connection) InitialMark() cluster.Mark { return cluster.Mark{} }

// Usable is always true: an owner that went is found out with the next
// statement.
func (c *connection) Usable() bool { return true }

// Close has the owner end the transaction, if one is open.
func (c *connection) Close() error {
	if c.handle == 0 {
		return nil
	}
	handle := c.handle
	rollback := statement.Request{Statement: statement.Statement{Verb: statement.Rollback}}
	message := c.message(rollback, endTimeout)
	c.handle = 0
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	client := fleetpb.NewBrokerProtobufClient(transport.URL(c.owner.Address), c.owners.client)
	if _, err := client.Execute(ctx, message); err != nil {
		return eris.Wrapf(err, "end transaction %d at %s", handle, c.owner.Name)
	}
	return nil
}
