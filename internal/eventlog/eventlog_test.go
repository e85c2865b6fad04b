package eventlog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// buffer is a reader of lines that may stop reading.
type buffer struct {
	mu    sync.Mutex
	text  bytes.Buffer
	stuck chan struct{}
}

func (b *buffer) Write(p []byte) (int, error) {
	if b.stuck != nil {
		<-b.stuck
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *buffer) lines() []map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []map[string]any
	for line := range strings.Lines(b.text.String()) {
		var m map[string]any
		if json.Unmarshal([]byte(line), &m) == nil {
			out = append(out, m)
		}
	}
	return out
}

// The reader of the log stops reading. The process must go on at once, and say
// later how many lines it lost.
func TestStuckReaderBlocksNobody(t *testing.T) {
	out := &buffer{stuck: make(chan struct{})}
	w := NewWriter(out)
	line := bytes.Repeat([]byte("x"), 1023)
	line = append(line, '\n')
	done := make(chan struct{})
	go func() {
		for range 1000 {
			_, _ = w.Write(line)
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a line waits for its reader")
	}
	qt.Assert(t, w.Dropped() > 0, qt.IsTrue)
	close(out.stuck)
	w.Close()
}

// A thousand jobs a second are served while some are refused. Each refusal is told,
// of the rest a sample, and what was left out is counted.
func TestBudgetKeepsFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &buffer{}
		w := NewWriter(out)
		s := New(timeline.Discard{}, slog.New(slog.NewJSONHandler(w, nil)))
		for i := range 1000 {
			id := job.ID(fmt.Sprint("j", i))
			s.Record(timeline.Event{Kind: timeline.SubmissionReceived, Submission: id})
			if i%20 == 0 {
				s.Record(timeline.Event{Kind: timeline.SubmissionRefused, Submission: id, Reason: job.Overloaded})
			}
		}
		time.Sleep(time.Second)
		synctest.Wait()
		s.Record(timeline.Event{Kind: timeline.EntryAlive, Peer: "e"})
		w.Close()
		count := map[string]int{}
		refused := map[any]bool{}
		for _, m := range out.lines() {
			if m["msg"] == string(timeline.SubmissionRefused) {
				refused[m["request"]] = true
			}
		}
		for _, m := range out.lines() {
			if m["earlier"] == true {
				qt.Assert(t, refused[m["request"]], qt.IsTrue, qt.Commentf("%v", m))
				continue
			}
			count[m["msg"].(string)]++
		}
		qt.Assert(t, count[string(timeline.SubmissionRefused)], qt.Equals, 50)
		qt.Assert(t, count[string(timeline.SubmissionReceived)] <= successLines, qt.IsTrue)
		qt.Assert(t, count["log lines left out"], qt.Equals, 1)
		qt.Assert(t, s.LeftOut() >= 980, qt.IsTrue)
	})
}

// sinkAndLines returns a sink and what reads its lines when all is over.
func sinkAndLines() (*Sink, func() []map[string]any) {
	out := &buffer{}
	w := NewWriter(out)
	s := New(timeline.Discard{}, slog.New(slog.NewJSONHandler(w, nil)))
	return s, func() []map[string]any {
		s.Flush()
		w.Close()
		return out.lines()
	}
}

// A thousand requests are refused in one second for one cause. Whoever is called
// because of one of them has its id alone, and must find it: one that stands nowhere
// can't be told from one that never arrived.
func TestEveryFailureIsToldByItsID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, lines := sinkAndLines()
		const refused = 700
		for i := range refused {
			s.Record(timeline.Event{Kind: timeline.SubmissionAnswered, Submission: job.ID(fmt.Sprint("j", i)), Reason: job.Overloaded})
		}
		told := map[string]bool{}
		own := 0
		for _, m := range lines() {
			if id, ok := m["request"].(string); ok {
				told[id] = true
				own++
			}
			ids, _ := m["requests"].([]any)
			if len(ids) > 0 {
				qt.Assert(t, m["kind"], qt.Equals, string(timeline.SubmissionAnswered))
				qt.Assert(t, m["reason"], qt.Equals, string(job.Overloaded))
				qt.Assert(t, m["level"], qt.Equals, "WARN")
			}
			for _, id := range ids {
				told[id.(string)] = true
			}
		}
		qt.Assert(t, own, qt.Equals, failureLines)
		qt.Assert(t, told, qt.HasLen, refused)
	})
}

