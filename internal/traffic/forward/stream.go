package forward

// This file holds the answers to forwarded statements as they are on the network: a long
// one is passed on while the owner still reads it.
//
// The body of a request is an ExecuteRequest. The body of the response is a sequence of
// frames, each of which is a byte that says its kind, the length of its content, and the
// content: rows in their order, and at the end an ExecuteResponse with the last rows. A
// body without that end is an answer that was cut.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/budget"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

const (
	// statementPath is the path of forwarded statements. Earlier builds have no such
	// path; their answers come whole from Broker.Execute.
	statementPath = "/statements"

	rowFrame frameKind = 'R'
	endFrame frameKind = 'E'

	// maxFrameBytes bounds the content of a frame: a row, or a response with the rows
	// that were held.
	maxFrameBytes = 2 << 20
	// frameHeaderBytes is the greatest length of a frame's header.
	frameHeaderBytes = 1 + binary.MaxVarintLen64
	// messageCopies is the number of copies of a statement, or of an answer that isn't
	// passed on, that an owner holds: as received and as sent.
	messageCopies = 2
	// stalledAfter is the time after which a proxy that doesn't read an answer is given
	// up.
	stalledAfter = 3 * time.Second
	// wholeAnswersFor is how long an owner without statementPath is called without it.
	wholeAnswersFor = 10 * time.Second
)

var (
	// errNoStream is returned by stream if the owner doesn't know statementPath. The
	// statement wasn't sent to a server.
	errNoStream = eris.New("the owner of the connection passes on whole answers only")
	errFrame    = eris.New("a frame of the answer can't be read")
)

type (
	frameKind byte

	// answerSink takes the rows of a forwarded statement's answer.
	answerSink interface {
		statement.RowSink
		// setDeadline sets the deadline of the statement, once it is known.
		setDeadline(time.Time)
	}

	// answerLimits are what all sinks of this package have.
	answerLimits struct {
		memory *budget.Hold
		// deadline is the deadline of the statement.
		deadline time.Time
	}

	// frameWriter writes an answer to another proxy; it implements answerSink.
	frameWriter struct {
		answerLimits
		response http.ResponseWriter
		buffer   []byte
		// begun is true once rows may have been written.
		begun bool
	}

	// wholeAnswer holds all rows for a proxy of an earlier build, as far as there is
	// memory; it implements answerSink.
	wholeAnswer struct {
		answerLimits
		rows [][]byte
	}
)

var (
	_ answerSink = (*frameWriter)(nil)
	_ answerSink = (*wholeAnswer)(nil)
)

// Handler returns the HTTP handler for calls of other proxies.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+statementPath, s.serveStatement)
	mux.Handle("/", s.withStatementMemory(fleetpb.NewBrokerServer(s)))
	return mux
}

