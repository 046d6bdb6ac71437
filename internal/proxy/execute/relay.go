// Package execute sends a caller's request to a backend connection and relays
// the answer.
//
// # Usage
//
//	complete, err := request.Add(message, statements)
//	if complete {
//		plan.Build(request, c)
//		err = execute.Send(c, plan)
//		result, err := execute.Run(c, plan, answer)
//	}
//
// Prepared statements are renamed for each backend connection, so that a caller
// can use its own names on any connection. Run returns after it has read the
// complete answer. If it returns an error, the connection can't be reused. The
// answer is collected in a buffer, from which its owner sends it to the caller;
// if it grows past FlushLimit, the part read so far is sent by Flush.
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
	// stateStalePlan is the SQLSTATE of a prepared statement whose result type
	// has changed along with its tables.
	stateStalePlan = "0A000"
	// stateNoStatement is the SQLSTATE of a prepared statement that the server
	// doesn't have.
	stateNoStatement = "26000"
)

// ErrProtocol is returned if the backend server's answer doesn't match the
// request.
var ErrProtocol = eris.New("backend server answered out of order")

type (
	// Answer collects the messages for the caller.
	Answer struct {
		Buf []byte
		// FlushLimit is the length of Buf in bytes above which Flush is called;
		// zero means no limit.
		FlushLimit int
		// Flush sends the content of Buf to the caller and empties it.
		Flush func() error
		// Flushed is true if a part of the answer has been sent by Flush.
		Flushed bool
	}

	// Result describes a complete answer.
	Result struct {
		// Status is the transaction status; zero if there was no ReadyForQuery.
		Status byte
		// Position is the log position of the last commit; zero if nothing was
		// committed.
		Position cluster.LogPosition
		// HasRows is true if the answer contains rows.
		HasRows bool
		// Completed is the number of completed statements.
		Completed int
		// Tag is the command tag of the last statement.
		Tag string
		// Failure is the first error in the answer, or nil.
		Failure *pgproto3.ErrorResponse
	}

	relay struct {
		conn   *conn.Conn
		plan   *Plan
		answer *Answer
		result Result
		// stepIndex is the index of the step whose answer is next.
		stepIndex int
	}
)

// Send sends the plan's messages to the backend server.
func Send(c *conn.Conn, plan *Plan) error {
	if len(plan.out) == 0 {
		return nil
	}
	return c.Send(plan.out)
}

// Run reads the answer to a plan that Send has sent. If it returns an error,
// the connection is lost or in an unknown state, and it isn't reused.
func Run(c *conn.Conn, plan *Plan, answer *Answer) (Result, error) {
	r := relay{conn: c, plan: plan, answer: answer}
	for r.stepIndex < len(plan.steps) {
		if plan.steps[r.stepIndex].answer == generate {
			r.generateAnswer()
			continue
		}
		message, err := c.Next()
		if err != nil {
			return r.result, err
		}
		if err := r.handleMessage(message); err != nil {
			c.PreventReuse()
			return r.result, err
		}
		if err := r.flushIfLarge(); err != nil {
			c.PreventReuse()
			return r.result, err
		}
	}
	return r.result, nil
}

// generateAnswer answers a step that isn't sent to the server.
func (r *relay) generateAnswer() {
	kind := byte(wire.ParseComplete)
	if r.plan.steps[r.stepIndex].messageType == wire.Close {
		kind = wire.CloseComplete
	}
	r.answer.Buf = appendMessage(r.answer.Buf, kind)
	r.stepIndex++
}

// handleMessage processes a message from the server.
func (r *relay) handleMessage(message wire.Message) error {
	switch message.Type() {
	case wire.ParameterStatus:
		r.handleParameterStatus(message)
		return nil
	case wire.NoticeResponse, wire.NotificationResponse:
		r.forward(message)
		return nil
	case wire.ErrorResponse:
		return r.handleError(message)
	case wire.CopyInResponse:
		return r.rejectCopyIn()
	case wire.CopyBothResponse:
		return eris.Wrap(ErrProtocol, "unexpected CopyBothResponse")
	}
	return r.handleStepAnswer(message)
}

