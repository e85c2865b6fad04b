package runs

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/hedge"
	"github.com/vanillagrade/vanillagrade/internal/target"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

const (
	// DefaultLease is the longest lease that a target grants.
	DefaultLease = time.Second
	// pollWaitShare is the share of a lease for which a poll may wait at the target for an end.
	// Two polls and an answer fit into one lease, so that a single lost poll ends no run.
	pollWaitShare = 0.35
	// maxAnswerWait bounds the wait for an answer beyond the requested wait. A round trip takes
	// 3 ms at most, but an entry with a small share of a processor may itself pause for 100 ms.
	maxAnswerWait = 300 * time.Millisecond
	// clockDrift is the fraction by which a target's clock may be slow. leaseMargin covers the
	// transit time of a request and the rounding of clocks.
	clockDrift  = 0.02
	leaseMargin = 60 * time.Millisecond
	// unresponsivePollInterval is the delay between two polls of an unresponsive target.
	unresponsivePollInterval = 150 * time.Millisecond
	// strayPollInterval is the delay between two polls while stray runs are being stopped. A stop
	// takes 50 ms.
	strayPollInterval = 40 * time.Millisecond
	// maxRenumbers bounds how often a start gets a higher run number. renumberStep is the step:
	// larger than the number of attempts of any one owner.
	maxRenumbers = 4
	renumberStep = 16
	// maxStartRefusals bounds how often a start may be refused as fenced or late before it is
	// abandoned.
	maxStartRefusals = 4
	// minLease is the shortest lease with which a task is started: it covers the transit of the
	// request and a poll that extends the lease.
	minLease = 150 * time.Millisecond
	// stopTimeout is how long a run that has to end may go on if its stop requests get lost; the
	// target's lease is not extended beyond it. Callers turn to another entry 1.3 s after they
	// have disconnected. The difference covers clocks that differ and the time until the
	// disconnect is noticed.
	stopTimeout = 1100 * time.Millisecond
	// maxStopAttempts bounds the consecutive stop requests for one run. Later polls send further
	// ones.
	maxStopAttempts = 4
)

// Options configures a session.
type Options struct {
	Client TargetClient
	Target job.TargetID
	// StartedAt is when the target's process started, in Unix milliseconds; zero if it is unknown.
	StartedAt int64
	// Salt makes the epochs of two entries differ in their low bits.
	Salt uint16
	// Lease is the longest lease that the target grants; zero selects DefaultLease.
	Lease time.Duration
	// Gone is called once when another incarnation of the target is found at its address. Yielded
	// is called once when another entry has taken the target.
	Gone    func()
	Yielded func()
	// Ended is called when the target's process is found to have ended while runs of this session
	// were there: its machine refuses connections, or another process answers under its id. It may
	// be nil.
	Ended func()
	// Events receives each change of the target's holder and each expiry of a lease; nil discards
	// them.
	Events timeline.Sink
	Log    *slog.Logger
	// Calls counts the calls to targets; nil disables counting.
	Calls *Calls
}

// Calls counts the requests sent to targets, including copies. It is safe for concurrent use.
type Calls struct{ Starts, Polls, Stops atomic.Uint64 }

// Session sends requests to one target and renews its lease while any run of this entry is active
// there. It implements holder.Connection.
type Session struct {
	opts Options
	ctx  context.Context
	stop context.CancelFunc

	mu      sync.Mutex
	clock   clock
	answers answerTimes
	epoch   uint64
	// startedAt is when the target's process started, in Unix milliseconds; zero while it is
	// unknown. Answers to polls with an epoch below restartEpoch are about a former process.
	startedAt    int64
	restartEpoch uint64
	// lastSeenEnd is the number of the last end that was processed, lastAckedEnd the last one that
	// the target has received as acknowledged.
	lastSeenEnd, lastAckedEnd uint64
	runs                      map[Ref]*run
	// leaseExpiry is the time, by this entry's clock, at which the last requested lease has
	// certainly expired at the target.
	leaseExpiry time.Time
	// settled is set once the target obeys this entry's epoch and runs nothing that this entry
	// does not know. Nothing is started before that.
	settled bool
	ready   chan struct{}
	// unresponsive is set while the last poll got no answer. The lease is not renewed then, so
	// that it certainly expires while the target can't be polled.
	unresponsive bool
	// lastAnswer is when the target last answered a call. missedPolls counts the unanswered polls
	// since the last answered one. The target counts as lossy, that is, its requests get lost,
	// until lossyUntil. overtakenAt is when a start was last answered only at a later copy. losses
	// measures the share of lost calls.
	lastAnswer  time.Time
	missedPolls int
	lossyUntil  time.Time
	overtakenAt time.Time
	losses      hedge.Losses
	// deposed is set when another entry has taken the target. Runs left there are stopped, or end
	// with the lease, which is no longer renewed.
	deposed bool
	// epochAccepted is set once the target has accepted an epoch of this session. refusedEpochs
	// counts the epochs that it refused before.
	epochAccepted bool
	refusedEpochs int
	// connRefused is set while the target's machine refuses connections.
	connRefused bool
	// replaced is set when another incarnation of the target was found at its address.
	replaced bool
	closing  bool
	polling  bool
	// ackDelayed is set while the last acknowledgement to an idle target is delayed.
	ackDelayed bool
	// wake ends a delay of the poll loop. cancelPoll cancels a poll that waits for an end, and
	// pollCancelled records that this session cancelled it and the target did not fail.
	wake          chan struct{}
	cancelPoll    context.CancelFunc
	pollCancelled bool
}

