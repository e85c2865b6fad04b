package timeline

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/peer/peertest"
)

// fleet is a set of entries. Their clocks observe each other with every message, as
// links do with every frame.
type fleet struct {
	wall   *wallClock
	clocks map[job.EntryID]*Clock
	rings  map[job.EntryID]*Ring
}

func newFleet(ids ...job.EntryID) *fleet {
	f := &fleet{wall: newWall(), clocks: map[job.EntryID]*Clock{}, rings: map[job.EntryID]*Ring{}}
	for _, id := range ids {
		f.clocks[id] = NewClock(f.wall.now)
		f.rings[id] = NewRing(id, f.clocks[id], 0)
	}
	return f
}

func (f *fleet) record(at job.EntryID, ev Event) {
	f.wall.step(time.Millisecond)
	f.rings[at].Record(ev)
}

func (f *fleet) message(from, to job.EntryID) { f.clocks[to].Observe(f.clocks[from].Now()) }

func (f *fleet) merged(unreachable ...job.EntryID) Timeline {
	var pages []Page
	for id, ring := range f.rings {
		lost := false
		for _, u := range unreachable {
			lost = lost || u == id
		}
		if !lost {
			pages = append(pages, ring.Read(Query{}))
		}
	}
	return Merge(pages, unreachable)
}

// resubmitted returns a fleet with a submission whose first owner a1 dies after it
// sent a batch to a2. Its caller sends it again through b1, which takes it over.
func resubmitted() *fleet {
	f := newFleet("a1", "a2", "b1")
	f.record("a1", Event{Kind: SubmissionReceived, Submission: "alert-7", Count: 2})
	f.record("a1", Event{Kind: SubmissionAdmitted, Submission: "alert-7", Count: 2})
	f.record("a1", Event{Kind: BatchOffered, Submission: "alert-7", Peer: "a2", Count: 1, Cause: "4 of 8 slots free"})
	f.message("a1", "a2")
	f.record("a2", Event{Kind: BatchReceived, Submission: "alert-7", Peer: "a1", Count: 1})
	f.record("a2", Event{Kind: TaskStarted, Submission: "alert-7", Task: 0, Target: "w3", Took: 3 * time.Millisecond, Cause: "least expected finish of 5 targets"})
	f.record("b1", Event{Kind: EntryDead, Peer: "a1", Cause: "no heartbeat for 2s"})
	f.record("b1", Event{Kind: SubmissionReceived, Submission: "alert-7", Count: 2, Cause: "attempt 2"})
	f.record("b1", Event{Kind: SubmissionTakenOver, Submission: "alert-7", Peer: "a1", Reason: job.OwnerLost})
	f.record("b1", Event{Kind: SubmissionAnswered, Submission: "alert-7", Reason: job.OwnerLost, Cause: "task 0 may have run"})
	return f
}

// An owner dies and its caller resubmits to another entry, which answers that a task
// may have run. The story must show why, from the events of three processes.
func TestStoryOfResubmission(t *testing.T) {
	story := Explain(resubmitted().merged(), "alert-7")
	var out bytes.Buffer
	qt.Assert(t, WriteStory(&out, story), qt.IsNil)
	qt.Assert(t, out.String(), qt.Equals, `submission alert-7
  +0s       a1         received from its caller with 2 tasks
  +1ms      a1         admitted with 2 tasks; entry a1 owns it
  +2ms      a1         a batch of 1 task is handed to holder a2: 4 of 8 slots free
  +3ms      a2         a batch of 1 task is taken from owner a1
  +4ms      a2         task 0 starts on target w3 after a wait of 3ms: least expected finish of 5 targets
  +6ms      b1         the caller sends it again, 6ms after entry a1 received it
  +6ms      b1         received from its caller with 2 tasks: attempt 2
  +7ms      b1         taken over from entry a1, which is lost; tasks that may have started never start again, because the entry that owned it was lost (owner_lost)
  +7ms      b1         before that, at 08:00:00.006: entry a1 is taken for dead: no heartbeat for 2s
  +8ms      b1         answered, because the entry that owned it was lost (owner_lost): task 0 may have run
`)
}

// The operator can't reach the entry that ran the task. The story must say so, since
// it would otherwise read as if nothing had run.
func TestStoryListsUnreachableEntries(t *testing.T) {
	story := Explain(resubmitted().merged("a2"), "alert-7")
	qt.Assert(t, story.Missing, qt.DeepEquals, []string{"entry a2 could not be reached: what it did is not told here"})
	none := Explain(resubmitted().merged("a1", "a2", "b1"), "alert-7")
	qt.Assert(t, none.Found, qt.IsFalse)
	qt.Assert(t, none.Missing, qt.HasLen, 3)
}

