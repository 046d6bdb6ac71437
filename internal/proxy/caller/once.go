package caller

import (
	"bytes"
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
	"github.com/burdockwood/burdockwood/internal/proxy/classify"
	"github.com/burdockwood/burdockwood/internal/proxy/execute"
	"github.com/burdockwood/burdockwood/internal/proxy/idempotency"
	"github.com/burdockwood/burdockwood/internal/proxy/outcome"
	"github.com/burdockwood/burdockwood/internal/proxy/retry"
	"github.com/burdockwood/burdockwood/internal/proxy/wire"
)

const (
	tagCommit    = "COMMIT"
	textRollback = "ROLLBACK"
)

// isOnce reports whether the request carries an identifier and may have
// effects, outside a transaction.
func (s *Session) isOnce(j *job) bool {
	return j.prefs.requestID != "" && s.request.Kind == classify.Write
}

func (s *Session) record(prefs *preferences) idempotency.Record {
	return idempotency.Record{ID: prefs.requestID, Fingerprint: s.request.Fingerprint()}
}

// refuseOnce refuses a request that carries an identifier but couldn't be run
// at most once. Nil lets it go on.
func (s *Session) refuseOnce(prefs *preferences) *outcome.Error {
	if prefs.requestID == "" || s.request.Kind < classify.Write {
		return nil
	}
	if s.request.Kind == classify.Write && s.request.Class.Count <= 1 && s.request.ExpectsReady {
		return nil
	}
	refusal := outcome.New(outcome.StateUnsupported, "a request with burdockwood.request_id must be one statement, or a transaction")
	refusal.Detail = outcome.DetailNotRun
	return refusal
}

// refuseHeldOnce refuses a request on a kept connection whose identifier can't
// be recorded: one within a transaction that began without it, or one of a
// session that is pinned to its connection. Nil lets it go on.
func (s *Session) refuseHeldOnce() *outcome.Error {
	named := func(hint classify.Setting) bool { return hint.Name == settingRequest }
	late := slices.ContainsFunc(s.request.Class.Hints, named)
	pinned := s.status == wire.StatusIdle && s.own.requestID != "" && s.request.Kind > classify.Read && s.request.Kind != classify.Set
	if !late && !pinned {
		return nil
	}
	refusal := outcome.New(outcome.StateUnsupported, "burdockwood.request_id must be set before the transaction, in a session without state at its server")
	refusal.Detail = outcome.DetailNotRun
	return refusal
}

// runOnce runs a request that carries an identifier: in one transaction with
// the record of the identifier, or not at all if that is recorded already.
func (s *Session) runOnce(ctx context.Context, j *job, keep *held) ending {
	record := s.record(&j.prefs)
	fresh, end := s.openRecord(keep, record.BeginSQL(""))
	if end.what != retry.Done {
		s.put(keep)
		return end
	}
	if !fresh {
		return s.answerAgain(ctx, j, keep, record)
	}
	begun := time.Now()
	from := len(s.answer.data)
	result, err := s.exchange(ctx, keep, begun)
	j.service = time.Since(begun)
	keep.server.Leave(keep.conn, j.service)
	if err != nil {
		s.answer.data = s.answer.data[:min(from, len(s.answer.data))]
		s.put(keep)
		return notRun("the backend server was lost before the commit", retryAfter)
	}
	if result.Status != wire.StatusInTransaction {
		return s.rollBackOnce(keep)
	}
	return s.commitOnce(ctx, j, keep, record, result, from)
}

// openRecord opens the transaction by text and reports whether the identifier
// was fresh. The table is made on demand.
func (s *Session) openRecord(keep *held, text string) (fresh bool, end ending) {
	for range 2 {
		result, err := runQuietly(keep.conn, text)
		if err != nil {
			return false, notRun("the backend server was lost before the request", retryAfter)
		}
		if result.failure == nil {
			return true, done
		}
		if _, err := runQuietly(keep.conn, textRollback); err != nil {
			return false, notRun("the backend server was lost before the request", retryAfter)
		}
		switch result.failure.Code {
		case idempotency.StateUnique:
			return false, done
		case idempotency.StateNoTable:
			if _, err := runQuietly(keep.conn, idempotency.CreateTable); err != nil {
				return false, notRun("the backend server was lost before the request", retryAfter)
			}
		default:
			return false, notRun("the identifier can't be recorded: "+result.failure.Message, retryAfter)
		}
	}
	return false, notRun("the table of identifiers can't be made", retryAfter)
}

// rollBackOnce ends a request that failed: its identifier stays free.
func (s *Session) rollBackOnce(keep *held) ending {
	if _, err := runQuietly(keep.conn, textRollback); err != nil {
		keep.conn.Poison()
	}
	setStatus(s.answer.data, wire.StatusIdle)
	s.put(keep)
	return done
}

// commitOnce commits the request with its record and confirms both.
func (s *Session) commitOnce(ctx context.Context, j *job, keep *held, record idempotency.Record, result execute.Result, from int) ending {
	kept := idempotency.Outcome{Tag: result.Tag, Rows: rowsOf(s.answer.data[from:])}
	committed, err := runQuietly(keep.conn, record.CommitSQL(kept))
	if err != nil {
		s.answer.data = s.answer.data[:min(from, len(s.answer.data))]
		s.put(keep)
		return unknown("the backend server was lost before the commit was answered")
	}
	if committed.failure != nil {
		s.answer.data = s.answer.data[:min(from, len(s.answer.data))]
		_, _ = runQuietly(keep.conn, textRollback)
		keep.conn.Poison()
		s.put(keep)
		if committed.failure.Code == adapter.StateNotPrimary {
			return notRun("the server is no longer primary", retryAfter)
		}
		return notRun("the commit was refused: "+committed.failure.Message, retryAfter)
	}
	setStatus(s.answer.data, wire.StatusIdle)
	result.Mark = committed.mark
	result.Status = wire.StatusIdle
	return s.finish(ctx, j, keep, result, time.Now(), from)
}

