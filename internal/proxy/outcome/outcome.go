// Package outcome holds the errors that a caller sees and the three outcomes
// that a request may have: done, not run, unknown.
//
// # Usage
//
//	refusal := outcome.NotRun(outcome.StateNoServer, "no primary is in force", 350*time.Millisecond)
//	buf = refusal.Append(buf)
//
// Only a request whose outcome is "not run" may be sent again. Its detail is
// "not run" and its hint tells when to come back.
package outcome

import (
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// StateRefused is the SQLSTATE of a request refused by admission.
	StateRefused = "53400"
	// StateNoServer is the SQLSTATE of a request for which no server is
	// ready now.
	StateNoServer = "57P03"
	// StateUnknown is the SQLSTATE of a request whose outcome isn't known.
	StateUnknown = "08007"
	// StateShutdown is the SQLSTATE that ends an idle caller of a proxy that
	// shuts down.
	StateShutdown = "57P01"
	// StateUnsupported is the SQLSTATE of a feature that the proxy lacks.
	StateUnsupported = "0A000"
	// StateProtocol is the SQLSTATE of a violated protocol.
	StateProtocol = "08P01"
	// StateBadPassword is the SQLSTATE of a failed password.
	StateBadPassword = "28P01"
	// StateTooManyCallers is the SQLSTATE of a refused caller.
	StateTooManyCallers = "53300"
	// StateFailedTransaction is the SQLSTATE of a statement in a transaction
	// that has failed.
	StateFailedTransaction = "25P02"
	// StateBadValue is the SQLSTATE of a setting with a bad value.
	StateBadValue = "22023"
	// StateTooLarge is the SQLSTATE of a request past the proxy's limits.
	StateTooLarge = "54000"
	// StateNoSelector is the SQLSTATE of a request that no selector matches.
	StateNoSelector = "42501"
	// StateConnectionLost is the SQLSTATE of a transaction whose backend
	// server was lost before its commit.
	StateConnectionLost = "08006"
	// StateIdleTransaction is the SQLSTATE of a transaction idle too long.
	StateIdleTransaction = "25P03"

	// DetailNotRun is the detail of every request that did not run.
	DetailNotRun = "not run"

	severityError = "ERROR"
	severityFatal = "FATAL"
)

// Error is an error as a caller sees it.
type Error struct {
	Severity string
	State    string
	Message  string
	Detail   string
	Hint     string
}

// New returns an error with the SQLSTATE state.
func New(state, message string) *Error {
	return &Error{Severity: severityError, State: state, Message: message}
}

// Fatal returns an error that ends the caller's connection.
func Fatal(state, message string) *Error {
	return &Error{Severity: severityFatal, State: state, Message: message}
}

// NotRun returns the error of a request that did not run, with the time after
// which the caller may come back.
func NotRun(state, message string, retryAfter time.Duration) *Error {
	return &Error{
		Severity: severityError,
		State:    state,
		Message:  message,
		Detail:   DetailNotRun,
		Hint:     fmt.Sprintf("retry after %dms", max(1, retryAfter.Milliseconds())),
	}
}

// Unknown returns the error of a request that may have run.
func Unknown(message string) *Error {
	return &Error{
		Severity: severityError,
		State:    StateUnknown,
		Message:  message,
		Detail:   "outcome unknown: the request may have run",
		Hint:     "read back before you send it again, or send it with burdockwood.request_id",
	}
}

// From returns err as an *Error; an error of another kind becomes "not run"
// with the state StateNoServer.
func From(err error, retryAfter time.Duration) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return NotRun(StateNoServer, err.Error(), retryAfter)
}

// Error returns the SQLSTATE and the message.
func (e *Error) Error() string { return e.State + ": " + e.Message }

// IsNotRun reports whether the request did not run.
func (e *Error) IsNotRun() bool { return e.Detail == DetailNotRun }

// Append appends the ErrorResponse to dst.
func (e *Error) Append(dst []byte) []byte {
	response := pgproto3.ErrorResponse{
		Severity:            e.Severity,
		SeverityUnlocalized: e.Severity,
		Code:                e.State,
		Message:             e.Message,
		Detail:              e.Detail,
		Hint:                e.Hint,
	}
	return Append(dst, &response)
}

// Append appends a message whose encoding can't fail to dst.
func Append(dst []byte, message pgproto3.BackendMessage) []byte {
	encoded, err := message.Encode(dst)
	if err != nil {
		// Only messages past 1 GB fail to encode.
		return dst
	}
	return encoded
}

// AppendReady appends a ReadyForQuery with the transaction status to dst.
func AppendReady(dst []byte, status byte) []byte {
	return Append(dst, &pgproto3.ReadyForQuery{TxStatus: status})
}
