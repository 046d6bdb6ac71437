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
	// keptRequest is the largest request buffer in bytes that an idle caller
	// keeps.
	keptRequest = 1 << 10
	// keptItems is the largest number of items that an idle caller keeps.
	keptItems = 16
	// headerLength is the length in bytes of a message's type and length.
	headerLength = 5
)

// What becomes of a backend server's answer to a step.
const (
	forward disposal = iota
	swallow
	local
)

type (
	disposal uint8

	// step is one answer that a request expects.
	step struct {
		kind     byte
		disposal disposal
		// prepares is the statement that this step prepares at the server.
		prepares conn.StatementKey
		unnamed  bool
	}

	// Plan is a request rewritten for one backend connection: prepared
	// statements carry the connection's names, and missing ones are prepared
	// on the way.
	Plan struct {
		out   []byte
		steps []step
	}
)

// Build rewrites the request for the connection c.
func (p *Plan) Build(r *Request, c *conn.Conn) {
	p.out = p.out[:0]
	p.steps = p.steps[:0]
	for i := range r.Items {
		p.add(r, &r.Items[i], &c.Statements)
	}
}

// ReleaseBuffers gives large buffers back.
func (p *Plan) ReleaseBuffers() {
	if cap(p.out) > keptRequest {
		p.out = nil
	}
	if cap(p.steps) > keptItems {
		p.steps = nil
	}
}

func (p *Plan) add(r *Request, item *Item, at *conn.Statements) {
	message := wire.Message(r.data[item.start:item.end])
	switch {
	case item.Type == wire.Parse && item.named:
		if _, ok := at.Name(item.statement.Key); ok {
			p.steps = append(p.steps, step{kind: wire.Parse, disposal: local})
			return
		}
		p.prepare(item.statement, at, forward)
	case item.Type == wire.Parse:
		p.parseUnnamed(item.statement, at, forward)
	case item.Type == wire.Bind:
		p.bind(message, p.ensure(item, at))
	case item.Type == wire.Describe && item.statement != nil:
		p.describe(p.ensure(item, at))
	case item.Type == wire.Close && item.named:
		p.steps = append(p.steps, step{kind: wire.Close, disposal: local})
	case item.Type == wire.Flush:
		p.out = append(p.out, message...)
	default:
		p.pass(message)
	}
}

// pass sends a message as it is.
func (p *Plan) pass(message wire.Message) {
	p.out = append(p.out, message...)
	p.steps = append(p.steps, step{kind: message.Type()})
}

// ensure prepares the item's statement if the connection lacks it and returns
// its name there.
func (p *Plan) ensure(item *Item, at *conn.Statements) string {
	if item.named {
		if name, ok := at.Name(item.statement.Key); ok {
			return name
		}
		return p.prepare(item.statement, at, swallow)
	}
	if at.Unnamed() != item.statement.Key {
		p.parseUnnamed(item.statement, at, swallow)
	}
	return ""
}

// prepare sends a Parse under a name of the connection's own.
func (p *Plan) prepare(statement *Statement, at *conn.Statements, answer disposal) string {
	name, evicted := at.Add(statement.Key)
	if evicted != "" {
		p.out = encode(p.out, &pgproto3.Close{ObjectType: 'S', Name: evicted})
		p.steps = append(p.steps, step{kind: wire.Close, disposal: swallow})
	}
	body := wire.Message(statement.Message).Body()
	rest := body[bytes.IndexByte(body, 0):]
	p.out = appendMessage(p.out, wire.Parse, []byte(name), rest)
	p.steps = append(p.steps, step{kind: wire.Parse, disposal: answer, prepares: statement.Key})
	return name
}

func (p *Plan) parseUnnamed(statement *Statement, at *conn.Statements, answer disposal) {
	at.SetUnnamed(statement.Key)
	p.out = append(p.out, statement.Message...)
	p.steps = append(p.steps, step{kind: wire.Parse, disposal: answer, prepares: statement.Key, unnamed: true})
}

func (p *Plan) bind(message wire.Message, name string) {
	portal, _, rest, err := bindParts(message)
	if err != nil {
		// Add has checked the message.
		p.pass(message)
		return
	}
	p.out = appendMessage(p.out, wire.Bind, portal, []byte(name), rest)
	p.steps = append(p.steps, step{kind: wire.Bind})
}

func (p *Plan) describe(name string) {
	p.out = encode(p.out, &pgproto3.Describe{ObjectType: 'S', Name: name})
	p.steps = append(p.steps, step{kind: wire.Describe})
}

// forget drops what the skipped steps would have prepared.
func forget(skipped []step, at *conn.Statements) {
	for _, s := range skipped {
		switch {
		case s.prepares == "":
		case s.unnamed:
			at.SetUnnamed("")
		default:
			at.Remove(s.prepares)
		}
	}
}

// bindParts cuts a Bind message into the portal's name with its zero byte, the
// statement's name, and what follows from its zero byte on.
func bindParts(message wire.Message) (portal []byte, statement string, rest []byte, err error) {
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

// appendMessage appends a message made of the parts.
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

// encode appends a message whose encoding can't fail.
func encode(dst []byte, message pgproto3.FrontendMessage) []byte {
	encoded, err := message.Encode(dst)
	if err != nil {
		return dst
	}
	return encoded
}
