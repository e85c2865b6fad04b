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

// blockingBuffer collects log lines. Its writes block until unblock is closed, if set.
type blockingBuffer struct {
	mu      sync.Mutex
	text    bytes.Buffer
	unblock chan struct{}
}

func (b *blockingBuffer) Write(p []byte) (int, error) {
	if b.unblock != nil {
		<-b.unblock
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *blockingBuffer) lines() []map[string]any {
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

// The reader of the log stops reading. Writes must not block, and the dropped lines
// must be counted.
func TestBlockedReaderDoesNotBlockWrites(t *testing.T) {
	out := &blockingBuffer{unblock: make(chan struct{})}
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
		t.Fatal("a write blocks on the reader of the log")
	}
	qt.Assert(t, w.Dropped() > 0, qt.IsTrue)
	close(out.unblock)
	w.Close()
}

// A thousand jobs per second are served while some are refused. All refusals and a
// sample of the other events must be logged, and the left-out lines counted.
func TestBudgetKeepsAllFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockingBuffer{}
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

// sinkAndLines returns a sink and a function that closes its writer and returns the
// lines.
func sinkAndLines() (*Sink, func() []map[string]any) {
	out := &blockingBuffer{}
	w := NewWriter(out)
	s := New(timeline.Discard{}, slog.New(slog.NewJSONHandler(w, nil)))
	return s, func() []map[string]any {
		s.Flush()
		w.Close()
		return out.lines()
	}
}

// Hundreds of requests fail in one second for one reason. An operator who knows only
// the id of one of them must find it in the log, since a request that is not there looks
// like one that never arrived.
func TestEveryFailedRequestIDIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, lines := sinkAndLines()
		const refused = 700
		for i := range refused {
			s.Record(timeline.Event{Kind: timeline.SubmissionAnswered, Submission: job.ID(fmt.Sprint("j", i)), Reason: job.Overloaded})
		}
		logged := map[string]bool{}
		ownLines := 0
		for _, m := range lines() {
			if id, ok := m["request"].(string); ok {
				logged[id] = true
				ownLines++
			}
			ids, _ := m["requests"].([]any)
			if len(ids) > 0 {
				qt.Assert(t, m["kind"], qt.Equals, string(timeline.SubmissionAnswered))
				qt.Assert(t, m["reason"], qt.Equals, string(job.Overloaded))
				qt.Assert(t, m["level"], qt.Equals, "WARN")
			}
			for _, id := range ids {
				logged[id.(string)] = true
			}
		}
		qt.Assert(t, ownLines, qt.Equals, failureLines)
		qt.Assert(t, logged, qt.HasLen, refused)
	})
}

// A busy entry has no budget left for the first steps of a request that fails later.
// The log must still show the holder and the target of the request, with the times.
func TestFailureLogsEarlierSteps(t *testing.T) {
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
		var messages []string
		for _, m := range lines() {
			if m["request"] != "j150" {
				continue
			}
			messages = append(messages, m["msg"].(string))
			at, err := time.Parse(time.RFC3339Nano, m["time"].(string))
			qt.Assert(t, err, qt.IsNil)
			if m["earlier"] == true {
				qt.Assert(t, at.Equal(offered), qt.IsTrue, qt.Commentf("%s at %s", m["msg"], at))
			}
		}
		qt.Assert(t, messages, qt.DeepEquals, []string{"batch_offered", "task_started", "submission_answered", "batch_lost"})
	})
}

// A target reports a failure with a megabyte of text. The line must stay short, since
// the budget counts lines and must bound their bytes too.
func TestLongCauseIsTruncated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, lines := sinkAndLines()
		s.Record(timeline.Event{Kind: timeline.TaskEnded, Submission: "j", Reason: job.TaskFailed, Cause: strings.Repeat("é", 1<<19)})
		got := lines()
		qt.Assert(t, got, qt.HasLen, 1)
		qt.Assert(t, len(got[0]["cause"].(string)) <= maxCause+len("…"), qt.IsTrue)
	})
}

// Events of all kinds come at once in great numbers. The output of a second must stay
// within the budget, in lines and in bytes.
func TestOutputPerSecondStaysWithinBudget(t *testing.T) {
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
		maxLines := kinds*failureLines + earlierLines + kinds*2 + 2*maxListedIDs/idsPerLine + 1
		qt.Assert(t, len(written) <= maxLines, qt.IsTrue, qt.Commentf("%d lines", len(written)))
		qt.Assert(t, bytes <= maxLines*(maxCause+300)+maxListedIDs*20, qt.IsTrue, qt.Commentf("%d bytes", bytes))
		qt.Assert(t, s.LeftOut() >= kinds*events-uint64(maxLines), qt.IsTrue)
	})
}

// A busy entry is killed while its requests have no line at any other entry. The ids of
// all requests received shortly before must be in its log already, since a request that
// is not there looks like one that never arrived.
func TestReceivedRequestIDsAreLoggedPromptly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockingBuffer{}
		w := NewWriter(out)
		s := New(timeline.Discard{}, slog.New(slog.NewJSONHandler(w, nil)))
		const requests = 300
		for i := range requests {
			s.Record(timeline.Event{Kind: timeline.SubmissionReceived, Submission: job.ID(fmt.Sprint("j", i))})
		}
		time.Sleep(receivedInterval + 2*flushInterval)
		synctest.Wait()
		found := map[string]bool{}
		listLines := 0
		for _, m := range out.lines() {
			if id, ok := m["request"].(string); ok {
				found[id] = true
			}
			ids, _ := m["requests"].([]any)
			for _, id := range ids {
				found[id.(string)] = true
			}
			if len(ids) > 0 {
				listLines++
			}
		}
		qt.Assert(t, found, qt.HasLen, requests)
		qt.Assert(t, listLines <= requests/idsPerLine+1, qt.IsTrue)
		s.Flush()
		w.Close()
	})
}

// A fleet of hundreds starts, and each process discovers all others at once. The lines
// about them must stay within their own budget, the left-out ones must be counted and
// logged, and a request that fails at that moment must have its line.
func TestNonEventLinesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockingBuffer{}
		w := NewWriter(out)
		log := slog.New(NewLimitHandler(slog.NewJSONHandler(w, nil))).With("entry", "e")
		s := New(timeline.Discard{}, log)
		for i := range 300 {
			log.Info("entry found", "peer", i)
			log.With("zone", "z").Warn("peer link not up", "peer", i)
		}
		s.Record(timeline.Event{Kind: timeline.SubmissionAnswered, Submission: "j", Reason: job.HolderLost})
		qt.Assert(t, s.LeftOut(), qt.Equals, uint64(600-fleetLines-failureLines))
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
			"entry found": fleetLines + 1, "peer link not up": failureLines, "submission_answered": 1, "log lines left out": 1,
		})
	})
}
