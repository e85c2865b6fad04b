package entry

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/handover"
	"github.com/vanillagrade/vanillagrade/internal/holder"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/membership"
	"github.com/vanillagrade/vanillagrade/internal/peer/peertest"
	"github.com/vanillagrade/vanillagrade/internal/target"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// slowConn is the way to a target whose runs end when the test says so.
type slowConn struct {
	starts atomic.Int64
	ends   chan target.Result
}

func (c *slowConn) Start(ctx context.Context, t target.Task) target.Result {
	if t.Unwanted() {
		return target.Withdrawn()
	}
	c.starts.Add(1)
	select {
	case res := <-c.ends:
		return res
	case <-ctx.Done():
		return target.Result{Status: job.TaskErred, Reason: job.TargetLost, Over: true}
	}
}

func (c *slowConn) Stop(context.Context, job.ID, int) error { return nil }
func (c *slowConn) Close()                                  {}

// pausable are the parts of an entry that hold work, beside another entry that owns
// some of it. The entry can be made to stand still: nothing of it acts, and what is sent
// to it meanwhile arrives when it goes on.
type pausableEntry struct {
	t         *testing.T
	ctx       context.Context
	net       *peertest.Network
	entry     *Entry
	conn      *slowConn
	owner     *handover.Remote
	self      job.Owner
	stopEntry context.CancelFunc
	cancel    context.CancelFunc
}

func newPausableEntry(t *testing.T) *pausableEntry {
	p := &pausableEntry{
		t: t, net: &peertest.Network{Delay: time.Millisecond},
		conn: &slowConn{ends: make(chan target.Result)},
	}
	p.ctx, p.cancel = context.WithCancel(t.Context())
	p.self = job.Owner{Entry: "h", Incarnation: 1, Zone: "z"}
	mesh := p.net.Join(p.self)
	other := p.net.Join(job.Owner{Entry: "o", Incarnation: 1, Zone: "y"})
	p.entry = p.assemble(mesh)
	otherMembers := membership.New(membership.Options{Mesh: other, Peers: []membership.Peer{{Entry: "h", Zone: "z"}}, Across: crossZoneTimings})
	p.owner = handover.NewRemote(handover.RemoteOptions{Mesh: other, Silent: otherMembers.Silent, Proof: otherMembers.Last, Learn: otherMembers.Learn})
	go func() { _ = otherMembers.Run(p.ctx) }()
	p.resume()
	p.entry.holder.SetTarget(job.Target{ID: "t", Pool: "p", Zone: "z", Slots: 1, Connections: 1})
	time.Sleep(time.Second)
	return p
}

// assemble joins the parts as an entry does.
func (p *pausableEntry) assemble(mesh *peertest.Node) *Entry {
	e := &Entry{self: p.self, log: discardLogger(), events: timeline.Discard{}}
	e.holder = holder.New(holder.Options{Self: p.self, Config: config.Fixed{}, Connect: func(job.Target) holder.Connection { return p.conn }})
	e.rights = newRights(e)
	e.members = membership.New(membership.Options{Mesh: mesh, Peers: []membership.Peer{{Entry: "o", Zone: "y"}}, Across: crossZoneTimings, Proved: e.rights.recordProof})
	e.handoverServer = handover.Serve(mesh, e.holder)
	e.handoverServer.OnOffer(e.members.Touch)
	e.handoverServer.NeedRights(e.rights)
	return e
}

// goOn has the entry run again.
func (p *pausableEntry) resume() {
	p.net.SetDelay(time.Millisecond)
	ctx, cancel := context.WithCancel(p.ctx)
	p.stopEntry = cancel
	go func() { _ = p.entry.members.Run(ctx) }()
	go func() { _ = p.entry.watchOwners(ctx) }()
}

// standStill has it stand still for some time and go on. The messages that came
// meanwhile are read before any of its timers is served: either may come first.
func (p *pausableEntry) pause(d time.Duration) {
	p.stopEntry()
	p.net.SetDelay(d)
	time.Sleep(d)
	time.Sleep(time.Millisecond)
	synctest.Wait()
	p.resume()
}

// batch is a job of two tasks, of which the target can run one at a time.
func (p *pausableEntry) batch(id job.ID, owner job.Owner) *job.Batch {
	return &job.Batch{
		Owner: owner, Submission: id, Service: "s", Pool: "p", Transient: true, Attempts: 3, Stretch: 8, Slack: time.Minute,
		Tasks: []job.BatchTask{{Index: 0, TaskSpec: job.TaskSpec{RunMillis: 900}}, {Index: 1, TaskSpec: job.TaskSpec{RunMillis: 900}}},
	}
}

func (p *pausableEntry) endRun(res target.Result) {
	p.conn.ends <- res
	synctest.Wait()
}

func (p *pausableEntry) close() {
	p.stopEntry()
	p.cancel()
	p.entry.holder.Close()
	p.net.Leave("h")
	p.net.Leave("o")
	time.Sleep(10 * time.Second) // what is under way arrives nowhere
}

var (
	doneResult   = target.Result{Status: job.TaskDone}
	leaseExpired = target.Result{Status: job.TaskErred, Reason: job.TargetLost, Over: true}
)

// An entry holds a job of another one when it stands still for three seconds. The owner
// can't reach it, gives it up and has the job run elsewhere. What the owner had said
// before lies unread meanwhile. When the entry goes on it must not take that for a sign
// of life, and start what waits beside the second run: the studio is billed twice.
func TestWordFromBeforeAPauseStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPausableEntry(t)
		defer p.close()
		p.owner.Offer(p.ctx, "h", 1, p.batch("a", job.Owner{}), func([]job.TaskOutcome) {})
		time.Sleep(10 * time.Millisecond)
		qt.Assert(t, p.conn.starts.Load(), qt.Equals, int64(1))
		p.pause(3 * time.Second)
		p.endRun(doneResult)
		time.Sleep(50 * time.Millisecond)
		qt.Assert(t, p.conn.starts.Load(), qt.Equals, int64(1))
	})
}

// An entry runs a job of its own caller when it stands still for three seconds. Its
// target stops the run, since nobody renews the lease, and the caller sends the job
// through another entry. When the entry goes on it learns that the run is over: to start
// the task again then is to run it beside the other one.
func TestOwnWorkFromBeforeAPauseIsNotStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPausableEntry(t)
		defer p.close()
		own := p.batch("a", p.self)
		own.Right, _ = p.entry.rights.ownRight(0)
		p.entry.holder.Offer(own, func([]job.TaskOutcome) {})
		time.Sleep(10 * time.Millisecond)
		qt.Assert(t, p.conn.starts.Load(), qt.Equals, int64(1))
		p.pause(3 * time.Second)
		p.endRun(leaseExpired)
		time.Sleep(50 * time.Millisecond)
		qt.Assert(t, p.conn.starts.Load(), qt.Equals, int64(1))
	})
}

// A short pause, which callers sit out, costs no work.
func TestWorkGoesOnAfterAShortPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPausableEntry(t)
		defer p.close()
		p.owner.Offer(p.ctx, "h", 1, p.batch("a", job.Owner{}), func([]job.TaskOutcome) {})
		time.Sleep(10 * time.Millisecond)
		p.pause(300 * time.Millisecond)
		p.endRun(doneResult)
		time.Sleep(50 * time.Millisecond)
		qt.Assert(t, p.conn.starts.Load(), qt.Equals, int64(2))
		p.endRun(doneResult)
	})
}

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }
