package storage_test

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/storage"
	"github.com/vanillagrade/vanillagrade/internal/storage/storagetest"
)

const dir = "data"

// The process is killed, or the VM loses power, at any operation of a save. If the
// record were torn, or an acknowledged save were lost, a voter would lose a vote and
// an accepted configuration could be undone.
func TestSaveSurvivesACrashAtEveryOperation(t *testing.T) {
	old, updated := bytes.Repeat([]byte("old"), 100), bytes.Repeat([]byte("new!"), 100)
	for _, keep := range storagetest.Keeps {
		for at := 1; ; at++ {
			fs := &storagetest.FS{}
			s, err := storage.Open(dir, fs)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, s.Save("r", 1, old), qt.IsNil)
			fs.CrashAt(at)
			saved := s.Save("r", 1, updated)
			again, err := storage.Open(dir, fs.Restart(keep))
			qt.Assert(t, err, qt.IsNil)
			_, got, err := again.Load("r")
			qt.Assert(t, err, qt.IsNil, qt.Commentf("keep %d, crash at %d", keep, at))
			if saved == nil {
				qt.Assert(t, string(got), qt.Equals, string(updated))
			} else {
				qt.Assert(t, bytes.Equal(got, old) || bytes.Equal(got, updated), qt.IsTrue)
			}
			qt.Assert(t, again.Save("r", 1, updated), qt.IsNil)
			if !fs.Crashed() {
				qt.Assert(t, at, qt.Equals, 6, qt.Commentf("a save has five operations: create, write, sync, rename and directory sync"))
				break
			}
		}
	}
}

// A disk returns an error once, or is full for a while. The save must fail and leave
// the record with its old or its new content; saving again must then succeed.
func TestSaveReportsErrorsAndCanBeRepeated(t *testing.T) {
	for at := 1; at <= 5; at++ {
		fs := &storagetest.FS{}
		s, err := storage.Open(dir, fs)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, s.Save("r", 1, []byte("old")), qt.IsNil)
		fs.FailAt(at)
		qt.Assert(t, s.Save("r", 1, []byte("new")), qt.IsNotNil)
		_, _, err = s.Load("r")
		qt.Assert(t, err, qt.IsNil)
		fs.SetFull(true)
		qt.Assert(t, s.Save("r", 1, []byte("new")), qt.ErrorMatches, ".*no space left.*")
		fs.SetFull(false)
		qt.Assert(t, s.Save("r", 1, []byte("new")), qt.IsNil)
		_, got, err := s.Load("r")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(got), qt.Equals, "new")
	}
}

// A disk flips a bit, loses the end of a file or returns zeros. If the record still
// passed verification, a voter would vote from a state that never existed.
func TestLoadRefusesWhatWasNotWritten(t *testing.T) {
	fs := &storagetest.FS{}
	s, err := storage.Open(dir, fs)
	qt.Assert(t, err, qt.IsNil)
	_, _, err = s.Load("r")
	qt.Assert(t, errors.Is(err, errors.NotFound), qt.IsTrue)
	body := []byte("the body of a record")
	save := func() []byte {
		qt.Assert(t, s.Save("r", 7, body), qt.IsNil)
		b, err := fs.ReadFile("data/r.record")
		qt.Assert(t, err, qt.IsNil)
		return b
	}
	refuse := func(content []byte, what string) {
		fs.Change("data/r.record", func([]byte) []byte { return content })
		_, _, err := s.Load("r")
		qt.Assert(t, errors.Is(err, storage.ErrCorrupt), qt.IsTrue, qt.Commentf("%s", what))
	}
	whole := save()
	for bit := range len(whole) * 8 {
		b := bytes.Clone(whole)
		b[bit/8] ^= 1 << (bit % 8)
		refuse(b, fmt.Sprintf("bit %d", bit))
	}
	for n := range whole {
		refuse(whole[:n], fmt.Sprintf("cut to %d", n))
		refuse(append(bytes.Clone(whole[:n]), make([]byte, len(whole)-n)...), fmt.Sprintf("zeros from %d", n))
	}
	refuse(append(bytes.Clone(whole), 0), "longer")
	save()
	version, got, err := s.Load("r")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, version, qt.Equals, uint32(7))
	qt.Assert(t, string(got), qt.Equals, string(body))
}

func TestStoreOnTheOperatingSystem(t *testing.T) {
	d := t.TempDir() + "/sub"
	s, err := storage.Open(d, storage.OS{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.Save("r", 1, []byte("x")), qt.IsNil)
	qt.Assert(t, os.WriteFile(d+"/r.record.temp", []byte("left over"), 0o600), qt.IsNil)
	qt.Assert(t, s.Close(), qt.IsNil)
	s, err = storage.Open(d, storage.OS{})
	qt.Assert(t, err, qt.IsNil)
	names, err := storage.OS{}.List(d)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, names, qt.DeepEquals, []string{"lock", "r.record"})
	_, got, err := s.Load("r")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got), qt.Equals, "x")
	qt.Assert(t, s.Close(), qt.IsNil)
}

// An operator starts an entry on the data folder of a running one. Both would
// vote under one identity, each without knowing the other's votes.
func TestFolderIsOpenedOnce(t *testing.T) {
	d := t.TempDir() + "/a/b"
	first, err := storage.Open(d, storage.OS{})
	qt.Assert(t, err, qt.IsNil)
	_, err = storage.Open(d, storage.OS{})
	qt.Assert(t, errors.Is(err, storage.ErrInUse), qt.IsTrue)
	qt.Assert(t, first.Close(), qt.IsNil)
	second, err := storage.Open(d, storage.OS{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, second.Close(), qt.IsNil)
}

// A record file contains whatever a faulty disk returns. Loading must not panic, and
// a record that loads must save to the same bytes.
func FuzzLoad(f *testing.F) {
	fs := &storagetest.FS{}
	s, err := storage.Open(dir, fs)
	qt.Assert(f, err, qt.IsNil)
	qt.Assert(f, s.Save("r", 1, []byte("body")), qt.IsNil)
	whole, err := fs.ReadFile("data/r.record")
	qt.Assert(f, err, qt.IsNil)
	f.Add(whole)
	f.Add(whole[:28])
	f.Add([]byte("VGR1"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, content []byte) {
		fs.Change("data/r.record", func([]byte) []byte { return content })
		version, body, err := s.Load("r")
		if err != nil {
			return
		}
		qt.Assert(t, s.Save("r", version, body), qt.IsNil)
		again, err := fs.ReadFile("data/r.record")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, bytes.Equal(again, content), qt.IsTrue)
	})
}
