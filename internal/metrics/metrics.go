// Package metrics counts the events of a process, measures durations, and serves both
// as text on the metrics address. It receives the same events as the log and the time
// line, so that a metric and the log lines behind it have one source.
package metrics

import (
	"fmt"
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// Path is the URL path of the metrics.
const Path = "/metrics"

// Sink counts events and forwards them to the next sink.
type Sink struct {
	next timeline.Sink
	set  *metrics.Set

	mu        sync.RWMutex
	counters  map[counterKey]*metrics.Counter
	durations map[timeline.Kind]*metrics.Histogram
	stretch   *metrics.Histogram
}

// counterKey identifies a counter.
type counterKey struct {
	kind   timeline.Kind
	reason string
}

// histogramNames maps each event kind whose duration is measured to its histogram.
var histogramNames = map[timeline.Kind]string{
	timeline.SubmissionAnswered:    "vanillagrade_answer_seconds",
	timeline.TaskStarted:           "vanillagrade_task_queue_seconds",
	timeline.BatchOffered:          "vanillagrade_placement_seconds",
	timeline.RunAccepted:           "vanillagrade_start_seconds",
	timeline.TaskEnded:             "vanillagrade_task_run_seconds",
	timeline.BatchReported:         "vanillagrade_report_seconds",
	timeline.ConfigurationInEffect: "vanillagrade_configuration_seconds",
}

// stretchName is the name of the histogram of the stretch of complete answers: the time
// to the answer divided by the declared duration of the work itself.
const stretchName = "vanillagrade_answer_stretch"

// New returns a sink that forwards events to next, with all counters at zero.
func New(next timeline.Sink) *Sink {
	s := &Sink{next: next, set: metrics.NewSet(), counters: map[counterKey]*metrics.Counter{}, durations: map[timeline.Kind]*metrics.Histogram{}}
	for kind, name := range histogramNames {
		s.durations[kind] = s.set.NewHistogram(name)
	}
	s.stretch = s.set.NewHistogram(stretchName)
	return s
}

// Record implements timeline.Sink.
func (s *Sink) Record(ev timeline.Event) {
	s.counter(counterKey{ev.Kind, string(ev.Reason)}).Inc()
	if h := s.durations[ev.Kind]; h != nil && ev.Took > 0 {
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

// complete reports whether an answer is complete. Other answers are not measured, since
// refusals would appear as the fastest work.
func complete(ev *timeline.Event) bool { return ev.Reason == "" || ev.Reason == timeline.Late }

func (s *Sink) counter(k counterKey) *metrics.Counter {
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

// Gauge registers a gauge that calls read whenever the metrics are read.
func (s *Sink) Gauge(name string, read func() float64) { s.set.NewGauge(name, read) }

// Handler serves the metrics as text.
func (s *Sink) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		s.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return mux
}
