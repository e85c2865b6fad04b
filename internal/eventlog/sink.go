package eventlog

import (
	"context"
	"log/slog"
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
)

// sampleOf is the part of the successful requests of which lines are written when
// the budget does not hold all: one in so many, by their id.
const sampleOf = 8

// Sink writes events as log lines and hands them on.
type Sink struct {
	next timeline.Sink
	log  *slog.Logger

	mu      sync.Mutex
	second  int64
	written map[timeline.Kind]int
	left    map[timeline.Kind]int
	total   uint64
}

// New returns a sink that writes to log and hands each event on to next.
func New(next timeline.Sink, log *slog.Logger) *Sink {
	return &Sink{next: next, log: log, written: map[timeline.Kind]int{}, left: map[timeline.Kind]int{}}
}

// Record implements timeline.Sink.
func (s *Sink) Record(ev timeline.Event) {
	s.next.Record(ev)
	if s.allow(time.Now(), &ev) {
		s.write(&ev)
	}
}

// LeftOut returns how many lines the budget left out.
func (s *Sink) LeftOut() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

func (s *Sink) allow(now time.Time, ev *timeline.Event) bool {
	s.mu.Lock()
	var told map[timeline.Kind]int
	if second := now.Unix(); second != s.second {
		s.second = second
		clear(s.written)
		if len(s.left) > 0 {
			told = s.left
			s.left = map[timeline.Kind]int{}
		}
	}
	allowed := s.within(ev)
	if allowed {
		s.written[ev.Kind]++
	} else {
		s.left[ev.Kind]++
		s.total++
	}
	s.mu.Unlock()
	if told != nil {
		s.log.Info("log lines left out", "by_kind", told)
	}
	return allowed
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

// sampled reports whether the request is one of which lines are kept under load.
func sampled(id job.ID) bool {
	var sum uint32
	for i := range len(id) {
		sum = sum*31 + uint32(id[i])
	}
	return sum%sampleOf == 0
}

func (s *Sink) write(ev *timeline.Event) {
	attrs := make([]slog.Attr, 0, 8)
	put := func(key string, value string) {
		if value != "" {
			attrs = append(attrs, slog.String(key, value))
		}
	}
	put("request", string(ev.Submission))
	if ev.Submission != "" && ev.Target != "" {
		attrs = append(attrs, slog.Int("task", ev.Task))
	}
	put("target", string(ev.Target))
	put("peer", string(ev.Peer))
	put("reason", string(ev.Reason))
	if ev.Count != 0 {
		attrs = append(attrs, slog.Int("count", ev.Count))
	}
	if ev.Took != 0 {
		attrs = append(attrs, slog.Float64("took_ms", float64(ev.Took.Microseconds())/1000))
	}
	put("cause", ev.Cause)
	level := slog.LevelInfo
	if ev.Reason != "" {
		level = slog.LevelWarn
	}
	s.log.LogAttrs(context.Background(), level, string(ev.Kind), attrs...)
}
