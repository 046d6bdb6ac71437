package wire

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

// The reader returns the messages as they were sent, however the byte stream is
// split into reads.
func TestReaderHandlesAnyFragmentation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bodies := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 3*InitialBufferSize), 1, 20).Draw(t, "bodies")
		var stream []byte
		for _, body := range bodies {
			stream = append(stream, message(body)...)
		}
		var source io.Reader = bytes.NewReader(stream)
		if rapid.Bool().Draw(t, "one byte at a time") {
			source = iotest.OneByteReader(source)
		}
		reader := NewReader(source, 1<<20)
		for i, want := range bodies {
			got, err := reader.Next()
			if err != nil || !bytes.Equal(got.Body(), want) {
				t.Fatalf("message %d = %d bytes, %v, want %d bytes", i, len(got), err, len(want))
			}
		}
		if _, err := reader.Next(); !errors.Is(err, io.EOF) {
			t.Fatalf("after the last message: %v, want EOF", err)
		}
	})
}

func message(body []byte) []byte {
	length := len(body) + lengthFieldSize
	return append([]byte{'Q', byte(length >> 24), byte(length >> 16), byte(length >> 8), byte(length)}, body...)
}

func FuzzReader(f *testing.F) {
	// A message with a body of one byte, a negative length, and the greatest
	// length.
	f.Add([]byte("Q\x00\x00\x00\x05\x00"))
	f.Add([]byte("Q\xff\xff\xff\xff"))
	f.Add([]byte("Q\x7f\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		reader := NewReader(bytes.NewReader(stream), 1<<16)
		for {
			if _, err := reader.Next(); err != nil {
				return
			}
		}
	})
}
