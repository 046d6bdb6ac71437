package session

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

// passage passes the rows of a long answer on to the caller. Once the first ones are
// written, the statement isn't tried again, and an answer that can't be completed ends with
// an error code, or with the caller's connection if a row was cut.
type passage struct {
	session *session
	// deadline is the deadline of the statement.
	deadline time.Time
	// begun is true once rows may have been written.
	begun bool
}

var _ statement.RowSink = (*passage)(nil)

// newPassage returns the passage for the answer to a statement. Its memory is released
// after the answer was sent.
func (s *session) newPassage(deadline time.Time) *passage {
	return &passage{session: s, deadline: deadline}
}

// Reserve implements statement.RowSink. Further attempts use the same memory.
func (p *passage) Reserve() bool {
	return backend.ReserveAnswer(p.session.answerMemory)
}

// Begin implements statement.RowSink. No attempt follows, so that the answer has all the
// time of the statement.
func (p *passage) Begin() (time.Time, error) {
	p.begun = true
	return p.deadline, nil
}

// Pass implements statement.RowSink. After the deadline it writes nothing, so that the caller
// can be told.
func (p *passage) Pass(rows [][]byte) error {
	if !time.Now().Before(p.deadline) {
		return eris.Wrap(backend.ErrTimeout, "the statement's time ended before its answer")
	}
	if err := p.session.caller.Pass(rows, p.deadline); err != nil {
		return eris.Wrap(backend.ErrCallerClosed, err.Error())
	}
	return nil
}
