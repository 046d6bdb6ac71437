// Package commitlog keeps the log of a stand-in backend server: one entry for
// each committed write transaction, in a file and in memory.
//
// # Usage
//
//	log, err := commitlog.Open(folder, true, now)
//	err = log.Append(now, entry)
//	end := log.End()
//	fork := log.Fork(boundariesOfAnotherLog)
//	err = log.Truncate(fork)
//
// Positions count from 1 and the terms of a log never go down. With syncing
// on, Append returns once the entries are on disk. A torn last line, left by
// a crash, is cut when the log is opened.
package commitlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	fileName   = "log.jsonl"
	fileMode   = 0o600
	folderMode = 0o700
)

var (
	// ErrGap tells that an entry doesn't continue the log.
	ErrGap = eris.New("the entry does not continue the log")
	// ErrStorage tells that the log's file can't be read or written.
	ErrStorage = eris.New("the log's file failed")
)

type (
	// Value is one argument of a statement. All fields nil: null.
	Value struct {
		Int  *int64   `json:"int,omitempty"`
		Real *float64 `json:"real,omitempty"`
		Text *string  `json:"text,omitempty"`
		Blob []byte   `json:"blob,omitempty"`
	}

	// Statement is one executed statement of a transaction.
	Statement struct {
		SQL       string  `json:"sql"`
		Arguments []Value `json:"arguments,omitempty"`
	}

	// Entry is one committed transaction.
	Entry struct {
		Term       cluster.Term     `json:"term"`
		Position   cluster.Position `json:"position"`
		Statements []Statement      `json:"statements,omitempty"`
	}

	// TermEnd names the last position of a term in a log.
	TermEnd struct {
		Term cluster.Term     `json:"term"`
		Last cluster.Position `json:"last"`
	}

	// Log is a server's log. Its methods may be called concurrently.
	Log struct {
		mu      sync.RWMutex
		file    *os.File
		synced  bool
		entries []Entry
		added   []time.Time
		ends    []int64
	}
)

// Mark returns the entry's place in the log.
func (e Entry) Mark() cluster.Mark {
	return cluster.Mark{Term: e.Term, Position: e.Position}
}

// Open reads the log in folder, which is created if absent. synced makes each
// append durable before it returns. Errors: ErrStorage.
func Open(folder string, synced bool, now time.Time) (*Log, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, eris.Wrapf(ErrStorage, "create folder: %v", err)
	}
	file, err := os.OpenFile(filepath.Join(folder, fileName), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, eris.Wrapf(ErrStorage, "open: %v", err)
	}
	log := &Log{file: file, synced: synced}
	if err := log.load(now); err != nil {
		file.Close()
		return nil, err
	}
	return log, nil
}

// Append adds entries that continue the log. Errors: ErrGap, ErrStorage.
func (l *Log) Append(now time.Time, entries ...Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	previous := l.end()
	offset := l.size()
	ends := make([]int64, 0, len(entries))
	for _, e := range entries {
		if e.Position != previous.Position+1 || e.Term < previous.Term {
			return eris.Wrapf(ErrGap, "have %v, got %v", previous, e.Mark())
		}
		if err := encoder.Encode(e); err != nil {
			return eris.Wrapf(ErrStorage, "encode: %v", err)
		}
		previous = e.Mark()
		ends = append(ends, offset+int64(buffer.Len()))
	}
	if err := l.write(buffer.Bytes()); err != nil {
		return err
	}
	for i, e := range entries {
		l.entries = append(l.entries, e)
		l.added = append(l.added, now)
		l.ends = append(l.ends, ends[i])
	}
	return nil
}

// End returns the mark of the last entry; zero if the log is empty.
func (l *Log) End() cluster.Mark {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.end()
}

// EntriesAfter returns the entries after position that were added at the given time
// or before, at most limit of them, and when the first entry left out was
// added; zero if none was left out.
func (l *Log) EntriesAfter(position cluster.Position, addedBy time.Time, limit int) ([]Entry, time.Time) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var due []Entry
	for i := int(position); i < len(l.entries); i++ {
		if l.added[i].After(addedBy) || len(due) == limit {
			return due, l.added[i]
		}
		due = append(due, l.entries[i])
	}
	return due, time.Time{}
}

// TermEnds returns the last position of each term in the log, in order.
func (l *Log) TermEnds() []TermEnd {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.boundaries()
}

// LastCommonPosition returns the last position up to which a log with the given boundaries
// and this log are the same.
func (l *Log) LastCommonPosition(other []TermEnd) cluster.Position {
	l.mu.RLock()
	defer l.mu.RUnlock()
	lasts := make(map[cluster.Term]cluster.Position, len(other))
	for _, b := range other {
		lasts[b.Term] = b.Last
	}
	var fork cluster.Position
	for _, b := range l.boundaries() {
		if last, ok := lasts[b.Term]; ok {
			fork = max(fork, min(last, b.Last))
		}
	}
	return fork
}

// Truncate removes all entries after position. Errors: ErrStorage.
func (l *Log) Truncate(position cluster.Position) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if int(position) >= len(l.entries) {
		return nil
	}
	var size int64
	if position > 0 {
		size = l.ends[position-1]
	}
	if err := l.cut(size); err != nil {
		return err
	}
	l.entries = l.entries[:position:position]
	l.added = l.added[:position]
	l.ends = l.ends[:position]
	return nil
}

// Close closes the file.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.file.Close()
}

func (l *Log) end() cluster.Mark {
	if len(l.entries) == 0 {
		return cluster.Mark{}
	}
	return l.entries[len(l.entries)-1].Mark()
}

func (l *Log) size() int64 {
	if len(l.ends) == 0 {
		return 0
	}
	return l.ends[len(l.ends)-1]
}

func (l *Log) boundaries() []TermEnd {
	var all []TermEnd
	for _, e := range l.entries {
		if len(all) == 0 || all[len(all)-1].Term != e.Term {
			all = append(all, TermEnd{Term: e.Term})
		}
		all[len(all)-1].Last = e.Position
	}
	return all
}

// load reads whole lines and cuts what follows the last of them.
func (l *Log) load(now time.Time) error {
	reader := bufio.NewReader(l.file)
	for {
		line, err := reader.ReadBytes('\n')
		if err == io.EOF {
			return l.cut(l.size())
		}
		if err != nil {
			return eris.Wrapf(ErrStorage, "read: %v", err)
		}
		var e Entry
		if json.Unmarshal(line, &e) != nil || e.Position != l.end().Position+1 {
			return l.cut(l.size())
		}
		end := l.size() + int64(len(line))
		l.entries = append(l.entries, e)
		l.added = append(l.added, now)
		l.ends = append(l.ends, end)
	}
}

// cut shortens the file and moves to its end.
func (l *Log) cut(size int64) error {
	if err := l.file.Truncate(size); err != nil {
		return eris.Wrapf(ErrStorage, "truncate: %v", err)
	}
	if _, err := l.file.Seek(size, io.SeekStart); err != nil {
		return eris.Wrapf(ErrStorage, "seek: %v", err)
	}
	return l.sync()
}

func (l *Log) write(data []byte) error {
	if _, err := l.file.Write(data); err != nil {
		return eris.Wrapf(ErrStorage, "write: %v", err)
	}
	return l.sync()
}

func (l *Log) sync() error {
	if !l.synced {
		return nil
	}
	if err := l.file.Sync(); err != nil {
		return eris.Wrapf(ErrStorage, "sync: %v", err)
	}
	return nil
}
