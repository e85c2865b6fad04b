package entry

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/api"
	"github.com/vanillagrade/vanillagrade/internal/pipeline"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// stopAsPlanned waits for ctx and then for all work in progress. The other
// parts of the entry keep running until it returns.
func (e *Entry) stopAsPlanned(ctx context.Context) error {
	<-ctx.Done()
	if e.isKilled() {
		return errKilled
	}
	e.leaving.Store(true)
	e.members.Drain()
	e.events.Record(timeline.Event{Kind: timeline.EntryDraining})
	e.log.Info("entry drains", "submissions", e.join.Running())
	if e.opts.Grace > 0 {
		last := time.AfterFunc(e.opts.Grace, func() { e.join.StopAll(pipeline.ErrStopping) })
		defer last.Stop()
	}
	var retired sync.WaitGroup
	retired.Go(func() { e.retireVote() })
	e.waitForNotice()
	e.endIntake()
	e.check.Drain()
	linger := time.NewTimer(e.opts.Linger)
	defer linger.Stop()
	e.waitForSubmissions()
	if err := e.holder.Drain(context.Background()); err != nil {
		return errors.Trace(err)
	}
	<-linger.C
	retired.Wait()
	e.registrar.Flush()
	e.members.Leave(context.Background())
	e.events.Record(timeline.Event{Kind: timeline.EntryStopped})
	return nil
}

// retireVote passes this entry's vote on, if it has one and another disk can take it.
func (e *Entry) retireVote() {
	if e.register != nil {
		e.register.Retire(context.Background())
	}
}

// waitForNotice lets the balancer notice that the entry is not ready. What callers
// send meanwhile is served: refused, it would be lost for a stop that was planned.
func (e *Entry) waitForNotice() {
	timer := time.NewTimer(e.opts.Notice)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.killed:
	}
}

// endIntake ends the servers that only take submissions, and returns once their
// open connections have had the time for a last request.
func (e *Entry) endIntake() {
	close(e.intakeOver)
	if e.opts.Notice > 0 {
		time.Sleep(api.LastRequestTime + intakeMargin)
	}
}

// intakeMargin is the time in which a request that came last gets past the check: a
// scheduling pause of a small VM.
const intakeMargin = 50 * time.Millisecond

// drainPoll is how often a stopping entry looks whether its last submission
// has ended; it delays the stop, never an answer.
const drainPoll = 20 * time.Millisecond

func (e *Entry) waitForSubmissions() {
	for e.join.Running() > 0 {
		time.Sleep(drainPoll)
	}
}
