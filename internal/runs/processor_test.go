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

// The processor time of an entry, in the time of a VM with a fifth of a processor: for one call of
// a target, for opening a connection, and for everything else that one task costs.
const (
	callCost       = 500 * time.Microsecond
	connectionCost = 1500 * time.Microsecond
	taskCost       = 1500 * time.Microsecond
)

// idleConnections is how many unused connections to a target are kept open.
const idleConnections = 4

// processor is one processor that all goroutines of an entry share.
type processor struct {
	free chan struct{}
	mu   sync.Mutex
	used time.Duration
}

func newProcessor() *processor {
	p := &processor{free: make(chan struct{}, 1)}
	p.free <- struct{}{}
	return p
}

func (p *processor) use(d time.Duration) {
	<-p.free
	time.Sleep(d)
	p.mu.Lock()
	p.used += d
	p.mu.Unlock()
	p.free <- struct{}{}
}

// busyClient calls a worker and uses the entry's processor for each call. It keeps idle
// connections and opens others as an HTTP client does.
type busyClient struct {
	*worker
	processor *processor

	mu                  sync.Mutex
	idle, calls, opened int
}

func (c *busyClient) call(do func() error) {
	c.mu.Lock()
	c.calls++
	open := c.idle == 0
	if open {
		c.opened++
	} else {
		c.idle--
	}
	c.mu.Unlock()
	if open {
		c.processor.use(connectionCost)
	}
	c.processor.use(callCost / 2)
	time.Sleep(time.Millisecond)
	if do() != nil {
		return // the connection is closed
	}
	c.processor.use(callCost / 2)
	c.mu.Lock()
	c.idle = min(c.idle+1, idleConnections)
	c.mu.Unlock()
}

func (c *busyClient) Start(ctx context.Context, o StartRequest) (r Reply, err error) {
	c.call(func() error { r, err = c.worker.Start(ctx, o); return err })
	return r, err
}

func (c *busyClient) Stop(ctx context.Context, o StopRequest) (r Reply, err error) {
	c.call(func() error { r, err = c.worker.Stop(ctx, o); return err })
	return r, err
}

func (c *busyClient) Renew(ctx context.Context, o PollRequest) (l PollReply, err error) {
	c.call(func() error { l, err = c.worker.Renew(ctx, o); return err })
	return l, err
}

// busyResult is what the callers of a busy entry receive and what it costs the entry.
type busyResult struct {
	tasks, inTime, calls, opened int
	used                         time.Duration
}

// runBusyEntry lets an entry that holds 20 targets start seven tasks of 60 or 200 ms a second on
// each for ten seconds, while a share of the requests gets lost.
func runBusyEntry(t *testing.T, seed uint64, lost float64) (res busyResult) {
	const (
		targets  = 20
		interval = time.Second / 7
		slack    = 90 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		p := newProcessor()
		var mu sync.Mutex
		var callers sync.WaitGroup
		var clients []*busyClient
		var sessions []*Session
		for i := range targets {
			w := newWorker()
			lot := rand.New(rand.NewPCG(seed, uint64(i)))
			w.runTime = []time.Duration{60 * time.Millisecond, 200 * time.Millisecond}[i%2]
			w.randomDelay = func() time.Duration { return 2*time.Second + time.Duration(lot.IntN(10000))*time.Millisecond }
			c := &busyClient{worker: w, processor: p}
			clients = append(clients, c)
			s := NewSession(Options{Client: c, Salt: uint16(i)})
			sessions = append(sessions, s)
		}
		time.Sleep(2 * time.Second)
		for i, s := range sessions {
			w, lot := clients[i].worker, rand.New(rand.NewPCG(seed, uint64(100+i)))
			w.set(func() { w.lose = func(string) bool { return lot.Float64() < lost } })
			phase := time.Duration(lot.Int64N(int64(interval)))
			callers.Go(func() {
				time.Sleep(phase)
				for k := range int(10 * time.Second / interval) {
					callers.Go(func() {
						begun := time.Now()
						p.use(taskCost)
						r := s.Start(context.Background(), target.Task{Submission: job.ID(rune('a' + i)), Index: k, Run: 1, Expected: w.runTime})
						mu.Lock()
						defer mu.Unlock()
						res.tasks++
						if r.Status == job.TaskDone && time.Since(begun) <= w.runTime+slack {
							res.inTime++
						}
					})
					time.Sleep(interval)
				}
			})
		}
		callers.Wait()
		for i, s := range sessions {
			clients[i].mu.Lock()
			res.calls += clients[i].calls
			res.opened += clients[i].opened
			clients[i].mu.Unlock()
			s.Close()
		}
		p.mu.Lock()
		res.used = p.used
		p.mu.Unlock()
		drain()
	})
	return res
}

// Guards against a few lost requests that exhaust the processor of an entry: it then reads answers
// late, takes them for lost and sends copies, which cost more than the work, until hardly any task
// is in time.
func TestLightLossesCostLittleProcessorTime(t *testing.T) {
	for seed := range uint64(3) {
		calm, light := runBusyEntry(t, seed, 0), runBusyEntry(t, seed, 0.06)
		t.Logf("seed %d: calm %+v, 6%% lost %+v", seed, calm, light)
		qt.Check(t, calm.inTime >= calm.tasks*98/100, qt.IsTrue)
		qt.Check(t, light.inTime >= light.tasks*9/10, qt.IsTrue)
		qt.Check(t, float64(light.used) <= 1.3*float64(calm.used), qt.IsTrue, qt.Commentf("%v against %v", light.used, calm.used))
	}
}