// A busy entry has no lines left for the first steps of a request, which later fails.
// On call, one needs the holder and the target that it was given to, and when.
func TestFailureBringsItsEarlierSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, lines := sinkAndLines()
		for i := range 200 {
			id := job.ID(fmt.Sprint("j", i))
			s.Record(timeline.Event{Kind: timeline.BatchOffered, Submission: id, Peer: "holder"})
			s.Record(timeline.Event{Kind: timeline.TaskStarted, Submission: id, Target: "w1"})
		}
		offered := time.Now()
		time.Sleep(700 * time.Millisecond)
		s.Record(timeline.Event{Kind: timeline.SubmissionAnswered, Submission: "j150", Reason: job.HolderLost})
		s.Record(timeline.Event{Kind: timeline.BatchLost, Submission: "j150", Reason: job.HolderLost})
		var story []string
		for _, m := range lines() {
			if m["request"] != "j150" {
				continue
			}
			story = append(story, m["msg"].(string))
			at, err := time.Parse(time.RFC3339Nano, m["time"].(string))
			qt.Assert(t, err, qt.IsNil)
			if m["earlier"] == true {
				qt.Assert(t, at.Equal(offered), qt.IsTrue, qt.Commentf("%s at %s", m["msg"], at))
			}
		}
		qt.Assert(t, story, qt.DeepEquals, []string{"batch_offered", "task_started", "submission_answered", "batch_lost"})
	})
}

// A target answers a failure with a megabyte of its own words. The line stays short:
// the budget counts lines and has to bound their bytes.
func TestLongCauseIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, lines := sinkAndLines()
		s.Record(timeline.Event{Kind: timeline.TaskEnded, Submission: "j", Reason: job.TaskFailed, Cause: strings.Repeat("é", 1<<19)})
		got := lines()
		qt.Assert(t, got, qt.HasLen, 1)
		qt.Assert(t, len(got[0]["cause"].(string)) <= maxCause+len("…"), qt.IsTrue)
	})
}

// All kinds of events come at once and without end. What is written in a second stays
// within the budget, in lines and in bytes.
func TestSecondStaysWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, lines := sinkAndLines()
		const kinds, events = 20, 400
		for i := range events {
			for k := range kinds {
				ev := timeline.Event{Kind: timeline.Kind(fmt.Sprint("kind_", k)), Submission: job.ID(fmt.Sprint("request-", i)), Cause: strings.Repeat("c", 300)}
				if (i+k)%2 == 0 {
					ev.Reason = job.Overloaded
				}
				s.Record(ev)
			}
		}
		written := lines()
		bytes := 0
		for _, m := range written {
			raw, err := json.Marshal(m)
			qt.Assert(t, err, qt.IsNil)
			bytes += len(raw)
		}
		most := kinds*failureLines + earlierLines + kinds*2 + 2*maxListed/listedInLine + 1
		qt.Assert(t, len(written) <= most, qt.IsTrue, qt.Commentf("%d lines", len(written)))
		qt.Assert(t, bytes <= most*(maxCause+300)+maxListed*20, qt.IsTrue, qt.Commentf("%d bytes", bytes))
		qt.Assert(t, s.LeftOut() >= kinds*events-uint64(most), qt.IsTrue)
	})
}

// A busy entry is killed in the middle of its work, and its requests leave no line
// anywhere else. All that arrived a moment before must be found at it by their ids; a
// request that stands nowhere would be taken for one that never arrived.
func TestReceivedRequestsAreToldBeforeAKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &buffer{}
		w := NewWriter(out)
		s := New(timeline.Discard{}, slog.New(slog.NewJSONHandler(w, nil)))
		const requests = 300
		for i := range requests {
			s.Record(timeline.Event{Kind: timeline.SubmissionReceived, Submission: job.ID(fmt.Sprint("j", i))})
		}
		time.Sleep(receivedEvery + 2*flushEvery)
		synctest.Wait()
		found := map[string]bool{}
		listing := 0
		for _, m := range out.lines() {
			if id, ok := m["request"].(string); ok {
				found[id] = true
			}
			ids, _ := m["requests"].([]any)
			for _, id := range ids {
				found[id.(string)] = true
			}
			if len(ids) > 0 {
				listing++
			}
		}
		qt.Assert(t, found, qt.HasLen, requests)
		qt.Assert(t, listing <= requests/listedInLine+1, qt.IsTrue)
		s.Flush()
		w.Close()
	})
}

// A fleet of hundreds starts, and each process learns of all others at once. The lines
// that tell of it stay within a budget of their own, what is left out is counted and
// said, and a request that fails in that moment has its line.
func TestLinesThatAreNoEventsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &buffer{}
		w := NewWriter(out)
		log := slog.New(Limit(slog.NewJSONHandler(w, nil))).With("entry", "e")
		s := New(timeline.Discard{}, log)
		for i := range 300 {
			log.Info("entry found", "peer", i)
			log.With("zone", "z").Warn("peer link not up", "peer", i)
		}
		s.Record(timeline.Event{Kind: timeline.SubmissionAnswered, Submission: "j", Reason: job.HolderLost})
		qt.Assert(t, s.LeftOut(), qt.Equals, uint64(600-beliefLines-failureLines))
		time.Sleep(window)
		synctest.Wait()
		log.Info("entry found", "peer", "later")
		w.Close()
		count := map[string]int{}
		for _, m := range out.lines() {
			qt.Assert(t, m["entry"], qt.Equals, "e")
			count[m["msg"].(string)]++
		}
		qt.Assert(t, count, qt.DeepEquals, map[string]int{
			"entry found": beliefLines + 1, "peer link not up": failureLines, "submission_answered": 1, "log lines left out": 1,
		})
	})
}
