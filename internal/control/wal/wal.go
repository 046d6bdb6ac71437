package wal

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/control/codec"
	"github.com/burdockwood/burdockwood/internal/control/quorum"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	identityName   = "identity"
	foundersName   = "founders"
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"
	firstSequence  = 1
)

var (
	// ErrCorrupt is returned if durable data is damaged. With an empty data
	// folder instead, the node joins as a new member.
	ErrCorrupt = eris.New("wal: the data folder is damaged: restore its disk, or empty the folder to join as a new member")
	// ErrWrongNode is returned if the folder belongs to another node.
	ErrWrongNode = eris.New("wal: the data folder belongs to another node")
	// ErrVersion is returned if a newer release wrote the folder.
	ErrVersion = eris.New("wal: the data folder has an unknown format version: upgrade this node")
	// ErrFailed is returned once a write or sync has failed, or after Close: the
	// log must not be used any more.
	ErrFailed = eris.New("wal: a write or sync failed")
)

type (
	// Log is an open data folder. It isn't safe for concurrent use, except for
	// WriteSnapshot.
	Log struct {
		fs FS
		// file is the current segment, sequence its number and size its length
		// in bytes.
		file     File
		sequence uint64
		size     int
		// failure is the error that Save and ActivateSnapshot return once a write
		// or sync has failed or the log is closed; nil before.
		failure error
	}

	// Recovered is the state that Open read from the data folder.
	Recovered struct {
		ID       quorum.ID
		Restored quorum.Restored
		// TruncatedBytes is the length of an incomplete last frame.
		TruncatedBytes int
	}
)

// Open reads the data folder of a node, and creates its files if it is new. Errors:
// ErrCorrupt, ErrWrongNode, ErrVersion, and those of fs.
func Open(fs FS, node cluster.NodeName) (*Log, Recovered, error) {
	l := &Log{fs: fs}
	names, err := fs.List()
	if err != nil {
		return nil, Recovered{}, eris.Wrap(err, "list the data folder")
	}
	if !slices.Contains(names, identityName) {
		return l.create(node, names)
	}
	id, err := l.readIdentity(node)
	if err != nil {
		return nil, Recovered{}, err
	}
	recovered, err := l.replay(names)
	recovered.ID = id
	return l, recovered, err
}

// create writes the files of a new folder, the identity last.
func (l *Log) create(node cluster.NodeName, names []string) (*Log, Recovered, error) {
	if err := l.checkNewFolder(names); err != nil {
		return nil, Recovered{}, err
	}
	l.sequence = firstSequence - 1
	if err := l.beginSegment(codec.Frame{Base: true}); err != nil {
		return nil, Recovered{}, err
	}
	id := quorum.ID{Node: node, Disk: newDiskID()}
	payload, err := codec.EncodeID(id)
	if err != nil {
		return nil, Recovered{}, err
	}
	if err := l.writeFile(identityName, identityMagic, payload); err != nil {
		return nil, Recovered{}, err
	}
	return l, Recovered{ID: id}, nil
}

// checkNewFolder returns ErrCorrupt if the folder holds data but no identity. A first
// segment without entries is allowed: an interrupted start leaves it behind.
func (l *Log) checkNewFolder(names []string) error {
	emptySegmentSize := len(encodeSegment(firstSequence, mustEncode(codec.Frame{Base: true})))
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			continue
		}
		data, err := l.fs.ReadFile(name)
		if err != nil {
			return eris.Wrapf(err, "read %s", name)
		}
		if name != segmentName(firstSequence) || len(data) > emptySegmentSize {
			return eris.Wrapf(ErrCorrupt, "%s exists, %s does not", name, identityName)
		}
	}
	return nil
}

func (l *Log) readIdentity(node cluster.NodeName) (quorum.ID, error) {
	payload, err := l.readFile(identityName, identityMagic)
	if err != nil {
		return quorum.ID{}, err
	}
	id, err := codec.DecodeID(payload)
	if err != nil {
		return quorum.ID{}, eris.Wrapf(ErrCorrupt, "%s: %v", identityName, err)
	}
	if id.Node != node {
		return quorum.ID{}, eris.Wrapf(ErrWrongNode, "it belongs to %q, this node is %q", id.Node, node)
	}
	return id, nil
}

// MarkFounder records durably that this disk takes part in creating a cluster of the
// listed nodes. It does nothing if that is recorded already.
func (l *Log) MarkFounder(list string) error {
	stored, err := l.Founders()
	if err != nil || stored == list {
		return err
	}
	return l.writeFile(foundersName, foundersMagic, []byte(list))
}

// Founders returns the list that MarkFounder recorded; empty: none. Errors: ErrCorrupt,
// ErrVersion, and those of the file system.
func (l *Log) Founders() (string, error) {
	names, err := l.fs.List()
	if err != nil {
		return "", eris.Wrap(err, "list the data folder")
	}
	if !slices.Contains(names, foundersName) {
		return "", nil
	}
	payload, err := l.readFile(foundersName, foundersMagic)
	return string(payload), err
}

// Save makes the hard state and the entries durable. The entries replace all stored
// ones from the index of the first one on. Errors: ErrFailed.
func (l *Log) Save(state quorum.HardState, entries []quorum.Entry) error {
	if l.failure != nil {
		return l.failure
	}
	payload, err := codec.EncodeFrame(codec.Frame{HardState: state, Entries: entries})
	if err != nil {
		return l.fail(err)
	}
	frame := appendFrame(nil, l.sequence, l.size, payload)
	if _, err := l.file.Write(frame); err != nil {
		return l.fail(err)
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(err)
	}
	l.size += len(frame)
	return nil
}