// withStatementMemory returns a handler that reserves the memory for the body of each
// request, and answers with status 503 if there is none.
func (s *Service) withStatementMemory(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		memory := s.options.Statements.NewHold()
		defer memory.Release()
		if err := reserveBody(memory, r); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, transport.MaxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

// reserveBody reserves the memory for a request's body. Errors: budget.ErrExhausted.
func reserveBody(memory *budget.Hold, r *http.Request) error {
	length := r.ContentLength
	if length < 0 {
		length = transport.MaxBodyBytes
	}
	if length <= budget.FreeBytes {
		return nil
	}
	return memory.Reserve(messageCopies*length, time.Now().Add(budget.StatementWait))
}

// serveStatement runs a statement of another proxy and passes on its answer.
func (s *Service) serveStatement(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	memory := s.options.Statements.NewHold()
	defer memory.Release()
	// The proxies know what the body is.
	w.Header()["Content-Type"] = nil
	writer := &frameWriter{response: w, answerLimits: answerLimits{memory: s.options.Answers.NewHold()}}
	defer writer.memory.Release()
	if err := reserveBody(memory, r); err != nil {
		s.endStatement(writer, noRoom(err, budget.RetryAfter))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, transport.MaxBodyBytes))
	request := &fleetpb.ExecuteRequest{}
	if err == nil {
		err = proto.Unmarshal(body, request)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.endStatement(writer, s.run(r.Context(), request, arrived, writer))
}

// endStatement writes the end of an answer.
func (s *Service) endStatement(writer *frameWriter, response *fleetpb.ExecuteResponse) {
	if err := writer.end(response); err != nil {
		s.options.Logger.V(1).Info("sending the answer to a forwarded statement failed", "error", err.Error())
	}
}

func (l *answerLimits) setDeadline(deadline time.Time) { l.deadline = deadline }

// Reserve implements statement.RowSink.
func (l *answerLimits) Reserve() bool { return backend.ReserveAnswer(l.memory) }

// Begin implements statement.RowSink.
func (l *answerLimits) Begin() (time.Time, error) { return l.deadline, nil }

// Pass implements statement.RowSink.
func (f *frameWriter) Pass(rows [][]byte) error {
	f.begun = true
	if err := f.writeRows(rows); err != nil {
		return eris.Wrap(backend.ErrCallerClosed, err.Error())
	}
	return nil
}

// writeRows writes the frames of rows by the deadline of the statement, and earlier if the
// other proxy doesn't read.
func (f *frameWriter) writeRows(rows [][]byte) error {
	limit := time.Now().Add(stalledAfter)
	if f.deadline.Before(limit) {
		limit = f.deadline
	}
	controller := http.NewResponseController(f.response)
	if err := controller.SetWriteDeadline(limit); err != nil {
		return err
	}
	for _, row := range rows {
		f.buffer = appendFrameHeader(f.buffer, rowFrame, len(row))
		if len(row) <= budget.FreeBytes {
			f.buffer = append(f.buffer, row...)
			continue
		}
		if err := f.flush(); err != nil {
			return err
		}
		if _, err := f.response.Write(row); err != nil {
			return err
		}
	}
	if err := f.flush(); err != nil {
		return err
	}
	return controller.Flush()
}

// flush writes what the buffer holds.
func (f *frameWriter) flush() error {
	_, err := f.response.Write(f.buffer)
	f.buffer = f.buffer[:0]
	return err
}

// end writes the end of the answer. An answer that wasn't passed on in parts has a known
// length.
func (f *frameWriter) end(response *fleetpb.ExecuteResponse) error {
	size := proto.Size(response)
	out := appendFrameHeader(make([]byte, 0, frameHeaderBytes+size), endFrame, size)
	out, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(out, response)
	if err != nil {
		return err
	}
	if !f.begun {
		f.response.Header().Set("Content-Length", strconv.Itoa(len(out)))
		_, err := f.response.Write(out)
		return err
	}
	controller := http.NewResponseController(f.response)
	if err := controller.SetWriteDeadline(time.Now().Add(stalledAfter)); err != nil {
		return err
	}
	_, err = f.response.Write(out)
	// The deadline would also hold for the next request on the connection.
	return errors.Join(err, controller.Flush(), controller.SetWriteDeadline(time.Time{}))
}

// Pass implements statement.RowSink.
func (a *wholeAnswer) Pass(rows [][]byte) error {
	for _, row := range rows {
		if !a.memory.TryReserve(messageCopies * int64(len(row)+1)) {
			return eris.Wrap(backend.ErrNoMemory, "the answer is too long for a proxy that takes it whole")
		}
		a.rows = append(a.rows, bytes.Clone(row))
	}
	return nil
}

// call sends a request to the owner and returns its response. The rows of a long answer go
// to sink; nil: they are all in the response.
func (c *connection) call(ctx context.Context, sink statement.RowSink, r *fleetpb.ExecuteRequest) (*fleetpb.ExecuteResponse, error) {
	if sink == nil || c.client.passesWholeAnswers(c.owner.Name, time.Now()) {
		return c.broker().Execute(ctx, r)
	}
	response, err := c.stream(ctx, sink, r)
	if errors.Is(err, errNoStream) {
		c.client.recordWholeAnswers(c.owner.Name, time.Now())
		return c.broker().Execute(ctx, r)
	}
	return response, err
}

// stream sends a request to the owner, passes the rows of a long answer on, and returns the
// end of the answer with the rows that were held. Errors: errNoStream, backend.ErrNotSent,
// those of readFrames, and those of the connection.
func (c *connection) stream(ctx context.Context, sink statement.RowSink, r *fleetpb.ExecuteRequest) (*fleetpb.ExecuteResponse, error) {
	body, err := proto.Marshal(r)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, transport.URL(c.owner.Address)+statementPath, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	httpResponse, err := c.httpClient().Do(request)
	if err != nil {
		return nil, err
	}
	defer c.closeBody(httpResponse.Body)
	switch httpResponse.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		// The connection can be used again once the body has been read.
		_, err := io.CopyN(io.Discard, httpResponse.Body, budget.FreeBytes)
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		return nil, errNoStream
	default:
		return nil, eris.Wrapf(backend.ErrNotSent, "the owner of the connection answered with status %d", httpResponse.StatusCode)
	}
	c.client.recordHeard(c.owner.Name, time.Now())
	return c.readFrames(bufio.NewReader(httpResponse.Body), sink)
}

