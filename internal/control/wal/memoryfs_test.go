package wal

import (
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/rotisserie/eris"
)

var errCrashed = eris.New("the simulated machine has crashed")

type (
	// memoryFS is a file system in memory that loses, on a crash, all or a part
	// of what wasn't synced.
	memoryFS struct {
		// names holds the files by name, durable the same as of the last
		// SyncFolder, unsyncedChanges the changes of names since then.
		names           map[string]*memoryFile
		durableNames    map[string]*memoryFile
		unsyncedChanges []func(map[string]*memoryFile)
		// syncs counts the syncs. The one with the number crashAt fails, and
		// so do all later ones; zero: none fails.
		syncs   int
		crashAt int
	}

	memoryFile struct {
		fs   *memoryFS
		data []byte
		// syncedBytes is the number of bytes that a crash can't lose.
		syncedBytes int
	}
)

func newMemoryFS() *memoryFS {
	return &memoryFS{names: map[string]*memoryFile{}, durableNames: map[string]*memoryFile{}}
}

func (m *memoryFS) changeNames(do func(map[string]*memoryFile)) {
	do(m.names)
	m.unsyncedChanges = append(m.unsyncedChanges, do)
}

func (m *memoryFS) List() ([]string, error) { return slices.Sorted(maps.Keys(m.names)), nil }

func (m *memoryFS) ReadFile(name string) ([]byte, error) {
	file, ok := m.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(file.data), nil
}

func (m *memoryFS) Create(name string) (File, error) {
	file := &memoryFile{fs: m}
	m.changeNames(func(names map[string]*memoryFile) { names[name] = file })
	return file, nil
}

func (m *memoryFS) Append(name string, size int64) (File, error) {
	file, ok := m.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	file.data = file.data[:size]
	file.syncedBytes = min(file.syncedBytes, len(file.data))
	return file, nil
}

func (m *memoryFS) Rename(oldName, newName string) error {
	if _, ok := m.names[oldName]; !ok {
		return fs.ErrNotExist
	}
	m.changeNames(func(names map[string]*memoryFile) {
		if file, ok := names[oldName]; ok {
			names[newName] = file
			delete(names, oldName)
		}
	})
	return nil
}

func (m *memoryFS) Remove(name string) error {
	m.changeNames(func(names map[string]*memoryFile) { delete(names, name) })
	return nil
}

func (m *memoryFS) SyncFolder() error {
	if err := m.sync(); err != nil {
		return err
	}
	m.durableNames, m.unsyncedChanges = maps.Clone(m.names), nil
	return nil
}

func (m *memoryFS) sync() error {
	m.syncs++
	if m.crashAt > 0 && m.syncs >= m.crashAt {
		return errCrashed
	}
	return nil
}

func (f *memoryFile) Write(p []byte) (int, error) {
	f.data = append(f.data, p...)
	return len(p), nil
}

func (f *memoryFile) Sync() error {
	if err := f.fs.sync(); err != nil {
		return err
	}
	f.syncedBytes = len(f.data)
	return nil
}

func (f *memoryFile) Close() error { return nil }

// afterCrash returns the file system after a crash: with all that was synced, and
// random parts of the rest, some of them damaged.
func (m *memoryFS) afterCrash(random *rand.Rand) *memoryFS {
	names := maps.Clone(m.durableNames)
	for _, change := range m.unsyncedChanges {
		if random.IntN(2) == 0 {
			change(names)
		}
	}
	after := newMemoryFS()
	for name, file := range names {
		data := slices.Clone(file.data[:file.syncedBytes])
		data = append(data, unsyncedRemains(file.data[file.syncedBytes:], random)...)
		after.names[name] = &memoryFile{fs: after, data: data, syncedBytes: len(data)}
	}
	after.durableNames = maps.Clone(after.names)
	return after
}

// unsyncedRemains returns what a crash may leave of bytes that weren't synced.
func unsyncedRemains(data []byte, random *rand.Rand) []byte {
	if len(data) == 0 {
		return nil
	}
	left := slices.Clone(data[:random.IntN(len(data)+1)])
	switch random.IntN(3) {
	case 0: // the pages were allocated, but never written
		clear(left)
	case 1: // a bit was written wrongly
		if len(left) > 0 {
			left[random.IntN(len(left))] ^= 0x40
		}
	}
	return left
}
