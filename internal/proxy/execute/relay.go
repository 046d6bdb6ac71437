// Package execute relays a caller's request to a backend connection and the
// answer back.
//
// # Usage
//
//	whole, err := request.Add(message, statements)
//	if whole {
//		plan.Build(request, c)
//		result, err := execute.Run(c, plan, answer)
//	}
//
// Prepared statements are renamed for each backend connection, so a caller may
// use its names whichever connection it gets. Run returns once every answer
// that the request is owed has been read; an error means that the connection
// can't be used again. The answer is held in a buffer until its owner releases
// it; one that grows past the buffer's bound is released through Spill.
package execute

import (
	"bytes"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/proxy/conn"
	"github.com/burdockwood/burdockwood/internal/proxy/wire"
)

const (
	platformPrefix = "platform."
	severityFatal  = "FATAL"
	severityPanic  = "PANIC"
	// stateStalePlan is the SQLSTATE of a prepared statement whose tables
	// have changed.
	stateStalePlan = "0A000"
	// stateNoStatement is the SQLSTATE of a prepared statement that the
	// server has lost.
	stateNoStatement = "26000"
)

// ErrProtocol tells that the backend server's answer doesn't fit the request.
var ErrProtocol = eris.New("backend server answered out of order")

type (
	// Answer collects what the caller is going to get.
	Answer struct {
		Buf []byte
		// FlushLimit is the length in bytes past which Spill is called.
		FlushLimit int
		// Flush releases what has been collected to the caller.
		Flush func() error
		// Flushed tells that part of the answer has gone to the caller.
		Flushed bool
	}

	// Result is what is known after an answer was read whole.
	Result struct {
		// Status is the transaction status, zero without a ReadyForQuery.
		Status byte
		// Mark is the end of the server's log after the last commit.
		Mark cluster.Mark
		// HasRows tells that the answer holds rows.
		HasRows bool
		// Completed is the number of statements that completed.
		Completed int
		// Tag is the last statement's command tag.
		Tag string
		// Failure is the error that the server answered, if any.
		Failure *pgproto3.ErrorResponse
	}

	relay struct {
		conn   *conn.Conn
		plan   *Plan
		answer *Answer
		result Result
		at     int
	}
)

// Send hands the plan to the backend server.
func Send(c *conn.Conn, plan *Plan) error {
	if len(plan.out) == 0 {
		return nil
	}
	return c.Send(plan.out)
}

// Run reads the answer of a plan that was sent. An error means that the
// connection is lost or can't be trusted; it is marked so.
func Run(c *conn.Conn, plan *Plan, answer *Answer) (Result, error) {
	r := relay{conn: c, plan: plan, answer: answer}
	for r.at < len(plan.steps) {
		if plan.steps[r.at].disposal == local {
			r.answerLocally()
			continue
		}
		message, err := c.Next()
		if err != nil {
			return r.result, err
		}
		if err := r.take(message); err != nil {
			c.Poison()
			return r.result, err
		}
		if err := r.spillIfLarge(); err != nil {
			c.Poison()
			return r.result, err
		}
	}
	return r.result, nil
}

// answerLocally answers a step that the server need not see.
func (r *relay) answerLocally() {
	kind := byte(wire.ParseComplete)
	if r.plan.steps[r.at].kind == wire.Close {
		kind = wire.CloseComplete
	}
	r.answer.Buf = appendMessage(r.answer.Buf, kind)
	r.at++
}

// take handles one message of the server.
func (r *relay) take(message wire.Message) error {
	switch message.Type() {
	case wire.ParameterStatus:
		r.parameter(message)
		return nil
	case wire.NoticeResponse, wire.NotificationResponse:
		r.forward(message)
		return nil
	case wire.ErrorResponse:
		return r.fail(message)
	case wire.CopyInResponse:
		return r.refuseCopy()
	case wire.CopyBothResponse:
		return eris.Wrap(ErrProtocol, "replication copy")
	}
	return r.progress(message)
}

