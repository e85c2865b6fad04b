package scheduler

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// The harness simulates one pool in virtual time. Its input is a list of arrivals
// and the speed and failures of each target; its output is the answer to each caller.

// arrival is one job with the actual run times of its tasks.
type arrival struct {
	group    string
	at       time.Duration
	team     string
	service  string
	deadline time.Duration
	runs     []time.Duration
	declared time.Duration
	kind     string
	cancelAt time.Duration // after its arrival; zero: never
	poison   bool          // fails on every target
	millis   int           // size of each task, in thousandths of a processor
	stretch  float64       // with slack, the latency objective; zero: none
	slack    time.Duration
}

// worker is the actual behaviour of a target.
type worker struct {
	slowdown func(at time.Duration) float64
	fails    func(at time.Duration) bool
}

// answer is what one caller received.
type answer struct {
	arrival *arrival
	outcome job.Outcome
	reason  job.Reason
	after   time.Duration
	retry   time.Duration
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

type running struct {
	arrival *arrival
	left    int
	began   time.Time
	done    bool
}

type sim struct {
	pool           *Pool
	now            time.Time
	queue          events
	seq            int
	workers        map[job.TargetID]worker
	jobs           map[job.ID]*running
	answers        []answer
	starts         int
	startsByTarget map[job.TargetID]int
	slots          int
	wake           time.Time
	memory         int // of each task
	onStart        func(Start)
}

func newSim(opts Options, targets, slots int, workers map[int]worker) *sim {
	s := &sim{
		pool: NewWith("render", 7, opts), now: epoch, workers: map[job.TargetID]worker{},
		jobs: map[job.ID]*running{}, startsByTarget: map[job.TargetID]int{}, slots: targets * slots,
	}
	s.pool.Configure(epoch, testFile())
	for i := range targets {
		id := job.TargetID(fmt.Sprintf("w%02d", i))
		s.workers[id] = workers[i]
		s.pool.SetTarget(epoch, job.Target{ID: id, Slots: slots, Connections: 64, Processors: 32, MemoryMB: 64000, Rack: fmt.Sprint("r", i/8)})
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.seq, do: do})
}

// run simulates all arrivals until no event is left.
func (s *sim) run(arrivals []arrival) []answer {
	for i := range arrivals {
		a := &arrivals[i]
		s.after(a.at, func() { s.arrive(a, job.ID(fmt.Sprint("j", i))) })
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
		s.next()
	}
	return s.answers
}

func (s *sim) arrive(a *arrival, id job.ID) {
	b := &job.Batch{Owner: owner, Submission: id, Team: a.team, Service: a.service, Remaining: a.deadline, Stretch: a.stretch, Slack: a.slack}
	for i := range a.runs {
		b.Tasks = append(b.Tasks, job.BatchTask{Index: i, TaskSpec: job.TaskSpec{Kind: a.kind, RunMillis: a.declared.Milliseconds(), MemoryMB: s.memory, MilliProcessors: a.millis}})
	}
	v := s.pool.Offer(s.now, b)
	if !v.Accepted {
		s.answers = append(s.answers, answer{arrival: a, outcome: job.Refused, reason: v.Reason, retry: v.RetryAfter})
		return
	}
	s.jobs[id] = &running{arrival: a, left: len(a.runs), began: s.now}
	if a.cancelAt > 0 {
		s.after(a.cancelAt, func() { s.end(id, job.Cancelled, job.CancelledByCall) })
	}
}

func (s *sim) end(id job.ID, o job.Outcome, r job.Reason) {
	j := s.jobs[id]
	if j.done {
		return
	}
	j.done = true
	s.answers = append(s.answers, answer{arrival: j.arrival, outcome: o, reason: r, after: s.now.Sub(j.began)})
	if o != job.Complete {
		s.pool.Cancel(s.now, owner, id)
	}
}

func (s *sim) next() {
	d := s.pool.Next(s.now)
	for _, x := range d.Expired {
		s.end(x.Submission, job.Failed, x.Reason)
	}
	for _, x := range d.Starts {
		s.begin(x)
	}
	if !d.Wake.IsZero() && !d.Wake.Equal(s.wake) {
		s.wake = d.Wake
		s.after(d.Wake.Sub(s.now), func() {})
	}
}

