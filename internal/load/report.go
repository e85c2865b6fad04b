package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Ranges of the histograms. Stretch is recorded in thousandths.
const (
	stretchScale      = 1000
	maxStretch        = 100_000 * stretchScale
	maxAnswerMicros   = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Report holds the measurements of one run.
type Report struct {
	Mix     string `json:"mix"`
	Policy  string `json:"policy,omitempty"`
	Summary string `json:"summary"`
	// Measured is the time over which goodput is counted: Spec.Duration without
	// the warm-up.
	Measured time.Duration `json:"measured_ns"`
	Slots    int           `json:"slots"`
	Total    Group         `json:"total"`
	Services []Group       `json:"services"`
	Teams    []Group       `json:"teams"`
	// Hindsight is a reference for Total.Goodput.
	Hindsight Hindsight `json:"hindsight"`
	Checks    Checks    `json:"checks"`
	Messages  Messages  `json:"messages"`
	// MaxLag is the longest delay between the time that a job was due and the
	// time that the load tool sent it; Lag99 is the 99th percentile. Stretch
	// counts from the due time, so a large lag distorts it.
	MaxLag time.Duration `json:"max_lag_ns"`
	Lag99  time.Duration `json:"lag_99_ns"`
}

// Checks counts violations; all counts but Starts, Jobs and Tasks must be zero.
type Checks struct {
	Jobs  int `json:"jobs"`
	Tasks int `json:"tasks"`
	// Misdelivered counts results that belong to another task or job.
	Misdelivered int `json:"crossed"`
	// Partial counts complete answers that lack a result.
	Partial int `json:"partial"`
	// Unreadable counts answers that match no form of the API.
	Unreadable int `json:"unreadable"`
	// Unanswered counts jobs whose connection returned no answer.
	Unanswered int `json:"unanswered"`
	// NotSent counts jobs that the load tool dropped at its own limit of jobs in
	// flight.
	NotSent int `json:"not_sent"`
	// Starts and DoubledStarts are the counts of the stand-in targets.
	Starts        uint64 `json:"starts"`
	DoubledStarts uint64 `json:"doubled_starts"`
	// UnexplainedStarts counts starts in excess of the tasks of all jobs that are
	// complete or may have run: a task ran although its caller received "not run".
	UnexplainedStarts int64 `json:"unexplained_starts"`
	// TargetsCounted is false if the stand-ins' counters could not be read; the
	// three counts above are then meaningless.
	TargetsCounted bool `json:"targets_counted"`
	// Examples describes up to maxExamples of the violations.
	Examples []string `json:"examples,omitempty"`
}

// Passed reports whether no result was wrong or missing, no answer unreadable, and
// no start doubled or unexplained.
func (c *Checks) Passed() bool {
	return c.Misdelivered == 0 && c.Partial == 0 && c.Unreadable == 0 && c.DoubledStarts == 0 && c.UnexplainedStarts == 0
}

// Group holds the statistics of a subset of the jobs.
type Group struct {
	Service string `json:"service,omitempty"`
	Team    string `json:"team,omitempty"`
	Jobs    int    `json:"jobs"`
	// Complete counts complete answers. Late counts those that were flagged late
	// or arrived after the stream's deadline.
	Complete  int `json:"complete"`
	Late      int `json:"late"`
	Cancelled int `json:"cancelled"`
	// Refused and Failed count by reason.
	Refused map[string]int `json:"refused,omitempty"`
	Failed  map[string]int `json:"failed,omitempty"`
	Stretch Quantiles      `json:"stretch"`
	// Answer is the time to a complete answer, in seconds.
	Answer Quantiles `json:"answer_seconds"`
	// RefusalAfter is the time to a refusal, in seconds.
	RefusalAfter Quantiles `json:"refusal_seconds"`
	// Offered and Goodput are work in slots. Offered is the mean number of slots
	// that the arriving work would keep busy; Goodput is the same for the work
	// that was answered complete and on time within the measured time.
	Offered float64 `json:"offered_slots"`
	Goodput float64 `json:"goodput_slots"`
}

// Quantiles are the quantiles of one histogram.
type Quantiles struct {
	Count  int64   `json:"count"`
	Median float64 `json:"median"`
	P99    float64 `json:"p99"`
	P999   float64 `json:"p999"`
	Max    float64 `json:"max"`
}

// Messages is the traffic between entries during the run.
type Messages struct {
	// Counted is false if the entries' counters could not be read.
	Counted     bool             `json:"counted"`
	Useful      int64            `json:"useful"`
	Wasted      int64            `json:"wasted"`
	UsefulBytes int64            `json:"useful_bytes"`
	WastedBytes int64            `json:"wasted_bytes"`
	ByKind      map[string]int64 `json:"by_kind,omitempty"`
}

// UsefulShare returns the share of the messages that carry work.
func (m *Messages) UsefulShare() float64 {
	if m.Useful+m.Wasted == 0 {
		return 1
	}
	return float64(m.Useful) / float64(m.Useful+m.Wasted)
}

// jobResult is the checked answer to one job.
type jobResult struct {
	arrival *Arrival
	// outcome is a job outcome, or empty if there was no readable answer.
	outcome string
	reason  string
	notRun  bool
	late    bool
	took    time.Duration
	ended   time.Duration
}

// groupKey identifies a group: a service, or a service and team.
type groupKey struct {
	service string
	team    string
}

// groupStats accumulates the statistics of a group during the run.
type groupStats struct {
	Group
	stretch     *hdrhistogram.Histogram
	answer      *hdrhistogram.Histogram
	refusal     *hdrhistogram.Histogram
	offeredWork time.Duration
	onTimeWork  time.Duration
}

func newGroupStats(key groupKey) *groupStats {
	return &groupStats{
		Group:   Group{Service: key.service, Team: key.team, Refused: map[string]int{}, Failed: map[string]int{}},
		stretch: hdrhistogram.New(1, maxStretch, significantDigits),
		answer:  hdrhistogram.New(1, maxAnswerMicros, significantDigits),
		refusal: hdrhistogram.New(1, maxAnswerMicros, significantDigits),
	}
}

// collector collects the results of jobs. It is safe for concurrent use.
type collector struct {
	spec *Spec

	mu     sync.Mutex
	total  *groupStats
	groups map[groupKey]*groupStats
	lag    *hdrhistogram.Histogram
	checks Checks
	// mayHaveRun counts the tasks of jobs that are complete or may have run; the
	// stand-ins' starts are compared with it.
	mayHaveRun int64
}

func newCollector(spec *Spec) *collector {
	return &collector{
		spec:   spec,
		total:  newGroupStats(groupKey{}),
		groups: map[groupKey]*groupStats{},
		lag:    hdrhistogram.New(1, maxAnswerMicros, significantDigits),
	}
}

func (g *collector) group(key groupKey) *groupStats {
	if g.groups[key] == nil {
		g.groups[key] = newGroupStats(key)
	}
	return g.groups[key]
}

func (g *collector) recordLag(lag time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	record(g.lag, lag.Microseconds())
}

// record adds a value to the histogram, clamped to the histogram's range.
func record(h *hdrhistogram.Histogram, value int64) {
	// RecordValue fails only for values out of range, which the clamp excludes.
	_ = h.RecordValue(min(max(value, 1), h.HighestTrackableValue()))
}

// maxExamples bounds the violations that a report describes one by one.
const maxExamples = 10

// recordFault increments one of the counts in checks and keeps the example if
// there are fewer than maxExamples.
func (g *collector) recordFault(count *int, example string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	*count++
	if len(g.checks.Examples) < maxExamples {
		g.checks.Examples = append(g.checks.Examples, example)
	}
}

func (g *collector) add(o jobResult) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.checks.Jobs++
	g.checks.Tasks += len(o.arrival.Tasks)
	if !o.notRun {
		g.mayHaveRun += int64(len(o.arrival.Tasks))
	}
	key := groupKey{service: o.arrival.Stream.Service}
	for _, group := range []*groupStats{g.total, g.group(key), g.group(groupKey{key.service, o.arrival.Team})} {
		group.add(g.spec, o)
	}
}