// progress handles a message that answers the present step.
func (r *relay) progress(message wire.Message) error {
	present := r.plan.steps[r.at]
	done, ok := finishes(present.kind, message.Type())
	if !ok {
		return eris.Wrapf(ErrProtocol, "message %q to %q", message.Type(), present.kind)
	}
	switch message.Type() {
	case wire.DataRow:
		r.result.HasRows = true
	case wire.CommandComplete:
		r.result.Completed++
		r.result.Tag = string(bytes.TrimRight(message.Body(), "\x00"))
	case wire.ReadyForQuery:
		if len(message.Body()) != 1 {
			return eris.Wrap(ErrProtocol, "ready for query")
		}
		r.result.Status = message.Body()[0]
	}
	if present.disposal == forward {
		r.forward(message)
	}
	if done {
		r.at++
	}
	return nil
}

// finishes tells whether a message of type got is the last of the answer to a
// message of type sent; ok is false if it doesn't belong to it.
func finishes(sent, got byte) (done, ok bool) {
	switch sent {
	case wire.Parse:
		return true, got == wire.ParseComplete
	case wire.Bind:
		return true, got == wire.BindComplete
	case wire.Close:
		return true, got == wire.CloseComplete
	case wire.Describe:
		return got != wire.ParameterDescription, got == wire.ParameterDescription || got == wire.RowDescription || got == wire.NoData
	case wire.Sync:
		return true, got == wire.ReadyForQuery
	case wire.Execute:
		done = got == wire.CommandComplete || got == wire.EmptyQueryResponse || got == wire.PortalSuspended
		return done, done || isRows(got)
	case wire.Query:
		done = got == wire.ReadyForQuery
		return done, done || got == wire.CommandComplete || got == wire.EmptyQueryResponse || got == wire.RowDescription || isRows(got)
	default:
		return false, false
	}
}

// isRows reports whether a message carries rows or part of a copy out.
func isRows(got byte) bool {
	switch got {
	case wire.DataRow, wire.CopyData, wire.CopyDone, copyOutResponse:
		return true
	default:
		return false
	}
}

// copyOutResponse opens a copy to the caller; it shares its byte with Flush of
// the other direction.
const copyOutResponse = 'H'

// fail handles an ErrorResponse: the server skips to the next Sync.
func (r *relay) fail(message wire.Message) error {
	failure := &pgproto3.ErrorResponse{}
	if err := failure.Decode(message.Body()); err != nil {
		return eris.Wrap(ErrProtocol, err.Error())
	}
	if r.result.Failure == nil {
		r.result.Failure = failure
	}
	r.forward(message)
	if failure.Severity == severityFatal || failure.Severity == severityPanic {
		return eris.Wrapf(conn.ErrLost, "%s: %s", failure.Code, failure.Message)
	}
	if failure.Code == stateStalePlan || failure.Code == stateNoStatement {
		r.conn.Poison()
	}
	if r.plan.steps[r.at].kind == wire.Query {
		return nil
	}
	from := r.at
	for r.at < len(r.plan.steps) && r.plan.steps[r.at].kind != wire.Sync {
		r.at++
	}
	forget(r.plan.steps[from:r.at], &r.conn.Statements)
	return nil
}

// refuseCopy answers COPY FROM STDIN, which the proxy doesn't relay.
func (r *relay) refuseCopy() error {
	fail := pgproto3.CopyFail{Message: "COPY FROM STDIN is not supported through burdockwood: use INSERT"}
	return r.conn.Send(encode(nil, &fail))
}

// parameter keeps the platform's parameters and passes on the others.
func (r *relay) parameter(message wire.Message) {
	body := string(message.Body())
	if !strings.HasPrefix(body, platformPrefix) {
		r.forward(message)
		return
	}
	name, rest, _ := strings.Cut(body, "\x00")
	if name != adapter.PositionParameter {
		return
	}
	mark, err := cluster.ParseMark(strings.TrimRight(rest, "\x00"))
	if err == nil {
		r.result.Mark = mark
	}
}

func (r *relay) forward(message wire.Message) {
	r.answer.Buf = append(r.answer.Buf, message...)
}

func (r *relay) spillIfLarge() error {
	if r.answer.FlushLimit <= 0 || len(r.answer.Buf) <= r.answer.FlushLimit {
		return nil
	}
	if err := r.answer.Flush(); err != nil {
		return err
	}
	r.answer.Flushed = true
	return nil
}