func TestStoryOfRefusal(t *testing.T) {
	f := newFleet("a1")
	f.record("a1", Event{Kind: SubmissionReceived, Submission: "p", Count: 40})
	f.record("a1", Event{Kind: SubmissionRefused, Submission: "p", Reason: job.Overloaded, Cause: "expected wait 2.1s, deadline 800ms"})
	story := Explain(f.merged(), "p")
	qt.Assert(t, story.Sentences[1].Text, qt.Equals,
		"refused, nothing ran, because the expected wait is longer than the request can bear (overloaded): expected wait 2.1s, deadline 800ms")
}

// A job of 1,900 tasks has 3,800 starts and ends. They must be summarised, so that its
// one failed task, which decided the answer, stays visible.
func TestStorySummarisesLargeJobs(t *testing.T) {
	f := newFleet("a1")
	f.record("a1", Event{Kind: TaskQueued, Submission: "big", Count: 1900})
	for i := range 1900 {
		f.record("a1", Event{Kind: TaskStarted, Submission: "big", Task: i, Target: "w1"})
	}
	f.record("a1", Event{Kind: TaskEnded, Submission: "big", Task: 17, Target: "w1", Reason: job.TaskFailed, Cause: "exit 3"})
	for i := range 1900 {
		f.record("a1", Event{Kind: TaskEnded, Submission: "big", Task: i, Target: "w1", Took: time.Duration(i) * time.Millisecond})
	}
	story := Explain(f.merged(), "big")
	qt.Assert(t, story.Sentences, qt.HasLen, 4)
	qt.Assert(t, story.Sentences[0].Text, qt.Equals, "1900 tasks are queued")
	qt.Assert(t, story.Sentences[1].Text, qt.Equals, "1900 tasks start on target w1 over 1.899s")
	qt.Assert(t, story.Sentences[2].Text, qt.Contains, "task 17 has no result from target w1, because a task failed at its target (task_failed): exit 3")
}

// The receiver's wall clock is seconds behind the sender's. The receipt of a message
// must still come after its sending.
func TestMergeKeepsCauseBeforeEffect(t *testing.T) {
	f := newFleet("a1", "a2")
	behind := newWall()
	behind.step(-5 * time.Second)
	f.clocks["a2"] = NewClock(behind.now)
	f.rings["a2"] = NewRing("a2", f.clocks["a2"], 0)
	f.record("a1", Event{Kind: BatchOffered, Submission: "s", Peer: "a2"})
	f.message("a1", "a2")
	f.record("a2", Event{Kind: BatchReceived, Submission: "s", Peer: "a1"})
	merged := f.merged()
	qt.Assert(t, merged.Events[0].Kind, qt.Equals, BatchOffered)
	qt.Assert(t, merged.Events[1].Kind, qt.Equals, BatchReceived)
}

func TestMergeReportsGapsAndSkew(t *testing.T) {
	now := StampAt(newWall().now())
	late := StampAt(now.Time().Add(time.Hour))
	ev := Event{Stamp: now, Entry: "a", Kind: EntryStarted}
	got := Merge([]Page{
		{Entry: "b", Now: late, Dropped: 3, OldestStamp: now},
		{Entry: "a", Now: now, Events: []Event{ev, ev}},
	}, []job.EntryID{"d", "c"})
	qt.Assert(t, got.Events, qt.HasLen, 1)
	qt.Assert(t, got.Gaps, qt.DeepEquals, []Gap{{Entry: "b", Dropped: 3, CompleteFrom: now}})
	qt.Assert(t, got.Skewed, qt.DeepEquals, []Skew{{Entry: "b", Ahead: time.Hour}})
	qt.Assert(t, got.Unreachable, qt.DeepEquals, []job.EntryID{"c", "d"})
	qt.Assert(t, got.Next < now, qt.IsTrue)
}

// One of three entries is unreachable: its link neither answers nor breaks. The
// operator must get the events of the other two within the timeout, and the name of
// the third.
func TestHandlerReadsFleetDespiteUnresponsiveEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &peertest.Network{Drop: func(_, to job.EntryID, _ peer.Kind, _ bool) bool { return to == "b1" }}
		rings := map[job.EntryID]*Ring{}
		nodes := map[job.EntryID]*peertest.Node{}
		for _, id := range []job.EntryID{"a1", "a2", "b1"} {
			nodes[id] = network.Join(job.Owner{Entry: id, Incarnation: 1})
			rings[id] = NewRing(id, NewClock(nil), 0)
			Serve(nodes[id], rings[id])
			rings[id].Record(Event{Kind: SubmissionReceived, Submission: "s"})
		}
		peers := func() []job.EntryID { return []job.EntryID{"a1", "a2", "b1"} }
		handler := Handler(FleetReader(nodes["a1"], rings["a1"], peers))
		began := time.Now()
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest("GET", "/v1/timeline?submission=s&kind=submission_received,x", nil).WithContext(context.Background()))
		qt.Assert(t, time.Since(began) <= readTimeout, qt.IsTrue)
		var got Timeline
		qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &got), qt.IsNil)
		qt.Assert(t, got.Events, qt.HasLen, 2)
		qt.Assert(t, got.Unreachable, qt.DeepEquals, []job.EntryID{"b1"})
		bad := httptest.NewRecorder()
		handler.ServeHTTP(bad, httptest.NewRequest("GET", "/v1/timeline?since=x", nil))
		qt.Assert(t, bad.Code, qt.Equals, 400)
	})
}

