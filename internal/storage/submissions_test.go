package storage_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/storage"
	"github.com/vanillagrade/vanillagrade/internal/storage/storagetest"
)

// TestMain fixes the seed of the random runs, so that each run of the tests has the
// same result; -rapid.seed sets another seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

func accepted(id, body string) storage.Record {
	return storage.Record{Kind: storage.RecordAccepted, ID: job.ID(id), Body: []byte(body)}
}

func handed(id string, tasks ...int) storage.Record {
	return storage.Record{Kind: storage.RecordDispatched, ID: job.ID(id), Tasks: tasks}
}

func finished(id, body string) storage.Record {
	return storage.Record{Kind: storage.RecordFinished, ID: job.ID(id), Body: []byte(body)}
}

func forgotten(id string) storage.Record {
	return storage.Record{Kind: storage.RecordForgotten, ID: job.ID(id)}
}

func openLog(t testing.TB, fs storage.FS) *storage.SubmissionLog {
	l, err := storage.OpenSubmissionLog(dir, fs)
	qt.Assert(t, err, qt.IsNil)
	return l
}

func TestReplayGivesWhatIsNeeded(t *testing.T) {
	fs := &storagetest.FS{}
	l := openLog(t, fs)
	for _, r := range []storage.Record{
		accepted("a", "job a"), accepted("b", "job b"), accepted("c", "job c"),
		handed("a", 0, 1), handed("b", 0), handed("a", 2), finished("b", "answer b"), finished("b", "second answer"),
		accepted("d", "job d"), finished("d", "answer d"), forgotten("d"), handed("unknown", 1), forgotten("c"),
	} {
		qt.Assert(t, l.Append(context.Background(), r), qt.IsNil)
	}
	want := []storage.Record{accepted("a", "job a"), handed("a", 0, 1, 2), finished("b", "answer b")}
	qt.Assert(t, l.Replay(), qt.DeepEquals, want)
	for range 3 {
		qt.Assert(t, l.Close(), qt.IsNil)
		l = openLog(t, fs)
		qt.Assert(t, l.Replay(), qt.DeepEquals, want)
	}
	qt.Assert(t, l.Close(), qt.IsNil)
	qt.Assert(t, errors.Is(l.Append(context.Background(), forgotten("a")), storage.ErrNotKept), qt.IsTrue)
	qt.Assert(t, fs.Names(), qt.HasLen, 1)
}

// The process is killed, the VM loses power or the disk fails once, at any operation.
// A submission that was acknowledged as kept must reappear after the restart. One
// that was refused as not kept must not: it would run although its caller was
// informed that it would not.
func TestLogSurvivesACrashOrErrorAtEveryOperation(t *testing.T) {
	for _, keep := range storagetest.Keeps {
		for _, fail := range []bool{false, true} {
			for at := 1; ; at++ {
				fs := &storagetest.FS{}
				l := openLog(t, fs)
				qt.Assert(t, l.Append(context.Background(), accepted("first", "x")), qt.IsNil)
				if fail {
					fs.FailAt(at)
				} else {
					fs.CrashAt(at)
				}
				before := fs.Ops()
				results := map[string]error{}
				for i := range 6 {
					id := fmt.Sprint(i)
					results[id] = l.Append(context.Background(), accepted(id, "body of "+id))
				}
				used := fs.Ops() - before
				_ = l.Close()
				again := openLog(t, fs.Restart(keep))
				replayed := map[string]bool{}
				for _, r := range again.Replay() {
					replayed[string(r.ID)] = true
				}
				qt.Assert(t, again.Close(), qt.IsNil)
				comment := qt.Commentf("keep %d, operation %d, fail %v: results %v, replayed %v", keep, at, fail, results, replayed)
				qt.Assert(t, replayed["first"], qt.IsTrue, comment)
				for id, err := range results {
					switch {
					case err == nil:
						qt.Assert(t, replayed[id], qt.IsTrue, comment)
					case errors.Is(err, storage.ErrNotKept):
						qt.Assert(t, replayed[id], qt.IsFalse, comment)
					default:
						qt.Assert(t, errors.Is(err, storage.ErrUncertain), qt.IsTrue, comment)
					}
				}
				if used < at {
					qt.Assert(t, at > 12, qt.IsTrue, comment)
					break
				}
			}
		}
	}
}

// The disk is full for a while. Nothing may be acknowledged during that time, and the
// log must continue by itself afterwards without losing earlier records.
func TestLogOnAFullDisk(t *testing.T) {
	fs := &storagetest.FS{}
	l := openLog(t, fs)
	qt.Assert(t, l.Append(context.Background(), accepted("a", "x")), qt.IsNil)
	fs.SetFull(true)
	for range 3 {
		qt.Assert(t, l.Append(context.Background(), accepted("b", "x")), qt.IsNotNil)
	}
	fs.SetFull(false)
	qt.Assert(t, l.Append(context.Background(), accepted("c", "x")), qt.IsNil)
	qt.Assert(t, l.Close(), qt.IsNil)
	l = openLog(t, fs.Restart(storagetest.KeepNone))
	qt.Assert(t, l.Replay(), qt.DeepEquals, []storage.Record{accepted("a", "x"), accepted("c", "x")})
	qt.Assert(t, l.Close(), qt.IsNil)
}

