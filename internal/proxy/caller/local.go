package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/burdockwood/burdockwood/internal/proxy/classify"
	"github.com/burdockwood/burdockwood/internal/proxy/outcome"
	"github.com/burdockwood/burdockwood/internal/proxy/wire"
)

const (
	tagSet      = "SET"
	tagRollback = "ROLLBACK"
	tagDiscard  = "DISCARD ALL"

	stateNoStatement = "26000"
)

// answerLocal answers a request that no backend server need see, and reports
// whether it was one.
func (s *Session) answerLocal() bool {
	about := s.request.Class
	switch {
	case s.request.ExecuteCount == 0 && s.onlySync():
		s.succeed("")
	case about.IsProxySetting && s.request.Kind == classify.Set:
		s.answerOwn(about)
	case s.request.Kind == classify.Set && (about.Setting.Name == "discard" || about.Setting.Name == "deallocate") && s.held == nil:
		s.statements.Clear()
		if about.Setting.Name == "discard" {
			s.settings.clear()
		}
		s.succeed(tagDiscard)
	case s.request.Kind == classify.CopyIn:
		s.refuse(outcome.New(outcome.StateUnsupported, "COPY FROM STDIN is not supported through burdockwood: use INSERT"))
	case s.status == wire.StatusFailed && s.held == nil:
		s.answerFailed()
	default:
		return false
	}
	return true
}

// onlySync reports whether the request consists of Sync or Flush alone.
func (s *Session) onlySync() bool {
	return len(s.request.Items) == 1 && !s.request.Simple && s.held == nil
}

// answerOwn takes a SET of one of the proxy's own settings.
func (s *Session) answerOwn(about classify.Statement) {
	if s.request.ExecuteCount > 0 {
		if refusal := s.prefer(&s.own, about.Setting); refusal != nil {
			s.refuse(refusal)
			return
		}
	}
	s.succeed(tagSet)
}

// answerFailed serves a caller whose transaction was lost with its backend
// connection.
func (s *Session) answerFailed() {
	if s.request.Kind == classify.Rollback || s.request.Kind == classify.Commit {
		s.status = wire.StatusIdle
		s.succeed(tagRollback)
		return
	}
	s.refuse(outcome.New(outcome.StateFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block"))
}

// refuse answers the request with an error.
func (s *Session) refuse(refusal *outcome.Error) {
	s.open()
	s.answer.data = refusal.Append(s.answer.data)
	if !s.request.ExpectsReady {
		s.skipping = true
		return
	}
	s.answer.data = outcome.AppendReady(s.answer.data, s.status)
}

// succeed answers each message of the request as a server would whose
// statements return no rows.
func (s *Session) succeed(tag string) { s.respond(tag, nil, nil) }

// respond answers each message of the request as a server would, with the
// messages that describe and carry rows.
func (s *Session) respond(tag string, description, rows []byte) {
	s.open()
	buf := s.answer.data
	for i := range s.request.Items {
		switch s.request.Items[i].Type {
		case wire.Parse:
			buf = outcome.Append(buf, &pgproto3.ParseComplete{})
		case wire.Bind:
			buf = outcome.Append(buf, &pgproto3.BindComplete{})
		case wire.Close:
			buf = outcome.Append(buf, &pgproto3.CloseComplete{})
		case wire.Describe:
			if s.request.Items[i].IsStatement() {
				buf = outcome.Append(buf, &pgproto3.ParameterDescription{})
			}
			buf = appendDescription(buf, description)
		case wire.Execute:
			buf = append(buf, rows...)
			buf = outcome.Append(buf, &pgproto3.CommandComplete{CommandTag: []byte(tag)})
		case wire.Query:
			buf = append(append(buf, description...), rows...)
			buf = outcome.Append(buf, &pgproto3.CommandComplete{CommandTag: []byte(tag)})
			buf = outcome.AppendReady(buf, s.status)
		case wire.Sync:
			buf = outcome.AppendReady(buf, s.status)
			s.skipping = false
		}
	}
	s.answer.data = buf
}

func appendDescription(buf, description []byte) []byte {
	if len(description) == 0 {
		return outcome.Append(buf, &pgproto3.NoData{})
	}
	return append(buf, description...)
}

// appendFront puts messages before what the answer holds from offset at.
func (s *Session) appendFront(at int, messages []byte) {
	n := len(messages)
	s.answer.data = append(s.answer.data, messages...)
	copy(s.answer.data[at+n:], s.answer.data[at:len(s.answer.data)-n])
	copy(s.answer.data[at:], messages)
}
