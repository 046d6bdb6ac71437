package daemon

import (
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
)

// fakeSession is one connection to a fake server.
type fakeSession struct {
	server  *fakeServer
	backend *pgproto3.Backend
	id      uint32
	// transactionStatus is the transaction transactionStatus that ReadyForQuery carries.
	transactionStatus byte
	// statements are the texts of the prepared statements by their name.
	statements map[string]string
	// boundSQL and params are the statement and the parameters of the last Bind.
	boundSQL string
	params   []string
	// skipToSync is true after an error. The rest of a simple query, or the
	// messages up to the next Sync, are then skipped.
	skipToSync bool
	// pendingWrites apply the writes that aren't committed yet.
	pendingWrites []func()
}

// run handles messages until the connection ends.
func (f *fakeSession) run() {
	for {
		message, err := f.backend.Receive()
		if err != nil {
			return
		}
		if f.skipToSync {
			if _, ok := message.(*pgproto3.Sync); !ok {
				continue
			}
		}
		if err := f.handle(message); err != nil {
			return
		}
	}
}

// handle answers one message. An error closes the connection.
func (f *fakeSession) handle(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Query:
		for _, sql := range strings.Split(m.String, ";") {
			if sql = strings.TrimSpace(sql); sql == "" || f.skipToSync {
				continue
			}
			if err := f.execute(sql, nil, true); err != nil {
				return err
			}
		}
		f.sendReady()
		return f.backend.Flush()
	case *pgproto3.Parse:
		if _, exists := f.statements[m.Name]; exists && m.Name != "" {
			f.sendError("42P05", "prepared statement exists")
			return nil
		}
		f.statements[m.Name] = m.Query
		f.server.update(func(s *fakeServer) { s.preparedSQL = append(s.preparedSQL, m.Query) })
		f.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		sql, ok := f.statements[m.PreparedStatement]
		if !ok {
			f.sendError("26000", "prepared statement does not exist")
			return nil
		}
		f.boundSQL = sql
		f.params = nil
		for _, p := range m.Parameters {
			f.params = append(f.params, string(p))
		}
		f.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		sql := f.boundSQL
		if m.ObjectType == 'S' {
			sql = f.statements[m.Name]
			oids := make([]uint32, strings.Count(sql, "$"))
			for i := range oids {
				oids[i] = 25 // text
			}
			f.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
		}
		if strings.HasPrefix(sql, "select") {
			f.sendRowDescription()
		} else {
			f.backend.Send(&pgproto3.NoData{})
		}
	case *pgproto3.Execute:
		return f.execute(f.boundSQL, f.params, false)
	case *pgproto3.Close:
		delete(f.statements, m.Name)
		f.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		f.sendReady()
		return f.backend.Flush()
	case *pgproto3.Flush:
		return f.backend.Flush()
	case *pgproto3.Terminate:
		return errCloseConnection
	}
	return nil
}

func (f *fakeSession) sendReady() {
	f.skipToSync = false
	f.backend.Send(&pgproto3.ReadyForQuery{TxStatus: f.transactionStatus})
}

func (f *fakeSession) sendError(code, text string) {
	f.skipToSync = true
	if f.transactionStatus == 'T' {
		f.transactionStatus = 'E'
	}
	f.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: text})
}

// sendRowDescription describes rows with one column of type text (OID 25).
func (f *fakeSession) sendRowDescription() {
	f.backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25, DataTypeSize: -1}}})
}

// execute runs a statement and sends its answer. If describe is true, rows are
// preceded by their description, as the simple protocol has it. Statements other
// than those in the switch have no effect and are answered with their first word.
func (f *fakeSession) execute(sql string, params []string, describe bool) error {
	s := f.server
	s.mu.Lock()
	hook := s.beforeStatement
	s.executedSQL = append(s.executedSQL, sql)
	s.mu.Unlock()
	if hook != nil {
		if err := hook(sql); err != nil {
			return err
		}
	}
	word, _, _ := strings.Cut(strings.ToLower(sql), " ")
	switch word {
	case "begin":
		f.transactionStatus = 'T'
		f.sendComplete("BEGIN")
	case "commit":
		f.commit("COMMIT")
		f.transactionStatus = 'I'
	case "rollback":
		f.pendingWrites = nil
		f.transactionStatus = 'I'
		f.sendComplete("ROLLBACK")
	case "select":
		f.read(sql, params, describe)
	case "update", "insert":
		f.write(sql, params)
	default:
		f.sendComplete(strings.ToUpper(word))
	}
	return nil
}

// read serves a select: "select sleep" waits 5 s for a cancel request, "select name"
// returns the server's name, and any other select returns the value of the key that
// is its first parameter. A replica refuses a select that contains "primary_only".
func (f *fakeSession) read(sql string, params []string, describe bool) {
	s := f.server
	value := ""
	switch {
	case strings.Contains(sql, "sleep"):
		if f.sleep() {
			f.sendError("57014", "canceled")
			return
		}
	case strings.Contains(sql, "primary_only") && s.isReplica():
		f.sendError(adapter.StateReadOnly, "read only")
		return
	case strings.Contains(sql, "name"):
		value = s.name
	case len(params) > 0:
		s.mu.Lock()
		value = s.values[params[0]]
		s.mu.Unlock()
	}
	if describe {
		f.sendRowDescription()
	}
	f.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	f.sendComplete("SELECT 1")
}

// sleep waits 5 s or until the statement is cancelled.
func (f *fakeSession) sleep() (cancelled bool) {
	c := make(chan struct{})
	f.server.update(func(s *fakeServer) { s.sleepingStatements[f.id] = c })
	select {
	case <-c:
		return true
	case <-time.After(5 * time.Second):
		return false
	}
}

// write serves "update kv set v = $1 where k = $2" and "update kv KEY VALUE", which
// set the value of a key, also of a new one. Outside a transaction it commits.
func (f *fakeSession) write(sql string, params []string) {
	if f.server.isReplica() {
		f.sendError(adapter.StateReadOnly, "read only")
		return
	}
	if len(params) < 2 {
		words := strings.Fields(sql)
		params = []string{words[len(words)-1], words[len(words)-2]}
	}
	f.pendingWrites = append(f.pendingWrites, func() { f.server.putValue(params[1], params[0]) })
	if f.transactionStatus == 'I' {
		f.commit("UPDATE 1")
		return
	}
	f.sendComplete("UPDATE 1")
}

// commit applies the pending writes, unless the transaction has failed or the server
// is a replica or fenced by a higher term. It answers with the command tag tag, after
// the log position of the writes.
func (f *fakeSession) commit(tag string) {
	if f.transactionStatus == 'E' {
		f.pendingWrites = nil
		f.sendComplete("ROLLBACK")
		return
	}
	s := f.server
	if len(f.pendingWrites) > 0 {
		if s.isReplica() || s.isFenced() {
			f.pendingWrites = nil
			f.sendError(adapter.StateNotPrimary, "not primary")
			f.transactionStatus = 'I'
			return
		}
		for _, apply := range f.pendingWrites {
			apply()
		}
		f.pendingWrites = nil
		f.backend.Send(&pgproto3.ParameterStatus{Name: adapter.PositionParameter, Value: s.appendLogEntry().String()})
	}
	f.sendComplete(tag)
}

func (f *fakeSession) sendComplete(tag string) {
	f.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}
