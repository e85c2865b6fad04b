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

// loseFirst loses the first n orders of a kind.
func loseFirst(kind string, n int) func(string) bool {
	return func(order string) bool {
		if order != kind {
			return false
		}
		n--
		return n >= 0
	}
}

// The first two orders for a start get lost, and are carried out when the task is long
// over. A user sees a thumbnail in time: the start reaches the same target within some
// round trips, and the late orders begin nothing.
func TestLostStartIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.takes, w.delay = 60*time.Millisecond, 300*time.Millisecond
		s := NewSession(Options{Orders: w})
		time.Sleep(time.Second)
		w.set(func() { w.lose = loseFirst("start", 2) })
		res := s.Start(t.Context(), taskOf("a", 1))
		qt.Assert(t, res.Status, qt.Equals, job.TaskDone)
		qt.Assert(t, res.Ran <= 120*time.Millisecond, qt.IsTrue, qt.Commentf("%v", res.Ran))
		time.Sleep(5 * time.Second)
		w.set(func() { qt.Check(t, w.starts, qt.Equals, 1) })
		s.Close()
		settle()
	})
}

// A start is carried out at once, its answer gets lost, and the run is over before the
// order is sent again. The target then says that this run was there. The caller gets
// the result; the task does not run a second time.
func TestRepeatedStartOfAnEndedRunIsNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.takes = 5 * time.Millisecond
		s := NewSession(Options{Orders: w})
		time.Sleep(time.Second)
		w.set(func() { w.lose = loseFirst("start", 1) })
		res := s.Start(t.Context(), taskOf("a", 1))
		qt.Assert(t, res.Status, qt.Equals, job.TaskDone)
		w.set(func() { qt.Check(t, w.starts, qt.Equals, 1) })
		s.Close()
		settle()
	})
}

// A start gets lost, and its repetition is refused since the target is full. The first
// one arrives while the target has room again. The task went elsewhere meanwhile, so
// it must not begin here as well: two runs of it would work at one time.
func TestRefusedRepetitionFencesTheLostStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.takes, w.delay = time.Second, 400*time.Millisecond
		s := NewSession(Options{Orders: w})
		time.Sleep(time.Second)
		w.set(func() { w.lose, w.full = loseFirst("start", 1), true })
		res := s.Start(t.Context(), taskOf("a", 1))
		qt.Assert(t, res.Status, qt.Equals, job.TaskNotStarted)
		w.set(func() { w.full = false })
		time.Sleep(5 * time.Second)
		w.set(func() { qt.Check(t, w.starts, qt.Equals, 0) })
		s.Close()
		settle()
	})
}

// One task's start gets no answer at all, while a target runs others and more come.
// Their callers notice nothing: what is not known of one task holds up no other.
func TestDoubtedStartHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.takes, w.delay = 60*time.Millisecond, time.Hour
		s := NewSession(Options{Orders: w})
		time.Sleep(time.Second)
		w.set(func() { w.loseTask = "doubted" })
		go s.Start(t.Context(), taskOf("doubted", 1))
		w.set(func() { w.lose = func(order string) bool { return order == "renew" } })
		time.Sleep(200 * time.Millisecond) // doubted by now, and no look has told yet
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
		settle()
	})
}

// Some looks in a row get lost while starts are answered. The target is well: it goes
// on to get work, what runs there keeps its lease, and its end is told within a
// fraction of the time for which a look may wait.
func TestLostLooksMakeNoTargetSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		w.takes, w.delay = 60*time.Millisecond, time.Hour
		s := NewSession(Options{Orders: w})
		time.Sleep(time.Second)
		w.set(func() { w.lose = everyOther() })
		for i := range 40 {
			res := s.Start(t.Context(), target.Task{Submission: "a", Index: i, Run: 1})
			qt.Assert(t, res.Status, qt.Equals, job.TaskDone)
			qt.Assert(t, i < 4 || res.Ran <= 250*time.Millisecond, qt.IsTrue, qt.Commentf("task %d took %v", i, res.Ran))
		}
		s.Close()
		settle()
	})
}

