package storage

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/juju/errors"
)

// FS is the part of a file system that the package uses. Tests put one in its
// place that loses what was not synced.
type FS interface {
	// MkdirAll makes a directory and its parents, and makes their names last.
	MkdirAll(dir string) error
	// Lock keeps other processes from using dir until it is closed.
	Lock(dir string) (io.Closer, error)
	// Create makes or truncates a file.
	Create(name string) (File, error)
	// Append opens a file for writing at its end and makes it if needed.
	Append(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names of the files in dir, sorted.
	List(dir string) ([]string, error)
	// SyncDir makes the names in dir last.
	SyncDir(dir string) error
}

// File is an open file.
type File interface {
	io.Writer
	// Sync makes the content last.
	Sync() error
	Close() error
}

// OS is the FS of the operating system.
type OS struct{}

const (
	dirMode  = 0o750
	fileMode = 0o640
)

// MkdirAll makes a directory and its parents. Each new name is synced: a crash
// that loses the directory loses all that was synced in it.
func (o OS) MkdirAll(dir string) error {
	if info, err := os.Stat(dir); err == nil && info.IsDir() {
		return nil
	}
	parent := filepath.Dir(dir)
	if parent != dir {
		if err := o.MkdirAll(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(dir, dirMode); err != nil && !os.IsExist(err) {
		return err
	}
	return o.SyncDir(parent)
}

const lockName = "lock"

// Lock takes an advisory lock, which the operating system gives back when the
// process ends in any way.
func (OS) Lock(dir string) (io.Closer, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, errors.Annotatef(ErrInUse, "%s: %v", dir, err)
	}
	return f, nil
}

// Create makes or truncates a file.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
}

// Append opens a file for writing at its end.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_APPEND, fileMode)
}

// ReadFile returns the content of a file.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Truncate cuts a file to size and syncs it.
func (OS) Truncate(name string, size int64) error {
	f, err := os.OpenFile(name, os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Truncate(size); err != nil {
		return err
	}
	return f.Sync()
}

// Rename puts a file in the place of another.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// List returns the names in dir.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// SyncDir syncs a directory.
func (OS) SyncDir(dir string) error {
	f, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	defer f.Close()
	return errors.Trace(f.Sync())
}
