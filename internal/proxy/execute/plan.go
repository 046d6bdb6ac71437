package execute

import (
	"bytes"
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/proxy/conn"
	"github.com/burdockwood/burdockwood/internal/proxy/wire"
)

const (
	// maxKeptBuffer is the largest request buffer in bytes that is kept for the
	// caller's next request.
	maxKeptBuffer = 1 << 10
	// maxKeptItems is the largest number of items that is kept for the caller's
	// next request.
	maxKeptItems = 16
	// headerLength is the length in bytes of a message's type and length
	// fields.
	headerLength = 5
)

// How the backend server's answer to a step is handled. generate means that the
// step isn't sent to the server and the proxy generates its answer.
const (
	forward answerHandling = iota
	discard
	generate
)

type (
	answerHandling uint8

	// step is a message of a request that expects an answer.
	step struct {
		messageType byte
		answer      answerHandling
		// prepares is the key of the statement that this step prepares, if any.
		// unnamed is true if it prepares it as the unnamed statement.
		prepares conn.StatementKey
		unnamed  bool
	}

	// Plan is a request rewritten for one backend connection: prepared
	// statements have the connection's names, and statements that the
	// connection lacks are prepared first.
	Plan struct {
		out   []byte
		steps []step
	}
)

// Build rewrites the request for connection c.
func (p *Plan) Build(r *Request, c *conn.Conn) {
	p.out = p.out[:0]
	p.steps = p.steps[:0]
	for i := range r.Items {
		p.addItem(r, &r.Items[i], &c.Statements)
	}
}

// ReleaseBuffers frees buffers that are too large to keep.
func (p *Plan) ReleaseBuffers() {
	if cap(p.out) > maxKeptBuffer {
		p.out = nil
	}
	if cap(p.steps) > maxKeptItems {
		p.steps = nil
	}
}

func (p *Plan) addItem(r *Request, item *Item, statements *conn.Statements) {
	message := wire.Message(r.data[item.start:item.end])
	switch {
	case item.Type == wire.Parse && item.named:
		if _, ok := statements.Name(item.statement.Key); ok {
			p.steps = append(p.steps, step{messageType: wire.Parse, answer: generate})
			return
		}
		p.appendParse(item.statement, statements, forward)
	case item.Type == wire.Parse:
		p.appendUnnamedParse(item.statement, statements, forward)
	case item.Type == wire.Bind:
		p.appendBind(message, p.ensurePrepared(item, statements))
	case item.Type == wire.Describe && item.statement != nil:
		p.appendDescribe(p.ensurePrepared(item, statements))
	case item.Type == wire.Close && item.named:
		p.steps = append(p.steps, step{messageType: wire.Close, answer: generate})
	case item.Type == wire.Flush:
		p.out = append(p.out, message...)
	default:
		p.appendUnchanged(message)
	}
}

// appendUnchanged adds a message without rewriting it.
func (p *Plan) appendUnchanged(message wire.Message) {
	p.out = append(p.out, message...)
	p.steps = append(p.steps, step{messageType: message.Type()})
}

// ensurePrepared adds a Parse if the connection lacks the item's statement, and
// returns the statement's name on the connection.
func (p *Plan) ensurePrepared(item *Item, statements *conn.Statements) string {
	if item.named {
		if name, ok := statements.Name(item.statement.Key); ok {
			return name
		}
		return p.appendParse(item.statement, statements, discard)
	}
	if statements.Unnamed() != item.statement.Key {
		p.appendUnnamedParse(item.statement, statements, discard)
	}
	return ""
}

// appendParse adds a Parse under a new name. If the connection has too many
// statements, it adds a Close of the oldest one first.
func (p *Plan) appendParse(statement *Statement, statements *conn.Statements, answer answerHandling) string {
	name, evicted := statements.Add(statement.Key)
	if evicted != "" {
		p.out = encode(p.out, &pgproto3.Close{ObjectType: 'S', Name: evicted})
		p.steps = append(p.steps, step{messageType: wire.Close, answer: discard})
	}
	body := wire.Message(statement.Message).Body()
	rest := body[bytes.IndexByte(body, 0):]
	p.out = appendMessage(p.out, wire.Parse, []byte(name), rest)
	p.steps = append(p.steps, step{messageType: wire.Parse, answer: answer, prepares: statement.Key})
	return name
}

func (p *Plan) appendUnnamedParse(statement *Statement, statements *conn.Statements, answer answerHandling) {
	statements.SetUnnamed(statement.Key)
	p.out = append(p.out, statement.Message...)
	p.steps = append(p.steps, step{messageType: wire.Parse, answer: answer, prepares: statement.Key, unnamed: true})
}

func (p *Plan) appendBind(message wire.Message, name string) {
	portal, _, rest, err := splitBind(message)
	if err != nil {
		// Request.Add has validated the message already.
		p.appendUnchanged(message)
		return
	}
	p.out = appendMessage(p.out, wire.Bind, portal, []byte(name), rest)
	p.steps = append(p.steps, step{messageType: wire.Bind})
}

func (p *Plan) appendDescribe(name string) {
	p.out = encode(p.out, &pgproto3.Describe{ObjectType: 'S', Name: name})
	p.steps = append(p.steps, step{messageType: wire.Describe})
}

// removeUnprepared removes the statements that the steps would have prepared,
// which the server skipped after an error.
func removeUnprepared(skipped []step, statements *conn.Statements) {
	for _, s := range skipped {
		switch {
		case s.prepares == "":
		case s.unnamed:
			statements.SetUnnamed("")
		default:
			statements.Remove(s.prepares)
		}
	}
}

// splitBind splits the body of a Bind message into the portal's name including
// its zero byte, the statement's name, and the rest, which starts with the zero
// byte after that name.
func splitBind(message wire.Message) (portal []byte, statement string, rest []byte, err error) {
	body := message.Body()
	portalEnd := bytes.IndexByte(body, 0)
	if portalEnd < 0 {
		return nil, "", nil, eris.Wrap(wire.ErrMalformed, "bind")
	}
	portal = body[:portalEnd+1]
	after := body[portalEnd+1:]
	nameEnd := bytes.IndexByte(after, 0)
	if nameEnd < 0 {
		return nil, "", nil, eris.Wrap(wire.ErrMalformed, "bind")
	}
	return portal, string(after[:nameEnd]), after[nameEnd:], nil
}

// appendMessage appends a message whose body is the concatenation of parts.
func appendMessage(dst []byte, kind byte, parts ...[]byte) []byte {
	length := headerLength - 1
	for _, part := range parts {
		length += len(part)
	}
	dst = append(dst, kind)
	dst = binary.BigEndian.AppendUint32(dst, uint32(length))
	for _, part := range parts {
		dst = append(dst, part...)
	}
	return dst
}

// encode appends an encoded message; encoding can't fail for the messages used
// here.
func encode(dst []byte, message pgproto3.FrontendMessage) []byte {
	encoded, err := message.Encode(dst)
	if err != nil {
		return dst
	}
	return encoded
}
