package replay

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/bound"
	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
)

// kind describes the arrival rate, size and objective of one kind of jobs.
type kind struct {
	name      string
	perSecond float64 // over all zones
	meanTasks float64
	meanRun   time.Duration
	stretch   float64
	// declaredError is the spread of the declared run time: the standard deviation of the
	// logarithm of its ratio to the real one.
	declaredError float64
	// priority is the priority of the service.
	priority int
}

const (
	usualStretch       = 1.6
	usualSlack         = 60 * time.Millisecond
	usualDeclaredError = 0.4
	// usefulFactor is how many times its objective an answer may take and still be useful.
	usefulFactor = 3
	// lateCredit is the fraction of its value that a late but still useful answer earns.
	lateCredit = 0.2
)

// bookingKinds is a mix of short, medium and long tasks. Each task needs two fifths of a
// small target. The mix uses 70% of the capacity of defaultSite.
func bookingKinds() []kind {
	return []kind{
		{"check", 34.4, 8, 60 * time.Millisecond, usualStretch, usualDeclaredError, 0},
		{"permit", 6.25, 4, 900 * time.Millisecond, usualStretch, usualDeclaredError, 0},
		{"hold", 100, 2, 200 * time.Millisecond, usualStretch, usualDeclaredError, 0},
	}
}

func (k *kind) service() config.Service {
	return config.Service{Name: k.name, Pool: poolName, Urgency: job.UrgencyInteractive, Stretch: k.stretch, Slack: usualSlack, Attempts: 3, Priority: k.priority}
}

// arrival is one job with the actual run times of its tasks.
type arrival struct {
	id          job.ID
	kind        *kind
	zone        int
	at          time.Duration
	runs        []time.Duration
	declaredRun time.Duration
	millis      int
	// crashing marks a job whose first task crashes each target on which it runs.
	crashing bool
}

// objective is the time within which the answer earns full credit.
func (a *arrival) objective() time.Duration {
	return time.Duration(a.kind.stretch*float64(slices.Max(a.runs))) + usualSlack
}

// waitLimit is how long the caller waits.
func (a *arrival) waitLimit() time.Duration {
	return max(1500*time.Millisecond, usefulFactor*a.objective())
}

func (a *arrival) tasks() []job.TaskSpec {
	payload, _ := json.Marshal(a.millis)
	out := make([]job.TaskSpec, len(a.runs))
	for i := range out {
		out[i] = job.TaskSpec{Payload: payload, RunMillis: a.declaredRun.Milliseconds(), MilliProcessors: a.millis, MemoryMB: 64}
	}
	return out
}

func sizeOf(payload []byte) int {
	n, _ := strconv.Atoi(string(payload))
	return n
}

// traffic describes how arrivals are generated.
type traffic struct {
	seed  uint64
	kinds []kind
	// zones are the weights by which arrivals are distributed over zones.
	zones []float64
	until time.Duration
	// factor returns the multiple of the usual arrival rate at a given time.
	factor func(at time.Duration) float64
	millis float64
}

func constantFactor(x float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return x }
}

const usualMillis = 6800

