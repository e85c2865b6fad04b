package handover

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/peer/peertest"
)

// fakeHolder is a Holder that counts the starts of each task and reports a batch
// after a fixed time.
type fakeHolder struct {
	reportAfter time.Duration
	// failingTask is the index of a task that fails immediately.
	failingTask int
	// beforeOffer, if set, is called before a batch is accepted.
	beforeOffer func()

	mu        sync.Mutex
	starts    map[string]int
	cancelled []job.ID
	batches   []job.Batch
}

func (h *fakeHolder) Offer(b *job.Batch, report func([]job.TaskOutcome)) {
	if h.beforeOffer != nil {
		h.beforeOffer()
	}
	h.mu.Lock()
	h.batches = append(h.batches, *b)
	for i := range b.Tasks {
		h.starts[fmt.Sprint(b.Submission, "/", b.Tasks[i].Index)]++
	}
	h.mu.Unlock()
	go func() {
		for i := range b.Tasks {
			if b.Tasks[i].Index == h.failingTask {
				report([]job.TaskOutcome{{Index: h.failingTask, Status: job.TaskErred, Reason: job.TaskFailed}})
				return
			}
		}
		time.Sleep(h.reportAfter)
		outcomes := uniformOutcomes(b, job.TaskDone, "", "")
		for i := range outcomes {
			outcomes[i].Payload = []byte(fmt.Sprint(outcomes[i].Index))
		}
		report(outcomes)
	}()
}

func (h *fakeHolder) Cancel(_ job.Owner, id job.ID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancelled = append(h.cancelled, id)
}

// fixture is an owner and a holder with a network between them.
type fixture struct {
	t      *testing.T
	net    *peertest.Network
	holder *fakeHolder
	server *Server
	remote *Remote
	gone   atomic.Bool
}

var (
	ownerID  = job.Owner{Entry: "owner", Incarnation: 1, Zone: "z"}
	holderID = job.Owner{Entry: "holder", Incarnation: 7, Zone: "z"}
)

func run(t *testing.T, test func(s *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		s := &fixture{t: t, net: &peertest.Network{Delay: time.Millisecond}}
		s.holder = &fakeHolder{reportAfter: 300 * time.Millisecond, failingTask: -1, starts: map[string]int{}}
		s.remote = NewRemote(RemoteOptions{
			Mesh: s.net.Join(ownerID),
			Gone: func(job.EntryID, job.Incarnation) bool { return s.gone.Load() },
		})
		s.server = Serve(s.net.Join(holderID), s.holder)
		test(s)
		time.Sleep(time.Minute)
		s.net.Crash("owner")
		s.net.Crash("holder")
	})
}

func batch(id job.ID, tasks ...int) *job.Batch {
	b := &job.Batch{Submission: id, Service: "svc", Remaining: 10 * time.Second}
	for _, i := range tasks {
		b.Tasks = append(b.Tasks, job.BatchTask{Index: i})
	}
	return b
}

func (s *fixture) offer(ctx context.Context, b *job.Batch) <-chan []job.TaskOutcome {
	got := make(chan []job.TaskOutcome, 2)
	s.remote.Offer(ctx, "holder", holderID.Incarnation, b, func(o []job.TaskOutcome) { got <- o })
	return got
}

func (s *fixture) assertCancelled(want ...job.ID) {
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	qt.Assert(s.t, s.holder.cancelled, qt.DeepEquals, want)
}

func (s *fixture) assertAtMostOnce() {
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	for task, n := range s.holder.starts {
		qt.Assert(s.t, n, qt.Equals, 1, qt.Commentf("task %s", task))
	}
}

func statuses(outcomes []job.TaskOutcome) string {
	s := ""
	for _, o := range outcomes {
		s += fmt.Sprint(o.Index, ":", o.Status, o.Reason, " ")
	}
	return s
}

const (
	twoDone       = "0:1 1:1 "
	twoLost       = "0:2holder_lost 1:2holder_lost "
	twoNotStarted = "0:3holder_lost 1:3holder_lost "
)

// One of the users counts the messages between entries: a batch must take two
// messages, however many tasks it has, and no third for an acknowledgement.
func TestBatchTakesTwoMessages(t *testing.T) {
	for _, tasks := range []int{1, 10, 100} {
		run(t, func(s *fixture) {
			indices := make([]int, tasks)
			for i := range indices {
				indices[i] = i
			}
			for range 3 {
				before := s.net.Sent(peer.BatchOffer)
				outcomes := <-s.offer(s.t.Context(), batch("a", indices...))
				qt.Assert(t, len(outcomes), qt.Equals, tasks)
				qt.Assert(t, s.net.Sent(peer.BatchOffer)-before, qt.Equals, 2)
			}
			last := 0
			for i := range tasks {
				last += len(fmt.Sprint(i))
			}
			qt.Assert(t, s.server.bytes, qt.Equals, last) // the earlier offers were acknowledged
			qt.Assert(t, s.holder.batches[0].Owner, qt.Equals, ownerID)
		})
	}
}

