package adapter

import (
	"errors"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"
)

var (
	// ErrStaleTerm is returned if the server has promised a higher term.
	ErrStaleTerm = eris.New("the backend server has promised a higher term")
	// ErrUnreachable is returned if the server didn't respond in time, or if
	// the connection was refused or lost. The statement may have been
	// executed. The Server can't be used any more.
	ErrUnreachable = eris.New("the backend server can't be reached")
	// ErrRejected is returned if the server returned an error or a row that
	// can't be parsed. After an error the statement had no effect.
	ErrRejected = eris.New("the backend server refused")
)

// wrapError returns an error of this package that wraps or describes an error
// of the driver.
func wrapError(err error) error {
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) {
		return eris.Wrap(errors.Join(ErrUnreachable, err), "call")
	}
	if pgErr.Code == StateStaleTerm {
		return eris.Wrap(ErrStaleTerm, pgErr.Message)
	}
	return eris.Wrapf(ErrRejected, "%s (SQLSTATE %s)", pgErr.Message, pgErr.Code)
}
