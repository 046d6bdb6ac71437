package wal

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	magicBytes    = 8
	sequenceBytes = 8
	sumBytes      = 4
	headerBytes   = magicBytes + sequenceBytes + sumBytes
	lengthBytes   = 4
	frameOverhead = lengthBytes + sumBytes

	// The last byte of each magic is the version of the format.
	segmentMagic  = "BWK-LOG\x01"
	snapshotMagic = "BWK-SNP\x01"
	identityMagic = "BWK-IDN\x01"
	foundersMagic = "BWK-FND\x01"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// newHeader returns the header of a file. The sequence number is part of each
// frame's checksum, so that a frame of another file is never valid in this one.
func newHeader(magic string, sequence uint64) []byte {
	data := []byte(magic)
	data = binary.BigEndian.AppendUint64(data, sequence)
	return binary.BigEndian.AppendUint32(data, crc32.Checksum(data, castagnoli))
}

// isValidHeader reports whether data begins with a complete, undamaged header of any
// kind and version.
func isValidHeader(data []byte) bool {
	const covered = magicBytes + sequenceBytes
	return len(data) >= headerBytes &&
		binary.BigEndian.Uint32(data[covered:]) == crc32.Checksum(data[:covered], castagnoli)
}

// appendFrame appends a frame to data; offset is that of the frame in its file.
func appendFrame(data []byte, sequence uint64, offset int, payload []byte) []byte {
	data = binary.BigEndian.AppendUint32(data, uint32(len(payload)))
	data = binary.BigEndian.AppendUint32(data, checksum(sequence, offset, payload))
	return append(data, payload...)
}

func checksum(sequence uint64, offset int, payload []byte) uint32 {
	var header [16]byte
	binary.BigEndian.PutUint64(header[:8], sequence)
	binary.BigEndian.PutUint64(header[8:], uint64(offset))
	return crc32.Update(crc32.Checksum(header[:], castagnoli), castagnoli, payload)
}

// readFrame returns the payload of the frame at offset and the offset of the next
// frame; false if there is no complete, undamaged frame.
func readFrame(data []byte, sequence uint64, offset int) (payload []byte, next int, ok bool) {
	if len(data)-offset < frameOverhead {
		return nil, 0, false
	}
	length := int(binary.BigEndian.Uint32(data[offset:]))
	begin := offset + frameOverhead
	if length == 0 || length > len(data)-begin {
		return nil, 0, false
	}
	payload = data[begin : begin+length]
	sum := binary.BigEndian.Uint32(data[offset+lengthBytes:])
	return payload, begin + length, sum == checksum(sequence, offset, payload)
}

// hasValidFrameAfter reports whether a valid frame begins anywhere after offset.
func hasValidFrameAfter(data []byte, sequence uint64, offset int) bool {
	for at := offset + 1; at < len(data); at++ {
		if _, _, ok := readFrame(data, sequence, at); ok {
			return true
		}
	}
	return false
}
