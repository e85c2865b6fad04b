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

// The budgets, in lines a second for each kind of event. A line takes 250 bytes
// and about 5 µs. Failures are few and are what one looks for; of the rest a sample
// is kept whole by the request, so that the lines of one request stand together.
const (
	failureLines = 100
	beliefLines  = 50
	successLines = 20
	// earlierLines bounds the lines that were left out and are written after all
	// because their request failed, of all kinds together: about ten requests'.
	earlierLines = 100
	// maxCause bounds the text of a line in bytes, and with it the bytes of a second:
	// a target's own words may be of any length.
	maxCause = 240
)

// sampleOf is the part of the successful requests of which lines are written when
// the budget does not hold all: one in so many, by their id.
const sampleOf = 8

// window is the time that a budget is for.
const window = time.Second

// Sink writes events as log lines and hands them on.
type Sink struct {
	next timeline.Sink
	log  *slog.Logger

	mu      sync.Mutex
	began   time.Time
	written map[timeline.Kind]int
	earlier int
	left    leftOut
	recent  recent
	// received waits to be told.
	received received
}

// New returns a sink that writes to log and hands each event on to next.
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
	allowed, before := s.allow(now, &ev)
	for i := range before {
		s.write(before[i].at, &before[i].event, true)
	}
	if allowed {
		s.write(now, &ev, false)
	}
}

// LeftOut returns how many lines the budgets left out, those of other lines than events
// included.
func (s *Sink) LeftOut() uint64 {
	var others uint64
	if l, ok := s.log.Handler().(*limited); ok {
		others = l.shared.leftOut()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return others + s.left.total
}

// allow reports whether the event is within the budget, and returns what was left out
// of its request before, if it is a failure.
func (s *Sink) allow(now time.Time, ev *timeline.Event) (allowed bool, before []kept) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.began) >= window {
		s.began = now
		s.earlier = 0
		s.received.listed = 0
		clear(s.written)
	}
	if !s.within(ev) {
		s.leaveOut(ev)
		if ev.Reason == "" {
			s.recent.keep(now, ev)
		}
		return false, nil
	}
	s.written[ev.Kind]++
	if ev.Submission != "" && !explainsItself(ev.Reason) {
		before = s.recent.take(now, ev.Submission, earlierLines-s.earlier)
		s.earlier += len(before)
	}
	return true, before
}

// leaveOut counts an event without a line; the caller holds the lock.
func (s *Sink) leaveOut(ev *timeline.Event) {
	if s.left.add(ev) {
		time.AfterFunc(window, s.tellLeftOut)
	}
	if ev.Kind == timeline.SubmissionReceived && s.received.add(ev.Submission) {
		time.AfterFunc(receivedEvery, s.tellReceived)
	}
}

// within reports whether the event is within its kind's budget; the caller holds
// the lock.
func (s *Sink) within(ev *timeline.Event) bool {
	n := s.written[ev.Kind]
	switch {
	case ev.Reason != "":
		return n < failureLines
	case ev.Submission == "":
		return n < beliefLines
	case n < successLines/2:
		return true
	}
	return n < successLines && sampled(ev.Submission)
}

// explainsItself reports whether the steps before an event add nothing to it: it is no
// failure, or a refusal, which has its cause in its own line and which come by the
// hundred where there are many.
func explainsItself(reason job.Reason) bool {
	switch reason {
	case "", job.Overloaded, job.QueueFull, job.OverQuota, job.Draining, job.NotConfigured, job.NoTarget, job.Infeasible:
		return true
	}
	return false
}

// sampled reports whether the request is one of which lines are kept under load.
func sampled(id job.ID) bool {
	var sum uint32
	for i := range len(id) {
		sum = sum*31 + uint32(id[i])
	}
	return sum%sampleOf == 0
}

// write writes one line with the time at which the event came about. A line that was
// left out at first says so: it stands behind later ones.
func (s *Sink) write(at time.Time, ev *timeline.Event, earlier bool) {
	level := slog.LevelInfo
	if ev.Reason != "" {
		level = slog.LevelWarn
	}
	handler := s.log.Handler()
	if l, ok := handler.(*limited); ok {
		handler = l.next // events have a budget of their own
	}
	if !handler.Enabled(context.Background(), level) {
		return
	}
	line := slog.NewRecord(at, level, string(ev.Kind), 0)
	put := func(key string, value string) {
		if value != "" {
			line.AddAttrs(slog.String(key, value))
		}
	}
	put("request", string(ev.Submission))
	if ev.Submission != "" && ev.Target != "" {
		line.AddAttrs(slog.Int("task", ev.Task))
	}
	put("target", string(ev.Target))
	put("peer", string(ev.Peer))
	put("reason", string(ev.Reason))
	if ev.Count != 0 {
		line.AddAttrs(slog.Int("count", ev.Count))
	}
	if ev.Took != 0 {
		line.AddAttrs(slog.Float64("took_ms", float64(ev.Took.Microseconds())/1000))
	}
	if ev.Ideal != 0 {
		line.AddAttrs(slog.Int64("ideal_ms", ev.Ideal.Milliseconds()))
	}
	put("cause", bound(ev.Cause))
	if earlier {
		line.AddAttrs(slog.Bool("earlier", true))
	}
	// The handler fails only where its writer does, and that one counts what it drops.
	_ = handler.Handle(context.Background(), line)
}

// bound cuts a long text.
func bound(text string) string {
	if len(text) <= maxCause {
		return text
	}
	return strings.ToValidUTF8(text[:maxCause], "") + "…"
}