func (g *groupStats) add(spec *Spec, o jobResult) {
	// Goodput counts work by its end: work that arrived in the warm-up may end in
	// the measured time, and work that arrived in the measured time may end after
	// it.
	if o.outcome == outcomeComplete && !o.late && o.ended >= spec.Warmup && o.ended < spec.Duration {
		g.onTimeWork += o.arrival.Work()
	}
	if o.arrival.At < spec.Warmup {
		return
	}
	g.Jobs++
	g.offeredWork += o.arrival.Work()
	switch o.outcome {
	case outcomeComplete:
		g.Complete++
		if o.late {
			g.Late++
		}
		ideal := o.arrival.Ideal(spec.Fleet.Capacity())
		record(g.stretch, int64(float64(stretchScale)*float64(o.took)/float64(ideal)))
		record(g.answer, o.took.Microseconds())
	case outcomeRefused:
		g.Refused[o.reason]++
		record(g.refusal, o.took.Microseconds())
	case outcomeCancelled:
		g.Cancelled++
	default:
		g.Failed[o.reason]++
	}
}

func (g *groupStats) summarize(measured time.Duration) Group {
	out := g.Group
	out.Stretch = quantiles(g.stretch, stretchScale)
	out.Answer = quantiles(g.answer, float64(time.Second/time.Microsecond))
	out.RefusalAfter = quantiles(g.refusal, float64(time.Second/time.Microsecond))
	out.Offered = g.offeredWork.Seconds() / measured.Seconds()
	out.Goodput = g.onTimeWork.Seconds() / measured.Seconds()
	return out
}

func quantiles(h *hdrhistogram.Histogram, unit float64) Quantiles {
	at := func(percent float64) float64 { return float64(h.ValueAtQuantile(percent)) / unit }
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	return Quantiles{Count: h.TotalCount(), Median: at(50), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / unit}
}
