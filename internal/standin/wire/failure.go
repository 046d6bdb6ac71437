package wire

import (
	"context"
	"errors"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
	"modernc.org/sqlite"
	sqlite3 "modernc.org/sqlite/lib"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
	"github.com/burdockwood/burdockwood/internal/standin/engine"
)

const (
	stateFeature        = "0A000"
	stateBadParameter   = "22P02"
	stateUnique         = "23505"
	stateNotNull        = "23502"
	stateForeignKey     = "23503"
	stateCheck          = "23514"
	stateIdleInTx       = "25P03"
	stateFailedTx       = "25P02"
	stateNoStatement    = "26000"
	stateNoPortal       = "34000"
	stateAuthentication = "28P01"
	stateSyntax         = "42601"
	stateNoColumn       = "42703"
	stateNoTable        = "42P01"
	stateNotReady       = "55000"
	stateLockTimeout    = "55P03"
	stateCanceled       = "57014"
	stateInternal       = "XX000"
	stateProtocol       = "08P01"
)

// failure is an error with the SQLSTATE that the client gets.
type failure struct {
	state string
	text  string
}

// Error returns the text and the SQLSTATE.
func (f *failure) Error() string { return f.text + " (SQLSTATE " + f.state + ")" }

func fail(state, text string) error { return &failure{state: state, text: text} }

// response returns the message that tells a client of err.
func response(err error) *pgproto3.ErrorResponse {
	f := asFailure(err)
	return &pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: f.state, Message: f.text}
}

func asFailure(err error) *failure {
	var f *failure
	if errors.As(err, &f) {
		return f
	}
	var database *sqlite.Error
	if errors.As(err, &database) {
		return &failure{state: databaseState(database), text: database.Error()}
	}
	return &failure{state: engineState(err), text: firstLine(err)}
}

func engineState(err error) string {
	switch {
	case eris.Is(err, engine.ErrNotPrimary):
		return adapter.StateNotPrimary
	case eris.Is(err, engine.ErrReadOnly):
		return adapter.StateReadOnly
	case eris.Is(err, engine.ErrStaleTerm):
		return adapter.StateStaleTerm
	case eris.Is(err, engine.ErrNotReady):
		return stateNotReady
	case eris.Is(err, engine.ErrLockTimeout):
		return stateLockTimeout
	case errors.Is(err, context.Canceled):
		return stateCanceled
	default:
		return stateInternal
	}
}

func databaseState(err *sqlite.Error) string {
	switch err.Code() {
	case sqlite3.SQLITE_CONSTRAINT_UNIQUE, sqlite3.SQLITE_CONSTRAINT_PRIMARYKEY, sqlite3.SQLITE_CONSTRAINT_ROWID:
		return stateUnique
	case sqlite3.SQLITE_CONSTRAINT_NOTNULL:
		return stateNotNull
	case sqlite3.SQLITE_CONSTRAINT_FOREIGNKEY:
		return stateForeignKey
	case sqlite3.SQLITE_CONSTRAINT_CHECK:
		return stateCheck
	}
	text := err.Error()
	switch {
	case strings.Contains(text, "no such table"):
		return stateNoTable
	case strings.Contains(text, "no such column"):
		return stateNoColumn
	default:
		return stateSyntax
	}
}

func firstLine(err error) string {
	text, _, _ := strings.Cut(err.Error(), "\n")
	return text
}
