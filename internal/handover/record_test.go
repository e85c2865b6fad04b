package handover

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// eventRecorder keeps the events of a holder.
type eventRecorder struct {
	mu     sync.Mutex
	events []timeline.Event
}

func (n *eventRecorder) Record(ev timeline.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.events = append(n.events, ev)
}

func (n *eventRecorder) all() []timeline.Event {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]timeline.Event(nil), n.events...)
}

// An owner's VM dies, and its records of a failed job are lost. Its caller knows only the
// job's id. The holder's events must name the owner and the result of the batch, each once,
// although the offer arrived twice over a broken link.
func TestHolderRecordsBatches(t *testing.T) {
	run(t, func(s *fixture) {
		n := &eventRecorder{}
		s.server.SetEventSink(n)
		got := s.offer(context.Background(), batch("j", 0, 1))
		time.Sleep(100 * time.Millisecond)
		s.net.SetPartitioned("owner", "holder", true)
		time.Sleep(50 * time.Millisecond)
		s.net.SetPartitioned("owner", "holder", false)
		<-got
		events := n.all()
		qt.Assert(t, events, qt.HasLen, 2)
		qt.Assert(t, events[0], qt.DeepEquals, timeline.Event{Kind: timeline.BatchReceived, Submission: "j", Peer: "owner", Count: 2})
		qt.Assert(t, events[1], qt.DeepEquals, timeline.Event{Kind: timeline.BatchReported, Submission: "j", Peer: "owner", Count: 2, Took: 300 * time.Millisecond})
	})
}

// A task of a batch fails. The event must carry the reason, so that it is logged as a
// failure, which a full log omits last.
func TestHolderRecordsWhyABatchFailed(t *testing.T) {
	run(t, func(s *fixture) {
		n := &eventRecorder{}
		s.server.SetEventSink(n)
		s.holder.failingTask = 1
		<-s.offer(context.Background(), batch("j", 0, 1))
		events := n.all()
		qt.Assert(t, events, qt.HasLen, 2)
		qt.Assert(t, events[1].Reason, qt.Equals, job.TaskFailed)
		qt.Assert(t, events[1].Cause, qt.Equals, "0 of 1 tasks have a result")
	})
}

// A target was paused, and all results arrive later than the service's objective allows.
// The batch must be recorded as late: the lines of a plain success would be omitted under
// load, and the late job could not be explained.
func TestHolderRecordsLateBatches(t *testing.T) {
	run(t, func(s *fixture) {
		n := &eventRecorder{}
		s.server.SetEventSink(n)
		b := batch("j", 0)
		b.Tasks[0].RunMillis = 40
		b.Stretch, b.Slack, b.Waited = 2, 100*time.Millisecond, 30*time.Millisecond
		<-s.offer(context.Background(), b)
		events := n.all()
		qt.Assert(t, events, qt.HasLen, 2)
		qt.Assert(t, events[1].Reason, qt.Equals, timeline.Late)
		qt.Assert(t, events[1].Cause, qt.Equals, "beyond the 195ms that its objective left it")
	})
}
