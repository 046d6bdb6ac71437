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

// isIdempotentRequest reports whether the request has an identifier and is a
// write outside a transaction.
func (s *Session) isIdempotentRequest(j *job) bool {
	return j.prefs.requestID != "" && s.request.Kind == classify.Write
}

func (s *Session) idempotencyRecord(prefs *preferences) idempotency.Record {
	return idempotency.Record{ID: prefs.requestID, Fingerprint: s.request.Fingerprint()}
}

// unrecordableRefusal returns the error of a request that has an identifier but
// can't be executed at most once, or nil.
func (s *Session) unrecordableRefusal(prefs *preferences) *outcome.Error {
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

// unrecordableHeldRefusal returns the error of a request on a held connection
// whose identifier can't be recorded, or nil. This is a request within a
// transaction that began without the identifier, or one in a pinned session.
func (s *Session) unrecordableHeldRefusal() *outcome.Error {
	isRequestID := func(hint classify.Setting) bool { return hint.Name == settingRequest }
	hasRequestIDHint := slices.ContainsFunc(s.request.Class.Hints, isRequestID)
	isPinnedWrite := s.status == wire.StatusIdle && s.prefs.requestID != "" && s.request.Kind > classify.Read && s.request.Kind != classify.Set
	if !hasRequestIDHint && !isPinnedWrite {
		return nil
	}
	refusal := outcome.New(outcome.StateUnsupported, "burdockwood.request_id must be set before the transaction, in a session without state at its server")
	refusal.Detail = outcome.DetailNotRun
	return refusal
}

// runIdempotent executes a request with an identifier in one transaction with
// the record of the identifier. If the identifier is already recorded, the
// request isn't executed.
func (s *Session) runIdempotent(ctx context.Context, j *job, acquired *acquiredConn) attemptResult {
	record := s.idempotencyRecord(&j.prefs)
	isNew, attempt := s.beginRecorded(acquired, record.BeginSQL(""))
	if attempt.result != retry.Done {
		s.releaseConn(acquired)
		return attempt
	}
	if !isNew {
		return s.replayOutcome(ctx, j, acquired, record)
	}
	startedAt := time.Now()
	answerStart := len(s.answer.data)
	result, err := s.exchange(ctx, acquired, startedAt)
	j.service = time.Since(startedAt)
	acquired.server.EndRequest(acquired.conn, j.service)
	if err != nil {
		s.answer.data = s.answer.data[:min(answerStart, len(s.answer.data))]
		s.releaseConn(acquired)
		return notRunResult("the backend server was lost before the commit", defaultRetryAfter)
	}
	if result.Status != wire.StatusInTransaction {
		return s.rollBackIdempotent(acquired)
	}
	return s.commitIdempotent(ctx, j, acquired, record, result, answerStart)
}

// beginRecorded begins a transaction and inserts the identifier with the given
// statements. It reports whether the identifier was new. It creates the table
// of identifiers if it is missing.
func (s *Session) beginRecorded(acquired *acquiredConn, beginSQL string) (isNew bool, attempt attemptResult) {
	for range 2 {
		result, err := runInternal(acquired.conn, beginSQL)
		if err != nil {
			return false, notRunResult("the backend server was lost before the request", defaultRetryAfter)
		}
		if result.failure == nil {
			return true, doneResult
		}
		if _, err := runInternal(acquired.conn, textRollback); err != nil {
			return false, notRunResult("the backend server was lost before the request", defaultRetryAfter)
		}
		switch result.failure.Code {
		case idempotency.StateUnique:
			return false, doneResult
		case idempotency.StateNoTable:
			if _, err := runInternal(acquired.conn, idempotency.CreateTable); err != nil {
				return false, notRunResult("the backend server was lost before the request", defaultRetryAfter)
			}
		default:
			return false, notRunResult("the identifier can't be recorded: "+result.failure.Message, defaultRetryAfter)
		}
	}
	return false, notRunResult("the table of identifiers can't be made", defaultRetryAfter)
}

// rollBackIdempotent rolls back a request that failed. Its identifier isn't
// recorded.
func (s *Session) rollBackIdempotent(acquired *acquiredConn) attemptResult {
	if _, err := runInternal(acquired.conn, textRollback); err != nil {
		acquired.conn.PreventReuse()
	}
	setReadyStatus(s.answer.data, wire.StatusIdle)
	s.releaseConn(acquired)
	return doneResult
}

// commitIdempotent commits the request together with its record and confirms
// both.
func (s *Session) commitIdempotent(ctx context.Context, j *job, acquired *acquiredConn, record idempotency.Record, result execute.Result, answerStart int) attemptResult {
	firstOutcome := idempotency.Outcome{Tag: result.Tag, Rows: rowMessages(s.answer.data[answerStart:])}
	committed, err := runInternal(acquired.conn, record.CommitSQL(firstOutcome))
	if err != nil {
		s.answer.data = s.answer.data[:min(answerStart, len(s.answer.data))]
		s.releaseConn(acquired)
		return unknownResult("the backend server was lost before the commit was answered")
	}
	if committed.failure != nil {
		s.answer.data = s.answer.data[:min(answerStart, len(s.answer.data))]
		_, _ = runInternal(acquired.conn, textRollback)
		acquired.conn.PreventReuse()
		s.releaseConn(acquired)
		if committed.failure.Code == adapter.StateNotPrimary {
			return notRunResult("the server is no longer primary", defaultRetryAfter)
		}
		return notRunResult("the commit was refused: "+committed.failure.Message, defaultRetryAfter)
	}
	setReadyStatus(s.answer.data, wire.StatusIdle)
	result.Position = committed.position
	result.Status = wire.StatusIdle
	return s.finish(ctx, j, acquired, result, time.Now(), answerStart)
}

// replayOutcome answers a request that was executed before with its first
// outcome, once that is confirmed.
func (s *Session) replayOutcome(ctx context.Context, j *job, acquired *acquiredConn, record idempotency.Record) attemptResult {
	touched, err := runInternal(acquired.conn, record.TouchSQL())
	if err != nil || touched.failure != nil {
		acquired.conn.PreventReuse()
		s.releaseConn(acquired)
		return unknownResult("the request was sent before; its outcome can't be read now")
	}
	found, err := runInternal(acquired.conn, record.SelectSQL())
	request, first, ok := idempotency.ParseRow(found.row)
	if err != nil || !ok {
		acquired.conn.PreventReuse()
		s.releaseConn(acquired)
		return unknownResult("the request was sent before; its outcome can't be read now")
	}
	if request != record.Fingerprint {
		s.releaseConn(acquired)
		refusal := outcome.New(outcome.StateBadValue, "burdockwood.request_id was used for another request")
		refusal.Detail = outcome.DetailNotRun
		s.refuse(refusal)
		return doneResult
	}
	answerStart := len(s.answer.data)
	s.appendFirstOutcome(first)
	result := execute.Result{Status: wire.StatusIdle, Position: touched.position, Completed: 1, Tag: first.Tag}
	return s.finish(ctx, j, acquired, result, time.Now(), answerStart)
}

// recordTransaction records the identifier of a transaction that has just
// begun. If this fails, it rolls the transaction back, removes its answer and
// returns recorded = false.
func (s *Session) recordTransaction(ctx context.Context, j *job, acquired *acquiredConn, answerStart int) (attempt attemptResult, recorded bool) {
	// The transaction's statements aren't known yet, so they can't be hashed;
	// all transactions have the same fingerprint.
	record := idempotency.Record{ID: j.prefs.requestID, Fingerprint: tagCommit}
	result, err := runInternal(acquired.conn, record.InsertSQL(tagCommit))
	if err == nil && result.failure == nil {
		return doneResult, true
	}
	s.answer.data = s.answer.data[:answerStart]
	defer s.releaseConn(acquired)
	if err != nil {
		return notRunResult("the backend server was lost before the request", defaultRetryAfter), false
	}
	if _, err := runInternal(acquired.conn, textRollback); err != nil {
		return notRunResult("the backend server was lost before the request", defaultRetryAfter), false
	}
	switch result.failure.Code {
	case idempotency.StateUnique:
		return s.refuseCommittedBefore(ctx, j, acquired, record, answerStart), false
	case idempotency.StateNoTable:
		_, err := runInternal(acquired.conn, idempotency.CreateTable)
		attempt = notRunResult("the table of identifiers was missing", defaultRetryAfter)
		attempt.causeRemoved = err == nil
		return attempt, false
	default:
		return notRunResult("the identifier can't be recorded: "+result.failure.Message, defaultRetryAfter), false
	}
}

// refuseCommittedBefore answers that the transaction was committed before, once
// that is confirmed.
func (s *Session) refuseCommittedBefore(ctx context.Context, j *job, acquired *acquiredConn, record idempotency.Record, answerStart int) attemptResult {
	touched, err := runInternal(acquired.conn, record.TouchSQL())
	if err != nil || touched.failure != nil {
		acquired.conn.PreventReuse()
		return notRunResult("the transaction's first outcome can't be read now", defaultRetryAfter)
	}
	if err := acquired.group.Tracker.ConfirmWrite(ctx, touched.position, time.Now()); err != nil {
		return notRunResult("the transaction's first outcome is not confirmed now: "+err.Error(), defaultRetryAfter)
	}
	if refusal := s.recordPosition(ctx, acquired.group, &j.prefs, execute.Result{Position: touched.position}, answerStart); refusal != nil {
		return notRunResult(refusal.Message, defaultRetryAfter)
	}
	refusal := outcome.New(idempotency.StateUnique, "the transaction with this burdockwood.request_id was committed before")
	refusal.Detail = "first outcome: " + tagCommit
	s.refuse(refusal)
	return doneResult
}

// rowMessages returns the RowDescription and DataRow messages of an answer, or
// nil if they are longer than idempotency.MaxRowBytes.
func rowMessages(answer []byte) []byte {
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

// appendFirstOutcome answers the request with its first outcome: the
// RowDescription where the request asks for it, and the rows before the command
// tag.
func (s *Session) appendFirstOutcome(first idempotency.Outcome) {
	description, rows := splitRows(first.Rows)
	s.respond(first.Tag, description, rows)
}

// splitRows separates the last RowDescription message from the DataRow
// messages. There may be more than one RowDescription, since a request may ask
// for it repeatedly.
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

// setReadyStatus overwrites the transaction status in the answer's last
// message, if that is a ReadyForQuery.
func setReadyStatus(answer []byte, status byte) {
	const readyLength = 6
	start := len(answer) - readyLength
	if start < 0 || answer[start] != wire.ReadyForQuery || binary.BigEndian.Uint32(answer[start+1:]) != readyLength-1 {
		return
	}
	answer[len(answer)-1] = status
}
