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

// slowConn is a connection to a target whose runs end when the test ends them.
type slowConn struct {
	starts atomic.Int64
	stops  atomic.Int64
	ends   chan target.Result
}

func (c *slowConn) Start(ctx context.Context, t target.Task) target.Result {
	if t.Unwanted() {
		return target.CancelledBeforeSend()
	}
	c.starts.Add(1)
	select {
	case res := <-c.ends:
		return res
	case <-ctx.Done():
		return target.Result{Status: job.TaskErred, Reason: job.TargetLost, Over: true}
	}
}

func (c *slowConn) Stop(context.Context, job.ID, int) error {
	c.stops.Add(1)
	return nil
}

func (c *slowConn) Close() {}

// pausableEntry consists of the parts of an entry that hold work, and of another entry that
// owns some of that work. The entry can be paused: none of its parts runs, and messages sent
// to it in the meantime arrive when it resumes.
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
	across    membership.Timings
	// mute makes the owner prove nothing when it is asked.
	mute atomic.Bool
}

func newPausableEntry(t *testing.T) *pausableEntry {
	return newPausableEntryWatched(t, crossZoneTimings)
}

// newPausableEntryWatched returns an entry that exchanges heartbeats with its owner at the given
// timings.
func newPausableEntryWatched(t *testing.T, across membership.Timings) *pausableEntry {
	p := &pausableEntry{
		across: across,
		t:      t, net: &peertest.Network{Delay: time.Millisecond},
		conn: &slowConn{ends: make(chan target.Result)},
	}
	p.ctx, p.cancel = context.WithCancel(t.Context())
	p.self = job.Owner{Entry: "h", Incarnation: 1, Zone: "z"}
	mesh := p.net.Join(p.self)
	other := p.net.Join(job.Owner{Entry: "o", Incarnation: 1, Zone: "y"})
	serveProofRequests(other, func(job.EntryID) bool { return !p.mute.Load() })
	p.entry = p.assemble(mesh)
	otherMembers := membership.New(membership.Options{Mesh: other, Peers: []membership.Peer{{Entry: "h", Zone: "z"}}, Across: p.across})
	p.owner = handover.NewRemote(handover.RemoteOptions{Mesh: other, SinceLastMessage: otherMembers.Silent, Proof: otherMembers.LastReading, Learn: otherMembers.RecordReading})
	go func() { _ = otherMembers.Run(p.ctx) }()
	p.resume()
	p.entry.holder.SetTarget(job.Target{ID: "t", Pool: "p", Zone: "z", Slots: 1, Connections: 1})
	time.Sleep(time.Second)
	return p
}

// assemble creates the parts as an entry does.
func (p *pausableEntry) assemble(mesh *peertest.Node) *Entry {
	e := &Entry{self: p.self, log: discardLogger(), events: timeline.Discard{}}
	e.holder = holder.New(holder.Options{Self: p.self, Config: config.Fixed{}, Connect: func(job.Target) holder.Connection { return p.conn }})
	e.rights = newRights(e)
	e.rights.mesh = mesh
	e.members = membership.New(membership.Options{Mesh: mesh, Peers: []membership.Peer{{Entry: "o", Zone: "y"}}, Across: p.across, Proved: e.rights.recordProof})
	e.handoverServer = handover.Serve(mesh, e.holder)
	e.handoverServer.OnOffer(e.members.Touch)
	e.handoverServer.RequireRights(e.rights)
	return e
}

// resume makes the entry run again.
func (p *pausableEntry) resume() {
	p.net.SetDelay(time.Millisecond)
	ctx, cancel := context.WithCancel(p.ctx)
	p.stopEntry = cancel
	go func() { _ = p.entry.members.Run(ctx) }()
	go func() { _ = p.entry.watchOwners(ctx) }()
}

// pause pauses the entry for d and resumes it. The entry reads the messages that arrived in
// the meantime before any of its timers fires; in a real entry either may come first.
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
	p.net.Crash("h")
	p.net.Crash("o")
	time.Sleep(10 * time.Second) // messages in transit are dropped
}

var (
	doneResult   = target.Result{Status: job.TaskDone}
	leaseExpired = target.Result{Status: job.TaskErred, Reason: job.TargetLost, Over: true}
)

// An entry that holds another entry's job is paused for three seconds. The owner can't reach
// it, considers it lost and has the job run elsewhere. Earlier messages of the owner stay
// unread in the meantime. When the entry resumes, it must not treat them as proof that the
// owner is alive and start the queued task in parallel with the second run: the studio would
// be billed twice.
func TestOwnerMessageFromBeforeAPauseStartsNothing(t *testing.T) {
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

// An entry that runs a job of its own caller is paused for three seconds. The target stops
// the run because nobody renews the lease, and the caller sends the job through another
// entry. When the entry resumes, it receives the end of the run. If it started the task
// again, the task would run in parallel with the other run.
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

// A pause that is short enough for callers to wait loses no work.
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
