package runs

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

// endedWorker is a target whose process can end. Its address then refuses connections, answers
// for another incarnation, or does not answer at all.
type endedWorker struct {
	*worker
	mu     sync.Mutex
	answer func(context.Context) (Reply, error)
	// calls counts the calls that were made after the end.
	calls int
}

func refuseConnections(context.Context) (Reply, error) {
	return Reply{}, errors.Annotate(syscall.ECONNREFUSED, "dial")
}

func answerAsOther(context.Context) (Reply, error) {
	return Reply{Refusal: WrongIncarnation}, nil
}

func resetConnections(context.Context) (Reply, error) {
	return Reply{}, errors.Annotate(syscall.ECONNRESET, "read")
}

func staySilent(ctx context.Context) (Reply, error) {
	<-ctx.Done()
	return Reply{}, errLost
}

func (w *endedWorker) end(answer func(context.Context) (Reply, error)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answer = answer
}

func (w *endedWorker) ended() func(context.Context) (Reply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.answer != nil {
		w.calls++
	}
	return w.answer
}

func (w *endedWorker) Start(ctx context.Context, o StartRequest) (Reply, error) {
	if answer := w.ended(); answer != nil {
		return answer(ctx)
	}
	return w.worker.Start(ctx, o)
}

func (w *endedWorker) Renew(ctx context.Context, o PollRequest) (PollReply, error) {
	if answer := w.ended(); answer != nil {
		r, err := answer(ctx)
		return PollReply{Reply: r}, err
	}
	return w.worker.Renew(ctx, o)
}

func newEndedWorker() *endedWorker {
	w := &endedWorker{worker: newWorker()}
	w.runTime = 10 * time.Second
	return w
}

// Guards against a start that another incarnation refuses, or that finds nobody listening, being
// reported as a run that was lost with its target: nothing ran, and the task may go elsewhere at
// once.
func TestStartOnEndedTargetIsNotStarted(t *testing.T) {
	for name, answer := range map[string]func(context.Context) (Reply, error){
		"other incarnation":   answerAsOther,
		"connections refused": refuseConnections,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newEndedWorker()
				s := NewSession(Options{Client: w})
				time.Sleep(time.Second)
				w.end(answer)
				res := s.Start(t.Context(), taskOf("a", 1))
				qt.Check(t, res.Status, qt.Equals, job.TaskNotStarted, qt.Commentf("%v %q", res.Reason, res.Detail))
				qt.Check(t, res.TargetEnded || res.TargetSilent, qt.IsFalse)
				qt.Check(t, res.Ran <= 50*time.Millisecond, qt.IsTrue, qt.Commentf("%v", res.Ran))
				s.Close()
				drain()
			})
		})
	}
}

// Guards against copies of a start to an address where nobody listens: each is a new connection.
func TestRefusedConnectionIsNotRepeatedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newEndedWorker()
		s := NewSession(Options{Client: w})
		time.Sleep(time.Second)
		w.end(refuseConnections)
		s.Start(t.Context(), taskOf("a", 1))
		time.Sleep(100 * time.Millisecond)
		w.mu.Lock()
		calls := w.calls
		w.mu.Unlock()
		qt.Check(t, calls <= 3, qt.IsTrue, qt.Commentf("%d calls", calls))
		s.Close()
		drain()
	})
}

// Guards against blaming a task for the end of a target that is not known to have started it.
func TestOnlyAcceptedRunsAreLostWithTheirTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newEndedWorker()
		s := NewSession(Options{Client: w})
		time.Sleep(time.Second)
		accepted, unanswered := make(chan target.Result, 1), make(chan target.Result, 1)
		go func() { accepted <- s.Start(t.Context(), taskOf("accepted", 1)) }()
		time.Sleep(100 * time.Millisecond)
		w.end(staySilent)
		go func() { unanswered <- s.Start(t.Context(), taskOf("unanswered", 1)) }()
		time.Sleep(50 * time.Millisecond)
		qt.Check(t, s.Accepted("accepted", 0), qt.IsTrue)
		qt.Check(t, s.Accepted("unanswered", 0), qt.IsFalse)
		w.end(answerAsOther)
		res := <-accepted
		qt.Check(t, res.Over && res.TargetEnded, qt.IsTrue, qt.Commentf("%+v", res))
		res = <-unanswered
		qt.Check(t, res.Over || res.Status == job.TaskNotStarted, qt.IsTrue, qt.Commentf("%+v", res))
		qt.Check(t, res.TargetEnded || res.TargetSilent, qt.IsFalse, qt.Commentf("%+v", res))
		s.Close()
		drain()
	})
}

// Guards against a task that ends its target before the start is answered and is never suspected.
func TestStartWhoseConnectionBreaksIsWeakEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newEndedWorker()
		s := NewSession(Options{Client: w})
		time.Sleep(time.Second)
		w.end(resetConnections)
		time.AfterFunc(20*time.Millisecond, func() { w.end(answerAsOther) })
		res := s.Start(t.Context(), taskOf("a", 1))
		qt.Check(t, res.Over, qt.IsTrue, qt.Commentf("%+v", res))
		qt.Check(t, res.TargetSilent, qt.IsTrue, qt.Commentf("%+v", res))
		qt.Check(t, res.TargetEnded, qt.IsFalse, qt.Commentf("%+v", res))
		s.Close()
		drain()
	})
}