// run is one started task.
type run struct {
	number int
	// confirmedAt is when the target was first known to have accepted the start.
	confirmedAt time.Time
	// doubtEpoch is the epoch claimed after the start got no answer. A poll under this epoch or a
	// higher one shows whether the start was carried out.
	doubtEpoch uint64
	stopping   bool
	// connBroken is set when the connection of the start broke before its answer.
	connBroken bool
	// restarted is set when the target's process was replaced since the start was requested,
	// acceptedBefore if the former process had accepted the start.
	restarted, acceptedBefore bool
	// timeLeft returns how long the run may go on; nil sets no bound. deadline is when the run
	// must be over once its stop was decided. Nothing that the owner reports later extends it.
	timeLeft func() time.Duration
	deadline time.Time
	// expected is how long the run is expected to take. paceTimer triggers its next pace check.
	// tooSlow is set when the run is stopped for being too slow.
	expected  time.Duration
	paceTimer *time.Timer
	tooSlow   bool
	percent   int
	done      chan target.Result
}

// NewSession opens a session. It polls the target at once to settle its epoch.
func NewSession(o Options) *Session {
	if o.Lease == 0 {
		o.Lease = DefaultLease
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Events == nil {
		o.Events = timeline.Discard{}
	}
	if o.Calls == nil {
		o.Calls = &Calls{}
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Session{opts: o, ctx: ctx, stop: stop, startedAt: o.StartedAt, runs: map[Ref]*run{}, ready: make(chan struct{}), wake: make(chan struct{}, 1)}
	s.mu.Lock()
	s.ensurePolling()
	s.mu.Unlock()
	return s
}

// Start implements holder.Connection. It returns when the run is over.
func (s *Session) Start(ctx context.Context, t target.Task) target.Result {
	begun := time.Now()
	res := s.start(ctx, t)
	res.Ran = time.Since(begun)
	return res
}

func (s *Session) start(ctx context.Context, t target.Task) target.Result {
	if refused, ok := s.awaitSettled(ctx); !ok {
		return refused
	}
	if t.Unwanted() {
		return target.CancelledBeforeSend()
	}
	ref := Ref{t.Submission, t.Index}
	r := &run{number: max(1, t.Run), percent: -1, expected: t.Expected, timeLeft: t.Left, done: make(chan target.Result, 1)}
	s.mu.Lock()
	switch {
	case s.replaced || s.deposed || s.ctx.Err() != nil:
		// The session has ended since it was settled, so nothing would learn the end of the run.
		s.mu.Unlock()
		return notStarted(target.Draining, "this entry no longer holds the target")
	case s.runs[ref] != nil:
		s.mu.Unlock()
		return notStarted(target.Busy, "an earlier run of the task still exists")
	}
	s.runs[ref] = r
	s.mu.Unlock()
	s.requestStart(ref, r, &t)
	return <-r.done
}

func (s *Session) isDeposed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deposed
}

// awaitSettled waits up to maxAnswerWait for a target that was just taken to settle.
func (s *Session) awaitSettled(ctx context.Context) (refused target.Result, ok bool) {
	s.mu.Lock()
	unresponsive, replaced, settled, ready := s.unresponsive, s.replaced, s.settled, s.ready
	s.mu.Unlock()
	switch {
	case replaced || s.isDeposed():
		return notStarted(target.Draining, "this entry no longer holds the target"), false
	case unresponsive:
		return notStarted(target.Unreachable, "the target does not answer"), false
	case settled:
		return target.Result{}, true
	}
	timer := time.NewTimer(maxAnswerWait)
	defer timer.Stop()
	select {
	case <-ready:
		return target.Result{}, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return notStarted(target.Unreachable, "the target has not answered yet"), false
}

// claimEpoch claims an epoch above all epochs of this entry and of earlier holders. Epochs derive
// from the target's own clock, so they grow from holder to holder without any agreement, even
// while no voter is up. The caller holds the lock.
func (s *Session) claimEpoch() {
	s.epoch = max(s.epoch+epochStep, s.clock.epoch(time.Now(), s.startedAt, s.opts.Salt))
	s.settled = false
	s.resetReady()
}

// raiseEpoch raises the epoch of a target that stays settled, because its runs were started by
// this session. One step goes above the epoch of this session's own requests but stays below the
// epoch of an entry that has taken the target in the meantime. A higher epoch would take the
// target back from that entry. The caller holds the lock.
func (s *Session) raiseEpoch() { s.epoch += epochStep }

func (s *Session) resetReady() {
	select {
	case <-s.ready:
		s.ready = make(chan struct{})
	default:
	}
}

// outdated reports whether a request was refused only because this entry has claimed a newer epoch
// since. Otherwise another entry has taken the target, and the session yields.
func (s *Session) outdated(refused uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != refused {
		return !s.deposed
	}
	s.yield()
	return false
}

// record records an event that concerns the whole target.
func (s *Session) record(kind timeline.Kind, format string, args ...any) {
	s.opts.Events.Record(timeline.Event{Kind: kind, Target: s.opts.Target, Cause: fmt.Sprintf(format, args...)})
}

// yield leaves the target to the entry that has taken it, which has the more recent information.
// Two entries that kept taking the target from each other would each stop the runs of the other.
// The caller holds the lock.
func (s *Session) yield() {
	if s.deposed {
		return
	}
	s.deposed = true
	s.record(timeline.TargetYielded, "the target has seen a higher epoch than %d; %d runs", s.epoch, len(s.runs))
	s.ensurePolling()
	if s.opts.Yielded != nil {
		go s.opts.Yielded()
	}
}

// Close implements holder.Connection. The session ends when it has no runs left.
func (s *Session) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	if len(s.runs) == 0 {
		s.stop()
		s.opts.Client.Close()
	}
}

// Progress returns the share of a task's work that is done, in percent, or -1 while the target has
// not reported it.
func (s *Session) Progress(submission job.ID, index int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runs[Ref{submission, index}]; r != nil {
		return r.percent
	}
	return -1
}

// Accepted reports whether the target is known to have accepted the start of a task that still
// counts as running.
func (s *Session) Accepted(submission job.ID, index int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runs[Ref{submission, index}]
	return r != nil && r.accepted()
}

// accepted reports whether a process of the target is known to have accepted the start.
func (r *run) accepted() bool { return r.acceptedBefore || !r.confirmedAt.IsZero() }

// endRun delivers the end of a run.
func (s *Session) endRun(ref Ref, r *run, res target.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endRunLocked(ref, r, res)
}

// endRunLocked delivers the end of a run once. The caller holds the lock.
func (s *Session) endRunLocked(ref Ref, r *run, res target.Result) {
	if s.runs[ref] != r {
		return
	}
	delete(s.runs, ref)
	if r.paceTimer != nil {
		r.paceTimer.Stop()
	}
	r.done <- res
	if s.closing && len(s.runs) == 0 {
		s.stop()
		s.opts.Client.Close()
	}
}

func (s *Session) updateClock(clockMillis int64) {
	if clockMillis == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock.update(time.Now(), clockMillis)
}

func notStarted(refusal target.Refusal, detail string) target.Result {
	return target.Result{Status: job.TaskNotStarted, Reason: job.TargetRefused, Refusal: refusal, Detail: detail}
}

// lostWithTarget returns the result of a run that was lost with its target, which is known to have
// ended or was unresponsive for too long. The target may have ended before a start that it did not
// answer, so such a run does not count as its cause unless the connection broke meanwhile.
func (r *run) lostWithTarget(detail string, ended bool) target.Result {
	res := erred(job.TargetLost, detail, true)
	switch {
	case r.accepted():
		res.TargetEnded, res.TargetSilent = ended, !ended
	case r.connBroken:
		res.TargetSilent = true
	}
	return res
}

// erred returns the result of a run that ended without an outcome of its task. over means that the
// run is proven to have ended.
func erred(reason job.Reason, detail string, over bool) target.Result {
	return target.Result{Status: job.TaskErred, Reason: reason, Detail: detail, Over: over}
}