// answerAgain answers a resend with the first outcome, once that is confirmed.
func (s *Session) answerAgain(ctx context.Context, j *job, keep *held, record idempotency.Record) ending {
	touched, err := runQuietly(keep.conn, record.TouchSQL())
	if err != nil || touched.failure != nil {
		keep.conn.Poison()
		s.put(keep)
		return unknown("the request was sent before; its outcome can't be read now")
	}
	found, err := runQuietly(keep.conn, record.SelectSQL())
	request, first, ok := idempotency.ParseRow(found.row)
	if err != nil || !ok {
		keep.conn.Poison()
		s.put(keep)
		return unknown("the request was sent before; its outcome can't be read now")
	}
	if request != record.Fingerprint {
		s.put(keep)
		refusal := outcome.New(outcome.StateBadValue, "burdockwood.request_id was used for another request")
		refusal.Detail = outcome.DetailNotRun
		s.refuse(refusal)
		return done
	}
	from := len(s.answer.data)
	s.repeat(first)
	result := execute.Result{Status: wire.StatusIdle, Mark: touched.mark, Completed: 1, Tag: first.Tag}
	return s.finish(ctx, j, keep, result, time.Now(), from)
}

// recordTransaction records the identifier of a transaction that has just
// begun. If it couldn't, the transaction is over and the answer is taken back.
func (s *Session) recordTransaction(ctx context.Context, j *job, keep *held, from int) (end ending, recorded bool) {
	record := idempotency.Record{ID: j.prefs.requestID, Fingerprint: tagCommit}
	result, err := runQuietly(keep.conn, record.InsertSQL(tagCommit))
	if err == nil && result.failure == nil {
		return done, true
	}
	s.answer.data = s.answer.data[:from]
	defer s.put(keep)
	if err != nil {
		return notRun("the backend server was lost before the request", retryAfter), false
	}
	if _, err := runQuietly(keep.conn, textRollback); err != nil {
		return notRun("the backend server was lost before the request", retryAfter), false
	}
	switch result.failure.Code {
	case idempotency.StateUnique:
		return s.committedBefore(ctx, j, keep, record, from), false
	case idempotency.StateNoTable:
		_, err := runQuietly(keep.conn, idempotency.CreateTable)
		end = notRun("the table of identifiers was missing", retryAfter)
		end.redirect = err == nil
		return end, false
	default:
		return notRun("the identifier can't be recorded: "+result.failure.Message, retryAfter), false
	}
}

// committedBefore tells the caller that its transaction was committed before,
// once that is confirmed.
func (s *Session) committedBefore(ctx context.Context, j *job, keep *held, record idempotency.Record, from int) ending {
	touched, err := runQuietly(keep.conn, record.TouchSQL())
	if err != nil || touched.failure != nil {
		keep.conn.Poison()
		return notRun("the transaction's first outcome can't be read now", retryAfter)
	}
	if err := keep.group.Tracker.ConfirmWrite(ctx, touched.mark, time.Now()); err != nil {
		return notRun("the transaction's first outcome is not confirmed now: "+err.Error(), retryAfter)
	}
	if refusal := s.remember(ctx, keep.group, &j.prefs, execute.Result{Mark: touched.mark}, from); refusal != nil {
		return notRun(refusal.Message, retryAfter)
	}
	refusal := outcome.New(idempotency.StateUnique, "the transaction with this burdockwood.request_id was committed before")
	refusal.Detail = "first outcome: " + tagCommit
	s.refuse(refusal)
	return done
}

// rowsOf returns the messages of an answer that describe and carry rows; none
// if they are longer than idempotency.MaxRows.
func rowsOf(answer []byte) []byte {
	var rows []byte
	reader := wire.NewReader(bytes.NewReader(answer), len(answer)+1)
	for {
		message, err := reader.Next()
		if err != nil {
			return rows
		}
		if message.Type() != wire.RowDescription && message.Type() != wire.DataRow {
			continue
		}
		rows = append(rows, message...)
		if len(rows) > idempotency.MaxRowBytes {
			return nil
		}
	}
}

// repeat answers the request with a first outcome: the description of the rows
// where one is asked for, and the rows before the command tag.
func (s *Session) repeat(first idempotency.Outcome) {
	description, rows := splitRows(first.Rows)
	s.respond(first.Tag, description, rows)
}

// splitRows separates the last description from the rows. A request may have
// asked for more than one.
func splitRows(messages []byte) (description, rows []byte) {
	reader := wire.NewReader(bytes.NewReader(messages), len(messages)+1)
	for {
		message, err := reader.Next()
		if err != nil {
			return description, rows
		}
		if message.Type() == wire.RowDescription {
			description = append(description[:0], message...)
			continue
		}
		rows = append(rows, message...)
	}
}

// setStatus rewrites the transaction status of the answer's last message, if
// that is a ReadyForQuery.
func setStatus(answer []byte, status byte) {
	const readyLength = 6
	at := len(answer) - readyLength
	if at < 0 || answer[at] != wire.ReadyForQuery || binary.BigEndian.Uint32(answer[at+1:]) != readyLength-1 {
		return
	}
	answer[len(answer)-1] = status
}
