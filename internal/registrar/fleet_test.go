package registrar

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/membership"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/peer/peertest"
)

// entry is one process of the test fleet. It owns submissions and simulates their
// targets: each submission runs for fleet.runTime.
type entry struct {
	fleet     *fleet
	owner     job.Owner
	registrar *Registrar
	members   *membership.Membership
	ctx       context.Context
	stop      context.CancelFunc

	mu      sync.Mutex
	running map[job.ID]*runningSubmission
}

// runningSubmission is a submission that an entry is processing.
type runningSubmission struct {
	done   chan struct{}
	answer job.Answer
}

// retain is short because every simulated second costs heartbeats of all entries.
const retain = 40 * time.Second

type fleet struct {
	t               *testing.T
	net             *peertest.Network
	zones           map[job.EntryID]job.Zone
	entries         map[job.EntryID]*entry
	lastIncarnation job.Incarnation
	runTime         time.Duration
	// onDemand is passed on to Options.OnDemand.
	onDemand bool

	mu     sync.Mutex
	starts map[job.ID]int
}

var twoZones = map[job.EntryID]job.Zone{"a": "z", "b": "z", "c": "z", "d": "y", "e": "y"}

// withFleet runs a test twice: with records collected on each change of the live entries, and
// with records collected only while ids are claimed.
func withFleet(t *testing.T, zones map[job.EntryID]job.Zone, test func(f *fleet)) {
	t.Run("always", func(t *testing.T) { runFleet(t, zones, false, test) })
	t.Run("on demand", func(t *testing.T) { runFleet(t, zones, true, test) })
}

func runFleet(t *testing.T, zones map[job.EntryID]job.Zone, onDemand bool, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			onDemand: onDemand,
			t:        t, net: &peertest.Network{Delay: time.Millisecond}, zones: zones, runTime: 300 * time.Millisecond,
			entries: map[job.EntryID]*entry{}, starts: map[job.ID]int{},
		}
		defer func() {
			f.advance(time.Minute)
			for id := range f.entries {
				f.kill(id)
			}
			f.advance(time.Minute)
		}()
		for id := range zones {
			f.start(id)
		}
		f.advance(retain + 5*time.Second) // the zones' records go back the full retention time
		test(f)
	})
}

func (f *fleet) advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (f *fleet) start(id job.EntryID) *entry {
	f.lastIncarnation++
	e := &entry{fleet: f, owner: job.Owner{Entry: id, Incarnation: f.lastIncarnation, Zone: f.zones[id]}, running: map[job.ID]*runningSubmission{}}
	mesh := f.net.Join(e.owner)
	var peers []membership.Peer
	for other, zone := range f.zones {
		peers = append(peers, membership.Peer{Entry: other, Zone: zone})
	}
	e.members = membership.New(membership.Options{Mesh: mesh, Peers: peers})
	e.registrar = New(Options{Mesh: mesh, Members: e.members, Wait: e.wait, Retain: retain, OnDemand: f.onDemand})
	var ctx context.Context
	ctx, e.stop = context.WithCancel(context.Background())
	e.ctx = ctx
	go func() { _ = e.members.Run(ctx) }()
	go func() { _ = e.registrar.Run(ctx) }()
	f.entries[id] = e
	return e
}

// kill stops an entry abruptly, without announcing it to the others.
func (f *fleet) kill(id job.EntryID) {
	f.entries[id].stop()
	f.net.Crash(id)
	delete(f.entries, id)
}

func (e *entry) wait(ctx context.Context, id job.ID) (job.Answer, bool) {
	e.mu.Lock()
	w := e.running[id]
	e.mu.Unlock()
	if w == nil {
		return job.Answer{}, false
	}
	select {
	case <-w.done:
		return w.answer, true
	case <-ctx.Done():
		return job.Answer{}, false
	}
}

func submission(id job.ID, attempt int) *job.Submission {
	s := &job.Submission{ID: id, CallerID: true, Attempt: attempt, Service: "svc", Tasks: []job.TaskSpec{{Payload: json.RawMessage(`1`)}}}
	s.Digest = s.ContentDigest()
	return s
}

// submit sends a submission to an entry like a caller and returns a description of
// the result. As in the pipeline, a second submission of an id that is being
// processed joins the first.
func (e *entry) submit(s *job.Submission) string {
	e.mu.Lock()
	w := e.running[s.ID]
	if w != nil {
		e.mu.Unlock()
		<-w.done
		return "joined " + string(w.answer.Outcome)
	}
	w = &runningSubmission{done: make(chan struct{})}
	e.running[s.ID] = w
	e.mu.Unlock()
	var result string
	result, w.answer = e.process(s)
	e.mu.Lock()
	delete(e.running, s.ID)
	e.mu.Unlock()
	close(w.done)
	return result
}

func (e *entry) process(s *job.Submission) (string, job.Answer) {
	ctx := e.ctx
	d, err := e.registrar.Claim(ctx, s)
	if err != nil {
		return err.Error(), job.Fail(s.ID, job.Internal, "")
	}
	switch d.Kind {
	case Own:
		a := e.run(s)
		return "ran " + string(a.Outcome), a
	case Join:
		a, err := e.registrar.Join(ctx, d.Owner, s.ID)
		if err != nil {
			return "join failed", job.Fail(s.ID, job.OwnerLost, "")
		}
		return "joined " + string(a.Outcome), a
	case Answered:
		return "answered " + string(d.Answer.Outcome), d.Answer
	case TakeOver:
		return fmt.Sprintf("taken over, %d perhaps started, %d held", len(d.Started), len(d.Held)), job.Fail(s.ID, d.Reason, "")
	case Conflict:
		return "conflict", job.Refuse(s.ID, d.Reason, "", 0)
	}
	return fmt.Sprintf("unknown %s %t", d.Reason, d.NotRun), job.Fail(s.ID, d.Reason, "")
}

func (e *entry) run(s *job.Submission) job.Answer {
	f := e.fleet
	f.mu.Lock()
	f.starts[s.ID]++
	f.mu.Unlock()
	time.Sleep(f.runTime)
	a := job.Answer{ID: s.ID, Outcome: job.Complete, Results: []json.RawMessage{json.RawMessage(`"r"`)}}
	e.registrar.Settle(context.Background(), s.ID, a)
	return a
}

// submitAsync submits in the background and returns a channel that receives the
// result.
func (e *entry) submitAsync(s *job.Submission) <-chan string {
	got := make(chan string, 1)
	go func() { got <- e.submit(s) }()
	return got
}

// checkStartedOnce fails the test if a submission started more than once.
func (f *fleet) checkStartedOnce() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, n := range f.starts {
		qt.Assert(f.t, n, qt.Equals, 1, qt.Commentf("submission %s", id))
	}
}

// manyIDs returns enough ids that each entry has each rank for some of them.
func manyIDs(prefix string) []job.ID {
	var ids []job.ID
	for i := range 12 {
		ids = append(ids, job.ID(fmt.Sprint(prefix, i)))
	}
	return ids
}

var _ peer.Mesh = (*peertest.Node)(nil)
