package holder

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/scheduler"
	"github.com/vanillagrade/vanillagrade/internal/standin"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

// standins runs n stand-in targets that share a tracker, and a holder that holds
// them.
func standins(tb testing.TB, n int, opts standin.Options) (*Holder, []*standin.Target) {
	tb.Helper()
	if opts.Starts == nil {
		opts.Starts = standin.NewStartTracker()
	}
	// Admission is off so that the whole load of a test reaches the targets.
	h := New(Options{Self: owner, Config: config.Fixed{File: file}, Client: target.NewClient(target.ClientOptions{}), Scheduler: scheduler.Options{NoAdmission: true}})
	tb.Cleanup(h.Close)
	var all []*standin.Target
	for i := range n {
		opts.ID = job.TargetID(fmt.Sprint("t", i))
		s, err := standin.New(opts)
		qt.Assert(tb, err, qt.IsNil)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); _ = s.Run(ctx) }()
		tb.Cleanup(func() { cancel(); <-ended })
		h.SetTarget(announcement(s, opts))
		all = append(all, s)
	}
	return h, all
}

func announcement(s *standin.Target, opts standin.Options) job.Target {
	return job.Target{ID: opts.ID, Pool: "p", Address: s.Addr(), Zone: "a", Slots: opts.Slots, Connections: opts.Connections}
}

func payloads(b *job.Batch, text string) *job.Batch {
	for i := range b.Tasks {
		b.Tasks[i].Payload = []byte(text)
	}
	return b
}

// Many jobs run at once over real connections; some fail and some are cancelled
// while they run. No target may run more tasks or have more connections than it
// announced, and no task may start twice.
func TestLimitsAndSingleStartsOverLoopback(t *testing.T) {
	tracker := standin.NewStartTracker()
	h, targets := standins(t, 3, standin.Options{Slots: 4, Connections: 6, Starts: tracker})
	var all sync.WaitGroup
	sums := make([]reports, 30)
	for i := range sums {
		all.Add(1)
		text := `{"sleep_ms":2,"size":2000}`
		if i%5 == 1 {
			text = `{"sleep_ms":1,"fail":true}`
		}
		id := job.ID(fmt.Sprint("j/", i))
		h.Offer(payloads(batchOf(id, 40), text), func(o []job.TaskOutcome) {
			sums[i].add(o)
			all.Done()
		})
		if i%5 == 2 {
			h.Cancel(owner, id)
		}
	}
	all.Wait()
	qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
	for i := range sums {
		sum := sums[i].tally()
		if i%5 != 1 && i%5 != 2 {
			qt.Check(t, sum, qt.DeepEquals, tally{"done": 40})
			for _, o := range sums[i].all[0] {
				want := target.TaskName(job.ID(fmt.Sprint("j/", i)), o.Index)
				qt.Check(t, strings.Contains(string(o.Payload), `"task":"`+want+`"`), qt.IsTrue, qt.Commentf("%s: %.80s", want, o.Payload))
			}
		}
	}
	for _, s := range targets {
		c := s.Counters()
		qt.Check(t, c.MaxConcurrent <= 4, qt.IsTrue, qt.Commentf("%+v", c))
		qt.Check(t, c.MaxConnections <= 6, qt.IsTrue, qt.Commentf("%+v", c))
	}
	qt.Check(t, tracker.DoubledStarts(), qt.Equals, uint64(0))
	qt.Check(t, tracker.Starts() >= 18*40, qt.IsTrue)
}

// A caller cancels while the connection for the start request is still being opened.
// The stop request, on another connection, arrives first and finds no task. The task
// must not start afterwards, since it would run to its end without a caller.
func TestCancelledBeforeTheStartIsSent(t *testing.T) {
	tracker := standin.NewStartTracker()
	_, targets := standins(t, 1, standin.Options{Slots: 4, Starts: tracker})
	dialling, open := make(chan struct{}, 8), make(chan struct{})
	client := target.NewClient(target.ClientOptions{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		dialling <- struct{}{}
		<-open
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}})
	h := New(Options{Self: owner, Config: config.Fixed{File: file}, Client: client})
	t.Cleanup(h.Close)
	h.SetTarget(announcement(targets[0], standin.Options{ID: "t0", Slots: 4}))
	var sum reports
	h.Offer(payloads(batchOf("j", 1), `{"sleep_ms":1}`), sum.add)
	<-dialling
	h.Cancel(owner, "j")
	close(open)
	qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
	qt.Assert(t, tracker.Starts(), qt.Equals, uint64(0))
	var after reports
	h2 := New(Options{Self: owner, Config: config.Fixed{File: file}, Client: client})
	t.Cleanup(h2.Close)
	h2.SetTarget(announcement(targets[0], standin.Options{ID: "t0", Slots: 4}))
	h2.Offer(payloads(batchOf("k", 1), `{"sleep_ms":1}`), after.add)
	qt.Assert(t, h2.Drain(t.Context()), qt.IsNil)
	qt.Assert(t, after.tally(), qt.DeepEquals, tally{"done": 1})
}