// readFrames reads the frames of an answer. Errors: backend.ErrConnectionLost or
// backend.ErrTimeout if the answer was cut, those of the sink, and before the first row those
// of the connection.
func (c *connection) readFrames(frames *bufio.Reader, sink statement.RowSink) (*fleetpb.ExecuteResponse, error) {
	memory := c.client.answers.NewHold()
	defer memory.Release()
	rows := backend.Rows{Sink: sink}
	var content []byte
	begun := false
	for {
		kind, length, err := readFrameHeader(frames)
		if err != nil {
			return nil, cutError(err, begun)
		}
		if length > budget.FreeBytes && length > cap(content) {
			memory.Release()
			content = nil
			if err := memory.Reserve(int64(length), time.Now().Add(budget.RowWait)); err != nil {
				return nil, eris.Wrap(backend.ErrNoMemory, err.Error())
			}
		}
		if length > cap(content) {
			content = make([]byte, length)
		}
		content = content[:length]
		if _, err := io.ReadFull(frames, content); err != nil {
			return nil, cutError(err, begun)
		}
		begun = true
		if kind == rowFrame {
			if err := rows.Add(content); err != nil {
				return nil, err
			}
			continue
		}
		response := &fleetpb.ExecuteResponse{}
		if err := proto.Unmarshal(content, response); err != nil {
			return nil, eris.Wrap(errFrame, err.Error())
		}
		if isSuccess(response) {
			response.Rows = append(rows.Held(), response.GetRows()...)
		}
		return response, nil
	}
}

// cutError returns the error of an answer that ended early. An owner that has begun to answer
// isn't taken for one that can't be reached: it also ends an answer that isn't read.
func cutError(err error, begun bool) error {
	switch {
	case !begun:
		return err
	case errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded):
		return eris.Wrap(backend.ErrTimeout, err.Error())
	default:
		return eris.Wrap(backend.ErrConnectionLost, "the answer was cut: "+err.Error())
	}
}

func appendFrameHeader(out []byte, kind frameKind, length int) []byte {
	return binary.AppendUvarint(append(out, byte(kind)), uint64(length))
}

// readFrameHeader reads the kind and the length of the next frame. Errors: errFrame, and
// those of the connection.
func readFrameHeader(frames *bufio.Reader) (frameKind, int, error) {
	kind, err := frames.ReadByte()
	if err != nil {
		return 0, 0, eris.Wrap(err, "read the kind of a frame")
	}
	length, err := binary.ReadUvarint(frames)
	if err != nil {
		return 0, 0, eris.Wrap(err, "read the length of a frame")
	}
	if frameKind(kind) != rowFrame && frameKind(kind) != endFrame || length > maxFrameBytes {
		return 0, 0, eris.Wrapf(errFrame, "kind %q, %d bytes", kind, length)
	}
	return frameKind(kind), int(length), nil
}
