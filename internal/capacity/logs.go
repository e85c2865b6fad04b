package capacity

import (
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/eventlog"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/metrics"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// linesOfASink is up to how many failures of a kind a new sink writes: below its
// budget of a second.
const linesOfASink = 50

// countingOut counts what is written, or never takes it.
type countingOut struct {
	bytes, writes atomic.Int64
	stuck         chan struct{}
}

func (o *countingOut) Write(p []byte) (int, error) {
	if o.stuck != nil {
		<-o.stuck
	}
	o.bytes.Add(int64(len(p)))
	o.writes.Add(1)
	return len(p), nil
}

// logTo returns a sink that counts and writes, as a process has it.
func logTo(w io.Writer) *eventlog.Sink {
	return eventlog.New(metrics.New(timeline.Discard{}), slog.New(slog.NewJSONHandler(w, nil)).With("entry", "edge-zone-1", "availability_zone", "zone"))
}

// measureLog measures one event without a line, with one, and with one for a reader
// that has stopped reading, and the most that a second brings.
func measureLog(m *Slopes, least time.Duration) error {
	out := &countingOut{}
	w := eventlog.NewWriter(out)
	busy := logTo(w)
	m.LeftOutCPU = perCall(least, func(i int) { busy.Record(aStart(i, "")) })
	m.cpu("one event without a line, counted for the figures", "log on, over its budget", m.LeftOutCPU)
	m.LineCPU = m.lines(w, least)
	m.cpu("one event with a line", "log on", m.LineCPU)
	w.Close()
	stuck := &countingOut{stuck: make(chan struct{})}
	blocked := eventlog.NewWriter(stuck)
	m.cpu("one event with a line", "log on, its reader does not read", m.lines(blocked, least))
	close(stuck.stuck)
	blocked.Close()
	return m.fullSecond(least)
}

// lines writes lines through sinks that are replaced before their budget ends.
func (m *Slopes) lines(w io.Writer, least time.Duration) time.Duration {
	var s *eventlog.Sink
	return perCall(least, func(i int) {
		if i%linesOfASink == 0 {
			s = logTo(w)
		}
		s.Record(aStart(i, job.TargetLost))
	})
}

func aStart(i int, reason job.Reason) timeline.Event {
	return timeline.Event{
		Kind: timeline.TaskStarted, Submission: job.ID(fmt.Sprintf("%016x", i)), Task: 1, Target: "i-0123456789", Reason: reason,
		Took: time.Millisecond, Count: 3, Cause: "least expected finish of the targets with room",
	}
}

// requestKinds are the events of a request on its way.
var requestKinds = []timeline.Kind{
	timeline.SubmissionReceived, timeline.SubmissionAdmitted, timeline.BatchOffered, timeline.BatchReceived, timeline.TaskQueued,
	timeline.TaskStarted, timeline.TaskEnded, timeline.BatchReported, timeline.SubmissionAnswered,
}

// fullSecond counts what an entry writes in a second in which all goes well, and in
// one in which all fails.
func (m *Slopes) fullSecond(least time.Duration) error {
	for _, c := range []struct {
		name   string
		reason job.Reason
		into   *float64
	}{{"all goes well", "", &m.LogBytes}, {"all fails", job.TargetLost, &m.LogBytesFailing}} {
		out := &countingOut{}
		w := eventlog.NewWriter(out)
		s := logTo(w)
		took := min(time.Second, 10*least)
		const rate = 500 // requests a second
		for i := range int(rate * took.Seconds()) {
			for _, kind := range requestKinds {
				ev := aStart(i, "")
				ev.Kind = kind
				if kind == timeline.TaskEnded || kind == timeline.BatchReported || kind == timeline.SubmissionAnswered {
					ev.Reason = c.reason
				}
				s.Record(ev)
			}
			time.Sleep(time.Second / rate)
		}
		s.Flush()
		w.Close()
		*c.into = float64(out.bytes.Load()) / took.Seconds()
		m.point("bytes of the log in a second, to their reader", fmt.Sprintf("%d requests, %s", rate, c.name), *c.into, "bytes a second")
	}
	return nil
}
