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

// drainAndStop waits for ctx and then for all work in progress. The other parts of
// the entry keep running until it returns.
func (e *Entry) drainAndStop(ctx context.Context) error {
	<-ctx.Done()
	if e.isKilled() {
		return errKilled
	}
	e.draining.Store(true)
	e.members.Drain()
	e.events.Record(timeline.Event{Kind: timeline.EntryDraining})
	e.log.Info("entry drains", "submissions", e.join.RunningCount())
	if e.opts.Grace > 0 {
		last := time.AfterFunc(e.opts.Grace, func() { e.join.StopAll(pipeline.ErrStopping) })
		defer last.Stop()
	}
	var retired sync.WaitGroup
	retired.Go(func() { e.retireVote() })
	e.waitForNotice()
	e.closeIntake()
	e.check.Drain()
	linger := time.NewTimer(e.opts.LingerPeriod)
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

// retireVote transfers this entry's vote, if it has one and another entry with a disk can
// receive it.
func (e *Entry) retireVote() {
	if e.register != nil {
		e.register.TransferVote(context.Background())
	}
}

// waitForNotice waits until the balancer has noticed that the entry is not ready. The
// entry serves submissions in the meantime: refusing them would lose them because of a
// planned stop.
func (e *Entry) waitForNotice() {
	timer := time.NewTimer(e.opts.NoticePeriod)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.killed:
	}
}

// closeIntake ends the servers that only accept submissions, and returns once their
// open connections have had time for a last request.
func (e *Entry) closeIntake() {
	close(e.intakeClosed)
	if e.opts.NoticePeriod > 0 {
		time.Sleep(api.LastRequestGrace + intakeMargin)
	}
}

// intakeMargin is the time that a last request needs to pass the check stage: a
// scheduling pause of a small VM.
const intakeMargin = 50 * time.Millisecond

// drainPollInterval is how often a stopping entry checks whether its last submission
// has ended; it delays the stop, never an answer.
const drainPollInterval = 20 * time.Millisecond

func (e *Entry) waitForSubmissions() {
	for e.join.RunningCount() > 0 {
		time.Sleep(drainPollInterval)
	}
}
