package execute

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/proxy/classify"
	"github.com/burdockwood/burdockwood/internal/proxy/conn"
	"github.com/burdockwood/burdockwood/internal/proxy/wire"
)

// maxStatements is the maximum number of named prepared statements per caller.
const maxStatements = 4096

var (
	// ErrUnknownStatement is returned if a message refers to a prepared
	// statement that the caller hasn't prepared.
	ErrUnknownStatement = eris.New("prepared statement does not exist")
	// ErrTooManyStatements is returned if the caller exceeds the maximum number
	// of prepared statements.
	ErrTooManyStatements = eris.New("too many prepared statements in one session")
	// ErrUnsupported is returned for a type of message that the proxy doesn't
	// support.
	ErrUnsupported = eris.New("message is not supported by the proxy")
)

type (
	// Statement is a statement prepared by the caller.
	Statement struct {
		Key     conn.StatementKey
		Message []byte // the complete Parse message
		Class   classify.Statement
	}

	// Statements holds the caller's prepared statements under the caller's
	// names.
	Statements struct {
		named   map[string]*Statement
		unnamed *Statement
	}

	// Item is one message of a request and the prepared statement that it
	// refers to.
	Item struct {
		Type byte
		// start and end delimit the message in Request.data.
		start     int
		end       int
		statement *Statement
		// named is true if statement has a name. For a Close it is true if the
		// message closes a statement, named or not, rather than a portal.
		named bool
	}

	// Request is a unit that is executed and answered as a whole: a simple
	// query, or the messages up to a Sync or Flush.
	Request struct {
		Items []Item
		// Kind is the highest kind among the executed statements.
		Kind classify.Kind
		// Simple is true if the request is a simple query.
		Simple bool
		// Class classifies the text of a simple query, or the only statement
		// that is executed.
		Class classify.Statement
		// ExecuteCount is the number of statements in a simple query, or of
		// Bind messages.
		ExecuteCount int
		// ExpectsReady is true if the answer ends with ReadyForQuery.
		ExpectsReady bool

		data []byte
	}
)

// Reset empties the request for the next one and frees buffers that are too
// large to keep.
func (r *Request) Reset() {
	data := r.data[:0]
	if cap(data) > maxKeptBuffer {
		data = nil
	}
	items := r.Items[:0]
	if cap(items) > maxKeptItems {
		items = nil
	}
	*r = Request{Items: items, data: data}
}

// Size returns the length of the request in bytes.
func (r *Request) Size() int { return len(r.data) }

// Add adds the next message to the request and reports whether the request is
// complete. It copies the message. Errors are ErrUnsupported,
// ErrUnknownStatement, ErrTooManyStatements and wire.ErrMalformed.
func (r *Request) Add(message wire.Message, statements *Statements) (complete bool, err error) {
	item := Item{Type: message.Type(), start: len(r.data)}
	switch message.Type() {
	case wire.Query:
		err = r.addQuery(message)
	case wire.Parse:
		err = r.addParse(message, statements, &item)
	case wire.Bind, wire.Describe, wire.Close, wire.Execute:
		err = r.addExtended(message, statements, &item)
	case wire.Sync, wire.Flush:
	default:
		err = eris.Wrapf(ErrUnsupported, "message type %q", message.Type())
	}
	if err != nil {
		return false, err
	}
	r.data = append(r.data, message...)
	item.end = len(r.data)
	r.Items = append(r.Items, item)
	r.ExpectsReady = item.Type == wire.Query || item.Type == wire.Sync
	return r.ExpectsReady || item.Type == wire.Flush, nil
}

func (r *Request) addQuery(message wire.Message) error {
	body := message.Body()
	if len(body) == 0 || body[len(body)-1] != 0 {
		return eris.Wrap(wire.ErrMalformed, "query")
	}
	r.Simple = true
	r.Class = classify.SQL(string(body[:len(body)-1]))
	r.Kind = r.Class.Kind
	r.ExecuteCount = r.Class.Count
	return nil
}

func (r *Request) addParse(message wire.Message, statements *Statements, item *Item) error {
	var parse pgproto3.Parse
	if err := parse.Decode(message.Body()); err != nil {
		return eris.Wrap(wire.ErrMalformed, err.Error())
	}
	statement, err := statements.set(&parse, message)
	if err != nil {
		return err
	}
	item.statement = statement
	item.named = parse.Name != ""
	return nil
}

func (r *Request) addExtended(message wire.Message, statements *Statements, item *Item) error {
	name, refers, err := referredStatement(message)
	if err != nil {
		return err
	}
	if !refers {
		return nil
	}
	if message.Type() == wire.Close {
		statements.remove(name)
		item.named = true
		return nil
	}
	statement := statements.get(name)
	if statement == nil {
		return eris.Wrapf(ErrUnknownStatement, "%q", name)
	}
	item.statement = statement
	item.named = name != ""
	if message.Type() == wire.Bind {
		r.addExecuted(statement.Class)
	}
	return nil
}

// addExecuted updates the classification for a statement that will be executed.
func (r *Request) addExecuted(class classify.Statement) {
	r.ExecuteCount++
	if r.ExecuteCount == 1 {
		r.Class = class
		r.Kind = class.Kind
		return
	}
	r.Class = classify.Statement{Kind: max(r.Kind, class.Kind), Count: r.ExecuteCount, Hints: r.Class.Hints}
	// Transaction control among statements of other kinds can't be tracked, so
	// the request is treated as a write.
	if r.Kind != class.Kind && r.Class.Kind > classify.Read && r.Class.Kind < classify.Write {
		r.Class.Kind = classify.Write
	}
	r.Kind = r.Class.Kind
}

// referredStatement returns the name of the prepared statement that a message
// refers to. refers is false if the message refers to a portal or to nothing.
func referredStatement(message wire.Message) (name string, refers bool, err error) {
	switch message.Type() {
	case wire.Bind:
		_, name, _, err = splitBind(message)
		return name, true, err
	case wire.Describe, wire.Close:
		body := message.Body()
		if len(body) < 2 || body[len(body)-1] != 0 {
			return "", false, eris.Wrap(wire.ErrMalformed, "describe or close")
		}
		return string(body[1 : len(body)-1]), body[0] == 'S', nil
	default:
		return "", false, nil
	}
}

func (s *Statements) get(name string) *Statement {
	if name == "" {
		return s.unnamed
	}
	return s.named[name]
}

func (s *Statements) set(parse *pgproto3.Parse, message wire.Message) (*Statement, error) {
	statement := &Statement{
		Key:     conn.NewStatementKey(parse.Query, parse.ParameterOIDs),
		Message: append([]byte(nil), message...),
		Class:   classify.SQL(parse.Query),
	}
	if parse.Name == "" {
		s.unnamed = statement
		return statement, nil
	}
	if len(s.named) >= maxStatements {
		return nil, ErrTooManyStatements
	}
	if s.named == nil {
		s.named = map[string]*Statement{}
	}
	s.named[parse.Name] = statement
	return statement, nil
}

func (s *Statements) remove(name string) {
	if name == "" {
		s.unnamed = nil
		return
	}
	delete(s.named, name)
}

// Clear removes all statements.
func (s *Statements) Clear() { *s = Statements{} }

// RefersToStatement reports whether the message refers to a prepared statement
// rather than a portal.
func (i *Item) RefersToStatement() bool { return i.statement != nil }
