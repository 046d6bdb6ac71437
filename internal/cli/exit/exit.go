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
	// OK means that the command did what it was asked.
	OK Code = 0
	// Failed means that it couldn't, for a reason no other code has.
	Failed Code = 1
	// Usage means a mistake in arguments, settings or declarations.
	Usage Code = 2
	// Refused means that control refused a change, for example since
	// another one came first.
	Refused Code = 4
	// Unreachable means that no leading control node was reached.
	Unreachable Code = 5
	// WaitTimeout means that a change was accepted but what --wait waits
	// for didn't come about in time.
	WaitTimeout Code = 6
)

type (
	// Code is an exit code.
	Code int

	// Error is an error with an exit code and what to do about it.
	Error struct {
		Code Code
		Err  error
		// Fix tells the operator what to do; may be empty.
		Fix string
	}

	detailed struct {
		err  error
		text string
	}
)

// WithDetail returns err with a detail after it: "err: detail".
func WithDetail(err error, format string, args ...any) error {
	return &detailed{err: err, text: fmt.Sprintf(format, args...)}
}

// Error returns the error and the detail.
func (d *detailed) Error() string { return d.err.Error() + ": " + d.text }

// Unwrap returns the error inside.
func (d *detailed) Unwrap() error { return d.err }

// New returns an error with a code and a fix.
func New(code Code, err error, fix string) *Error { return &Error{Code: code, Err: err, Fix: fix} }

// Error returns the error and the fix, each on its line.
func (e *Error) Error() string {
	if e.Fix == "" {
		return e.Err.Error()
	}
	return e.Err.Error() + "\n  fix: " + e.Fix
}

// Unwrap returns the error inside.
func (e *Error) Unwrap() error { return e.Err }

// CodeOf returns the exit code of an error.
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

// FromControl turns an error of a call to control into one with a code.
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
		return New(Refused, errors.New("control refused the key"), "give the system's key file by --key-file or BURDOCKWOOD_KEY_FILE")
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
