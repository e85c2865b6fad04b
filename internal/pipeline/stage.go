// Package pipeline processes a submission at its owner: a chain of stages leads
// from the checked request to the complete answer. Each stage has one purpose; it
// receives a Flow and either answers it or passes it to the next stage:
//
//	record → freshness → check → join → claim → admit → keep → run
//
// The stages do the locking and the I/O. The decisions are made by Collector and
// by the packages under internal/policy, which do neither.
package pipeline

import (
	"context"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/keep"
)

// Flow is the state of one submission that passes through the stages.
type Flow struct {
	Submission *job.Submission
	// File is the configuration that applies to the whole submission. The check
	// stage sets it once, so that a configuration change while the submission is
	// processed has no effect on it.
	File    *config.File
	Service config.Service
	// Started contains the tasks that an earlier owner may have started; they
	// never start again. It is nil for a new submission.
	Started map[int]bool
	// Held contains the results that an earlier owner had collected.
	Held []job.TaskOutcome
	// Resumed is set for a kept submission that is resumed after its owner was
	// lost: it was already checked, claimed and admitted.
	Resumed bool
	// Refusal is the answer of the claim stage if no task of the submission ever ran.
	Refusal *job.Answer
	// Right is this entry's right to act for the caller; nil for work that needs none.
	Right job.Right
	// Journal is the keeper of a kept submission; nil for others.
	Journal keep.Journal
}

// stillUseful reports whether the answer would still be useful if the work started now. If
// not, a job of which nothing has started is refused, so that its caller can still send it
// elsewhere.
func (f *Flow) stillUseful(now time.Time) bool {
	if f.Service.Stretch <= 0 {
		return true
	}
	longest := f.ideal()
	objective := f.Service.Stretch*float64(longest) + float64(f.Service.Slack)
	return now.Sub(f.Submission.Received)+longest <= time.Duration(job.UsefulFactor*objective)
}

// Next passes a flow to the rest of the chain and returns its answer.
type Next func(ctx context.Context, f *Flow) job.Answer

// Stage is one filter of the chain.
type Stage interface {
	// Process answers the flow itself, or calls next and may inspect its answer.
	Process(ctx context.Context, f *Flow, next Next) job.Answer
}

// Chain combines stages into one Next. The last stage must not call next.
func Chain(stages ...Stage) Next {
	next := func(_ context.Context, f *Flow) job.Answer {
		return job.Refuse(f.Submission.ID, job.Internal, "the last stage of the chain called next", 0)
	}
	chained := Next(next)
	for i := len(stages) - 1; i >= 0; i-- {
		stage, rest := stages[i], chained
		chained = func(ctx context.Context, f *Flow) job.Answer {
			return stage.Process(ctx, f, rest)
		}
	}
	return chained
}