// handleStepAnswer processes a message that answers the current step.
func (r *relay) handleStepAnswer(message wire.Message) error {
	current := r.plan.steps[r.stepIndex]
	done, ok := completesAnswer(current.messageType, message.Type())
	if !ok {
		return eris.Wrapf(ErrProtocol, "message type %q in the answer to message type %q", message.Type(), current.messageType)
	}
	switch message.Type() {
	case wire.DataRow:
		r.result.HasRows = true
	case wire.CommandComplete:
		r.result.Completed++
		r.result.Tag = string(bytes.TrimRight(message.Body(), "\x00"))
	case wire.ReadyForQuery:
		if len(message.Body()) != 1 {
			return eris.Wrap(ErrProtocol, "ReadyForQuery without one status byte")
		}
		r.result.Status = message.Body()[0]
	}
	if current.answer == forward {
		r.forward(message)
	}
	if done {
		r.stepIndex++
	}
	return nil
}

// completesAnswer reports whether a message of type got completes the answer to
// a message of type sent. ok is false if the message can't be part of that
// answer.
func completesAnswer(sent, got byte) (complete, ok bool) {
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
		complete = got == wire.CommandComplete || got == wire.EmptyQueryResponse || got == wire.PortalSuspended
		return complete, complete || isRows(got)
	case wire.Query:
		complete = got == wire.ReadyForQuery
		return complete, complete || got == wire.CommandComplete || got == wire.EmptyQueryResponse || got == wire.RowDescription || isRows(got)
	default:
		return false, false
	}
}

// isRows reports whether a message contains rows or is part of a COPY to the
// caller.
func isRows(got byte) bool {
	switch got {
	case wire.DataRow, wire.CopyData, wire.CopyDone, copyOutResponse:
		return true
	default:
		return false
	}
}

// copyOutResponse starts a COPY to the caller. Frontend Flush messages have the
// same type byte.
const copyOutResponse = 'H'

// handleError processes an ErrorResponse. After an error in an extended query,
// the server skips all messages up to the next Sync.
func (r *relay) handleError(message wire.Message) error {
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
		r.conn.PreventReuse()
	}
	if r.plan.steps[r.stepIndex].messageType == wire.Query {
		return nil
	}
	first := r.stepIndex
	for r.stepIndex < len(r.plan.steps) && r.plan.steps[r.stepIndex].messageType != wire.Sync {
		r.stepIndex++
	}
	removeUnprepared(r.plan.steps[first:r.stepIndex], &r.conn.Statements)
	return nil
}

// rejectCopyIn ends a COPY FROM STDIN, which the proxy doesn't support.
func (r *relay) rejectCopyIn() error {
	fail := pgproto3.CopyFail{Message: "COPY FROM STDIN is not supported through burdockwood: use INSERT"}
	return r.conn.Send(encode(nil, &fail))
}

// handleParameterStatus consumes the parameters that the platform defines, such
// as the log position of a commit, and forwards the others.
func (r *relay) handleParameterStatus(message wire.Message) {
	body := string(message.Body())
	if !strings.HasPrefix(body, platformPrefix) {
		r.forward(message)
		return
	}
	name, rest, _ := strings.Cut(body, "\x00")
	if name != adapter.PositionParameter {
		return
	}
	position, err := cluster.ParseLogPosition(strings.TrimRight(rest, "\x00"))
	if err == nil {
		r.result.Position = position
	}
}

func (r *relay) forward(message wire.Message) {
	r.answer.Buf = append(r.answer.Buf, message...)
}

func (r *relay) flushIfLarge() error {
	if r.answer.FlushLimit <= 0 || len(r.answer.Buf) <= r.answer.FlushLimit {
		return nil
	}
	if err := r.answer.Flush(); err != nil {
		return err
	}
	r.answer.Flushed = true
	return nil
}
