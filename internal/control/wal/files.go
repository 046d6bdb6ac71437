package wal

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
)

const (
	folderMode = 0o700
	fileMode   = 0o600
	lockName   = "lock"
)

// ErrInUse is returned if another process has the data folder open.
var ErrInUse = eris.New("wal: another process uses the data folder")

type (
	// File is a file open for appending.
	File interface {
		io.Writer
		// Sync makes all written data durable.
		Sync() error
		Close() error
	}

	// FS is the file system of a data folder. Names are those of files directly
	// in the folder.
	FS interface {
		// List returns the names of all files.
		List() ([]string, error)
		ReadFile(name string) ([]byte, error)
		// Create creates an empty file, or truncates an existing one.
		Create(name string) (File, error)
		// Append truncates a file to size bytes and opens it for appending.
		Append(name string, size int64) (File, error)
		Rename(oldName, newName string) error
		Remove(name string) error
		// SyncFolder makes created, renamed and removed names durable.
		SyncFolder() error
	}

	// Folder is a data folder in the file system of the operating system.
	Folder struct {
		path string
		lock *os.File
	}
)

// OpenFolder opens a data folder, creates it if needed, and locks it against
// other processes until Close. Errors: ErrInUse, and those of the file system.
func OpenFolder(path string) (*Folder, error) {
	if err := ensureFolder(path); err != nil {
		return nil, eris.Wrapf(err, "create the data folder %s", path)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, eris.Wrapf(err, "open the data folder %s", path)
	}
	err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return &Folder{path: path, lock: lock}, nil
	}
	closeErr := lock.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, eris.Wrap(ErrInUse, path)
	}
	return nil, eris.Wrapf(errors.Join(err, closeErr), "lock the data folder %s", path)
}

// ensureFolder creates a folder if it doesn't exist, and makes its name durable.
func ensureFolder(path string) error {
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	if err := os.MkdirAll(path, folderMode); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(path))
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// Wipe empties the data folder of a disk that was replaced by another member for
// good. The contents aren't needed any more, so a crash in between loses nothing.
func Wipe(path string) error {
	entries, err := os.ReadDir(path)
	if err != nil {
		return eris.Wrapf(err, "wipe the data folder %s", path)
	}
	for _, e := range entries {
		if e.Name() == lockName || e.Name() == identityName || e.IsDir() {
			continue
		}
		if err := os.Remove(filepath.Join(path, e.Name())); err != nil {
			return eris.Wrapf(err, "wipe the data folder %s", path)
		}
	}
	// The identity is removed last. After a crash before the segment is removed,
	// the node starts as the same member, is stopped by quorum.ErrRetired again, and
	// Wipe removes the rest. After a crash that leaves the identity but no segment,
	// Open returns ErrCorrupt.
	if err := os.Remove(filepath.Join(path, identityName)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return eris.Wrapf(err, "wipe the data folder %s", path)
	}
	return syncFolder(path)
}

// Close unlocks the folder.
func (f *Folder) Close() error { return f.lock.Close() }

// List returns the names of all files.
func (f *Folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Name() != lockName && !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// ReadFile returns the content of a file.
func (f *Folder) ReadFile(name string) ([]byte, error) { return os.ReadFile(f.join(name)) }

// Create creates an empty file, or truncates an existing one.
func (f *Folder) Create(name string) (File, error) {
	return os.OpenFile(f.join(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Append truncates a file to size bytes and opens it for appending.
func (f *Folder) Append(name string, size int64) (File, error) {
	if err := os.Truncate(f.join(name), size); err != nil {
		return nil, err
	}
	return os.OpenFile(f.join(name), os.O_WRONLY|os.O_APPEND, fileMode)
}

// Rename renames a file.
func (f *Folder) Rename(oldName, newName string) error {
	return os.Rename(f.join(oldName), f.join(newName))
}

// Remove removes a file.
func (f *Folder) Remove(name string) error { return os.Remove(f.join(name)) }

// SyncFolder makes created, renamed and removed names durable.
func (f *Folder) SyncFolder() error { return syncFolder(f.path) }

func (f *Folder) join(name string) string { return filepath.Join(f.path, name) }
