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

// SQLSTATE codes; those that burdockwood acts on are in package adapter.
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

// sqlError is an error with the SQLSTATE and message that are sent to the client.
type sqlError struct {
	state   string
	message string
}

// Error returns the message and the SQLSTATE.
func (e *sqlError) Error() string { return e.message + " (SQLSTATE " + e.state + ")" }

func newSQLError(state, text string) error { return &sqlError{state: state, message: text} }

// errorResponse returns the ErrorResponse message for err.
func errorResponse(err error) *pgproto3.ErrorResponse {
	e := toSQLError(err)
	return &pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: e.state, Message: e.message}
}

func toSQLError(err error) *sqlError {
	var e *sqlError
	if errors.As(err, &e) {
		return e
	}
	var database *sqlite.Error
	if errors.As(err, &database) {
		return &sqlError{state: sqliteSQLState(database), message: database.Error()}
	}
	return &sqlError{state: engineSQLState(err), message: firstLine(err)}
}

func engineSQLState(err error) string {
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

func sqliteSQLState(err *sqlite.Error) string {
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
