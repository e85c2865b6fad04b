package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// The text must show how many requests were refused, for which reasons, and how long
// the others took.
func TestTextShowsCountersAndGauges(t *testing.T) {
	s := New(timeline.Discard{})
	s.Gauge("vanillagrade_configuration", func() float64 { return 7 })
	s.Record(timeline.Event{Kind: timeline.SubmissionRefused, Reason: job.Overloaded})
	s.Record(timeline.Event{Kind: timeline.SubmissionRefused, Reason: job.Overloaded})
	s.Record(timeline.Event{Kind: timeline.SubmissionAnswered, Took: 100 * time.Millisecond})
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest("GET", Path, nil))
	for _, want := range []string{
		`vanillagrade_events_total{kind="submission_refused",reason="overloaded"} 2`,
		`vanillagrade_answer_seconds_count 1`,
		`vanillagrade_configuration 7`,
	} {
		qt.Check(t, strings.Contains(w.Body.String(), want), qt.IsTrue, qt.Commentf("%s", want))
	}
}

// countingSink counts the events that it receives.
type countingSink int

func (c *countingSink) Record(timeline.Event) { *c++ }

// The text must show the durations of each step of a request, and the stretch of the
// answers. A refusal takes almost no time and must not lower the stretch. Renewals must
// be counted but not forwarded to the time line.
func TestTextShowsStepDurations(t *testing.T) {
	var forwarded countingSink
	s := New(&forwarded)
	for _, kind := range []timeline.Kind{
		timeline.BatchOffered, timeline.TaskStarted, timeline.RunAccepted, timeline.TaskEnded,
		timeline.BatchReported, timeline.SubmissionAnswered, timeline.ConfigurationInEffect,
	} {
		s.Record(timeline.Event{Kind: kind, Took: 50 * time.Millisecond, Ideal: 25 * time.Millisecond})
	}
	s.Record(timeline.Event{Kind: timeline.SubmissionAnswered, Took: 100 * time.Millisecond, Ideal: 25 * time.Millisecond, Reason: timeline.Late})
	s.Record(timeline.Event{Kind: timeline.SubmissionAnswered, Took: time.Microsecond, Ideal: 25 * time.Millisecond, Reason: job.Overloaded})
	s.Record(timeline.Event{Kind: timeline.LeaseRenewed})
	qt.Assert(t, int(forwarded), qt.Equals, 8)
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest("GET", Path, nil))
	for _, want := range []string{
		"vanillagrade_placement_seconds_count 1", "vanillagrade_task_queue_seconds_count 1",
		"vanillagrade_start_seconds_count 1", "vanillagrade_task_run_seconds_count 1",
		"vanillagrade_report_seconds_count 1", "vanillagrade_configuration_seconds_count 1",
		"vanillagrade_answer_seconds_count 3", "vanillagrade_answer_stretch_sum 6",
		`vanillagrade_events_total{kind="lease_renewed",reason=""} 1`,
	} {
		qt.Check(t, strings.Contains(w.Body.String(), want+"\n"), qt.IsTrue, qt.Commentf("%s", want))
	}
}
