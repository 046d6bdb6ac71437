// Package patch encodes a document as its difference from an earlier version, so that
// the bytes of a change grow with the change and not with the document.
//
// # Usage
//
//	p, err := patch.Encode(held, newest)
//	newest, err := patch.Decode(held, p, maxBytes)
//
// A patch is a Zstandard frame with the earlier version as its dictionary. It can only be
// decoded with the same bytes; anything else is an error, because the frame carries a
// checksum of the document.
//
// # Load pattern
//
// A configuration of 1,500 routes has 350 KB, and 40 KB compressed. Hundreds of proxies
// fetch each version over links of 2 Mbit/s within a few seconds, while statements use
// the same links.
package patch

import (
	"math/bits"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

const (
	// dictionaryID marks frames whose dictionary is an earlier version.
	dictionaryID = 1
	// minWindow and maxWindow bound the window of the encoder, in bytes. The window
	// has to span both versions.
	minWindow = 1 << 10
	maxWindow = 64 << 20
)

// ErrInvalid is returned for a patch that can't be decoded with the given version.
var ErrInvalid = eris.New("the patch doesn't fit the document")

// Encode returns the difference of to from from.
func Encode(from, to []byte) ([]byte, error) {
	window := min(max(minWindow, 1<<bits.Len(uint(len(from)+len(to)))), maxWindow)
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(dictionaryID, from), zstd.WithWindowSize(window),
		zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedBetterCompression), zstd.WithEncoderCRC(true))
	if err != nil {
		return nil, eris.Wrap(err, "encode the difference of two documents")
	}
	encoded := encoder.EncodeAll(to, nil)
	return encoded, eris.Wrap(encoder.Close(), "encode the difference of two documents")
}

// Decode returns the document that Encode was called with, of at most maxBytes. from must
// be the same as then. Errors: ErrInvalid.
func Decode(from, encoded []byte, maxBytes uint64) ([]byte, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(dictionaryID, from), zstd.WithDecoderMaxMemory(maxBytes),
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxWindow(maxWindow))
	if err != nil {
		return nil, eris.Wrap(err, "decode the difference of two documents")
	}
	defer decoder.Close()
	document, err := decoder.DecodeAll(encoded, nil)
	if err != nil {
		return nil, eris.Wrapf(ErrInvalid, "%v", err)
	}
	return document, nil
}
