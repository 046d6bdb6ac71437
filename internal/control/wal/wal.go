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
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	temporary      = ".tmp"
	firstSequence  = 1
)

var (
	// ErrCorrupt tells that durable data is damaged. The node can be given
	// an empty data folder instead; it then joins as a new member.
	ErrCorrupt = eris.New("wal: the data folder is damaged: restore its disk, or empty the folder to join as a new member")
	// ErrWrongNode tells that the folder belongs to another node.
	ErrWrongNode = eris.New("wal: the data folder belongs to another node")
	// ErrVersion tells that a newer release wrote the folder.
	ErrVersion = eris.New("wal: the data folder has an unknown format version: upgrade this node")
	// ErrFailed tells that a write or sync failed: the process must end.
	ErrFailed = eris.New("wal: a write or sync failed")
)

type (
	// Log is an open data folder. It isn't safe for concurrent use.
	Log struct {
		fs       FS
		file     File
		sequence uint64
		size     int
		failed   error
	}

	// Recovered is what Open found.
	Recovered struct {
		ID       quorum.ID
		Restored quorum.Restored
		// TruncatedBytes is the length of an incomplete last frame.
		TruncatedBytes int
	}
)

// Open reads the data folder of a node, and creates its files if it is new.
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
	opened, err := l.replay(names)
	opened.ID = id
	return l, opened, err
}

// create writes the files of a new folder; the identity comes last.
func (l *Log) create(node cluster.NodeName, names []string) (*Log, Recovered, error) {
	if err := l.checkNew(names); err != nil {
		return nil, Recovered{}, err
	}
	l.sequence = firstSequence - 1
	if err := l.beginSegment(codec.Frame{Base: true}); err != nil {
		return nil, Recovered{}, err
	}
	id := quorum.ID{Node: node, Disk: newDisk()}
	payload, err := codec.EncodeID(id)
	if err != nil {
		return nil, Recovered{}, err
	}
	if err := l.writeFile(identityName, identityMagic, payload); err != nil {
		return nil, Recovered{}, err
	}
	return l, Recovered{ID: id}, nil
}

// checkNew refuses a folder that holds data but no identity. An empty segment
// is left by a start that was cut short.
func (l *Log) checkNew(names []string) error {
	empty := len(segmentBytes(firstSequence, mustEncode(codec.Frame{Base: true})))
	for _, name := range names {
		if strings.HasSuffix(name, temporary) {
			continue
		}
		data, err := l.fs.ReadFile(name)
		if err != nil {
			return eris.Wrapf(err, "read %s", name)
		}
		if name != segmentName(firstSequence) || len(data) > empty {
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

// Save makes the hard state and the entries durable. Entries replace all
// stored ones from the first one's index.
func (l *Log) Save(state quorum.HardState, entries []quorum.Entry) error {
	if l.failed != nil {
		return l.failed
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
// snapshot durable, in place of all that was stored before.
func (l *Log) SaveSnapshot(s *quorum.Snapshot, state quorum.HardState, entries []quorum.Entry) error {
	if err := l.WriteSnapshot(s); err != nil {
		return l.fail(err)
	}
	return l.ActivateSnapshot(s, state, entries)
}

// WriteSnapshot makes the file of a snapshot durable, without effect until
// UseSnapshot. It may run beside Save in another goroutine.
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

// ActivateSnapshot begins the stored log anew with a written snapshot, the hard
// state and the entries after the snapshot, and removes what was stored before.
func (l *Log) ActivateSnapshot(s *quorum.Snapshot, state quorum.HardState, entries []quorum.Entry) error {
	if l.failed != nil {
		return l.failed
	}
	old := l.file
	base := codec.Frame{Base: true, HardState: state, Entries: entries, SnapshotIndex: s.Index}
	if err := l.beginSegment(base); err != nil {
		return l.fail(err)
	}
	if err := old.Close(); err != nil {
		return l.fail(err)
	}
	if err := l.removeOld(s.Index); err != nil {
		return l.fail(err)
	}
	return nil
}

// Size returns the length of the current segment in bytes.
func (l *Log) Size() int { return l.size }

// Close closes the current segment.
func (l *Log) Close() error {
	l.failed = eris.Wrap(ErrFailed, "closed")
	return l.file.Close()
}

func (l *Log) fail(err error) error {
	l.failed = eris.Wrap(ErrFailed, err.Error())
	return l.failed
}

// beginSegment makes a new segment with its base durable.
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
	data := segmentBytes(l.sequence, payload)
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

// writeFile makes a file of one frame durable under its name.
func (l *Log) writeFile(name, magic string, payload []byte) error {
	data := newHeader(magic, 0)
	data = appendFrame(data, 0, headerBytes, payload)
	file, err := l.fs.Create(name + temporary)
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
	if err := l.fs.Rename(name+temporary, name); err != nil {
		return eris.Wrapf(err, "rename %s", name)
	}
	return eris.Wrap(l.fs.SyncFolder(), "sync the data folder")
}

// readFile returns the payload of a file of one frame.
func (l *Log) readFile(name, magic string) ([]byte, error) {
	data, err := l.fs.ReadFile(name)
	if err != nil {
		return nil, eris.Wrapf(ErrCorrupt, "read %s: %v", name, err)
	}
	if err := checkMagic(name, data, magic); err != nil {
		return nil, err
	}
	payload, _, ok := readFrame(data, 0, headerBytes)
	if !ok {
		return nil, eris.Wrapf(ErrCorrupt, "%s: checksum or length is wrong", name)
	}
	return payload, nil
}

// checkMagic refuses a file of another kind or version.
func checkMagic(name string, data []byte, magic string) error {
	if !isSoundHeader(data) || string(data[:magicBytes-1]) != magic[:magicBytes-1] {
		return eris.Wrapf(ErrCorrupt, "%s: its header is damaged, or it is no file of burdockwood", name)
	}
	if data[magicBytes-1] != magic[magicBytes-1] {
		return eris.Wrapf(ErrVersion, "%s: version %d", name, data[magicBytes-1])
	}
	return nil
}

func segmentBytes(sequence uint64, base []byte) []byte {
	data := newHeader(segmentMagic, sequence)
	return appendFrame(data, sequence, headerBytes, base)
}

func mustEncode(f codec.Frame) []byte {
	payload, err := codec.EncodeFrame(f)
	if err != nil {
		panic(err) // only a name that isn't UTF-8 fails, and f has none
	}
	return payload
}

func segmentName(sequence uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, sequence) }

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// newDisk returns a random identity of a disk; never zero.
func newDisk() cluster.Incarnation {
	var data [8]byte
	if _, err := rand.Read(data[:]); err != nil {
		panic(err) // crypto/rand.Read never fails
	}
	return cluster.Incarnation(binary.BigEndian.Uint64(data[:]) | 1)
}
