// Package commitlog is the log of a stand-in backend server: one entry for each
// committed write transaction, in a file and in memory.
//
// # Usage
//
//	log, err := commitlog.Open(folder, true, now)
//	err = log.Append(now, entry)
//	end := log.End()
//	common := log.LastCommonPosition(termEndsOfAnotherLog)
//	err = log.Truncate(common)
//
// Positions count from 1, and the terms of a log never decrease. A log that
// syncs writes returns from Append once the entries are on disk. Open truncates
// the file after the last valid entry: a crash may leave a torn last line.
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
	// ErrGap is returned by Append if an entry's position isn't the next one of
	// the log or its term is lower than that of the last entry.
	ErrGap = eris.New("the entry does not continue the log")
	// ErrStorage is returned if the log's file can't be read or written.
	ErrStorage = eris.New("the log's file failed")
)

type (
	// Value is one argument of a statement. At most one field is set; all
	// fields nil: null.
	Value struct {
		Int  *int64   `json:"int,omitempty"`
		Real *float64 `json:"real,omitempty"`
		Text *string  `json:"text,omitempty"`
		Blob []byte   `json:"blob,omitempty"`
	}

	// Statement is one statement of a transaction, in SQLite's dialect.
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

	// TermEnd is the last position of a term in a log.
	TermEnd struct {
		Term cluster.Term     `json:"term"`
		Last cluster.Position `json:"last"`
	}

	// Log is a server's log. Its methods may be called concurrently.
	Log struct {
		mu         sync.RWMutex
		file       *os.File
		syncWrites bool
		entries    []Entry
		addedAt    []time.Time
		endOffsets []int64
	}
)

// LogPosition returns the entry's term and position.
func (e Entry) LogPosition() cluster.LogPosition {
	return cluster.LogPosition{Term: e.Term, Position: e.Position}
}

// Open reads the log in folder, which it creates if absent. If syncWrites is
// set, the log syncs each write to disk. All entries that are read get now as
// the time at which they were added. Errors: ErrStorage.
func Open(folder string, syncWrites bool, now time.Time) (*Log, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, eris.Wrapf(ErrStorage, "create folder: %v", err)
	}
	file, err := os.OpenFile(filepath.Join(folder, fileName), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, eris.Wrapf(ErrStorage, "open: %v", err)
	}
	log := &Log{file: file, syncWrites: syncWrites}
	if err := log.load(now); err != nil {
		file.Close()
		return nil, err
	}
	return log, nil
}

// Append adds entries, whose positions must follow the last one without a gap,
// with now as the time at which they were added. Errors: ErrGap, ErrStorage.
func (l *Log) Append(now time.Time, entries ...Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	previous := l.end()
	offset := l.fileSize()
	endOffsets := make([]int64, 0, len(entries))
	for _, e := range entries {
		if e.Position != previous.Position+1 || e.Term < previous.Term {
			return eris.Wrapf(ErrGap, "have %v, got %v", previous, e.LogPosition())
		}
		if err := encoder.Encode(e); err != nil {
			return eris.Wrapf(ErrStorage, "encode: %v", err)
		}
		previous = e.LogPosition()
		endOffsets = append(endOffsets, offset+int64(buffer.Len()))
	}
	if err := l.write(buffer.Bytes()); err != nil {
		return err
	}
	for i, e := range entries {
		l.entries = append(l.entries, e)
		l.addedAt = append(l.addedAt, now)
		l.endOffsets = append(l.endOffsets, endOffsets[i])
	}
	return nil
}

// End returns the log position of the last entry; zero if the log is empty.
func (l *Log) End() cluster.LogPosition {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.end()
}

// EntriesAfter returns the entries after position that were added at cutoff or
// before, at most limit of them. It also returns when the first remaining entry
// was added; the zero time if no entry remains.
func (l *Log) EntriesAfter(position cluster.Position, cutoff time.Time, limit int) ([]Entry, time.Time) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var entries []Entry
	for i := int(position); i < len(l.entries); i++ {
		if l.addedAt[i].After(cutoff) || len(entries) == limit {
			return entries, l.addedAt[i]
		}
		entries = append(entries, l.entries[i])
	}
	return entries, time.Time{}
}

// TermEnds returns the last position of each term in the log, in ascending
// order.
func (l *Log) TermEnds() []TermEnd {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.termEnds()
}

// LastCommonPosition returns the last position up to which this log and a log
// with the given term ends are equal; 0 if they have no entry in common. The term
// ends suffice: a term has only one primary, so two logs that have an entry of the
// same term and position are equal up to it.
func (l *Log) LastCommonPosition(otherTermEnds []TermEnd) cluster.Position {
	l.mu.RLock()
	defer l.mu.RUnlock()
	otherEnds := make(map[cluster.Term]cluster.Position, len(otherTermEnds))
	for _, termEnd := range otherTermEnds {
		otherEnds[termEnd.Term] = termEnd.Last
	}
	var common cluster.Position
	for _, termEnd := range l.termEnds() {
		if last, ok := otherEnds[termEnd.Term]; ok {
			common = max(common, min(last, termEnd.Last))
		}
	}
	return common
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
		size = l.endOffsets[position-1]
	}
	if err := l.truncateFile(size); err != nil {
		return err
	}
	l.entries = l.entries[:position:position]
	l.addedAt = l.addedAt[:position]
	l.endOffsets = l.endOffsets[:position]
	return nil
}

// Close closes the log's file.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.file.Close()
}

func (l *Log) end() cluster.LogPosition {
	if len(l.entries) == 0 {
		return cluster.LogPosition{}
	}
	return l.entries[len(l.entries)-1].LogPosition()
}

func (l *Log) fileSize() int64 {
	if len(l.endOffsets) == 0 {
		return 0
	}
	return l.endOffsets[len(l.endOffsets)-1]
}

func (l *Log) termEnds() []TermEnd {
	var ends []TermEnd
	for _, e := range l.entries {
		if len(ends) == 0 || ends[len(ends)-1].Term != e.Term {
			ends = append(ends, TermEnd{Term: e.Term})
		}
		ends[len(ends)-1].Last = e.Position
	}
	return ends
}

// load reads the entries and truncates the file at the first line that is
// incomplete, malformed or out of sequence.
func (l *Log) load(now time.Time) error {
	reader := bufio.NewReader(l.file)
	for {
		line, err := reader.ReadBytes('\n')
		if err == io.EOF {
			return l.truncateFile(l.fileSize())
		}
		if err != nil {
			return eris.Wrapf(ErrStorage, "read: %v", err)
		}
		var e Entry
		if json.Unmarshal(line, &e) != nil || e.Position != l.end().Position+1 {
			return l.truncateFile(l.fileSize())
		}
		end := l.fileSize() + int64(len(line))
		l.entries = append(l.entries, e)
		l.addedAt = append(l.addedAt, now)
		l.endOffsets = append(l.endOffsets, end)
	}
}

// truncateFile truncates the file to size and sets the write offset there.
func (l *Log) truncateFile(size int64) error {
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
	if !l.syncWrites {
		return nil
	}
	if err := l.file.Sync(); err != nil {
		return eris.Wrapf(ErrStorage, "sync: %v", err)
	}
	return nil
}
