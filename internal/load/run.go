package load

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

const (
	outcomeComplete  = string(job.Complete)
	outcomeRefused   = string(job.Refused)
	outcomeCancelled = string(job.Cancelled)

	// reasonNoAnswer means that the connection returned no answer.
	reasonNoAnswer = "no_answer"
	// reasonUnreadable means that the answer had no known form.
	reasonUnreadable = "unreadable"
)

// Timeouts of the load tool's own connections.
const (
	dialTimeout = 2 * time.Second
	// answerGrace is how long the load tool waits for an answer after the job's
	// deadline or, if that is longer, after Spec.Duration from the job's due
	// time. It is long enough for a system with a large backlog and short enough
	// for the run to end.
	answerGrace = 30 * time.Second
)

// Options sets where the load is sent.
type Options struct {
	// Entries are the caller addresses ("IP:PORT") of the entries. Jobs are spread
	// over them round-robin, as the load balancer does.
	Entries []string
	// Operators are the operator addresses of the entries, for the message
	// counters.
	Operators []string
	// Token is the operators' bearer token; none is sent if it is empty.
	Token string
	// Targets are the stand-ins whose counters are read before and after the run.
	Targets []string
	// AllowRemote permits addresses that are not loopback.
	AllowRemote bool
	// Policy is the name of the measured policy, for the report.
	Policy string
}

// Run sends the load and returns the measurements. If ctx ends, Run stops
// sending and returns the measurements so far.
func Run(ctx context.Context, spec Spec, opts Options) (Report, error) {
	if err := spec.Check(); err != nil {
		return Report{}, errors.Annotate(err, "mix")
	}
	if len(opts.Entries) == 0 {
		return Report{}, errors.NotValidf("a run without entries")
	}
	for _, list := range [][]string{opts.Entries, opts.Operators, opts.Targets} {
		if err := checkAddresses(list, opts.AllowRemote); err != nil {
			return Report{}, err
		}
	}
	r := newRunner(spec, opts)
	defer r.client.CloseIdleConnections()
	targetsBefore, counted := r.targetCounters(ctx)
	messagesBefore, _ := r.messageCounters(ctx)
	r.sendAll(ctx)
	targetsAfter, countedAfter := r.targetCounters(context.WithoutCancel(ctx))
	messagesAfter, messagesCounted := r.messageCounters(context.WithoutCancel(ctx))
	report := r.report()
	report.Checks.TargetsCounted = counted && countedAfter
	if report.Checks.TargetsCounted {
		report.Checks.Starts = targetsAfter.Starts - targetsBefore.Starts
		report.Checks.DoubledStarts = targetsAfter.DoubledStarts - targetsBefore.DoubledStarts
		report.Checks.UnexplainedStarts = max(0, int64(report.Checks.Starts)-r.collector.mayHaveRun)
	}
	report.Messages = messagesAfter.since(messagesBefore)
	report.Messages.Counted = messagesCounted
	return report, nil
}

func checkAddresses(list []string, allowRemote bool) error {
	for _, address := range list {
		at, err := netip.ParseAddrPort(address)
		if err != nil {
			return errors.NotValidf("address %q (IP:PORT)", address)
		}
		if !allowRemote && !at.Addr().IsLoopback() {
			return errors.NotValidf("address %s outside of loopback without permission to send load there", address)
		}
	}
	return nil
}

type runner struct {
	spec      Spec
	opts      Options
	prefix    string
	client    *http.Client
	collector *collector
	start     time.Time
	nextEntry atomic.Uint64
	inFlight  atomic.Int64
}

func newRunner(spec Spec, opts Options) *runner {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &runner{
		spec: spec,
		opts: opts,
		// Ids differ between runs, since an entry repeats its earlier answer for a
		// known id.
		prefix:    fmt.Sprintf("load-%x", time.Now().UnixNano()),
		collector: newCollector(&spec),
		client: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxInFlight,
			IdleConnTimeout:     answerGrace,
			DisableCompression:  true,
		}},
	}
}

// sendAll sends each job at its scheduled time, regardless of earlier answers.
func (r *runner) sendAll(ctx context.Context) {
	var answers sync.WaitGroup
	r.start = time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for a := range Schedule(&r.spec) {
		if wait := time.Until(r.start.Add(a.At)); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		if r.inFlight.Load() >= maxInFlight {
			r.collector.recordFault(&r.collector.checks.NotSent, fmt.Sprintf("job %d: %d jobs are already in flight", a.Number, maxInFlight))
			continue
		}
		r.inFlight.Add(1)
		answers.Go(func() {
			defer r.inFlight.Add(-1)
			r.runArrival(ctx, &a)
		})
	}
	answers.Wait()
}

// pickEntry returns the entries' addresses round-robin.
func (r *runner) pickEntry() string {
	return r.opts.Entries[int(r.nextEntry.Add(1)-1)%len(r.opts.Entries)]
}

// runArrival sends one job, waits for its answer and checks it. The answer time
// counts from the time that the job was due, not from when it was sent.
func (r *runner) runArrival(ctx context.Context, a *Arrival) {
	due := r.start.Add(a.At)
	r.collector.recordLag(time.Since(due))
	limit := due.Add(max(a.Stream.Deadline, r.spec.Duration) + answerGrace)
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	entry := r.pickEntry()
	if a.CancelAt > 0 {
		undo := time.AfterFunc(time.Until(r.start.Add(a.CancelAt)), func() { r.cancel(ctx, entry, a) })
		defer undo.Stop()
	}
	o := r.sendJob(ctx, entry, a)
	now := time.Now()
	o.arrival, o.took, o.ended = a, now.Sub(due), now.Sub(r.start)
	if a.Stream.Deadline > 0 && o.took > a.Stream.Deadline {
		o.late = true
	}
	r.collector.add(o)
}

func (r *runner) report() Report {
	g := r.collector
	g.mu.Lock()
	defer g.mu.Unlock()
	measured := r.spec.Duration - r.spec.Warmup
	report := Report{
		Mix: r.spec.Name, Policy: r.opts.Policy, Summary: r.spec.Summary(),
		Measured: measured, Slots: r.spec.Fleet.Capacity(),
		Total: g.total.summarize(measured), Hindsight: hindsight(&r.spec), Checks: g.checks,
		MaxLag: time.Duration(g.lag.Max()) * time.Microsecond,
		Lag99:  time.Duration(g.lag.ValueAtQuantile(99)) * time.Microsecond,
	}
	for key, group := range g.groups {
		if key.team == "" {
			report.Services = append(report.Services, group.summarize(measured))
		} else {
			report.Teams = append(report.Teams, group.summarize(measured))
		}
	}
	for _, list := range [][]Group{report.Services, report.Teams} {
		slices.SortFunc(list, func(a, b Group) int {
			return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Team, b.Team))
		})
	}
	return report
}
