package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// sizedKind is a kind of job whose tasks need a large part of a target each.
type sizedKind struct {
	group     string
	perSecond float64
	tasks     int
	run       time.Duration
}

// renderMix is the workload of a render farm on the 16 targets of one zone, which
// hold about 37 tasks: 26 slots are busy on average.
var renderMix = []sizedKind{
	{"thumb", 11.5, 8, 60 * time.Millisecond},
	{"preview", 2.1, 4, 900 * time.Millisecond},
	{"proxy", 33, 2, 200 * time.Millisecond},
}

const (
	mixStretch = 1.6
	mixSlack   = 60 * time.Millisecond
)

// sizedLoad generates arrivals of the given kinds. From begin to end, their rate is
// multiplied by factor.
func sizedLoad(seed uint64, kinds []sizedKind, until, begin, end time.Duration, factor float64) []arrival {
	var out []arrival
	for i, k := range kinds {
		r := rand.New(rand.NewPCG(uint64(i), seed))
		for at := time.Duration(0); at < until; {
			rate := k.perSecond
			if at >= begin && at < end {
				rate *= factor
			}
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			out = append(out, sizedJob(k, at, r))
		}
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	return out
}

func sizedJob(k sizedKind, at time.Duration, r *rand.Rand) arrival {
	spread := func(mean, by float64) float64 { return mean * math.Exp(by*r.NormFloat64()) }
	run := time.Duration(spread(float64(k.run), 0.4))
	a := arrival{
		group: k.group, at: at, service: k.group, stretch: mixStretch, slack: mixSlack,
		declared: time.Duration(spread(float64(run), 0.3)),
		millis:   min(20000, int(spread(14000, 0.2))),
	}
	for range max(1, int(spread(float64(k.tasks), 0.4))) {
		a.runs = append(a.runs, time.Duration(spread(float64(run), 0.15)))
	}
	return a
}

// sizedSim simulates one zone of the render farm: the targets of rack r1 are 1.5 times
// as large as the others, and the targets differ in speed.
func sizedSim(opts Options) *sim {
	speeds := []float64{1.25, 1, 0.8}
	workers := map[int]worker{}
	for i := range 16 {
		speed := speeds[i%3]
		workers[i] = worker{slowdown: func(time.Duration) float64 { return speed }}
	}
	s := newSim(opts, 16, 8, workers)
	for id, t := range s.pool.targets {
		announced := t.announced
		if announced.Rack == "r1" {
			announced.Processors = 48
		}
		announced.ID = id
		s.pool.SetTarget(epoch, announced)
	}
	return s
}

// credit is the mean value of the answers to a group's callers: 1 for an answer within
// the objective, 0.2 for one within job.UsefulFactor times the objective, 0 otherwise.
func credit(s *sim, group string) float64 {
	sum, n := 0.0, 0
	for _, a := range s.answers {
		if group != "" && a.arrival.group != group {
			continue
		}
		n++
		within := mixSlack + time.Duration(mixStretch*float64(slices.Max(a.arrival.runs)))
		switch {
		case a.outcome != job.Complete:
		case a.after <= within:
			sum++
		case a.after <= job.UsefulFactor*within:
			sum += 0.2
		}
	}
	return sum / float64(max(1, n))
}

// Half of all start requests are lost, for every target alike. Targets that answer
// must keep getting as many tasks as they have slots. Guards against targets that are
// quarantined for each loss: they would run one task at a time, and callers would be
// refused while targets are idle. A single target that answers no start request is
// quarantined, since it looks idle and would attract all tasks.
func TestLostStartsQuarantineNoTarget(t *testing.T) {
	lost := Result{Status: job.TaskNotStarted, Unanswered: true}
	p := smallPool(4, 2)
	now := 0
	for round := range 40 {
		qt.Assert(t, p.Offer(at(now), batchOf(fmt.Sprint("j", round), "thumb", 8)).Accepted, qt.IsTrue)
		started := p.Next(at(now)).Starts
		qt.Assert(t, started, qt.HasLen, 8, qt.Commentf("round %d", round))
		for i, s := range started {
			if (i+round)%2 == 0 {
				p.Finished(at(now+120), s.Key, lost)
			} else {
				p.Finished(at(now+60), s.Key, ranFor(60*time.Millisecond))
			}
		}
		now += 200
	}
	p = smallPool(4, 2)
	for round := range 12 {
		p.Offer(at(now), batchOf(fmt.Sprint("k", round), "thumb", 8))
		for _, s := range p.Next(at(now)).Starts {
			if s.Target == "w00" {
				p.Finished(at(now+120), s.Key, lost)
			} else {
				p.Finished(at(now+60), s.Key, ranFor(60*time.Millisecond))
			}
		}
		p.Cancel(at(now+130), owner, job.ID(fmt.Sprint("k", round)))
		now += 200
	}
	qt.Assert(t, p.targets["w00"].health.Quarantined(), qt.IsTrue)
}

// One task of a job is queued again because its target never answered. Its sibling is
// done, and the job can no longer meet its objective. The task must start before jobs
// that have not started. Guards against a task that, under load, waits behind them
// until its answer is no longer useful, so that the work already done is lost.
func TestJobWithResultsGoesFirst(t *testing.T) {
	timed := func(id string, n int) *job.Batch {
		b := batchOf(id, "thumb", n)
		b.Stretch, b.Slack = mixStretch, mixSlack
		for i := range b.Tasks {
			b.Tasks[i].RunMillis = 60
		}
		return b
	}
	p := smallPool(2, 1)
	qt.Assert(t, p.Offer(epoch, timed("begun", 2)).Accepted, qt.IsTrue)
	started := p.Next(epoch).Starts
	qt.Assert(t, started, qt.HasLen, 2)
	p.Finished(at(60), started[0].Key, ranFor(60*time.Millisecond))
	qt.Assert(t, p.Offer(at(60), timed("fills", 1)).Accepted, qt.IsTrue)
	fills := p.Next(at(60)).Starts
	qt.Assert(t, fills, qt.HasLen, 1)
	qt.Assert(t, p.Offer(at(190), timed("fresh", 1)).Accepted, qt.IsTrue)
	qt.Assert(t, p.Retry(at(200), started[1].Key, Result{Status: job.TaskNotStarted}), qt.IsTrue)
	qt.Assert(t, p.Next(at(200)).Starts, qt.HasLen, 0) // the target that did not answer gets no task yet
	p.Finished(at(210), fills[0].Key, ranFor(150*time.Millisecond))
	next := p.Next(at(210)).Starts
	qt.Assert(t, next, qt.HasLen, 1)
	qt.Assert(t, next[0].Submission, qt.Equals, job.ID("begun"))
}

// For four seconds, the load is 1.5 times the capacity of the pool. Served in order of
// arrival, nearly all answers are late, also for seconds after the burst. With capacity
// counted in slots, the pool admits three times the work that it can do.
func TestObjectivesInABurst(t *testing.T) {
	play := func(opts Options) *sim {
		s := sizedSim(opts)
		s.run(sizedLoad(5, renderMix, 16*time.Second, 4*time.Second, 8*time.Second, 2.1))
		return s
	}
	with := play(Options{})
	for _, off := range []struct {
		name string
		opts Options
		gain float64
	}{
		{"without objectives", Options{NoObjectives: true}, 0.05},
		{"without sizes", Options{NoSizes: true}, 0},
		{"first come first served", Baseline(), 0.2},
	} {
		without := play(off.opts)
		t.Logf("%-24s credit %.3f, with all %.3f", off.name, credit(without, ""), credit(with, ""))
		qt.Check(t, credit(with, "") > credit(without, "")+off.gain, qt.IsTrue, qt.Commentf("%s", off.name))
	}
	for _, k := range renderMix {
		t.Logf("%-8s credit %.3f", k.group, credit(with, k.group))
		qt.Check(t, credit(with, k.group) > 0.5, qt.IsTrue, qt.Commentf("%s is starved", k.group))
	}
}

// The pool is overloaded for a minute. Jobs that can't be answered in time must be
// refused with a retry delay, and no job may be kept after its answer is no longer
// useful.
func TestObjectivesUnderLongOverload(t *testing.T) {
	s := sizedSim(Options{})
	s.run(sizedLoad(5, renderMix, time.Minute, 0, time.Minute, 2))
	refused := 0
	for _, a := range s.answers {
		within := mixSlack + time.Duration(mixStretch*float64(slices.Max(a.arrival.runs)))
		if a.outcome != job.Refused {
			qt.Assert(t, a.after < 6*within, qt.IsTrue, qt.Commentf("held for %v of an objective of %v", a.after, within))
			continue
		}
		refused++
		qt.Assert(t, a.retry > 0, qt.IsTrue)
	}
	t.Logf("credit %.3f, %d of %d refused at once", credit(s, ""), refused, len(s.answers))
	qt.Assert(t, credit(s, "") > 0.4, qt.IsTrue)
}

// Some tasks need more than half of a target. Guards against placement on the least
// occupied target, which can leave a gap on each of two targets into which no such
// task fits.
func TestPlacementAvoidsFragmentation(t *testing.T) {
	p := New("p", 1)
	p.Configure(epoch, testFile())
	for _, id := range []job.TargetID{"a", "b"} {
		p.SetTarget(epoch, job.Target{ID: id, Slots: 8, Connections: 64, Processors: 32, MemoryMB: 64000})
	}
	place := func(id job.ID, millis int) job.TargetID {
		spec := job.TaskSpec{MilliProcessors: millis, RunMillis: 100}
		v := p.Offer(epoch, &job.Batch{Submission: id, Service: "thumbnails", Tasks: []job.BatchTask{{TaskSpec: spec}}})
		qt.Assert(t, v.Accepted, qt.IsTrue, qt.Commentf("%s: %s", id, v.Detail))
		d := p.Next(epoch)
		if len(d.Starts) == 0 {
			return ""
		}
		return d.Starts[0].Target
	}
	first := place("j1", 12000)
	second := place("j2", 12000)
	qt.Assert(t, first != "" && second != "", qt.IsTrue)
	third := place("j3", 20000)
	fourth := place("j4", 20000)
	qt.Assert(t, third != "" && fourth != "", qt.IsTrue, qt.Commentf("the large tasks fit no target"))
}

// Tasks of five seconds occupy all slots and the queue is empty when a job of 100 ms arrives.
// Its caller must receive a refusal with a retry delay on arrival, not after its answer has
// become useless.
func TestJobBehindLongTasksIsRefusedAtOnce(t *testing.T) {
	timed := func(id string, n int, run time.Duration) *job.Batch {
		b := batchOf(id, "thumb", n)
		b.Stretch, b.Slack = mixStretch, mixSlack
		for i := range b.Tasks {
			b.Tasks[i].RunMillis = run.Milliseconds()
			b.Tasks[i].Kind = fmt.Sprint(run)
		}
		return b
	}
	play := func(opts Options) Admission {
		p := NewWith("render", 1, opts)
		p.Configure(epoch, testFile())
		p.SetTarget(epoch, job.Target{ID: "w", Slots: 2, Connections: 64})
		qt.Assert(t, p.Offer(epoch, timed("long", 2, 5*time.Second)).Accepted, qt.IsTrue)
		qt.Assert(t, p.Next(epoch).Starts, qt.HasLen, 2)
		return p.Offer(at(10), timed("short", 1, 100*time.Millisecond))
	}
	v := play(Options{})
	qt.Assert(t, v.Accepted, qt.IsFalse)
	qt.Assert(t, v.Reason, qt.Equals, job.Overloaded)
	qt.Assert(t, v.RetryAfter > 4*time.Second, qt.IsTrue, qt.Commentf("%v", v.RetryAfter))
	qt.Assert(t, play(Options{NoEndEstimates: true}).Accepted, qt.IsTrue)
}
