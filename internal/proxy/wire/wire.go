// Package wire splits the byte stream of a PostgreSQL connection into messages,
// so that a proxy can forward those that it doesn't need to interpret without
// decoding them. Message bodies are decoded and encoded by pgproto3.
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
// A reader starts with a buffer of InitialBufferSize bytes. The buffer grows
// for a larger message. Once it is empty, a buffer that has grown past 8 KB is
// replaced by one of the initial size, so that thousands of idle callers need
// little memory.
package wire

import (
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// InitialBufferSize is the initial size of a reader's buffer, in bytes.
	InitialBufferSize = 512
	// headerSize is the size in bytes of a message's type and length fields.
	headerSize = 5
	// lengthFieldSize is the size in bytes of a message's length field. The
	// length includes the field itself.
	lengthFieldSize = 4
	// minGrownBufferSize is the minimum size in bytes of a buffer that has
	// grown.
	minGrownBufferSize = 8 << 10
)

// Types of frontend messages, sent by a caller.
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

// Types of backend messages, sent by a backend server.
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

// Transaction statuses in ReadyForQuery.
const (
	StatusIdle          = 'I'
	StatusInTransaction = 'T'
	StatusFailed        = 'E'
)

var (
	// ErrTooLarge is returned for a message longer than the reader's limit.
	ErrTooLarge = eris.New("message is longer than the limit")
	// ErrMalformed is returned for a message whose length field is invalid, and
	// by package execute for a message with an invalid body.
	ErrMalformed = eris.New("message length is malformed")
)

type (
	// Message is a complete message: type, length and body.
	Message []byte

	// Reader reads complete messages from a byte stream.
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

// Body returns the message without its type and length fields.
func (m Message) Body() []byte { return m[headerSize:] }

// NewReader returns a reader of src that rejects messages longer than limit
// bytes.
func NewReader(src io.Reader, limit int) *Reader {
	return &Reader{src: src, limit: limit, buf: make([]byte, InitialBufferSize)}
}

// Next returns the next message, which is valid until the following call.
// Errors are ErrTooLarge, ErrMalformed, io.EOF at the end of a message,
// io.ErrUnexpectedEOF within one, and errors of the source.
func (r *Reader) Next() (Message, error) {
	if r.start == r.end {
		r.shrink()
	}
	if err := r.fill(headerSize); err != nil {
		return nil, err
	}
	length := int(int32(binary.BigEndian.Uint32(r.buf[r.start+1:])))
	if length < lengthFieldSize {
		return nil, ErrMalformed
	}
	messageSize := length + 1
	if messageSize > r.limit {
		return nil, ErrTooLarge
	}
	if err := r.fill(messageSize); err != nil {
		return nil, err
	}
	message := Message(r.buf[r.start : r.start+messageSize : r.start+messageSize])
	r.start += messageSize
	return message, nil
}

// ReadByte returns the next byte. Bytes that follow it stay buffered, so that
// the messages after a start-up packet are available to Next.
func (r *Reader) ReadByte() (byte, error) {
	if err := r.fill(1); err != nil {
		return 0, err
	}
	b := r.buf[r.start]
	r.start++
	return b, nil
}

// Buffered returns the number of bytes that were read from the source but not
// yet returned.
func (r *Reader) Buffered() int { return r.end - r.start }

// fill reads until at least n bytes are buffered.
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

// makeRoom moves the buffered bytes, or grows the buffer, so that n bytes fit.
func (r *Reader) makeRoom(n int) {
	if r.start+n <= len(r.buf) {
		return
	}
	target := r.buf
	if n > len(r.buf) {
		target = make([]byte, max(n, minGrownBufferSize))
	}
	r.end = copy(target, r.buf[r.start:r.end])
	r.start = 0
	r.buf = target
}

// shrink resets an empty buffer and replaces it if it is larger than
// minGrownBufferSize.
func (r *Reader) shrink() {
	r.start, r.end = 0, 0
	if len(r.buf) > minGrownBufferSize {
		r.buf = make([]byte, InitialBufferSize)
	}
}
