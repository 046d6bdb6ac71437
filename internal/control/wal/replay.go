package wal

import (
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/control/codec"
	"github.com/burdockwood/burdockwood/internal/control/quorum"
)

// segment holds the contents of a segment file.
type segment struct {
	sequence uint64
	frames   []codec.Frame
	// end is the offset after the last valid frame.
	end int
	// size is the length of the file in bytes.
	size int
}

// replay reads the newest segment whose base is durable, and removes the other
// files.
func (l *Log) replay(names []string) (Recovered, error) {
	sequences := parseSequences(names, segmentPrefix)
	if len(sequences) == 0 {
		return Recovered{}, eris.Wrap(ErrCorrupt, "there is no segment")
	}
	var newest segment
	for i := len(sequences) - 1; i >= 0 && len(newest.frames) == 0; i-- {
		s, err := l.readSegment(sequences[i])
		if err != nil {
			return Recovered{}, err
		}
		if len(s.frames) == 0 && i == 0 {
			return Recovered{}, eris.Wrapf(ErrCorrupt, "%s: its first frame is damaged", segmentName(s.sequence))
		}
		newest = s
	}
	restored, err := l.restore(newest)
	if err != nil {
		return Recovered{}, err
	}
	if err := l.resume(newest, names); err != nil {
		return Recovered{}, err
	}
	return Recovered{Restored: restored, TruncatedBytes: newest.size - newest.end}, nil
}

// readSegment returns the valid frames of a segment; none if the segment was being
// created when the process ended. Errors: ErrCorrupt, ErrVersion.
func (l *Log) readSegment(sequence uint64) (segment, error) {
	name := segmentName(sequence)
	data, err := l.fs.ReadFile(name)
	if err != nil {
		return segment{}, eris.Wrapf(err, "read %s", name)
	}
	s := segment{sequence: sequence, end: headerBytes, size: len(data)}
	if len(data) <= headerBytes {
		return s, nil
	}
	if err := checkHeader(name, data, segmentMagic); err != nil {
		if hasValidFrameAfter(data, sequence, 0) || eris.Is(err, ErrVersion) {
			return segment{}, err
		}
		return s, nil
	}
	for s.end < len(data) {
		payload, next, ok := readFrame(data, sequence, s.end)
		if !ok {
			break
		}
		frame, err := codec.DecodeFrame(payload)
		if eris.Is(err, codec.ErrVersion) {
			return segment{}, eris.Wrapf(ErrVersion, "%s: frame at byte %d: %v", name, s.end, err)
		}
		if err != nil {
			return segment{}, eris.Wrapf(ErrCorrupt, "%s: frame at byte %d: %v", name, s.end, err)
		}
		s.frames = append(s.frames, frame)
		s.end = next
	}
	if s.end < len(data) && hasValidFrameAfter(data, sequence, s.end) {
		return segment{}, eris.Wrapf(ErrCorrupt, "%s: damaged frame at byte %d of %d", name, s.end, len(data))
	}
	return s, nil
}

// restore returns the state that results from the snapshot of a segment and from its
// frames, applied in order.
func (l *Log) restore(s segment) (quorum.Restored, error) {
	name := segmentName(s.sequence)
	base := s.frames[0]
	if !base.Base {
		return quorum.Restored{}, eris.Wrapf(ErrCorrupt, "%s: its first frame is not a base", name)
	}
	restored := quorum.Restored{HardState: base.HardState}
	if base.SnapshotIndex > 0 {
		snapshot, err := l.readSnapshot(base.SnapshotIndex)
		if err != nil {
			return quorum.Restored{}, err
		}
		restored.Snapshot = snapshot
	}
	first := base.SnapshotIndex + 1
	for _, f := range s.frames {
		restored.HardState = f.HardState
		if len(f.Entries) == 0 {
			continue
		}
		firstIndex := f.Entries[0].Index
		if firstIndex < first || firstIndex > first+uint64(len(restored.Entries)) {
			return quorum.Restored{}, eris.Wrapf(ErrCorrupt, "%s: entry %d follows entry %d", name, firstIndex, first+uint64(len(restored.Entries))-1)
		}
		restored.Entries = append(restored.Entries[:firstIndex-first], f.Entries...)
	}
	return restored, nil
}

func (l *Log) readSnapshot(index uint64) (*quorum.Snapshot, error) {
	name := snapshotName(index)
	payload, err := l.readFile(name, snapshotMagic)
	if err != nil {
		return nil, err
	}
	snapshot, err := codec.DecodeSnapshot(payload)
	if err != nil || snapshot.Index != index {
		return nil, eris.Wrapf(ErrCorrupt, "%s: it can't be decoded, or holds a snapshot of another index (decode error: %v)", name, err)
	}
	return snapshot, nil
}

// resume opens the segment for appending, truncates an incomplete last frame and
// removes the files that a crash left behind.
func (l *Log) resume(s segment, names []string) error {
	file, err := l.fs.Append(segmentName(s.sequence), int64(s.end))
	if err != nil {
		return eris.Wrap(err, "open a segment")
	}
	if err := file.Sync(); err != nil {
		return eris.Wrap(err, "sync a segment")
	}
	l.file, l.sequence, l.size = file, s.sequence, s.end
	for _, name := range names {
		if name == identityName || name == segmentName(s.sequence) || name == snapshotName(s.frames[0].SnapshotIndex) {
			continue
		}
		if !isLogFile(name) {
			continue
		}
		if err := l.fs.Remove(name); err != nil {
			return eris.Wrapf(err, "remove %s", name)
		}
	}
	return eris.Wrap(l.fs.SyncFolder(), "sync the data folder")
}

// removeObsolete removes the files that the current segment and snapshot replace.
func (l *Log) removeObsolete(snapshotIndex uint64) error {
	names, err := l.fs.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if name == identityName || name == segmentName(l.sequence) || name == snapshotName(snapshotIndex) || !isLogFile(name) {
			continue
		}
		if err := l.fs.Remove(name); err != nil {
			return err
		}
	}
	return l.fs.SyncFolder()
}

// isLogFile reports whether this package writes and removes files of that name.
func isLogFile(name string) bool {
	return strings.HasPrefix(name, segmentPrefix) || strings.HasPrefix(name, snapshotPrefix) ||
		name == identityName+tempSuffix || name == foundersName+tempSuffix
}

// parseSequences returns the hexadecimal numbers in the names with a prefix, in
// ascending order.
func parseSequences(names []string, prefix string) []uint64 {
	var list []uint64
	for _, name := range names {
		digits, ok := strings.CutPrefix(name, prefix)
		if !ok {
			continue
		}
		if n, err := strconv.ParseUint(digits, 16, 64); err == nil {
			list = append(list, n)
		}
	}
	slices.Sort(list)
	return list
}
