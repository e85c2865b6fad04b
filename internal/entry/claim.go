package entry

import (
	"context"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/pipeline"
	"github.com/vanillagrade/vanillagrade/internal/registrar"
)

// assembleRegistrar creates the registrar and connects it to the sources of answers and
// results.
func (e *Entry) assembleRegistrar() {
	e.registrar = registrar.New(registrar.Options{
		Mesh:    e.links,
		Members: e.members,
		Log:     e.log,
		Events:  e.events,
		Wait:    e.waitForAnswer,
		Fetch:   e.fetchResults,
		// In fleets with discovery most jobs are transient and claim nothing.
		OnDemand: e.opts.Settings.Discover,
	})
}

// waitForAnswer returns the answer of a submission that this entry runs or keeps.
func (e *Entry) waitForAnswer(ctx context.Context, id job.ID) (job.Answer, bool) {
	if a, ok := e.join.Wait(ctx, id); ok {
		return a, true
	}
	a, _, ok := e.keeper.Answer(id)
	return a, ok
}

// findTimeout bounds the search for the owner of a kept submission. It does not limit
// the time until the answer: once the owner is found, the entry waits for its answer.
const findTimeout = 2 * time.Second

// keptAnswer returns the answer of a submission from this entry's keeper.
func (e *Entry) keptAnswer(f *pipeline.Flow) (job.Answer, bool) {
	s := f.Submission
	a, digest, ok := e.keeper.Answer(s.ID)
	if ok && digest != s.Digest {
		return job.Refuse(s.ID, job.IDReused, "the id names a kept submission with other content", 0), true
	}
	return a, ok
}

// findAnswer queries the entries that could keep a submission for its answer.
func (e *Entry) findAnswer(ctx context.Context, f *pipeline.Flow) (job.Answer, bool) {
	id := f.Submission.ID
	if a, ok := e.keptAnswer(f); ok {
		return a, true
	}
	view := e.members.View()
	keepers := e.rankKeepers(&view, f.Service.Keep == job.KeepSynced)
	ctx, cancel := context.WithTimeout(ctx, max(findTimeout, time.Until(f.Submission.Deadline)))
	defer cancel()
	a, err := pipeline.FirstAnswer(ctx, keepers, func(ctx context.Context, at job.EntryID) (job.Answer, error) {
		m, _ := view.Get(at)
		return e.registrar.Join(ctx, m.Owner(), id)
	})
	return a, err == nil
}

// collectResults waits up to collectTimeout for results of tasks whose owner is lost.
// Holders report a batch when its last task has ended.
func (e *Entry) collectResults(ctx context.Context, lost job.Owner, id job.ID, tasks []int, held []job.TaskOutcome) []job.TaskOutcome {
	until := time.Now().Add(collectTimeout)
	for !coversAll(held, tasks) && time.Now().Before(until) {
		select {
		case <-ctx.Done():
			return held
		case <-time.After(collectInterval):
		}
		held = e.fetchResults(ctx, lost, id)
	}
	return held
}
