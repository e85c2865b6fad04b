package storage

import (
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"
)

// Store holds named records in one directory. Concurrent calls are safe only for
// records of different names.
type Store struct {
	dir  string
	fs   FS
	lock io.Closer
}

const (
	recordSuffix = ".record"
	tempSuffix   = ".temp"
)

// Open creates the directory if needed and removes the temporary files of
// interrupted writes. Until Close, no other process can open the directory: two
// processes would vote under one identity without knowing each other's votes.
func Open(dir string, fs FS) (*Store, error) {
	if err := fs.MkdirAll(dir); err != nil {
		return nil, errors.Annotatef(err, "creating %s", dir)
	}
	lock, err := fs.Lock(dir)
	if err != nil {
		return nil, errors.Annotate(err, "locking the directory")
	}
	s := &Store{dir: dir, fs: fs, lock: lock}
	if err := s.removeTemporary(); err != nil {
		_ = lock.Close()
		return nil, errors.Trace(err)
	}
	return s, nil
}

func (s *Store) removeTemporary() error {
	dir, fs := s.dir, s.fs
	names, err := fs.List(dir)
	if err != nil {
		return errors.Annotatef(err, "listing %s", dir)
	}
	for _, name := range names {
		if !strings.HasSuffix(name, tempSuffix) {
			continue
		}
		if err := fs.Remove(filepath.Join(dir, name)); err != nil {
			return errors.Annotatef(err, "removing %s", name)
		}
	}
	return nil
}

// Close releases the lock on the directory, so that other processes can open it.
func (s *Store) Close() error { return s.lock.Close() }

// Dir returns the directory of the store.
func (s *Store) Dir() string { return s.dir }

// FS returns the file system that the store uses.
func (s *Store) FS() FS { return s.fs }

// Save replaces the record and returns once it is durable. After an error, the
// record has either the old or the new content. Saving again is safe, since each
// attempt writes a new file.
func (s *Store) Save(name string, version uint32, body []byte) error {
	if len(body) > maxRecordSize {
		return errors.Errorf("record %s of %d bytes is too large", name, len(body))
	}
	final := filepath.Join(s.dir, name+recordSuffix)
	temp := final + tempSuffix
	if err := s.writeSynced(temp, encodeRecord(version, body)); err != nil {
		return errors.Annotatef(err, "writing %s", temp)
	}
	if err := s.fs.Rename(temp, final); err != nil {
		return errors.Annotatef(err, "renaming %s", temp)
	}
	// Until the directory is synced, a crash may bring back the old record.
	return errors.Annotatef(s.fs.SyncDir(s.dir), "syncing %s", s.dir)
}

func (s *Store) writeSynced(name string, content []byte) error {
	f, err := s.fs.Create(name)
	if err != nil {
		return err
	}
	_, err = f.Write(content)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return err
}

// Load returns the record's format version and body. The error is errors.NotFound
// for a record that was never saved, and ErrCorrupt for one that fails verification.
func (s *Store) Load(name string) (uint32, []byte, error) {
	b, err := s.fs.ReadFile(filepath.Join(s.dir, name+recordSuffix))
	if os.IsNotExist(err) {
		return 0, nil, errors.NotFoundf("record %s", name)
	}
	if err != nil {
		return 0, nil, errors.Annotatef(err, "reading %s", name)
	}
	version, body, err := decodeRecord(b)
	return version, body, errors.Annotatef(err, "record %s", name)
}
