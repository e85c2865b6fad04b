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

// linesPerSink is how many failures of a kind are written through one sink. It is
// below the sink's budget per second.
const linesPerSink = 50

// countingWriter counts the bytes and calls of Write. If blocked is set, Write blocks until
// it is closed.
type countingWriter struct {
	bytes, writes atomic.Int64
	blocked       chan struct{}
}

func (o *countingWriter) Write(p []byte) (int, error) {
	if o.blocked != nil {
		<-o.blocked
	}
	o.bytes.Add(int64(len(p)))
	o.writes.Add(1)
	return len(p), nil
}

// newSink returns an event sink with metrics and a JSON log, as in an entry's process.
func newSink(w io.Writer) *eventlog.Sink {
	return eventlog.New(metrics.New(timeline.Discard{}), slog.New(slog.NewJSONHandler(w, nil)).With("entry", "edge-zone-1", "availability_zone", "zone"))
}

// measureLog measures one event without a log line, one with a line, and one with a line
// while the reader of the log has stopped reading. It also measures the log volume per
// second.
func measureLog(m *Slopes, minTime time.Duration) error {
	out := &countingWriter{}
	writer := eventlog.NewWriter(out)
	overBudget := newSink(writer)
	m.UnloggedCPU = cpuPerCall(minTime, func(i int) { overBudget.Record(startEvent(i, "")) })
	m.addCPU("one event without a line, counted for the figures", "log on, over its budget", m.UnloggedCPU)
	m.LoggedCPU = m.cpuPerLine(writer, minTime)
	m.addCPU("one event with a line", "log on", m.LoggedCPU)
	writer.Close()
	blockedOut := &countingWriter{blocked: make(chan struct{})}
	blockedWriter := eventlog.NewWriter(blockedOut)
	m.addCPU("one event with a line", "log on, its reader does not read", m.cpuPerLine(blockedWriter, minTime))
	close(blockedOut.blocked)
	blockedWriter.Close()
	return m.measureLogVolume(minTime)
}

// cpuPerLine returns the processor time per event with a log line. It replaces each sink
// before the sink's budget is exhausted.
func (m *Slopes) cpuPerLine(w io.Writer, minTime time.Duration) time.Duration {
	var s *eventlog.Sink
	return cpuPerCall(minTime, func(i int) {
		if i%linesPerSink == 0 {
			s = newSink(w)
		}
		s.Record(startEvent(i, job.TargetLost))
	})
}

func startEvent(i int, reason job.Reason) timeline.Event {
	return timeline.Event{
		Kind: timeline.TaskStarted, Submission: job.ID(fmt.Sprintf("%016x", i)), Task: 1, Target: "i-0123456789", Reason: reason,
		Took: time.Millisecond, Count: 3, Cause: "least expected finish of the targets with room",
	}
}

// requestKinds are the kinds of the events of one request, in order.
var requestKinds = []timeline.Kind{
	timeline.SubmissionReceived, timeline.SubmissionAdmitted, timeline.BatchOffered, timeline.BatchReceived, timeline.TaskQueued,
	timeline.TaskStarted, timeline.TaskEnded, timeline.BatchReported, timeline.SubmissionAnswered,
}

// measureLogVolume measures the bytes that an entry logs per second if all requests
// succeed and if all fail.
func (m *Slopes) measureLogVolume(minTime time.Duration) error {
	for _, c := range []struct {
		name   string
		reason job.Reason
		result *float64
	}{{"all goes well", "", &m.LogBytes}, {"all fails", job.TargetLost, &m.LogBytesFailing}} {
		out := &countingWriter{}
		w := eventlog.NewWriter(out)
		s := newSink(w)
		took := min(time.Second, 10*minTime)
		const rate = 500 // requests per second
		for i := range int(rate * took.Seconds()) {
			for _, kind := range requestKinds {
				ev := startEvent(i, "")
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
		*c.result = float64(out.bytes.Load()) / took.Seconds()
		m.addPoint("bytes of the log in a second, to their reader", fmt.Sprintf("%d requests, %s", rate, c.name), *c.result, "bytes a second")
	}
	return nil
}
