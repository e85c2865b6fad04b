package holder

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

var owner = job.Owner{Entry: "e1", Incarnation: 1, Zone: "a"}

// taskTime is how long a fake target runs a task.
const taskTime = 50 * time.Millisecond

// fleet is a set of fake targets that records the tasks they receive.
type fleet struct {
	mu              sync.Mutex
	starts          map[string]int
	running         map[job.TargetID]int
	maxRunning      map[job.TargetID]int
	startsByTarget  map[job.TargetID]int
	stops           []string
	closed          map[string]bool // by address
	startsByAddress map[string]int  // by address
	// answer decides how a task ends; if nil, tasks succeed after taskTime.
	answer func(id job.TargetID, t target.Task) target.Result
}

type fakeTarget struct {
	fleet   *fleet
	id      job.TargetID
	address string
}

func newFleet() *fleet {
	return &fleet{starts: map[string]int{}, running: map[job.TargetID]int{}, maxRunning: map[job.TargetID]int{}, startsByTarget: map[job.TargetID]int{}, closed: map[string]bool{}, startsByAddress: map[string]int{}}
}

func (f *fleet) connect(t job.Target) Connection { return &fakeTarget{f, t.ID, t.Address} }

func (c *fakeTarget) Start(_ context.Context, t target.Task) target.Result {
	f := c.fleet
	f.mu.Lock()
	f.starts[target.TaskName(t.Submission, t.Index)]++
	f.startsByTarget[c.id]++
	f.startsByAddress[c.address]++
	f.running[c.id]++
	f.maxRunning[c.id] = max(f.maxRunning[c.id], f.running[c.id])
	answer := f.answer
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.running[c.id]--
	}()
	if answer != nil {
		return answer(c.id, t)
	}
	return done()
}

func done() target.Result {
	time.Sleep(taskTime)
	return target.Result{Status: job.TaskDone, Payload: []byte("1"), Ran: taskTime}
}

func erred() target.Result {
	return target.Result{Status: job.TaskErred, Reason: job.TargetLost}
}

func refused() target.Result {
	return target.Result{Status: job.TaskNotStarted, Reason: job.TargetRefused, Refusal: target.Busy}
}

func (c *fakeTarget) Stop(_ context.Context, id job.ID, index int) error {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.fleet.stops = append(c.fleet.stops, target.TaskName(id, index))
	return nil
}

func (c *fakeTarget) Close() {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.fleet.closed[c.address] = true
}

var file = &config.File{Number: 1, Services: []config.Service{
	{Name: "thumbs", Pool: "p", Urgency: job.UrgencyInteractive},
	{Name: "again", Pool: "p", Urgency: job.UrgencyInteractive, Repeatable: true},
}}

func newHolder(f *fleet, targets ...job.TargetID) *Holder {
	h := New(Options{Self: owner, Config: config.Fixed{File: file}, Connect: f.connect})
	for _, id := range targets {
		h.SetTarget(announced(id))
	}
	return h
}

func announced(id job.TargetID) job.Target {
	return job.Target{ID: id, Pool: "p", Address: "10.0.0.1:" + string(id), Zone: "a", Slots: 8, Connections: 64}
}

func batchOf(id job.ID, n int) *job.Batch {
	b := &job.Batch{Owner: owner, Submission: id, Service: "thumbs"}
	for i := range n {
		b.Tasks = append(b.Tasks, job.BatchTask{Index: i})
	}
	return b
}

// reports collects the reports on a batch.
type reports struct {
	mu  sync.Mutex
	all [][]job.TaskOutcome
}

func (r *reports) add(o []job.TaskOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, o)
}

// tally counts the outcomes of the report by "status reason".
func (r *reports) tally() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.all) != 1 {
		return map[string]int{fmt.Sprintf("%d reports", len(r.all)): 1}
	}
	names := map[job.TaskStatus]string{job.TaskDone: "done", job.TaskErred: "erred", job.TaskNotStarted: "not started"}
	sum := map[string]int{}
	for _, o := range r.all[0] {
		key := names[o.Status]
		if o.Reason != "" {
			key += " " + string(o.Reason)
		}
		sum[key]++
	}
	return sum
}

type tally = map[string]int

// startsOn returns how many tasks a target has received.
func (f *fleet) startsOn(id job.TargetID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startsByTarget[id]
}

// stopped waits until all stop requests are sent and returns their number.
func (f *fleet) stopped() int {
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.stops)
}

func (f *fleet) check(t *testing.T, starts int) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for task, n := range f.starts {
		qt.Check(t, n, qt.Equals, 1, qt.Commentf(task))
		total += n
	}
	qt.Check(t, total, qt.Equals, starts)
	for id, n := range f.maxRunning {
		qt.Check(t, n <= 8, qt.IsTrue, qt.Commentf("%s ran %d", id, n))
	}
}
