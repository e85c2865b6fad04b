package runs

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

// loseFirst loses the first n requests of a kind.
func loseFirst(kind string, n int) func(string) bool {
	return func(request string) bool {
		if request != kind {
			return false
		}
		n--
		return n >= 0
	}
}

// The first two copies of a start request get lost and are carried out long after the task has
// ended. The start must reach the same target within a few round trips, so that the user's
// thumbnail is in time, and the late copies must start nothing.
func TestLostStartIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.runTime, w.delay = 60*time.Millisecond, 300*time.Millisecond
		s := NewSession(Options{Client: w})
		time.Sleep(time.Second)
		w.set(func() { w.lose = loseFirst("start", 2) })
		res := s.Start(t.Context(), taskOf("a", 1))
		qt.Assert(t, res.Status, qt.Equals, job.TaskDone)
		qt.Assert(t, res.Ran <= 120*time.Millisecond, qt.IsTrue, qt.Commentf("%v", res.Ran))
		time.Sleep(5 * time.Second)
		w.set(func() { qt.Check(t, w.starts, qt.Equals, 1) })
		s.Close()
		drain()
	})
}

// A start is carried out at once, its answer gets lost, and the run ends before the request is
// sent again. The target answers that this run has already existed. The caller must get the
// result, and the task must not run a second time.
func TestRepeatedStartOfAnEndedRunIsNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.runTime = 5 * time.Millisecond
		s := NewSession(Options{Client: w})
		time.Sleep(time.Second)
		w.set(func() { w.lose = loseFirst("start", 1) })
		res := s.Start(t.Context(), taskOf("a", 1))
		qt.Assert(t, res.Status, qt.Equals, job.TaskDone)
		w.set(func() { qt.Check(t, w.starts, qt.Equals, 1) })
		s.Close()
		drain()
	})
}

// A start request gets lost, and its second copy is refused because the target is full. The first
// copy arrives when the target has free capacity again. The task has gone elsewhere by then, so it
// must not start here: two runs of it would be active at once.
func TestRefusedRepetitionFencesTheLostStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.runTime, w.delay = time.Second, 400*time.Millisecond
		s := NewSession(Options{Client: w})
		time.Sleep(time.Second)
		w.set(func() { w.lose, w.full = loseFirst("start", 1), true })
		res := s.Start(t.Context(), taskOf("a", 1))
		qt.Assert(t, res.Status, qt.Equals, job.TaskNotStarted)
		w.set(func() { w.full = false })
		time.Sleep(5 * time.Second)
		w.set(func() { qt.Check(t, w.starts, qt.Equals, 0) })
		s.Close()
		drain()
	})
}

// One task's start gets no answer at all, while the target runs other tasks and receives more. A
// start in doubt must not delay any other task.
func TestDoubtedStartDelaysNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.runTime, w.delay = 60*time.Millisecond, time.Hour
		s := NewSession(Options{Client: w})
		time.Sleep(time.Second)
		w.set(func() { w.loseTask = "doubted" })
		go s.Start(t.Context(), taskOf("doubted", 1))
		w.set(func() { w.lose = func(request string) bool { return request == "renew" } })
		time.Sleep(200 * time.Millisecond) // in doubt by now, and not yet resolved by a poll
		begun := time.Now()
		done := make(chan target.Result, 1)
		go func() { done <- s.Start(t.Context(), taskOf("b", 1)) }()
		time.Sleep(10 * time.Millisecond)
		w.set(func() {
			qt.Check(t, w.starts, qt.Equals, 1)
			w.lose = nil
		})
		qt.Assert(t, (<-done).Status, qt.Equals, job.TaskDone)
		qt.Assert(t, time.Since(begun) <= 200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(begun)))
		s.Close()
		drain()
	})
}

// Several polls in a row get lost while starts are answered. The target is healthy: it must keep
// getting work, its runs must keep their lease, and their ends must be reported within a fraction
// of the time for which a poll may wait.
func TestLostPollsDoNotMarkTargetUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.runTime, w.delay = 60*time.Millisecond, time.Hour
		s := NewSession(Options{Client: w})
		time.Sleep(time.Second)
		w.set(func() { w.lose = everyOther() })
		for i := range 40 {
			res := s.Start(t.Context(), target.Task{Submission: "a", Index: i, Run: 1})
			qt.Assert(t, res.Status, qt.Equals, job.TaskDone)
			qt.Assert(t, i < 4 || res.Ran <= 250*time.Millisecond, qt.IsTrue, qt.Commentf("task %d took %v", i, res.Ran))
		}
		s.Close()
		drain()
	})
}

// everyOther loses every second request of each kind.
func everyOther() func(string) bool {
	seen := map[string]int{}
	return func(request string) bool {
		seen[request]++
		return seen[request]%2 == 0
	}
}

