// Package metrics counts what a process decides and how long it takes, and shows it
// as text on the metrics address. It is fed by the same events as the log and the
// time line, so that a figure and the lines behind it have one source.
package metrics

import (
	"fmt"
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// Path is where the figures are shown.
const Path = "/metrics"

// Sink counts events and hands them on.
type Sink struct {
	next timeline.Sink
	set  *metrics.Set

	mu       sync.RWMutex
	counters map[key]*metrics.Counter
	times    map[timeline.Kind]*metrics.Histogram
	stretch  *metrics.Histogram
}

// key names one counter.
type key struct {
	kind   timeline.Kind
	reason string
}

// timed are the events whose duration is kept, with the name of the histogram.
var timed = map[timeline.Kind]string{
	timeline.SubmissionAnswered: "vanillagrade_answer_seconds",
	timeline.TaskStarted:        "vanillagrade_task_queue_seconds",
	timeline.BatchOffered:       "vanillagrade_placement_seconds",
	timeline.RunAccepted:        "vanillagrade_start_seconds",
	timeline.TaskEnded:          "vanillagrade_task_run_seconds",
	timeline.BatchReported:      "vanillagrade_report_seconds",
	timeline.ConfigurationSet:   "vanillagrade_configuration_seconds",
}

// stretchName is the histogram of how many times longer than the work itself complete
// answers took.
const stretchName = "vanillagrade_answer_stretch"

// New returns a sink without figures.
func New(next timeline.Sink) *Sink {
	s := &Sink{next: next, set: metrics.NewSet(), counters: map[key]*metrics.Counter{}, times: map[timeline.Kind]*metrics.Histogram{}}
	for kind, name := range timed {
		s.times[kind] = s.set.NewHistogram(name)
	}
	s.stretch = s.set.NewHistogram(stretchName)
	return s
}

// Record implements timeline.Sink.
func (s *Sink) Record(ev timeline.Event) {
	s.counter(key{ev.Kind, string(ev.Reason)}).Inc()
	if h := s.times[ev.Kind]; h != nil && ev.Took > 0 {
		h.Update(ev.Took.Seconds())
	}
	if ev.Kind == timeline.SubmissionAnswered && complete(&ev) && ev.Ideal > 0 {
		s.stretch.Update(float64(ev.Took) / float64(ev.Ideal))
	}
	if ev.Kind.OnlyCounted() {
		return
	}
	s.next.Record(ev)
}

// complete reports whether an answer is whole. The others would show refusals as the
// quickest work.
func complete(ev *timeline.Event) bool { return ev.Reason == "" || ev.Reason == timeline.Late }

func (s *Sink) counter(k key) *metrics.Counter {
	s.mu.RLock()
	c := s.counters[k]
	s.mu.RUnlock()
	if c != nil {
		return c
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c = s.counters[k]; c == nil {
		c = s.set.GetOrCreateCounter(fmt.Sprintf("vanillagrade_events_total{kind=%q,reason=%q}", k.kind, k.reason))
		s.counters[k] = c
	}
	return c
}

// Gauge shows what read returns at each look.
func (s *Sink) Gauge(name string, read func() float64) { s.set.NewGauge(name, read) }

// Handler shows the figures as text.
func (s *Sink) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		s.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return mux
}
