package backend

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/traffic/budget"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

const (
	// answerWindow is the size of an answer, in bytes, up to which it is held to its
	// end, so that the statement may be tried again elsewhere.
	answerWindow = 64 << 10
	// AnswerBytes is the memory to reserve for an answer that is held: the window and a
	// copy of it in the message to the caller.
	AnswerBytes = 2 * answerWindow
	// rowBytes is the memory that a row takes beside its text.
	rowBytes = 32
)

// Rows collects the rows of an answer. Above the window, it passes them on to a sink. The
// zero Rows without a sink holds all rows.
type Rows struct {
	// Sink takes the rows of a long answer; nil: all rows are held.
	Sink statement.RowSink
	// SetDeadline is called with the new deadline of the answer when the first rows are
	// passed on; nil: nobody needs to know.
	SetDeadline func(time.Time) error

	text []byte
	// ends are the ends of the rows in text.
	ends []int
	// passing is true once rows were passed on.
	passing, reserved bool
}

// Add adds a row, which may be changed afterwards. Errors: those of the sink and of
// SetDeadline.
func (r *Rows) Add(row []byte) error {
	if r.Sink == nil || r.fits(len(row)) {
		r.hold(row)
		return nil
	}
	if err := r.begin(); err != nil {
		return err
	}
	if err := r.pass(r.Held()); err != nil {
		return err
	}
	r.text, r.ends = r.text[:0], r.ends[:0]
	if !r.fits(len(row)) {
		return r.pass([][]byte{row})
	}
	r.hold(row)
	return nil
}

func (r *Rows) hold(row []byte) {
	r.text = append(r.text, row...)
	r.ends = append(r.ends, len(r.text))
}

// fits reports whether a row of n bytes may be held beside the others.
func (r *Rows) fits(n int) bool {
	held := r.size() + n + rowBytes
	if held <= budget.FreeBytes {
		return true
	}
	if !r.passing && !r.reserved && held <= answerWindow {
		r.reserved = r.Sink.Reserve()
	}
	return r.reserved && held <= answerWindow
}

func (r *Rows) size() int { return len(r.text) + rowBytes*len(r.ends) }

// begin begins to pass rows on, unless it was done before.
func (r *Rows) begin() error {
	if r.passing {
		return nil
	}
	deadline, err := r.Sink.Begin()
	if err != nil {
		return err
	}
	r.passing = true
	if r.SetDeadline == nil {
		return nil
	}
	return r.SetDeadline(deadline)
}

func (r *Rows) pass(rows [][]byte) error {
	if len(rows) == 0 {
		return nil
	}
	return r.Sink.Pass(rows)
}

// ReserveAnswer reserves the memory for an answer that is held, unless the hold has it, and
// reports whether there is any left. It is what a sink's Reserve does.
func ReserveAnswer(memory *budget.Hold) bool {
	return memory.Reserved() || memory.TryReserve(AnswerBytes)
}

// Held returns the rows that are held. They are valid until the next call of Add.
func (r *Rows) Held() [][]byte {
	if len(r.ends) == 0 {
		return nil
	}
	rows := make([][]byte, len(r.ends))
	start := 0
	for i, end := range r.ends {
		rows[i] = r.text[start:end:end]
		start = end
	}
	return rows
}
