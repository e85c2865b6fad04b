package runs

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

// alive reports whether a task runs on a worker.
func (w *worker) alive(ref Ref) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running[ref] != nil
}

// A start is carried out at once and its answer gets lost. Another entry takes the target before
// the request is sent again, so the second copy is refused for its epoch, although the run exists.
// If the run were reported as not started, the task would also be run elsewhere.
func TestFencedCopyDoesNotMarkRunNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.runTime = 10 * time.Second
		first := NewSession(Options{Client: w, Salt: 1})
		time.Sleep(time.Second)
		w.set(func() { w.lose = loseFirst("start", 1) })
		taken := make(chan *Session, 1)
		time.AfterFunc(10*time.Millisecond, func() {
			// Stop requests get lost for a while, so that the stray run goes on until its lease
			// ends.
			w.set(func() { w.delay, w.lose = time.Hour, func(request string) bool { return request == "stop" } })
			taken <- NewSession(Options{Client: w, Salt: 2})
		})
		res := first.Start(t.Context(), taskOf("a", 1))
		over := res.Status == job.TaskNotStarted || res.Over
		qt.Check(t, over && w.alive(Ref{"a", 0}), qt.IsFalse, qt.Commentf("%v %v %q while it runs", res.Status, res.Refusal, res.Detail))
		w.set(func() { w.lose = nil })
		first.Close()
		(<-taken).Close()
		drain()
	})
}

// An entry knows that it has lost a target to another entry, while one of its own starts is still
// without an answer. It must not take the target back to resolve that start: the other entry's
// runs would be stopped, and its callers would have to wait again.
func TestDoubtedStartDoesNotReclaimTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.runTime = 10 * time.Second
		first := NewSession(Options{Client: w, Salt: 1})
		time.Sleep(time.Second)
		go first.Start(context.Background(), taskOf("other", 1)) // keeps the first session polling
		time.Sleep(time.Second)
		second := NewSession(Options{Client: w, Salt: 2, Yielded: func() { t.Error("the later holder yields") }})
		w.set(func() { w.loseTask = "a" })
		go first.Start(context.Background(), taskOf("a", 1))
		time.Sleep(70 * time.Millisecond)
		w.set(func() { w.runTime = time.Second })
		res := second.Start(t.Context(), taskOf("b", 1))
		qt.Check(t, first.isDeposed(), qt.IsTrue)
		qt.Check(t, res.Status, qt.Equals, job.TaskDone, qt.Commentf("%v %q", res.Status, res.Detail))
		first.Close()
		second.Close()
		drain()
	})
}

// lateWorker delays the starts of one task, and makes polls fail.
type lateWorker struct {
	*worker
	delayed Ref
	// released is closed to let the delayed starts go on, broken to make polls fail.
	released, broken chan struct{}
}

func (w *lateWorker) Renew(ctx context.Context, o PollRequest) (PollReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-w.broken:
			cancel()
		case <-ctx.Done():
		}
	}()
	select {
	case <-w.broken:
		return PollReply{}, errLost
	default:
		return w.worker.Renew(ctx, o)
	}
}

func (w *lateWorker) Start(ctx context.Context, o StartRequest) (Reply, error) {
	if o.Task == w.delayed {
		select {
		case <-w.released:
		case <-ctx.Done():
			return Reply{}, errLost
		}
	}
	return w.worker.Start(ctx, o)
}

// Polls of a target fail while a start is in transit with the short lease that is left when the
// last report of an owner is old. The lease expires, all runs there are reported as over, and only
// then the answer arrives that the start was late. The start must not be sent again: its task runs
// elsewhere by now.
func TestAStartThatIsOverIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &lateWorker{worker: newWorker(), delayed: Ref{"b", 0}, released: make(chan struct{}), broken: make(chan struct{})}
		w.runTime = time.Hour
		s := NewSession(Options{Client: w})
		time.Sleep(time.Second)
		s.mu.Lock()
		for range 20 {
			s.answers.record(100 * time.Millisecond) // answers are slow
			s.answers.record(200 * time.Millisecond)
		}
		s.mu.Unlock()
		bound := time.Now().Add(1200 * time.Millisecond)
		task := taskOf("a", 1)
		task.Left = func() time.Duration { return time.Until(bound) }
		go s.Start(context.Background(), task)
		time.Sleep(time.Until(bound) - 160*time.Millisecond)
		time.AfterFunc(80*time.Millisecond, func() { close(w.broken) })
		time.AfterFunc(280*time.Millisecond, func() { close(w.released) })
		res := s.Start(t.Context(), taskOf("b", 1))
		qt.Check(t, res.Over || res.Status == job.TaskNotStarted, qt.IsTrue, qt.Commentf("%v %q", res.Status, res.Detail))
		t.Logf("%v %v %q after %v", res.Status, res.Refusal, res.Detail, res.Ran)
		began := false
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			began = began || w.alive(Ref{"b", 0})
		}
		qt.Check(t, began, qt.IsFalse, qt.Commentf("a task that was reported as over starts to run"))
		s.Close()
		drain()
	})
}

// slowWorker delays each answer after it has carried out the request. It loses none.
type slowWorker struct {
	*worker
	answerDelay func() time.Duration
	calls       map[string]int
}

func (w *slowWorker) count(kind string) {
	w.set(func() { w.calls[kind]++ })
}

func (w *slowWorker) delayAnswer(ctx context.Context) error {
	select {
	case <-time.After(w.answerDelay()):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *slowWorker) Start(ctx context.Context, o StartRequest) (Reply, error) {
	w.count("start")
	r, err := w.worker.Start(ctx, o)
	if e := w.delayAnswer(ctx); e != nil {
		return Reply{}, e
	}
	return r, err
}

func (w *slowWorker) Renew(ctx context.Context, o PollRequest) (PollReply, error) {
	w.count("renew")
	l, err := w.worker.Renew(ctx, o)
	if e := w.delayAnswer(ctx); e != nil {
		return PollReply{}, e
	}
	return l, err
}

// The link to a target suddenly becomes slow, by 150 ms for each answer; no request is lost. Tasks
// must still be completed, slightly later, and the number of requests must not multiply, since
// that would slow down a link or a processor that is short of capacity even more.
func TestSlowAnswersMultiplyNoStartRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var slow atomic.Int64
		slow.Store(int64(3 * time.Millisecond))
		w := &slowWorker{worker: newWorker(), answerDelay: func() time.Duration { return time.Duration(slow.Load()) }, calls: map[string]int{}}
		w.worker.runTime = 60 * time.Millisecond
		s := NewSession(Options{Client: w})
		time.Sleep(time.Second)
		for i := range 20 {
			s.Start(t.Context(), target.Task{Submission: "before", Index: i, Run: 1})
		}
		slow.Store(int64(150 * time.Millisecond))
		w.set(func() { clear(w.calls) })
		begun := time.Now()
		done, refused := 0, 0
		var took time.Duration
		for i := 0; time.Since(begun) < 20*time.Second; i++ {
			res := s.Start(t.Context(), target.Task{Submission: "a", Index: i, Run: 1})
			if res.Status == job.TaskDone {
				done++
				took += res.Ran
			} else {
				refused++
				time.Sleep(50 * time.Millisecond)
			}
		}
		w.set(func() {
			qt.Check(t, w.calls["start"] <= 2*(done+refused), qt.IsTrue)
			t.Logf("%d done (mean %v), %d not, %d starts sent, %d looks in 20 s", done, took/time.Duration(max(done, 1)), refused, w.calls["start"], w.calls["renew"])
		})
		s.Close()
		drain()
	})
}