// The link breaks after the holder received a batch, before or while it reports.
// The owner asks again when the link is back. Each task must start only once and
// the results must arrive.
func TestLostAnswerIsRequestedAgain(t *testing.T) {
	for _, lose := range []struct {
		answer bool
		times  int
	}{{true, 1}, {true, 3}, {false, 1}, {false, 3}} {
		run(t, func(s *fixture) {
			lost := 0
			var mu sync.Mutex
			s.net.SetDrop(func(_, _ job.EntryID, kind peer.Kind, answer bool) bool {
				mu.Lock()
				defer mu.Unlock()
				if kind == peer.BatchOffer && answer == lose.answer && lost < lose.times {
					lost++
					return true
				}
				return false
			})
			outcomes := <-s.offer(s.t.Context(), batch("a", 0, 1))
			qt.Assert(t, statuses(outcomes), qt.Equals, twoDone)
			qt.Assert(t, lost, qt.Equals, lose.times)
			s.assertAtMostOnce()
		})
	}
}

// Many batches are sent over a network that loses a third of all messages, with
// several fixed seeds. Every task must start at most once and every batch must be
// reported.
func TestLossyNetworkNeverDoublesATask(t *testing.T) {
	for seed := range uint64(5) {
		run(t, func(s *fixture) {
			s.net.SetDrop(peertest.LoseAtRandom(seed, 0.33))
			var all []<-chan []job.TaskOutcome
			for i := range 40 {
				all = append(all, s.offer(s.t.Context(), batch(job.ID(fmt.Sprint(i)), 0, 1)))
			}
			for _, got := range all {
				qt.Assert(t, statuses(<-got), qt.Equals, twoDone)
			}
			s.assertAtMostOnce()
		})
	}
}

// The outcomes that an owner may report depend on how it lost the holder. "Not
// started" for tasks that may have run would bill a studio twice; "may have run"
// for tasks that can't have run would fail jobs for no reason.
func TestOutcomesAfterALostHolder(t *testing.T) {
	tests := []struct {
		name string
		act  func(s *fixture)
		late func(s *fixture)
		want string
	}{
		{"never reached", func(s *fixture) { s.net.SetPartitioned("owner", "holder", true) }, nil, twoNotStarted},
		{"killed after it received them", nil, func(s *fixture) { s.net.Crash("holder"); s.gone.Store(true) }, twoLost},
		{"unreachable for long", nil, func(s *fixture) { s.net.SetPartitioned("owner", "holder", true) }, twoLost},
		{"restarted meanwhile", nil, func(s *fixture) {
			next := holderID
			next.Incarnation++
			Serve(s.net.Join(next), s.holder)
		}, twoLost},
		{"unreachable and back", nil, func(s *fixture) {
			s.net.SetPartitioned("owner", "holder", true)
			time.AfterFunc(2*time.Second, func() { s.net.SetPartitioned("owner", "holder", false) })
		}, twoDone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, func(s *fixture) {
				if test.act != nil {
					test.act(s)
				}
				got := s.offer(s.t.Context(), batch("a", 0, 1))
				if test.late != nil {
					time.Sleep(100 * time.Millisecond)
					test.late(s)
				}
				qt.Assert(t, statuses(<-got), qt.Equals, test.want)
				s.assertAtMostOnce()
			})
		})
	}
}

// One of several tasks fails, so the job can no longer complete. The owner must
// receive the failure immediately, not after the longest of the other tasks.
func TestFailureIsReportedAtOnce(t *testing.T) {
	run(t, func(s *fixture) {
		s.holder.failingTask, s.holder.reportAfter = 1, 10*time.Second
		start := time.Now()
		outcomes := <-s.offer(s.t.Context(), batch("a", 0, 1, 2))
		qt.Assert(t, statuses(outcomes), qt.Equals, "1:2task_failed ")
		qt.Assert(t, time.Since(start) < 10*time.Millisecond, qt.IsTrue)
	})
}

// A cancellation overtakes the batch that it cancels, or the owner abandons the
// batch, or the owner dies. The holder must not use slots for the batch any more.
func TestCancellations(t *testing.T) {
	run(t, func(s *fixture) {
		number := s.remote.begin("a", "holder")
		s.remote.Cancel("holder", "a")
		time.Sleep(10 * time.Millisecond)
		outcomes := s.remote.deliver(s.t.Context(), "holder", offer{Number: number, To: holderID.Incarnation, Batch: *batch("a", 0)})
		qt.Assert(t, statuses(outcomes), qt.Equals, "0:3cancelled_by_caller ")
		qt.Assert(t, s.holder.batches, qt.HasLen, 0)

		ctx, cancel := context.WithCancel(s.t.Context())
		got := s.offer(ctx, batch("b", 0, 1))
		time.Sleep(10 * time.Millisecond)
		cancel()
		qt.Assert(t, statuses(<-got), qt.Equals, twoLost)
		time.Sleep(10 * time.Millisecond)
		s.assertCancelled("a", "b")

		s.offer(s.t.Context(), batch("c", 0, 1))
		time.Sleep(10 * time.Millisecond)
		s.server.OwnerGone("owner", ownerID.Incarnation)
		s.assertCancelled("a", "b", "b", "c")
	})
}