// Half of all requests get lost for a minute and are carried out up to twelve seconds later.
// Nearly all small tasks must end within four times their own run time, and no task may ever run
// on two targets at once.
func TestHalfOfTheRequestsLost(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			workers := []*worker{newWorker(), newWorker()}
			sessions := make([]*Session, len(workers))
			for i, w := range workers {
				lot := rand.New(rand.NewPCG(seed, uint64(i)))
				w.runTime = 60 * time.Millisecond
				w.lose = func(string) bool { return lot.IntN(2) == 0 }
				w.randomDelay = func() time.Duration { return time.Duration(lot.IntN(12000)) * time.Millisecond }
				sessions[i] = NewSession(Options{Client: w, Salt: uint16(i)})
			}
			time.Sleep(time.Second)
			soon, all := 0, 0
			var tally sync.Mutex
			var callers sync.WaitGroup
			for c := range 3 {
				callers.Go(func() {
					for k := range 100 {
						begun := time.Now()
						runUntilDone(t, sessions, workers, Ref{job.ID(rune('a' + c)), k})
						tally.Lock()
						all++
						if time.Since(begun) <= 240*time.Millisecond {
							soon++
						}
						tally.Unlock()
					}
				})
			}
			callers.Wait()
			qt.Check(t, soon >= all*9/10, qt.IsTrue, qt.Commentf("seed %d: %d of %d in time", seed, soon, all))
			for _, s := range sessions {
				s.Close()
			}
			drain()
		})
	}
}

// refusedStartDelay is the pause after a start that was refused without a request to the target.
// Holders pause for longer, and give a task up after a few refusals.
const refusedStartDelay = time.Millisecond

// runUntilDone starts a task on one target after another until one has completed it. It checks
// that no target runs the task after a start has returned.
func runUntilDone(t *testing.T, sessions []*Session, workers []*worker, ref Ref) {
	for run := 1; ; run++ {
		begun, at := time.Now(), (ref.Index+run)%len(sessions)
		res := sessions[at].Start(context.Background(), target.Task{Submission: ref.Submission, Index: ref.Index, Run: run})
		alive := 0
		for _, w := range workers {
			w.set(func() {
				if w.running[ref] != nil {
					alive++
				}
			})
		}
		qt.Check(t, alive, qt.Equals, 0)
		if res.Status == job.TaskDone {
			return
		}
		if time.Since(begun) == 0 {
			time.Sleep(refusedStartDelay) // virtual time stands still while a goroutine is busy
		}
	}
}

// A call is answered at its third copy. The earlier copies must not be cancelled, and no further
// copy may be sent.
func TestFirstAnswerCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := callPolicy{maxCopies: 5, resendDelay: 10 * time.Millisecond, timeout: 100 * time.Millisecond}
		var mu sync.Mutex
		calls := 0
		begun := time.Now()
		got, err := firstAnswer(t.Context(), p, func(context.Context) (int, error) {
			mu.Lock()
			calls++
			n := calls
			mu.Unlock()
			if n < 3 {
				time.Sleep(p.timeout)
				return 0, errLost
			}
			time.Sleep(time.Millisecond)
			return n, nil
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got.value, qt.Equals, 3)
		qt.Assert(t, got.overtaken, qt.IsTrue)
		qt.Assert(t, got.sent, qt.Equals, 3)
		qt.Assert(t, time.Since(begun), qt.Equals, 21*time.Millisecond)
		time.Sleep(time.Second)
		qt.Assert(t, calls, qt.Equals, 3)
	})
}

// If every copy fails at once, as when nothing listens at the address, the call must end after the
// last copy without waiting for the timeout. If no copy is answered, it must end with the timeout.
func TestNoCopyIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := callPolicy{maxCopies: 3, resendDelay: 10 * time.Millisecond, timeout: 100 * time.Millisecond}
		begun := time.Now()
		got, err := firstAnswer(t.Context(), p, func(context.Context) (int, error) { return 0, errLost })
		qt.Assert(t, err, qt.Equals, errLost)
		qt.Assert(t, got.sent, qt.Equals, 3)
		qt.Assert(t, time.Since(begun), qt.Equals, time.Duration(0))
		got, err = firstAnswer(t.Context(), p, func(context.Context) (int, error) {
			time.Sleep(time.Second)
			return 0, nil
		})
		qt.Assert(t, err, qt.Equals, error(errNoAnswer))
		qt.Assert(t, got.sent, qt.Equals, 3)
		qt.Assert(t, time.Since(begun), qt.Equals, p.timeout)
		drain()
	})
}

// An entry that has used up its processor share waits for the processor for tens of milliseconds
// at a time, while the answers to its requests lie unread. If it counted them as lost, the copies
// would take the rest of its processor time, and callers of every target that it holds would get
// no service.
func TestNoCopyWhileTheEntryIsPaused(t *testing.T) {
	set := time.Now()
	gap := 20 * time.Millisecond
	qt.Assert(t, firedInTime(set, set.Add(gap), gap), qt.IsTrue)
	qt.Assert(t, firedInTime(set, set.Add(gap+2*time.Millisecond), gap), qt.IsTrue)
	qt.Assert(t, firedInTime(set, set.Add(gap+40*time.Millisecond), gap), qt.IsFalse)
}

// The first copies of two starts get lost and the second copies are answered. The session must
// conclude at once that requests to this target get lost, and not rely on a single waiting poll
// that may get lost as well. One such start alone may be a late answer, which is common, and must
// change nothing.
func TestOvertakenStartsShowLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		s := NewSession(Options{Client: w})
		lossy := func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.lossy(time.Now())
		}
		time.Sleep(time.Second)
		for i, id := range []string{"a", "b"} {
			w.set(func() { w.lose = loseFirst("start", 1) })
			go s.Start(t.Context(), taskOf(id, 1))
			time.Sleep(minResendDelay + time.Millisecond)
			qt.Check(t, lossy(), qt.Equals, i == 1)
		}
		time.Sleep(2 * lossyPeriod)
		qt.Check(t, lossy(), qt.IsFalse)
		s.Close()
		drain()
	})
}
