package pipeline

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// A target is paused, and a director's preview is complete but seconds late. To let the
// director learn why, a late answer is recorded as late and not as one of many
// successes, whose log lines are left out under load.
func TestLateAnswerIsRecordedAsLate(t *testing.T) {
	cases := []struct {
		name   string
		takes  time.Duration
		answer job.Answer
		reason job.Reason
		cause  string
	}{
		{"within", 375 * time.Millisecond, job.Answer{Outcome: job.Complete}, "", "complete"},
		{"beyond", 376 * time.Millisecond, job.Answer{Outcome: job.Complete}, timeline.Late, "complete, beyond 375ms"},
		{"deadline", 10 * time.Millisecond, job.Answer{Outcome: job.Complete, Late: true}, timeline.Late, "complete, late"},
		{"failed", time.Second, job.Answer{Outcome: job.Failed, Reason: job.HolderLost}, job.HolderLost, "failed, may have run: "},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			kept := &recordedEvents{}
			r := &Record{Events: kept}
			f := &Flow{
				Submission: &job.Submission{ID: "j", Received: time.Now(), Tasks: []job.TaskSpec{{RunMillis: 20}, {RunMillis: 50}}},
				Service:    config.Service{Stretch: 4, Slack: 100 * time.Millisecond},
			}
			r.Process(t.Context(), f, func(context.Context, *Flow) job.Answer {
				time.Sleep(c.takes)
				return c.answer
			})
			qt.Assert(t, kept.all, qt.HasLen, 1, qt.Commentf(c.name))
			qt.Assert(t, kept.all[0].Reason, qt.Equals, c.reason, qt.Commentf(c.name))
			qt.Assert(t, kept.all[0].Cause, qt.Equals, c.cause, qt.Commentf(c.name))
		})
	}
}

// Guards against refusals that fill the memory: the number of recorded events is bounded, and each
// kept an id of any length.
func TestRefusalKeepsAShortID(t *testing.T) {
	kept := &recordedEvents{}
	r := &Record{Events: kept}
	r.RecordRefusal(job.Refuse(job.ID(strings.Repeat("i", 16<<10)), job.UnknownService, "", 0))
	qt.Assert(t, kept.all, qt.HasLen, 1)
	qt.Assert(t, kept.all[0].Submission, qt.Equals, job.ID(strings.Repeat("i", job.MaxIDBytes)))
}
