package execute

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/burdockwood/burdockwood/internal/proxy/classify"
	"github.com/burdockwood/burdockwood/internal/proxy/conn"
	"github.com/burdockwood/burdockwood/internal/proxy/wire"
)

// add adds messages to the request. They may refer to the statements in s.
func add(t *testing.T, r *Request, s *Statements, messages ...pgproto3.FrontendMessage) {
	t.Helper()
	for _, m := range messages {
		if _, err := r.Add(wire.Message(encode(nil, m)), s); err != nil {
			t.Fatal(err)
		}
	}
}

func TestKindOfPipeline(t *testing.T) {
	parse := func(sql string) *pgproto3.Parse { return &pgproto3.Parse{Query: sql} }
	bind, sync := &pgproto3.Bind{}, &pgproto3.Sync{}
	tests := []struct {
		name     string
		messages []pgproto3.FrontendMessage
		want     classify.Kind
	}{
		{"prepared but not executed", []pgproto3.FrontendMessage{parse("delete from a"), sync}, classify.Empty},
		{"read", []pgproto3.FrontendMessage{parse("select 1"), bind, sync}, classify.Read},
		{"read and write", []pgproto3.FrontendMessage{parse("select 1"), bind, parse("delete from a"), bind, sync}, classify.Write},
		{"begin and read", []pgproto3.FrontendMessage{parse("begin"), bind, parse("select 1"), bind, sync}, classify.Write},
	}
	for _, test := range tests {
		var r Request
		add(t, &r, &Statements{}, test.messages...)
		if r.Kind != test.want {
			t.Errorf("%s: kind = %v, want %v", test.name, r.Kind, test.want)
		}
	}
}

// The fingerprint depends on the texts and parameters of statements, but not on
// their names.
func TestFingerprint(t *testing.T) {
	fingerprint := func(name, sql, parameter string) string {
		var r Request
		add(t, &r, &Statements{}, &pgproto3.Parse{Name: name, Query: sql},
			&pgproto3.Bind{PreparedStatement: name, Parameters: [][]byte{[]byte(parameter)}}, &pgproto3.Execute{}, &pgproto3.Sync{})
		return r.Fingerprint()
	}
	first := fingerprint("a", "insert into a values ($1)", "1")
	if got := fingerprint("b", "insert into a values ($1)", "1"); got != first {
		t.Errorf("another name changes the fingerprint: %s, want %s", got, first)
	}
	if got := fingerprint("a", "insert into a values ($1)", "2"); got == first {
		t.Errorf("another parameter keeps the fingerprint %s", got)
	}
	if got := fingerprint("a", "insert into b values ($1)", "1"); got == first {
		t.Errorf("another text keeps the fingerprint %s", got)
	}
}

// FuzzRequest adds a message of arbitrary content to a request. Add must not
// panic, and a request that it accepts can be planned.
func FuzzRequest(f *testing.F) {
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Query{String: "select 1"}, &pgproto3.Parse{Name: "a", Query: "select $1"},
		&pgproto3.Bind{PreparedStatement: "a"}, &pgproto3.Describe{ObjectType: 'S', Name: "a"}, &pgproto3.Close{ObjectType: 'S'},
	} {
		encoded := encode(nil, m)
		f.Add(encoded[0], encoded[headerLength:])
	}
	f.Fuzz(func(t *testing.T, kind byte, body []byte) {
		var r Request
		statements := &Statements{}
		add(t, &r, statements, &pgproto3.Parse{Name: "a", Query: "select $1"})
		if _, err := r.Add(wire.Message(appendMessage(nil, kind, body)), statements); err != nil {
			return
		}
		var p Plan
		p.Build(&r, &conn.Conn{})
		r.Fingerprint()
	})
}