func TestWriters(t *testing.T) {
	line := resubmitted().merged("a2")
	var text, lines, svg bytes.Buffer
	qt.Assert(t, WriteText(&text, line), qt.IsNil)
	qt.Assert(t, strings.Count(text.String(), "\n"), qt.Equals, len(line.Events)+1)
	qt.Assert(t, text.String(), qt.Contains, "missing: entry a2")
	qt.Assert(t, WriteJSONLines(&lines, line), qt.IsNil)
	for l := range strings.Lines(lines.String()) {
		qt.Assert(t, json.Valid([]byte(l)), qt.IsTrue)
	}
	qt.Assert(t, WriteSVG(&svg, line, "alert-7"), qt.IsNil)
	qt.Assert(t, svg.String(), qt.Contains, "entry b1")
	qt.Assert(t, svg.String(), qt.Contains, "missing: entry a2")
	qt.Assert(t, WriteSVG(&svg, line, "none"), qt.ErrorMatches, "submission none in the time line not found")
}

// A target is unresponsive until the lease of a run expires, and the job is late. The
// story must include the expiry, which is an event of no submission.
func TestStoryIncludesExpiredLease(t *testing.T) {
	f := newFleet("a1")
	f.record("a1", Event{Kind: SubmissionReceived, Submission: "p", Count: 1})
	f.record("a1", Event{Kind: TaskStarted, Submission: "p", Target: "w1"})
	f.record("a1", Event{Kind: LeaseExpired, Target: "w1", Cause: "1 runs are over"})
	f.record("a1", Event{Kind: TaskEnded, Submission: "p", Target: "w1", Reason: job.TargetLost})
	f.record("a1", Event{Kind: SubmissionAnswered, Submission: "p", Took: 2 * time.Second, Reason: Late, Cause: "complete, beyond 1s"})
	story := Explain(f.merged(), "p")
	qt.Assert(t, story.Sentences, qt.HasLen, 5)
	qt.Assert(t, story.Sentences[3].Text, qt.Matches, `before that, at .*: the lease of the runs on target w1 has run out: 1 runs are over`)
	qt.Assert(t, story.Sentences[4].Text, qt.Equals, "answered after 2s, late: complete, beyond 1s")
	qt.Assert(t, ContextKinds(), qt.Contains, LeaseExpired)
}

// An entry dies with a job that must not be kept, and the caller sends it again to
// another entry, where it starts from the beginning. The story must distinguish the
// two attempts, since the tasks would otherwise seem to have run twice.
func TestStoryMarksResubmission(t *testing.T) {
	f := newFleet("a1", "b1")
	f.record("a1", Event{Kind: SubmissionReceived, Submission: "p", Count: 1})
	f.wall.step(1300 * time.Millisecond)
	f.record("b1", Event{Kind: SubmissionReceived, Submission: "p", Count: 1})
	f.record("b1", Event{Kind: SubmissionAnswered, Submission: "p", Cause: "complete"})
	story := Explain(f.merged(), "p")
	qt.Assert(t, story.Sentences, qt.HasLen, 4)
	qt.Assert(t, story.Sentences[1].Text, qt.Matches, `the caller sends it again, 1\.30\ds after entry a1 received it`)
}

// An owner dies, and its holder drops the work at once, before any entry has recorded
// the death. The story must still include the death.
func TestStoryIncludesDeathRecordedLater(t *testing.T) {
	f := newFleet("a1", "a2")
	f.record("a1", Event{Kind: BatchReceived, Submission: "p", Peer: "b1", Count: 1})
	f.record("a1", Event{Kind: BatchReported, Submission: "p", Peer: "b1", Count: 1, Reason: job.OwnerLost})
	f.record("a2", Event{Kind: EntryDead, Peer: "b1", Cause: "no heartbeat for 2s"})
	story := Explain(f.merged(), "p")
	qt.Assert(t, story.Sentences, qt.HasLen, 3)
	qt.Assert(t, story.Sentences[2].Text, qt.Matches, `after that, at .*: entry b1 is taken for dead: no heartbeat for 2s`)
}
