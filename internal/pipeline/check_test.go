package pipeline

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// claimed stands for the claim: what the check refused comes to it only where a
// sending before may have run.
type claimed struct{ refusal *job.Answer }

func (c *claimed) Process(_ context.Context, f *Flow, _ Next) job.Answer {
	c.refusal = f.Refusal
	return job.Answer{ID: f.Submission.ID, Outcome: job.Complete}
}

// A caller sends its job again while the entry drains, or after its service
// left the file. The sending before may have run, so the refusal is not given
// before the claim has looked; a first sending, and one whose id the entry
// made, provably did not run and is refused at once.
func TestCheckRefusesOnlyFirstSendingsByItself(t *testing.T) {
	file := &config.File{Services: []config.Service{{Name: "s"}}, Limits: config.Limits{MaxJobTasks: 1, MaxJobBytes: 8}}
	tests := []struct {
		named   bool
		attempt int
		first   bool
	}{
		{true, 1, true},
		{true, 2, false},
		{true, job.AttemptUnsaid, false},
		{false, job.AttemptUnsaid, true},
	}
	for _, test := range tests {
		for _, service := range []string{"s", "gone"} {
			c := &Check{Config: config.Fixed{File: file}, Events: timeline.Discard{}}
			if service == "s" {
				c.Drain()
			}
			f := flow("a", test.named, "1")
			f.Submission.Service = service
			f.Submission.Attempt = test.attempt
			end := &claimed{}
			a := Chain(c, end)(t.Context(), f)
			qt.Assert(t, a.Outcome == job.Refused, qt.Equals, test.first, qt.Commentf("%+v", test))
			qt.Assert(t, a.Run.Proven(), qt.Equals, test.first)
			qt.Assert(t, end.refusal != nil, qt.Equals, !test.first)
		}
	}
}