// everyOther loses each second order of each kind.
func everyOther() func(string) bool {
	seen := map[string]int{}
	return func(order string) bool {
		seen[order]++
		return seen[order]%2 == 0
	}
}

// Half of all orders get lost for a minute and are carried out at any time up to
// twelve seconds later. Callers see nearly all of their small tasks answered within
// four times their own time, and no task ever runs on two targets at one time.
func TestHalfOfTheOrdersLost(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			workers := []*worker{newWorker(), newWorker()}
			sessions := make([]*Session, len(workers))
			for i, w := range workers {
				lot := rand.New(rand.NewPCG(seed, uint64(i)))
				w.takes = 60 * time.Millisecond
				w.lose = func(string) bool { return lot.IntN(2) == 0 }
				w.late = func() time.Duration { return time.Duration(lot.IntN(12000)) * time.Millisecond }
				sessions[i] = NewSession(Options{Orders: w, Salt: uint16(i)})
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
			settle()
		})
	}
}

// runUntilDone starts a task on one target after another until one has done it, and
// checks that what is said not to run there does not.
func runUntilDone(t *testing.T, sessions []*Session, workers []*worker, ref Ref) {
	for run := 1; ; run++ {
		at := (ref.Index + run) % len(sessions)
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
	}
}

// A call is answered at its third copy; the earlier ones are not called off, and no
// further one is sent.
func TestFirstAnswerCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := patience{copies: 5, gap: 10 * time.Millisecond, wait: 100 * time.Millisecond}
		var mu sync.Mutex
		calls := 0
		begun := time.Now()
		got, err := firstAnswer(t.Context(), p, func(context.Context) (int, error) {
			mu.Lock()
			calls++
			n := calls
			mu.Unlock()
			if n < 3 {
				time.Sleep(p.wait)
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

// Every copy breaks off at once, as where nothing listens any more: the call ends after
// the last copy and does not wait for the time of an answer. Where none is answered it
// ends with that time.
func TestNoCopyIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := patience{copies: 3, gap: 10 * time.Millisecond, wait: 100 * time.Millisecond}
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
		qt.Assert(t, time.Since(begun), qt.Equals, p.wait)
		settle()
	})
}

// An entry waits for its processor for tens of milliseconds at a time, as one does that
// has used up its share. The answers to its orders lie unread meanwhile. If it took
// them for lost, the copies would take the rest of its processor time, and callers of
// every target that it holds would get nothing.
func TestNoCopyWhileTheEntryStoodStill(t *testing.T) {
	set := time.Now()
	gap := 20 * time.Millisecond
	qt.Assert(t, keptTime(set, set.Add(gap), gap), qt.IsTrue)
	qt.Assert(t, keptTime(set, set.Add(gap+2*time.Millisecond), gap), qt.IsTrue)
	qt.Assert(t, keptTime(set, set.Add(gap+40*time.Millisecond), gap), qt.IsFalse)
}

// The first copies of two starts are lost and the second ones answered. The session
// knows at once that orders get lost on the way to this target, and does not wait for the
// next end with a single look that may get lost as well. One such start may be an answer
// that is late, as they are on any day, and changes nothing.
func TestOvertakenStartsShowLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorker()
		s := NewSession(Options{Orders: w})
		lossy := func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.lossy(time.Now())
		}
		time.Sleep(time.Second)
		for i, id := range []string{"a", "b"} {
			w.set(func() { w.lose = loseFirst("start", 1) })
			go s.Start(t.Context(), taskOf(id, 1))
			time.Sleep(leastGap + time.Millisecond)
			qt.Check(t, lossy(), qt.Equals, i == 1)
		}
		time.Sleep(2 * lossMemory)
		qt.Check(t, lossy(), qt.IsFalse)
		s.Close()
		settle()
	})
}
