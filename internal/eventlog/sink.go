package eventlog

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// The budgets, in lines per second for each kind of event. A line takes 250 bytes and
// about 5 µs. Failures are few and are what operators search for. The other events are
// sampled by request, so that the lines of one request are kept together.
const (
	// failureLines is for events with a reason, and for warnings and errors.
	failureLines = 100
	// fleetLines is for events and lines that concern no request.
	fleetLines = 50
	// successLines is for successful steps of requests.
	successLines = 20
	// earlierLines bounds the left-out lines that are logged later because their
	// request failed, for all kinds together. It is enough for about ten requests.
	earlierLines = 100
	// maxCause bounds the cause in a line, in bytes, and so the bytes logged per
	// second. The error text of a target may have any length.
	maxCause = 240
)

// sampleDivisor is the sampling rate of successful requests when the budget does not
// cover all of them: one in sampleDivisor is logged, selected by its id.
const sampleDivisor = 8

// window is the period to which a budget applies.
const window = time.Second

// Sink writes events as log lines and forwards them to the next sink.
type Sink struct {
	next timeline.Sink
	log  *slog.Logger

	mu      sync.Mutex
	began   time.Time
	written map[timeline.Kind]int
	earlier int
	left    leftOut
	recent  recent
	// received holds ids that are not logged yet.
	received received
}

// New returns a sink that writes to log and forwards each event to next.
func New(next timeline.Sink, log *slog.Logger) *Sink {
	return &Sink{next: next, log: log, written: map[timeline.Kind]int{}, left: newLeftOut()}
}

// Record implements timeline.Sink.
func (s *Sink) Record(ev timeline.Event) {
	s.next.Record(ev)
	if ev.Kind.OnlyCounted() {
		return
	}
	now := time.Now()
	allowed, earlierSteps := s.allow(now, &ev)
	for i := range earlierSteps {
		s.write(earlierSteps[i].at, &earlierSteps[i].event, true)
	}
	if allowed {
		s.write(now, &ev, false)
	}
}

// LeftOut returns how many lines the budgets left out, including lines that are not
// events.
func (s *Sink) LeftOut() uint64 {
	var others uint64
	if l, ok := s.log.Handler().(*limitedHandler); ok {
		others = l.budget.leftOut()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return others + s.left.total
}

// allow reports whether the event is within the budget. For a failure it also returns
// the earlier events of the request that were left out.
func (s *Sink) allow(now time.Time, ev *timeline.Event) (allowed bool, earlierSteps []unloggedEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.began) >= window {
		s.began = now
		s.earlier = 0
		s.received.listed = 0
		clear(s.written)
	}
	if !s.withinBudget(ev) {
		s.leaveOut(ev)
		if !failed(ev) {
			s.recent.add(now, ev)
		}
		return false, nil
	}
	s.written[ev.Kind]++
	if ev.Submission != "" && !selfExplanatory(ev.Reason) {
		earlierSteps = s.recent.take(now, ev.Submission, earlierLines-s.earlier)
		s.earlier += len(earlierSteps)
	}
	return true, earlierSteps
}

// leaveOut counts an event without a line. The caller holds the lock.
func (s *Sink) leaveOut(ev *timeline.Event) {
	if s.left.add(ev) {
		time.AfterFunc(window, s.logLeftOut)
	}
	if ev.Kind == timeline.SubmissionReceived && s.received.add(ev.Submission) {
		time.AfterFunc(receivedInterval, s.logReceived)
	}
}

// withinBudget reports whether the event is within the budget of its kind. The caller
// holds the lock.
func (s *Sink) withinBudget(ev *timeline.Event) bool {
	n := s.written[ev.Kind]
	switch {
	case failed(ev):
		return n < failureLines
	case ev.Submission == "":
		return n < fleetLines
	case n < successLines/2:
		return true
	}
	return n < successLines && inSample(ev.Submission)
}

// failed reports whether the event is a failure. A run that was stopped for a more urgent job is
// none: its task is queued again.
func failed(ev *timeline.Event) bool { return ev.Reason != "" && ev.Reason != job.Preempted }

// selfExplanatory reports whether the earlier steps of the request add nothing to an
// event with this reason: it is no failure, or it is a refusal. A refusal has its cause
// in its own line, and refusals may come by the hundred.
func selfExplanatory(reason job.Reason) bool {
	switch reason {
	case "", job.Preempted, job.Overloaded, job.QueueFull, job.OverQuota, job.Draining, job.NotConfigured, job.NotDue, job.NoTarget, job.ZoneCordoned, job.Infeasible:
		return true
	}
	return false
}

// inSample reports whether the lines of the request are written under load.
func inSample(id job.ID) bool {
	var sum uint32
	for i := range len(id) {
		sum = sum*31 + uint32(id[i])
	}
	return sum%sampleDivisor == 0
}

// write writes one line with the time of the event. A line that was left out at first
// is marked as earlier, since it comes after lines of later events.
func (s *Sink) write(at time.Time, ev *timeline.Event, earlier bool) {
	level := slog.LevelInfo
	if failed(ev) {
		level = slog.LevelWarn
	}
	handler := s.log.Handler()
	if l, ok := handler.(*limitedHandler); ok {
		handler = l.next // events have their own budget
	}
	if !handler.Enabled(context.Background(), level) {
		return
	}
	line := slog.NewRecord(at, level, string(ev.Kind), 0)
	addString := func(key string, value string) {
		if value != "" {
			line.AddAttrs(slog.String(key, value))
		}
	}
	addString("request", string(ev.Submission))
	if ev.Submission != "" && ev.Target != "" {
		line.AddAttrs(slog.Int("task", ev.Task))
	}
	addString("target", string(ev.Target))
	addString("peer", string(ev.Peer))
	addString("reason", string(ev.Reason))
	if ev.Count != 0 {
		line.AddAttrs(slog.Int("count", ev.Count))
	}
	if ev.Took != 0 {
		line.AddAttrs(slog.Float64("took_ms", float64(ev.Took.Microseconds())/1000))
	}
	if ev.Ideal != 0 {
		line.AddAttrs(slog.Int64("ideal_ms", ev.Ideal.Milliseconds()))
	}
	addString("cause", truncate(ev.Cause))
	if earlier {
		line.AddAttrs(slog.Bool("earlier", true))
	}
	// The handler fails only if its writer does, and the writer counts dropped lines.
	_ = handler.Handle(context.Background(), line)
}

// truncate shortens a text to maxCause bytes and marks the cut with an ellipsis.
func truncate(text string) string {
	if len(text) <= maxCause {
		return text
	}
	return strings.ToValidUTF8(text[:maxCause], "") + "…"
}
