// Package outcome defines the errors that a caller receives, and the three
// possible outcomes of a request: done, not run, unknown.
//
// # Usage
//
//	refusal := outcome.NotRun(outcome.StateNoServer, "no primary is in force", 350*time.Millisecond)
//	buf = refusal.Append(buf)
//
// Only a request whose outcome is "not run" is safe to send again. The error's
// detail is then "not run", and its hint contains the time after which to
// retry.
package outcome

import (
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// StateRefused is the SQLSTATE of a request refused by admission control.
	StateRefused = "53400"
	// StateNoServer is the SQLSTATE of a request for which no server is
	// available at the moment.
	StateNoServer = "57P03"
	// StateUnknown is the SQLSTATE of a request whose outcome is unknown.
	StateUnknown = "08007"
	// StateShutdown is the SQLSTATE sent to idle callers when the proxy shuts
	// down.
	StateShutdown = "57P01"
	// StateUnsupported is the SQLSTATE of a feature that the proxy doesn't
	// support.
	StateUnsupported = "0A000"
	// StateProtocol is the SQLSTATE of a protocol violation.
	StateProtocol = "08P01"
	// StateBadPassword is the SQLSTATE of a failed password authentication.
	StateBadPassword = "28P01"
	// StateTooManyCallers is the SQLSTATE sent to a caller above the proxy's
	// limit of callers.
	StateTooManyCallers = "53300"
	// StateFailedTransaction is the SQLSTATE of a statement in a failed
	// transaction.
	StateFailedTransaction = "25P02"
	// StateBadValue is the SQLSTATE of a setting with an invalid value.
	StateBadValue = "22023"
	// StateTooLarge is the SQLSTATE of a request that exceeds the proxy's
	// limits.
	StateTooLarge = "54000"
	// StateNoSelector is the SQLSTATE of a request that no selector matches.
	StateNoSelector = "42501"
	// StateConnectionLost is the SQLSTATE of a transaction whose connection to
	// the backend server was lost before the commit.
	StateConnectionLost = "08006"
	// StateIdleTransaction is the SQLSTATE of a transaction that exceeded the
	// idle-in-transaction timeout.
	StateIdleTransaction = "25P03"

	// DetailNotRun is the detail of the error of every request that did not
	// run.
	DetailNotRun = "not run"

	severityError = "ERROR"
	severityFatal = "FATAL"
)

// Error is an error as the caller receives it.
type Error struct {
	Severity string
	State    string
	Message  string
	Detail   string
	Hint     string
}

// New returns an error with the given SQLSTATE.
func New(state, message string) *Error {
	return &Error{Severity: severityError, State: state, Message: message}
}

// Fatal returns an error that closes the caller's connection.
func Fatal(state, message string) *Error {
	return &Error{Severity: severityFatal, State: state, Message: message}
}

// NotRun returns the error of a request that did not run. Its hint tells the
// caller to retry after retryAfter.
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

// From returns the *Error in err's chain. Any other error is converted to a
// "not run" error with the SQLSTATE StateNoServer.
func From(err error, retryAfter time.Duration) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return NotRun(StateNoServer, err.Error(), retryAfter)
}

// Error returns the SQLSTATE and the message.
func (e *Error) Error() string { return e.State + ": " + e.Message }

// IsNotRun reports whether the error says that the request did not run.
func (e *Error) IsNotRun() bool { return e.Detail == DetailNotRun }

// Append appends the error to dst as an ErrorResponse message.
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

// Append appends an encoded message to dst.
func Append(dst []byte, message pgproto3.BackendMessage) []byte {
	encoded, err := message.Encode(dst)
	if err != nil {
		// Encode fails only for messages larger than 1 GB.
		return dst
	}
	return encoded
}

// AppendReady appends a ReadyForQuery message with the transaction status to
// dst.
func AppendReady(dst []byte, status byte) []byte {
	return Append(dst, &pgproto3.ReadyForQuery{TxStatus: status})
}
