// Package exit defines the exit codes of the operators' commands and the
// errors that carry them.
//
// # Usage
//
//	return exit.New(exit.Refused, err, "export the newest declarations and apply again")
//
//	os.Exit(int(exit.CodeOf(err)))
//
// The codes are stable: scripts may rely on them.
package exit

import (
	"errors"
	"fmt"

	"github.com/twitchtv/twirp"

	"github.com/burdockwood/burdockwood/internal/rpc/leader"
)

const (
	// OK means that the command succeeded.
	OK Code = 0
	// Failed means a failure that no other code describes.
	Failed Code = 1
	// Usage means a mistake in arguments, settings or declarations.
	Usage Code = 2
	// Refused means that control refused the request, for example because
	// another change was accepted first.
	Refused Code = 4
	// Unreachable means that no leading control node could be reached.
	Unreachable Code = 5
	// WaitTimeout means that a change was accepted, but --wait timed out
	// before its version was in force on every live proxy.
	WaitTimeout Code = 6
)

type (
	// Code is an exit code.
	Code int

	// Error is an error with an exit code and a suggested fix.
	Error struct {
		Code Code
		Err  error
		// Fix tells the operator what to do; may be empty.
		Fix string
	}

	detailError struct {
		err  error
		text string
	}
)

// WithDetail returns an error with the text "err: detail" that wraps err.
func WithDetail(err error, format string, args ...any) error {
	return &detailError{err: err, text: fmt.Sprintf(format, args...)}
}

// Error returns the error and the detail.
func (d *detailError) Error() string { return d.err.Error() + ": " + d.text }

// Unwrap returns the wrapped error.
func (d *detailError) Unwrap() error { return d.err }

// New returns an error with an exit code and a fix, which may be empty.
func New(code Code, err error, fix string) *Error { return &Error{Code: code, Err: err, Fix: fix} }

// Error returns the error and, on a second line, the fix.
func (e *Error) Error() string {
	if e.Fix == "" {
		return e.Err.Error()
	}
	return e.Err.Error() + "\n  fix: " + e.Fix
}

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }

// CodeOf returns the exit code of an error: OK for nil, and Failed for an error
// without a code.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Failed
}

// FromControl gives an error of a call to control an exit code and a fix. It
// returns nil and errors that have a code unchanged.
func FromControl(err error) error {
	if err == nil {
		return nil
	}
	var own *Error
	if errors.As(err, &own) {
		return err
	}
	if errors.Is(err, leader.ErrNoLeader) {
		return New(Unreachable, err, "check --control, and run \"burdockwood doctor\"")
	}
	var twerr twirp.Error
	if !errors.As(err, &twerr) {
		return New(Failed, err, "")
	}
	message := errors.New(twerr.Msg())
	switch twerr.Code() {
	case twirp.Unauthenticated, twirp.PermissionDenied:
		return New(Refused, errors.New("control refused the key"), "set --key-file or BURDOCKWOOD_KEY_FILE to the system's key file")
	case twirp.FailedPrecondition, twirp.Aborted, twirp.AlreadyExists, twirp.ResourceExhausted:
		return New(Refused, message, "")
	case twirp.InvalidArgument, twirp.OutOfRange, twirp.Malformed:
		return New(Usage, message, "")
	case twirp.Unavailable, twirp.DeadlineExceeded:
		return New(Unreachable, message, "run \"burdockwood doctor\"")
	default:
		return New(Failed, message, "")
	}
}
