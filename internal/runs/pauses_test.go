package runs

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

// pausedWorker counts calls and delays all answers while the link or the target is paused.
type pausedWorker struct {
	*worker
	mu     sync.Mutex
	until  time.Time
	counts map[string]int
}

func (w *pausedWorker) count(kind string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[kind]++
}

func (w *pausedWorker) delayAnswer(ctx context.Context) error {
	w.mu.Lock()
	until := w.until
	w.mu.Unlock()
	time.Sleep(3 * time.Millisecond)
	var err error
	if d := time.Until(until); d > 0 {
		select {
		case <-time.After(d):
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	return err
}

func (w *pausedWorker) Start(ctx context.Context, o StartRequest) (Reply, error) {
	w.count("start")
	r, err := w.worker.Start(ctx, o)
	if e := w.delayAnswer(ctx); e != nil {
		return Reply{}, e
	}
	return r, err
}

func (w *pausedWorker) Stop(ctx context.Context, o StopRequest) (Reply, error) {
	w.count("stop")
	r, err := w.worker.Stop(ctx, o)
	if e := w.delayAnswer(ctx); e != nil {
		return Reply{}, e
	}
	return r, err
}

func (w *pausedWorker) Renew(ctx context.Context, o PollRequest) (PollReply, error) {
	w.count("renew")
	l, err := w.worker.Renew(ctx, o)
	if e := w.delayAnswer(ctx); e != nil {
		return PollReply{}, e
	}
	return l, err
}

// The link of an entry, or the target, pauses for 130 ms once a second; no message is lost. Users
// notice a short delay. The number of calls must not multiply: each poll costs processor time, and
// an entry that is short of it would pause even more.
func TestShortPausesDoNotMultiplyCalls(t *testing.T) {
	calls := func(pause time.Duration) (polls, starts, done int) {
		synctest.Test(t, func(t *testing.T) {
			w := &pausedWorker{worker: newWorker(), counts: map[string]int{}}
			w.worker.runTime = 200 * time.Millisecond
			s := NewSession(Options{Client: w})
			time.Sleep(time.Second)
			begun := time.Now()
			var callers sync.WaitGroup
			for c := range 3 {
				callers.Go(func() {
					for i := 0; time.Since(begun) < 20*time.Second; i++ {
						res := s.Start(context.Background(), target.Task{Submission: job.ID(rune('a' + c)), Index: i, Run: 1})
						if res.Status == job.TaskDone {
							w.set(func() { done++ })
						} else {
							time.Sleep(20 * time.Millisecond)
						}
					}
				})
			}
			for time.Since(begun) < 20*time.Second {
				time.Sleep(time.Second)
				w.mu.Lock()
				w.until = time.Now().Add(pause)
				w.mu.Unlock()
			}
			callers.Wait()
			w.mu.Lock()
			polls, starts = w.counts["renew"], w.counts["start"]
			w.mu.Unlock()
			s.Close()
			drain()
		})
		return polls, starts, done
	}
	l0, s0, d0 := calls(0)
	l1, s1, d1 := calls(130 * time.Millisecond)
	t.Logf("without: %d looks, %d starts, %d done; with: %d looks, %d starts, %d done", l0, s0, d0, l1, s1, d1)
	qt.Check(t, l1 <= 2*l0, qt.IsTrue)
	qt.Check(t, s1 <= 2*s0, qt.IsTrue)
}
