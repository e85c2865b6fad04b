package storage

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/juju/errors"
)

// FS is the part of a file system that the package uses. Tests replace it by an
// implementation that loses unsynced data.
type FS interface {
	// MkdirAll creates a directory and its parents, and makes their names durable.
	MkdirAll(dir string) error
	// Lock locks dir against other processes until the returned Closer is closed.
	Lock(dir string) (io.Closer, error)
	// Create creates or truncates a file.
	Create(name string) (File, error)
	// Append opens a file for writing at its end and creates it if needed.
	Append(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names of the files in dir, sorted.
	List(dir string) ([]string, error)
	// SyncDir makes the names in dir durable.
	SyncDir(dir string) error
}

// File is an open file.
type File interface {
	io.Writer
	// Sync makes the content durable.
	Sync() error
	Close() error
}

// OS is the FS of the operating system.
type OS struct{}

const (
	dirMode  = 0o750
	fileMode = 0o640
)

// MkdirAll creates a directory and its parents. It syncs each new name: a crash
// that loses the directory would also lose everything synced in it.
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

// Lock takes an advisory lock on a file in dir. The operating system releases it
// when the process ends, however it ends.
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

// Create creates or truncates a file.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
}

// Append opens a file for writing at its end.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_APPEND, fileMode)
}

// ReadFile returns the content of a file.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Truncate truncates a file to size and syncs it.
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

// Rename renames a file and replaces an existing file of the new name.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// List returns the names of the files in dir, sorted, without directories.
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
