package adapter

import (
	"errors"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"
)

var (
	// ErrStaleTerm tells that the server has promised a higher term.
	ErrStaleTerm = eris.New("the backend server has promised a higher term")
	// ErrUnreachable tells that the server didn't answer in time, or that
	// the connection was refused or lost. What was asked may have happened.
	// The Server is of no further use.
	ErrUnreachable = eris.New("the backend server can't be reached")
	// ErrRejected tells that the server answered with an error. What was
	// asked did not happen.
	ErrRejected = eris.New("the backend server refused")
)

// translate turns an error of the driver into one of this package's.
func translate(err error) error {
	var answer *pgconn.PgError
	if !errors.As(err, &answer) {
		return eris.Wrap(errors.Join(ErrUnreachable, err), "call")
	}
	if answer.Code == StateStaleTerm {
		return eris.Wrap(ErrStaleTerm, answer.Message)
	}
	return eris.Wrapf(ErrRejected, "%s (SQLSTATE %s)", answer.Message, answer.Code)
}