// A target's VM dies with tasks running on it. Their jobs must fail, because the
// tasks may have run; all other tasks must run on the remaining targets.
func TestDeadTargetFailsOnlyItsRunningTasks(t *testing.T) {
	entered := make(chan job.ID, 100)
	release := make(chan struct{})
	work := func(_ context.Context, id job.ID, _ int, _ []byte) ([]byte, error) {
		entered <- id
		<-release
		return []byte("1"), nil
	}
	tracker := standin.NewStartTracker()
	h, targets := standins(t, 2, standin.Options{Slots: 4, Work: work, Starts: tracker})
	sums := make([]reports, 20)
	for i := range sums {
		h.Offer(batchOf(job.ID(fmt.Sprint(i)), 1), sums[i].add)
	}
	for range 8 {
		<-entered
	}
	qt.Assert(t, targets[0].Kill(), qt.IsNil)
	go func() {
		for range entered { // lets the later tasks continue
		}
	}()
	close(release)
	qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
	total := tally{}
	for i := range sums {
		for k, n := range sums[i].tally() {
			total[k] += n
		}
	}
	qt.Check(t, total, qt.DeepEquals, tally{"done": 16, "erred target_lost": 4})
	qt.Check(t, tracker.DoubledStarts(), qt.Equals, uint64(0))
	qt.Check(t, tracker.Starts(), qt.Equals, uint64(20))
}

// A target announces more slots than it has, and refuses the excess tasks as not
// started. No job may fail because of that.
func TestTargetThatOverstatesItsSlots(t *testing.T) {
	tracker := standin.NewStartTracker()
	h, targets := standins(t, 2, standin.Options{Slots: 4, Starts: tracker})
	overstated := announcement(targets[0], standin.Options{ID: "t0", Slots: 16, Connections: 64})
	h.SetTarget(overstated)
	var r reports
	h.Offer(payloads(batchOf("j", 60), `{"sleep_ms":5}`), r.add)
	qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
	qt.Check(t, r.tally(), qt.DeepEquals, tally{"done": 60})
	qt.Check(t, tracker.DoubledStarts(), qt.Equals, uint64(0))
	qt.Check(t, targets[0].MaxConcurrent() <= 4, qt.IsTrue)
}

// BenchmarkStarts measures how many empty tasks one holder starts per second
// over loopback connections, including the work of the targets.
func BenchmarkStarts(b *testing.B) {
	for _, size := range []int{1, 100} {
		b.Run(fmt.Sprint("tasks=", size), func(b *testing.B) {
			h, _ := standins(b, 8, standin.Options{Slots: 8})
			window := make(chan struct{}, 256/size+1)
			jobs := (b.N + size - 1) / size
			b.ResetTimer()
			for i := range jobs {
				window <- struct{}{}
				h.Offer(batchOf(job.ID(fmt.Sprint(i)), size), func([]job.TaskOutcome) { <-window })
			}
			qt.Assert(b, h.Drain(b.Context()), qt.IsNil)
			qt.Assert(b, h.Stats().Failed, qt.Equals, uint64(0))
			b.ReportMetric(float64(h.Stats().Requeued), "requeued")
			b.ReportMetric(float64(h.Stats().Done)/b.Elapsed().Seconds(), "tasks/s")
		})
	}
}

// BenchmarkDispatch measures the holder alone, with targets that answer
// immediately and no network.
func BenchmarkDispatch(b *testing.B) {
	f := newFleet()
	f.answer = func(job.TargetID, target.Task) target.Result {
		return target.Result{Status: job.TaskDone, Payload: []byte("1")}
	}
	h := newHolder(f, "1", "2", "3", "4", "5", "6", "7", "8")
	window := make(chan struct{}, 256)
	for i := range b.N {
		window <- struct{}{}
		h.Offer(batchOf(job.ID(fmt.Sprint(i)), 1), func([]job.TaskOutcome) { <-window })
	}
	qt.Assert(b, h.Drain(b.Context()), qt.IsNil)
}