// A disk flips a bit in a batch that was synced long ago. Ignoring the rest of the
// log would silently lose accepted submissions, so opening the log must fail with an
// error that names the file.
func TestLogRefusesAChangedBatch(t *testing.T) {
	fs := &storagetest.FS{}
	l := openLog(t, fs)
	for i := range 3 {
		qt.Assert(t, l.Append(context.Background(), accepted(fmt.Sprint(i), "body")), qt.IsNil)
	}
	qt.Assert(t, l.Close(), qt.IsNil)
	name := fs.Names()[0]
	whole, err := fs.ReadFile(name)
	qt.Assert(t, err, qt.IsNil)
	last := bytes.LastIndex(whole, []byte("VGB1"))
	for at := range last {
		b := bytes.Clone(whole)
		b[at] ^= 0x10
		fs.Change(name, func([]byte) []byte { return b })
		_, err := storage.OpenSubmissionLog(dir, fs)
		qt.Assert(t, errors.Is(err, storage.ErrCorrupt), qt.IsTrue, qt.Commentf("byte %d: %v", at, err))
		qt.Assert(t, err, qt.ErrorMatches, ".*submissions-.*")
	}
}

// A burst of 200 submissions that must be kept arrives at once. With one sync for
// each, the last would wait for 200 syncs; with shared syncs it waits for two.
func TestWaitingRecordsShareASync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := &storagetest.FS{}
		fs.Slow(5 * time.Millisecond)
		l := openLog(t, fs)
		start := time.Now()
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				qt.Check(t, l.Append(context.Background(), accepted(fmt.Sprint(i), "x")), qt.IsNil)
			})
		}
		wg.Wait()
		qt.Assert(t, time.Since(start) <= 15*time.Millisecond, qt.IsTrue)
		qt.Assert(t, l.Stats().Batches <= 3, qt.IsTrue)
		qt.Assert(t, l.Replay(), qt.HasLen, 200)
		qt.Assert(t, l.Close(), qt.IsNil)
	})
}

// A log that was never compacted would fill the small disk of its VM within hours.
func TestLogStaysBounded(t *testing.T) {
	fs := &storagetest.FS{}
	l := openLog(t, fs)
	body := string(make([]byte, 100<<10))
	qt.Assert(t, l.Append(context.Background(), accepted("keep", "x")), qt.IsNil)
	for i := range 300 {
		id := fmt.Sprint(i)
		qt.Assert(t, l.Append(context.Background(), accepted(id, body)), qt.IsNil)
		qt.Assert(t, l.Append(context.Background(), finished(id, "answer")), qt.IsNil)
	}
	qt.Assert(t, l.Stats().Bytes < 6<<20, qt.IsTrue, qt.Commentf("%+v", l.Stats()))
	qt.Assert(t, l.Stats().Compactions > 3, qt.IsTrue)
	qt.Assert(t, l.Replay(), qt.HasLen, 301)
	qt.Assert(t, l.Replay()[0], qt.DeepEquals, accepted("keep", "x"))
	qt.Assert(t, l.Close(), qt.IsNil)
	qt.Assert(t, fs.Names(), qt.HasLen, 1)
}

// Random histories with crashes: the last acknowledged step of each submission must
// match a model that is a simple map.
func TestLogAgainstAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := &storagetest.FS{}
		l, err := storage.OpenSubmissionLog(dir, fs)
		if err != nil {
			t.Fatal(err)
		}
		model := map[job.ID]string{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := job.ID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id"))
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1:
				if model[id] == "" && l.Append(context.Background(), accepted(string(id), "job")) == nil {
					model[id] = "accepted"
				}
			case 2:
				if model[id] == "accepted" && l.Append(context.Background(), finished(string(id), "answer")) == nil {
					model[id] = "finished"
				}
			case 3:
				if l.Append(context.Background(), forgotten(string(id))) == nil {
					delete(model, id)
				}
			case 4:
				_ = l.Close()
				fs = fs.Restart(rapid.SampledFrom(storagetest.Keeps).Draw(t, "keep"))
				if l, err = storage.OpenSubmissionLog(dir, fs); err != nil {
					t.Fatal(err)
				}
			}
			got := map[job.ID]string{}
			for _, r := range l.Replay() {
				got[r.ID] = map[storage.RecordKind]string{storage.RecordAccepted: "accepted", storage.RecordFinished: "finished"}[r.Kind]
			}
			if fmt.Sprint(got) != fmt.Sprint(model) {
				t.Fatalf("log has %v, want %v", got, model)
			}
		}
		_ = l.Close()
	})
}

// A segment contains whatever a faulty disk returns. Opening must not panic, and a
// log that opens must replay the same records when it is opened again.
func FuzzOpenSubmissionLog(f *testing.F) {
	fs := &storagetest.FS{}
	l := openLog(f, fs)
	qt.Assert(f, l.Append(context.Background(), accepted("a", "x")), qt.IsNil)
	qt.Assert(f, l.Append(context.Background(), handed("a", 1, 2)), qt.IsNil)
	qt.Assert(f, l.Close(), qt.IsNil)
	whole, err := fs.ReadFile(fs.Names()[0])
	qt.Assert(f, err, qt.IsNil)
	f.Add(whole)
	f.Add(whole[:len(whole)-3])
	f.Add([]byte("VGB1"))
	f.Fuzz(func(t *testing.T, content []byte) {
		fs := &storagetest.FS{}
		file, err := fs.Create(dir + "/submissions-000000000001.log")
		qt.Assert(t, err, qt.IsNil)
		_, _ = file.Write(content)
		l, err := storage.OpenSubmissionLog(dir, fs)
		if err != nil {
			return
		}
		first := l.Replay()
		qt.Assert(t, l.Close(), qt.IsNil)
		again := openLog(t, fs)
		qt.Assert(t, again.Replay(), qt.DeepEquals, first)
		qt.Assert(t, again.Close(), qt.IsNil)
	})
}
