package handover

import (
	"fmt"
	"strings"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// When an owner dies, its own records of its submissions are lost. The events that holders
// record for its batches name the owner, so that the cause can still be found.

func (s *Server) recordReceived(rec *record) {
	s.events.Record(timeline.Event{
		Kind: timeline.BatchReceived, Submission: rec.submission, Peer: rec.owner.Entry, Count: rec.tasks,
	})
}

// recordReported records how many tasks of a batch have a result, and why the first
// task without a result has none.
func (s *Server) recordReported(rec *record, outcomes []job.TaskOutcome) {
	ev := timeline.Event{
		Kind: timeline.BatchReported, Submission: rec.submission, Peer: rec.owner.Entry,
		Count: rec.tasks, Took: time.Since(rec.receivedAt),
	}
	done, detail := 0, ""
	for i := range outcomes {
		switch {
		case outcomes[i].Status == job.TaskDone:
			done++
		case ev.Reason == "":
			ev.Reason, detail = outcomes[i].Reason, outcomes[i].Detail
		}
	}
	switch {
	case done == len(outcomes) && rec.objectiveLeft > 0 && ev.Took > rec.objectiveLeft:
		ev.Reason = timeline.Late
		ev.Cause = fmt.Sprintf("beyond the %s that its objective left it", rec.objectiveLeft.Round(time.Millisecond))
	case done < len(outcomes):
		ev.Cause = strings.TrimSuffix(fmt.Sprintf("%d of %d tasks have a result: %s", done, len(outcomes), detail), ": ")
	}
	s.events.Record(ev)
}

// objectiveLeft returns the part of the latency objective that is left for a batch at
// its holder; zero if there is no objective.
func objectiveLeft(b *job.Batch) time.Duration {
	var longest time.Duration
	for i := range b.Tasks {
		longest = max(longest, b.Tasks[i].Declared())
	}
	late := job.LateThreshold(b.Stretch, b.Slack, longest)
	if late == 0 {
		return 0
	}
	return max(late-b.Waited, time.Nanosecond)
}
