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

// answerLocal answers a request that the proxy can answer without a backend
// server, and reports whether it did.
func (s *Session) answerLocal() bool {
	class := s.request.Class
	switch {
	case s.request.ExecuteCount == 0 && s.isOnlySync():
		s.succeed("")
	case class.IsProxySetting && s.request.Kind == classify.Set:
		s.answerProxySetting(class)
	case s.request.Kind == classify.Set && (class.Setting.Name == "discard" || class.Setting.Name == "deallocate") && s.held == nil:
		s.statements.Clear()
		if class.Setting.Name == "discard" {
			s.settings.clear()
		}
		s.succeed(tagDiscard)
	case s.request.Kind == classify.CopyIn:
		s.refuse(outcome.New(outcome.StateUnsupported, "COPY FROM STDIN is not supported through burdockwood: use INSERT"))
	case s.status == wire.StatusFailed && s.held == nil:
		s.answerInFailedTransaction()
	default:
		return false
	}
	return true
}

// isOnlySync reports whether the request consists only of a Sync or Flush and
// the session holds no connection.
func (s *Session) isOnlySync() bool {
	return len(s.request.Items) == 1 && !s.request.Simple && s.held == nil
}

// answerProxySetting applies a SET or RESET of a proxy setting.
func (s *Session) answerProxySetting(class classify.Statement) {
	if s.request.ExecuteCount > 0 {
		if refusal := s.setPreference(&s.prefs, class.Setting); refusal != nil {
			s.refuse(refusal)
			return
		}
	}
	s.succeed(tagSet)
}

// answerInFailedTransaction answers a request in a transaction that was lost
// with its backend connection.
func (s *Session) answerInFailedTransaction() {
	if s.request.Kind == classify.Rollback || s.request.Kind == classify.Commit {
		s.status = wire.StatusIdle
		s.succeed(tagRollback)
		return
	}
	s.refuse(outcome.New(outcome.StateFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block"))
}

// refuse answers the request with an error.
func (s *Session) refuse(refusal *outcome.Error) {
	s.ensureAnswer()
	s.answer.data = refusal.Append(s.answer.data)
	if !s.request.ExpectsReady {
		s.skipToSync = true
		return
	}
	s.answer.data = outcome.AppendReady(s.answer.data, s.status)
}

// succeed answers each message of the request like a server whose statements
// return no rows.
func (s *Session) succeed(tag string) { s.respond(tag, nil, nil) }

// respond answers each message of the request like a server, with the given
// RowDescription and DataRow messages.
func (s *Session) respond(tag string, description, rows []byte) {
	s.ensureAnswer()
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
			if s.request.Items[i].RefersToStatement() {
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
			s.skipToSync = false
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

// insertIntoAnswer inserts messages into the answer at offset at.
func (s *Session) insertIntoAnswer(at int, messages []byte) {
	n := len(messages)
	s.answer.data = append(s.answer.data, messages...)
	copy(s.answer.data[at+n:], s.answer.data[at:len(s.answer.data)-n])
	copy(s.answer.data[at:], messages)
}