func (s *sim) begin(x Start) {
	j := s.jobs[x.Submission]
	w := s.workers[x.Target]
	at := s.now.Sub(epoch)
	run := j.arrival.runs[x.Index]
	s.starts++
	if s.onStart != nil {
		s.onStart(x)
	}
	s.startsByTarget[x.Target]++
	if j.arrival.poison || w.fails != nil && w.fails(at) {
		s.after(2*time.Millisecond, func() {
			s.pool.Finished(s.now, x.Key, Result{Ran: 2 * time.Millisecond, Status: job.TaskErred, Reason: job.TaskFailed})
			s.end(x.Submission, job.Failed, job.TaskFailed)
		})
		return
	}
	if w.slowdown != nil {
		run = time.Duration(float64(run) * w.slowdown(at))
	}
	s.after(run, func() {
		s.pool.Finished(s.now, x.Key, Result{Ran: run, Status: job.TaskDone})
		j.left--
		if j.left == 0 {
			s.end(x.Submission, job.Complete, "")
		}
	})
}

// ideal returns the time that a job takes on an idle pool of healthy targets.
func (s *sim) ideal(a *arrival) time.Duration {
	var sum, longest time.Duration
	for _, r := range a.runs {
		sum += r
		longest = max(longest, r)
	}
	return max(longest, sum/time.Duration(s.slots))
}

// summary aggregates the answers to the callers of one group.
type summary struct {
	sent, complete, inTime, refused, failed int
	lowStretch                              int // completed with a stretch below 1.5
	p50, p99, p999                          float64
	useful                                  time.Duration // run time of jobs answered in time
}

func (s *sim) summary(group string, from, to time.Duration) summary {
	var f summary
	var stretch []float64
	for _, a := range s.answers {
		if group != "" && a.arrival.group != group || a.arrival.at < from || a.arrival.at >= to {
			continue
		}
		f.sent++
		switch a.outcome {
		case job.Complete:
			f.complete++
			x := a.after.Seconds() / s.ideal(a.arrival).Seconds()
			stretch = append(stretch, x)
			if x < 1.5 {
				f.lowStretch++
			}
			if a.arrival.deadline == 0 || a.after <= a.arrival.deadline {
				f.inTime++
				for _, r := range a.arrival.runs {
					f.useful += r
				}
			}
		case job.Refused:
			f.refused++
		default:
			f.failed++
		}
	}
	slices.SortFunc(stretch, cmp.Compare[float64])
	f.p50, f.p99, f.p999 = quantile(stretch, 0.5), quantile(stretch, 0.99), quantile(stretch, 0.999)
	return f
}

func quantile(sorted []float64, fraction float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))]
}

func (f summary) String() string {
	return fmt.Sprintf("stretch p50 %.2f p99 %.2f p99.9 %.2f; %d sent, %d in time, %d refused, %d failed",
		f.p50, f.p99, f.p999, f.sent, f.inTime, f.refused, f.failed)
}

// load is a Poisson stream of jobs.
type load struct {
	group, team, service string
	kind                 string
	from, until          time.Duration
	tasksPerSecond       float64
	tasks                int
	run                  func(*rand.Rand) time.Duration
	deadline             time.Duration
	declared             func(run time.Duration) time.Duration
}

func (l load) arrivals(seed uint64) []arrival {
	r := rand.New(rand.NewPCG(seed, 99))
	var out []arrival
	at := l.from
	for {
		at += time.Duration(r.ExpFloat64() * float64(l.tasks) / l.tasksPerSecond * float64(time.Second))
		if at >= l.until {
			return out
		}
		a := arrival{group: l.group, at: at, team: l.team, service: l.service, deadline: l.deadline, kind: l.kind}
		for range l.tasks {
			a.runs = append(a.runs, l.run(r))
		}
		if l.declared != nil {
			a.declared = l.declared(a.runs[0])
		}
		out = append(out, a)
	}
}

func mergeLoads(loads ...load) []arrival {
	var out []arrival
	for i, l := range loads {
		out = append(out, l.arrivals(uint64(i+1))...)
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return out
}

// logUniform draws run times that are uniform on a logarithmic scale.
func logUniform(low, high time.Duration) func(*rand.Rand) time.Duration {
	return func(r *rand.Rand) time.Duration {
		return time.Duration(float64(low) * math.Pow(float64(high)/float64(low), r.Float64()))
	}
}

// variant is a set of options with which a load pattern runs.
type variant struct {
	name string
	opts Options
}

// compare runs a load pattern with every policy enabled, with the given ones
// disabled and, with -v, with the baseline. It logs the results.
func compare(t *testing.T, off Options, play func(Options) summary) (on, without, baseline summary) {
	t.Helper()
	rows := []variant{{"all decisions", Options{}}, {"without this one", off}, {"baseline", Baseline()}}
	var out [3]summary
	if !testing.Verbose() {
		rows = rows[:2]
	}
	for i, v := range rows {
		out[i] = play(v.opts)
		t.Logf("%-17s %v", v.name, out[i])
	}
	return out[0], out[1], out[2]
}