// SaveSnapshot makes a snapshot, the hard state and the entries after the
// snapshot durable, in place of all that was stored before. Errors: ErrFailed.
func (l *Log) SaveSnapshot(s *quorum.Snapshot, state quorum.HardState, entries []quorum.Entry) error {
	if err := l.WriteSnapshot(s); err != nil {
		return l.fail(err)
	}
	return l.ActivateSnapshot(s, state, entries)
}

// WriteSnapshot makes the file of a snapshot durable. It takes effect only with
// ActivateSnapshot. WriteSnapshot may run concurrently with Save. Errors: ErrFailed.
func (l *Log) WriteSnapshot(s *quorum.Snapshot) error {
	payload, err := codec.EncodeSnapshot(s)
	if err != nil {
		return eris.Wrap(ErrFailed, err.Error())
	}
	if err := l.writeFile(snapshotName(s.Index), snapshotMagic, payload); err != nil {
		return eris.Wrap(ErrFailed, err.Error())
	}
	return nil
}

// ActivateSnapshot begins a new segment with a snapshot that WriteSnapshot has
// written, the hard state and the entries after the snapshot. It removes what was
// stored before. Errors: ErrFailed.
func (l *Log) ActivateSnapshot(s *quorum.Snapshot, state quorum.HardState, entries []quorum.Entry) error {
	if l.failure != nil {
		return l.failure
	}
	old := l.file
	base := codec.Frame{Base: true, HardState: state, Entries: entries, SnapshotIndex: s.Index}
	if err := l.beginSegment(base); err != nil {
		return l.fail(err)
	}
	if err := old.Close(); err != nil {
		return l.fail(err)
	}
	if err := l.removeObsolete(s.Index); err != nil {
		return l.fail(err)
	}
	return nil
}

// Size returns the length of the current segment in bytes.
func (l *Log) Size() int { return l.size }

// Close closes the current segment.
func (l *Log) Close() error {
	l.failure = eris.Wrap(ErrFailed, "the log is closed")
	return l.file.Close()
}

func (l *Log) fail(err error) error {
	l.failure = eris.Wrap(ErrFailed, err.Error())
	return l.failure
}

// beginSegment creates a segment and makes it durable with its base.
func (l *Log) beginSegment(base codec.Frame) error {
	payload, err := codec.EncodeFrame(base)
	if err != nil {
		return err
	}
	l.sequence++
	file, err := l.fs.Create(segmentName(l.sequence))
	if err != nil {
		return eris.Wrap(err, "create a segment")
	}
	data := encodeSegment(l.sequence, payload)
	if _, err := file.Write(data); err != nil {
		return eris.Wrap(err, "write a segment")
	}
	if err := file.Sync(); err != nil {
		return eris.Wrap(err, "sync a segment")
	}
	if err := l.fs.SyncFolder(); err != nil {
		return eris.Wrap(err, "sync the data folder")
	}
	l.file, l.size = file, len(data)
	return nil
}

// writeFile writes a file of one frame and makes it durable under its name.
func (l *Log) writeFile(name, magic string, payload []byte) error {
	data := newHeader(magic, 0)
	data = appendFrame(data, 0, headerBytes, payload)
	file, err := l.fs.Create(name + tempSuffix)
	if err != nil {
		return eris.Wrapf(err, "create %s", name)
	}
	if _, err := file.Write(data); err != nil {
		return eris.Wrapf(err, "write %s", name)
	}
	if err := file.Sync(); err != nil {
		return eris.Wrapf(err, "sync %s", name)
	}
	if err := file.Close(); err != nil {
		return eris.Wrapf(err, "close %s", name)
	}
	if err := l.fs.Rename(name+tempSuffix, name); err != nil {
		return eris.Wrapf(err, "rename %s", name)
	}
	return eris.Wrap(l.fs.SyncFolder(), "sync the data folder")
}

// readFile returns the payload of a file of one frame. Errors: ErrCorrupt, ErrVersion.
func (l *Log) readFile(name, magic string) ([]byte, error) {
	data, err := l.fs.ReadFile(name)
	if err != nil {
		return nil, eris.Wrapf(ErrCorrupt, "read %s: %v", name, err)
	}
	if err := checkHeader(name, data, magic); err != nil {
		return nil, err
	}
	payload, _, ok := readFrame(data, 0, headerBytes)
	if !ok {
		return nil, eris.Wrapf(ErrCorrupt, "%s: checksum or length is wrong", name)
	}
	return payload, nil
}

// checkHeader checks the kind and version of a file. Errors: ErrCorrupt, ErrVersion.
func checkHeader(name string, data []byte, magic string) error {
	if !isValidHeader(data) || string(data[:magicBytes-1]) != magic[:magicBytes-1] {
		return eris.Wrapf(ErrCorrupt, "%s: its header is damaged, or it is not a burdockwood file", name)
	}
	if data[magicBytes-1] != magic[magicBytes-1] {
		return eris.Wrapf(ErrVersion, "%s: version %d", name, data[magicBytes-1])
	}
	return nil
}

func encodeSegment(sequence uint64, base []byte) []byte {
	data := newHeader(segmentMagic, sequence)
	return appendFrame(data, sequence, headerBytes, base)
}

func mustEncode(f codec.Frame) []byte {
	payload, err := codec.EncodeFrame(f)
	if err != nil {
		panic(err) // only a name that isn't valid UTF-8 fails to encode, and f holds none
	}
	return payload
}

func segmentName(sequence uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, sequence) }

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// newDiskID returns a random ID of a disk; never zero.
func newDiskID() cluster.Incarnation {
	var data [8]byte
	if _, err := rand.Read(data[:]); err != nil {
		panic(err) // crypto/rand.Read never fails
	}
	return cluster.Incarnation(binary.BigEndian.Uint64(data[:]) | 1)
}