func (l traffic) arrivals() []arrival {
	if l.zones == nil {
		l.zones = []float64{1, 1, 1}
	}
	if l.millis == 0 {
		l.millis = usualMillis
	}
	var out []arrival
	for i := range l.kinds {
		r := rand.New(rand.NewPCG(uint64(i), l.seed))
		for at := time.Duration(0); ; {
			at += time.Duration(r.ExpFloat64() / (l.kinds[i].perSecond * l.factor(at)) * float64(time.Second))
			if at >= l.until {
				break
			}
			out = append(out, l.draw(&l.kinds[i], at, r))
		}
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	for i := range out {
		out[i].id = job.ID(fmt.Sprint("j", i))
	}
	return out
}

func (l *traffic) draw(k *kind, at time.Duration, r *rand.Rand) arrival {
	spread := func(mean, by float64) float64 { return mean * math.Exp(by*r.NormFloat64()) }
	run := time.Duration(spread(float64(k.meanRun), 0.4))
	a := arrival{
		kind: k, at: at, zone: draw(l.zones, r),
		declaredRun: time.Duration(spread(float64(run), k.declaredError)),
		millis:      min(int(1.5*l.millis), int(spread(l.millis, 0.2))),
	}
	for range max(1, int(math.Round(spread(k.meanTasks, 0.4)))) {
		a.runs = append(a.runs, time.Duration(spread(float64(run), 0.15)))
	}
	return a
}

func draw(weights []float64, r *rand.Rand) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := r.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// metrics summarises what callers received.
type metrics struct {
	credit float64 // mean of the kinds
	kinds  map[string]float64
	zones  []float64
	// large is the credit of the largest tenth of each kind.
	large map[string]float64
	// refused counts jobs that were answered "not run" at once, and refusedWithCapacity
	// those of them that would have fitted on the targets as a whole. abandoned counts
	// jobs that were answered "not run" after a wait, uncertain those that were answered
	// "may have run".
	refused, refusedWithCapacity, abandoned, uncertain, sent int
	plan, fluid                                              float64
	even                                                     map[string]float64
	// utilisation is the fraction of the capacity that was used while jobs arrived.
	utilisation float64
}

// immediateRefusal is how long a refusal may take to count as immediate.
const immediateRefusal = 50 * time.Millisecond

// capacity returns how many tasks of a size the site runs at once, weighted by the speed of
// the targets.
func (f *fleet) capacity(millis float64) float64 {
	sum := 0.0
	for n := range f.site.zones * f.site.targets {
		speed := f.speeds[n/len(f.processors)%len(f.speeds)]
		sum += math.Floor(1000*float64(f.processors[n%len(f.processors)])/millis) / speed
	}
	return sum
}

// meanMillis returns the mean size of a task in thousandths of a processor.
func (f *fleet) meanMillis() float64 {
	if f.site.millis > 0 {
		return f.site.millis
	}
	return usualMillis
}

// utilisation returns the fraction of the capacity that was used until the last arrival.
func (f *fleet) utilisation() float64 {
	capacity, last := 0, time.Duration(0)
	for n := range f.site.zones * f.site.targets {
		capacity += 1000 * f.processors[n%len(f.processors)] / int(f.meanMillis())
	}
	for _, a := range f.answers {
		last = max(last, a.arrival.at)
	}
	return f.busy.Seconds() / (float64(capacity) * last.Seconds())
}

func (f *fleet) metrics() metrics {
	out := metrics{kinds: map[string]float64{}, zones: make([]float64, f.site.zones)}
	perZone := make([]float64, f.site.zones)
	values := f.values()
	jobs := make([]bound.Job, 0, len(f.answers))
	for i, a := range f.answers {
		value := values[i]
		jobs = append(jobs, bound.Job{Arrived: a.arrival.at, Within: a.arrival.objective(), Runs: a.arrival.runs, Value: value, Kind: a.arrival.kind.name})
		perZone[a.arrival.zone] += value
		c := a.credit()
		out.credit += c * value
		out.kinds[a.arrival.kind.name] += c * value * float64(len(f.kinds))
		out.zones[a.arrival.zone] += c * value
		out.count(&a)
	}
	for z := range out.zones {
		out.zones[z] /= max(perZone[z], 1e-9)
	}
	out.large = f.large()
	out.utilisation = f.utilisation()
	capacity := f.capacity(f.meanMillis())
	out.fluid = bound.FractionalBound(jobs, capacity)
	_, out.plan = bound.GreedyPlan(jobs, int(capacity))
	out.even = bound.FairShares(jobs, int(capacity))
	return out
}

// The value of a job is baseValue plus a share in proportion to its work. A job with the
// mean work of its kind has the value 1; maxValue is the limit.
const (
	baseValue = 0.3
	maxValue  = 4
)

func (a *arrival) work() float64 {
	sum := 0.0
	for _, r := range a.runs {
		sum += r.Seconds()
	}
	return sum
}

// values returns the value of each answered job. All kinds have the same total value, and
// the values add up to 1.
func (f *fleet) values() []float64 {
	work, count, sum := map[string]float64{}, map[string]float64{}, map[string]float64{}
	for _, a := range f.answers {
		work[a.arrival.kind.name] += a.arrival.work()
		count[a.arrival.kind.name]++
	}
	out := make([]float64, len(f.answers))
	for i, a := range f.answers {
		k := a.arrival.kind.name
		out[i] = min(maxValue, baseValue+(1-baseValue)*a.arrival.work()/(work[k]/count[k]))
		sum[k] += out[i]
	}
	for i, a := range f.answers {
		out[i] /= sum[a.arrival.kind.name] * float64(len(sum))
	}
	return out
}

// large returns the credit of the largest tenth of each kind.
func (f *fleet) large() map[string]float64 {
	byKind := map[string][]answer{}
	for _, a := range f.answers {
		byKind[a.arrival.kind.name] = append(byKind[a.arrival.kind.name], a)
	}
	out := map[string]float64{}
	for k, answers := range byKind {
		slices.SortFunc(answers, func(a, b answer) int { return cmp.Compare(b.arrival.work(), a.arrival.work()) })
		answers = answers[:max(1, len(answers)/10)]
		for i := range answers {
			out[k] += answers[i].credit() / float64(len(answers))
		}
	}
	return out
}

func (a *answer) credit() float64 {
	switch {
	case a.Outcome != job.Complete || a.after > usefulFactor*a.arrival.objective():
		return 0
	case a.after <= a.arrival.objective():
		return 1
	}
	return lateCredit
}

func (f *metrics) count(a *answer) {
	f.sent++
	switch {
	case a.Outcome == job.Complete:
	case !a.Run.Proven():
		f.uncertain++
	case a.after > immediateRefusal:
		f.abandoned++
	default:
		f.refused++
		if a.freeCapacity >= len(a.arrival.runs) {
			f.refusedWithCapacity++
		}
	}
}

// evenPlanMean is the credit of the plan that serves all kinds equally.
func (f *metrics) evenPlanMean() float64 {
	sum := 0.0
	for _, v := range f.even {
		sum += v
	}
	return sum / float64(max(1, len(f.even)))
}

// waitedInVain is how many callers waited but received no result.
func (f *metrics) waitedInVain() int { return f.abandoned + f.uncertain }

// add adds one of n simulations to a mean. Counts are summed instead.
func (f *metrics) add(x *metrics, n float64) {
	if f.kinds == nil {
		f.kinds, f.large, f.even = map[string]float64{}, map[string]float64{}, map[string]float64{}
		f.zones = make([]float64, len(x.zones))
	}
	f.credit += x.credit / n
	f.plan += x.plan / n
	f.fluid += x.fluid / n
	f.utilisation += x.utilisation / n
	for k := range x.kinds {
		f.kinds[k] += x.kinds[k] / n
		f.large[k] += x.large[k] / n
		f.even[k] += x.even[k] / n
	}
	for z := range x.zones {
		f.zones[z] += x.zones[z] / n
	}
	f.sent += x.sent
	f.refused += x.refused
	f.refusedWithCapacity += x.refusedWithCapacity
	f.abandoned += x.abandoned
	f.uncertain += x.uncertain
}

func (f metrics) String() string {
	return fmt.Sprintf("use %.2f credit %.3f of plan %.3f (%.2f), fluid %.3f; even plan %.2f %.2f %.2f; kinds %.2f %.2f %.2f; large %.2f %.2f %.2f; zones %.2f; of %d: refused %d (with free capacity %d), abandoned %d, may have run %d",
		f.utilisation, f.credit, f.plan, f.credit/f.plan, f.fluid, f.even["check"], f.even["permit"], f.even["hold"], f.kinds["check"], f.kinds["permit"], f.kinds["hold"], f.large["check"], f.large["permit"], f.large["hold"], f.zones, f.sent, f.refused, f.refusedWithCapacity, f.abandoned, f.uncertain)
}
