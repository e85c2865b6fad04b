// Package storagetest provides an in-memory file system for tests. It loses unsynced
// data at a crash, and it can fail or crash at a chosen operation.
package storagetest

import (
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/storage"
)

// ErrCrashed is the error of every operation after the crash.
const ErrCrashed = errors.ConstError("storagetest: crashed")

// Keep determines how much unsynced data survives a crash.
type Keep int

// The ways in which a crash may treat unsynced data. A disk may show any of them.
const (
	// KeepNone loses all unsynced content and names.
	KeepNone Keep = iota
	// KeepAll loses nothing: everything happened to reach the disk.
	KeepAll
	// KeepTorn keeps the names and the first half of the unsynced content.
	KeepTorn
	// KeepNames keeps the names but none of the unsynced content.
	KeepNames
)

// Keeps lists all values of Keep.
var Keeps = []Keep{KeepNone, KeepAll, KeepTorn, KeepNames}

type node struct {
	content []byte
	synced  []byte
}

// FS is an in-memory file system. The zero value is ready to use.
type FS struct {
	mu sync.Mutex
	// names holds the files that a program sees, durable those whose names are
	// synced.
	names, durable map[string]*node
	ops            int
	crashAt        int
	failAt         int
	crashed        bool
	full           bool
	syncs          int
	syncTime       time.Duration
}

var _ storage.FS = (*FS)(nil)

// CrashAt makes the n-th operation from now, counted from 1, and all later ones
// fail without effect. Zero means never.
func (f *FS) CrashAt(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashAt = 0
	if n > 0 {
		f.crashAt = f.ops + n
	}
}

// FailAt makes the n-th operation from now fail once with an I/O error.
func (f *FS) FailAt(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failAt = f.ops + n
}

// SetFull(true) makes every write fail with ENOSPC until SetFull(false).
func (f *FS) SetFull(full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full = full
}

// Slow makes every sync of a file take d.
func (f *FS) Slow(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.syncTime = d
}

// Ops returns the number of operations so far that modify or sync.
func (f *FS) Ops() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ops
}

// Syncs returns how many times a file or directory was synced.
func (f *FS) Syncs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncs
}

// Crashed reports whether the crash has happened.
func (f *FS) Crashed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashed
}

// Restart returns the file system as the process finds it after a crash and restart.
func (f *FS) Restart(keep Keep) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := &FS{}
	next.init()
	names := f.durable
	if keep != KeepNone {
		names = f.names
	}
	for name, n := range names {
		content := n.synced
		switch keep {
		case KeepAll:
			content = n.content
		case KeepTorn:
			if len(n.content) > len(n.synced) {
				content = n.content[:len(n.synced)+(len(n.content)-len(n.synced))/2]
			}
		}
		c := &node{content: slices.Clone(content), synced: slices.Clone(content)}
		next.names[name], next.durable[name] = c, c
	}
	return next
}

// Change edits the synced content of a file, as a faulty disk might.
func (f *FS) Change(name string, edit func([]byte) []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	n := f.names[name]
	n.content = edit(slices.Clone(n.content))
	n.synced = n.content
}

// Names returns the names of all files.
func (f *FS) Names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.names {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (f *FS) init() {
	if f.names == nil {
		f.names, f.durable = map[string]*node{}, map[string]*node{}
	}
}

// op counts one operation and returns an error if it must fail. The caller holds
// f.mu.
func (f *FS) op() error {
	f.init()
	if f.crashed {
		return ErrCrashed
	}
	f.ops++
	if f.ops == f.crashAt {
		f.crashed = true
		return ErrCrashed
	}
	if f.ops == f.failAt {
		return syscall.EIO
	}
	return nil
}

// MkdirAll does nothing: there are no directories.
func (f *FS) MkdirAll(string) error { return nil }

// Lock does nothing: each FS belongs to one process.
func (f *FS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

// Create creates or truncates a file.
func (f *FS) Create(name string) (storage.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.op(); err != nil {
		return nil, err
	}
	n := &node{}
	f.names[name] = n
	return &file{fs: f, n: n}, nil
}

// Append opens a file for writing at its end.
func (f *FS) Append(name string) (storage.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.op(); err != nil {
		return nil, err
	}
	n := f.names[name]
	if n == nil {
		n = &node{}
		f.names[name] = n
	}
	return &file{fs: f, n: n}, nil
}

// ReadFile returns the content of a file.
func (f *FS) ReadFile(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if f.crashed {
		return nil, ErrCrashed
	}
	n := f.names[name]
	if n == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return slices.Clone(n.content), nil
}

// Truncate truncates a file and syncs it.
func (f *FS) Truncate(name string, size int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.op(); err != nil {
		return err
	}
	n := f.names[name]
	n.content = slices.Clone(n.content[:size])
	n.synced = n.content
	return nil
}

// Rename renames a file and replaces an existing file of the new name.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.op(); err != nil {
		return err
	}
	f.names[to] = f.names[from]
	delete(f.names, from)
	return nil
}

// Remove removes a file.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.op(); err != nil {
		return err
	}
	delete(f.names, name)
	return nil
}

// List returns the names of the files in dir.
func (f *FS) List(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	var names []string
	for name := range f.names {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// SyncDir makes the names in dir durable.
func (f *FS) SyncDir(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.op(); err != nil {
		return err
	}
	f.syncs++
	for name := range f.durable {
		if filepath.Dir(name) == filepath.Clean(dir) && f.names[name] == nil {
			delete(f.durable, name)
		}
	}
	for name, n := range f.names {
		if filepath.Dir(name) == filepath.Clean(dir) {
			f.durable[name] = n
		}
	}
	return nil
}

type file struct {
	fs *FS
	n  *node
}

// Write appends to the file. A write that fails, or during which the crash happens,
// appends the first half of p.
func (f *file) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	err := f.fs.op()
	if err == nil && f.fs.full {
		err = syscall.ENOSPC
	}
	n := len(p)
	if err != nil {
		n /= 2
	}
	if !errors.Is(err, ErrCrashed) || f.fs.ops == f.fs.crashAt {
		f.n.content = append(f.n.content, p[:n]...)
	}
	return n, err
}

// Sync makes the content durable.
func (f *file) Sync() error {
	f.fs.mu.Lock()
	wait := f.fs.syncTime
	f.fs.mu.Unlock()
	time.Sleep(wait)
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.op(); err != nil {
		return err
	}
	f.fs.syncs++
	f.n.synced = slices.Clone(f.n.content)
	return nil
}

// Close closes the file.
func (f *file) Close() error { return nil }
