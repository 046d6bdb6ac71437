// Package wire cuts a PostgreSQL connection into whole messages, so that a
// proxy relays the ones it need not understand without decoding them. The
// bodies are decoded and encoded by pgproto3.
//
// # Usage
//
//	reader := wire.NewReader(conn, maxMessage)
//	message, err := reader.Next()
//	if message.Type() == wire.Query {
//		var query pgproto3.Query
//		err = query.Decode(message.Body())
//	}
//
// A reader that waits for its first byte holds InitialBuffer bytes; the
// buffer grows with a larger message and shrinks back when it is empty, so
// that thousands of idle callers stay small.
package wire

import (
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// InitialBufferSize is the size in bytes of an idle reader's buffer.
	InitialBufferSize = 512
	// headerLength is the length in bytes of a message's type and length.
	headerLength = 5
	// lengthLength is the length in bytes of a message's length field, which
	// counts itself.
	lengthLength = 4
	// grownBuffer is the least size in bytes of a buffer that has grown.
	grownBuffer = 8 << 10
)

// Types of messages from a caller.
const (
	Bind         = 'B'
	Close        = 'C'
	CopyData     = 'd'
	CopyDone     = 'c'
	CopyFail     = 'f'
	Describe     = 'D'
	Execute      = 'E'
	Flush        = 'H'
	FunctionCall = 'F'
	Parse        = 'P'
	Query        = 'Q'
	Sync         = 'S'
	Terminate    = 'X'
)

// Types of messages from a backend server.
const (
	BindComplete         = '2'
	CloseComplete        = '3'
	CommandComplete      = 'C'
	CopyBothResponse     = 'W'
	CopyInResponse       = 'G'
	DataRow              = 'D'
	EmptyQueryResponse   = 'I'
	ErrorResponse        = 'E'
	NoData               = 'n'
	NoticeResponse       = 'N'
	NotificationResponse = 'A'
	ParameterDescription = 't'
	ParameterStatus      = 'S'
	ParseComplete        = '1'
	PortalSuspended      = 's'
	ReadyForQuery        = 'Z'
	RowDescription       = 'T'
)

// Transaction statuses of ReadyForQuery.
const (
	StatusIdle          = 'I'
	StatusInTransaction = 'T'
	StatusFailed        = 'E'
)

var (
	// ErrTooLarge tells that a message is longer than the reader's limit.
	ErrTooLarge = eris.New("message is longer than the limit")
	// ErrMalformed tells that a message's length can't be right.
	ErrMalformed = eris.New("message length is malformed")
)

type (
	// Message is one whole message: type, length and body.
	Message []byte

	// Reader reads whole messages.
	Reader struct {
		src   io.Reader
		buf   []byte
		start int
		end   int
		limit int
	}
)

// Type returns the message's type byte.
func (m Message) Type() byte { return m[0] }

// Body returns the message without its type and length.
func (m Message) Body() []byte { return m[headerLength:] }

// NewReader returns a reader of src that refuses messages longer than limit
// bytes.
func NewReader(src io.Reader, limit int) *Reader {
	return &Reader{src: src, limit: limit, buf: make([]byte, InitialBufferSize)}
}

// Next returns the next message, which is valid until the following call.
func (r *Reader) Next() (Message, error) {
	if r.start == r.end {
		r.shrink()
	}
	if err := r.fill(headerLength); err != nil {
		return nil, err
	}
	length := int(int32(binary.BigEndian.Uint32(r.buf[r.start+1:])))
	if length < lengthLength {
		return nil, ErrMalformed
	}
	whole := length + 1
	if whole > r.limit {
		return nil, ErrTooLarge
	}
	if err := r.fill(whole); err != nil {
		return nil, err
	}
	message := Message(r.buf[r.start : r.start+whole : r.start+whole])
	r.start += whole
	return message, nil
}

// ReadByte returns the next byte; it never takes more from the buffer, so
// that what follows a start-up packet is kept for Next.
func (r *Reader) ReadByte() (byte, error) {
	if err := r.fill(1); err != nil {
		return 0, err
	}
	b := r.buf[r.start]
	r.start++
	return b, nil
}

// Buffered returns the number of bytes read but not yet returned.
func (r *Reader) Buffered() int { return r.end - r.start }

// fill reads until n bytes are buffered.
func (r *Reader) fill(n int) error {
	if r.end-r.start >= n {
		return nil
	}
	r.makeRoom(n)
	read, err := io.ReadAtLeast(r.src, r.buf[r.end:], n-(r.end-r.start))
	r.end += read
	if err == io.EOF && r.end > r.start {
		return io.ErrUnexpectedEOF
	}
	return err
}

// makeRoom moves or grows the buffer so that n bytes fit from its start.
func (r *Reader) makeRoom(n int) {
	if r.start+n <= len(r.buf) {
		return
	}
	target := r.buf
	if n > len(r.buf) {
		target = make([]byte, max(n, grownBuffer))
	}
	r.end = copy(target, r.buf[r.start:r.end])
	r.start = 0
	r.buf = target
}

// shrink resets an empty buffer, and gives back one that has grown much.
func (r *Reader) shrink() {
	r.start, r.end = 0, 0
	if len(r.buf) > grownBuffer {
		r.buf = make([]byte, InitialBufferSize)
	}
}