// A cancellation arrives while the holder is still accepting the batch. It must be
// repeated afterwards, because the first attempt found no batch.
func TestCancellationDuringAnOffer(t *testing.T) {
	run(t, func(s *fixture) {
		s.holder.beforeOffer = func() {
			s.remote.Cancel("holder", "a")
			time.Sleep(10 * time.Millisecond)
			s.assertCancelled("a")
		}
		s.offer(s.t.Context(), batch("a", 0))
		time.Sleep(50 * time.Millisecond)
		s.assertCancelled("a", "a")
	})
}

// A holder deletes old reports to bound its memory. An owner that was unreachable
// for long asks for such a batch again. The holder must not run it, since that
// would be a second start.
func TestForgottenOfferIsNotRunAgain(t *testing.T) {
	run(t, func(s *fixture) {
		o := offer{Number: 1, To: holderID.Incarnation, Batch: *batch("a", 0, 1)}
		qt.Assert(t, statuses(s.remote.deliver(s.t.Context(), "holder", o)), qt.Equals, twoDone)
		time.Sleep(keepReported + time.Second)
		later := offer{Number: 2, To: holderID.Incarnation, Batch: *batch("b", 0, 1)}
		qt.Assert(t, statuses(s.remote.deliver(s.t.Context(), "holder", later)), qt.Equals, twoDone)
		qt.Assert(t, len(s.server.records), qt.Equals, 1)
		qt.Assert(t, statuses(s.remote.deliver(s.t.Context(), "holder", o)), qt.Equals, twoLost)
		s.assertAtMostOnce()
	})
}

// An owner dies after a holder finished its part. The entry that takes over the
// submission must receive the results that the holder still has.
func TestFetchOfALostOwnersResults(t *testing.T) {
	run(t, func(s *fixture) {
		s.net.SetDrop(func(_, _ job.EntryID, kind peer.Kind, answer bool) bool { return kind == peer.BatchOffer && answer })
		s.offer(s.t.Context(), batch("a", 0, 1))
		time.Sleep(time.Second)
		taker := NewRemote(RemoteOptions{Mesh: s.net.Join(job.Owner{Entry: "taker", Incarnation: 1})})
		defer s.net.Crash("taker")
		held := taker.Fetch(s.t.Context(), []job.EntryID{"holder", "nobody"}, ownerID, "a")
		qt.Assert(t, statuses(held), qt.Equals, twoDone)
		s.net.SetDrop(nil)
	})
}

// registry counts the announcements of the targets that one entry holds.
type registry map[job.TargetID]int

func (r registry) Announce(t job.Target) (time.Duration, error) {
	if t.Slots < 0 {
		return 0, errors.NotValidf("slots")
	}
	r[t.ID]++
	return 4 * time.Second, nil
}

// A target announces itself to an arbitrary entry. The announcement must reach its
// only holder, even while the entries' views of the zone differ, and must return an
// error if no entry can hold the target.
func TestForwardTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := &peertest.Network{}
		view := map[job.EntryID]job.EntryID{"a": "b", "b": "c", "c": "c", "d": "", "e": "f", "f": "e"}
		held := map[job.EntryID]registry{}
		at := map[job.EntryID]*Targets{}
		for id := range view {
			held[id] = registry{}
			at[id] = NewTargets(net.Join(job.Owner{Entry: id}), func(*job.Target) job.EntryID { return view[id] }, held[id])
		}
		target := job.Target{ID: "t", Zone: "z"}
		for _, by := range []job.EntryID{"a", "b", "c"} {
			lease, _, err := at[by].ForwardTarget(t.Context(), target)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, lease, qt.Equals, 4*time.Second)
		}
		qt.Assert(t, held["c"]["t"], qt.Equals, 3)
		qt.Assert(t, len(held["a"])+len(held["b"]), qt.Equals, 0)
		for _, by := range []job.EntryID{"d", "e"} {
			_, _, err := at[by].ForwardTarget(t.Context(), target)
			qt.Assert(t, err, qt.ErrorIs, ErrNoHolder)
		}
		_, _, err := at["a"].ForwardTarget(t.Context(), job.Target{ID: "t", Slots: -1})
		qt.Assert(t, err, qt.ErrorIs, peer.ErrRejected)
		net.Crash("b")
		_, _, err = at["a"].ForwardTarget(t.Context(), target)
		qt.Assert(t, err, qt.ErrorIs, peer.ErrNotSent)
		for id := range view {
			net.Crash(id)
		}
	})
}
