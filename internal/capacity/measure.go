package capacity

import (
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/quota"
	"github.com/vanillagrade/vanillagrade/internal/policy/split"
	"github.com/vanillagrade/vanillagrade/internal/scheduler"
	"github.com/vanillagrade/vanillagrade/internal/target"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// Point is one measurement of one quantity at one size.
type Point struct {
	What  string  `json:"what"`
	At    string  `json:"at"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// Slopes are the marginal costs: what one more target, event, task and so on costs.
type Slopes struct {
	Points []Point

	RenewalCPU   time.Duration
	RenewalBytes float64
	TargetBytes  float64
	ExpireCPU    time.Duration
	ForwardBytes float64
	// Idle is the cost of links and heartbeats, by the number of entries.
	Idle []IdleCost
	// BaseCore and BaseMemory are the cost of an idle entry without peers, including
	// its empty ring.
	BaseCore     float64
	BaseMemory   float64
	ParseCPU     time.Duration
	ConfigBytes  float64
	ConfigMemory float64
	EventCPU     time.Duration
	RingMemory   float64
	EmptyRing    float64
	TaskCPU      time.Duration
	ScheduleCPU  time.Duration
	SplitCPU     time.Duration
	QuotaCPU     time.Duration
	QueuedBytes  float64
	// LeaseRenewalCPU and LeaseRenewalBytes are the cost of one renewal of the leases on a
	// busy target. Exchange is the cost of one exchange of known entries, by the number of
	// entries.
	LeaseRenewalCPU   time.Duration
	LeaseRenewalBytes float64
	Exchange          []ExchangeCost
	// UnloggedCPU and LoggedCPU are the cost of one event without and with a log line.
	// LogBytes and LogBytesFailing are the log volume per second while all requests
	// succeed and while all fail.
	UnloggedCPU     time.Duration
	LoggedCPU       time.Duration
	LogBytes        float64
	LogBytesFailing float64
}

func (m *Slopes) addPoint(what, at string, value float64, unit string) {
	m.Points = append(m.Points, Point{What: what, At: at, Value: value, Unit: unit})
}

func (m *Slopes) addCPU(what, at string, d time.Duration) {
	m.addPoint(what, at, float64(d.Nanoseconds())/1000, "µs of processor time")
}

// Measurement measures one part of the costs and sets its fields of m. minTime is the minimum
// processor time per measured value.
type Measurement func(m *Slopes, minTime time.Duration) error

// Parts returns all measurements in order.
func Parts(p Platform) []Measurement {
	return []Measurement{
		measureAnnouncements, measureExpiry, measureForwards, measureLeaseRenewals(p), measurePeers, measureDiscovery, measureLog, measureConfiguration, measureTimeline,
		measureSchedule, measureSplit, measureQuotas, measureQueue, measurePath,
	}
}

// Measure runs all measurements sequentially.
func Measure(p Platform) (*Slopes, error) {
	m := &Slopes{}
	for _, part := range Parts(p) {
		if err := part(m, minMeasureTime); err != nil {
			return m, errors.Trace(err)
		}
	}
	return m, nil
}

var epoch = time.Unix(1_800_000_000, 0)

func newTarget(i int) job.Target {
	return job.Target{
		ID: job.TargetID(fmt.Sprintf("worker-%04d", i)), Pool: "p", Zone: "z", Rack: fmt.Sprintf("r%d", i/8),
		Address: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250+1), Slots: 8, Connections: 64,
		Processors: 32, MemoryMB: 65536, Accelerators: 2,
	}
}

// newConfigFile returns a configuration with the given numbers of teams and services.
func newConfigFile(teams, services int) []byte {
	var b strings.Builder
	b.WriteString("number: 1\nteams:\n")
	for i := range teams {
		fmt.Fprintf(&b, "  - {name: team%02d, weight: %d, max_queued_tasks: 4000, tasks_per_second: 900000}\n", i, i%5+1)
	}
	b.WriteString("services:\n")
	for i := range services {
		fmt.Fprintf(&b, "  - {name: service%02d, pool: p, urgency: interactive, repeatable: true, deadline: 30s}\n", i)
	}
	b.WriteString("limits: {max_queued_tasks: 200000}\n")
	return []byte(b.String())
}

func parseConfigFile(teams, services int) (*config.File, error) {
	f, err := config.Parse("capacity", newConfigFile(teams, services))
	return f, errors.Trace(err)
}

func measureExpiry(m *Slopes, minTime time.Duration) error {
	at := func(n int) time.Duration {
		r := target.NewRegistry("z", config.Fixed{})
		for i := range n {
			_, _, _ = r.Announce(epoch, newTarget(i))
		}
		d := cpuPerCall(minTime, func(int) { r.Expire(epoch) })
		m.addCPU("one scan for lapsed leases", fmt.Sprintf("%d targets", n), d)
		return d
	}
	const few, many = 50, 800
	low, high := at(few), at(many)
	m.ExpireCPU = (high - low) / (many - few)
	heapSize := retainedHeap(func() any {
		r, p := target.NewRegistry("z", config.Fixed{}), scheduler.New("p", 1)
		for i := range many {
			_, _, _ = r.Announce(epoch, newTarget(i))
			p.SetTarget(epoch, newTarget(i))
		}
		return []any{r, p}
	})
	m.TargetBytes = heapSize / many
	m.addPoint("memory of one held target", fmt.Sprintf("%d targets", many), m.TargetBytes, "bytes")
	return nil
}

func measureConfiguration(m *Slopes, minTime time.Duration) error {
	for _, teams := range []int{7, 63} {
		body := newConfigFile(teams, TwoYearsServices)
		if _, err := config.Parse("capacity", body); err != nil {
			return errors.Trace(err)
		}
		m.ParseCPU = cpuPerCall(minTime, func(int) { _, _ = config.Parse("capacity", body) })
		m.ConfigBytes = float64(len(body))
		m.addCPU("parsing and checking one file", fmt.Sprintf("%d teams", teams), m.ParseCPU)
		m.addPoint("size of one file", fmt.Sprintf("%d teams", teams), m.ConfigBytes, "bytes")
		m.ConfigMemory = m.ConfigBytes + retainedHeap(func() any { f, _ := config.Parse("capacity", body); return f })
	}
	return nil
}

// TwoYearsServices is the number of services expected within two years.
const TwoYearsServices = 20

func measureTimeline(m *Slopes, minTime time.Duration) error {
	ring := timeline.NewRing("e", timeline.NewClock(nil), 0)
	ids := make([]job.ID, 1024)
	for i := range ids {
		ids[i] = job.ID(fmt.Sprintf("01J%023d", i))
	}
	m.EventCPU = cpuPerCall(minTime, func(i int) {
		ring.Record(timeline.Event{Kind: timeline.TaskStarted, Submission: ids[i%len(ids)], Task: i, Target: "worker-0001"})
	})
	m.addCPU("one event", "ring full", m.EventCPU)
	m.RingMemory = retainedHeap(func() any {
		r := timeline.NewRing("e", timeline.NewClock(nil), 0)
		for i := range timeline.DefaultRingEvents {
			r.Record(timeline.Event{Kind: timeline.TaskStarted, Submission: job.ID(fmt.Sprintf("01J%023d", i)), Cause: strings.Repeat("c", 40)})
		}
		return r
	})
	m.EmptyRing = retainedHeap(func() any { return timeline.NewRing("e", timeline.NewClock(nil), 0) })
	m.addPoint("memory of one full ring", fmt.Sprintf("%d events", timeline.DefaultRingEvents), m.RingMemory, "bytes")
	m.addPoint("memory of one empty ring", fmt.Sprintf("%d events", timeline.DefaultRingEvents), m.EmptyRing, "bytes")
	return nil
}

// offerAndFinish offers a batch, and starts and finishes its tasks, as a holder does. It
// returns the number of started tasks.
func offerAndFinish(pool *scheduler.Pool, now time.Time, b *job.Batch) int {
	pool.Offer(now, b)
	started := 0
	for {
		d := pool.Next(now)
		if len(d.Starts) == 0 {
			return started
		}
		started += len(d.Starts)
		for _, s := range d.Starts {
			pool.Finished(now.Add(100*time.Millisecond), s.Key, scheduler.Result{Ran: 100 * time.Millisecond, Status: job.TaskDone})
		}
	}
}

func newBatch(i, tasks, teams int) *job.Batch {
	b := &job.Batch{
		Owner: job.Owner{Entry: "e"}, Submission: job.ID(fmt.Sprintf("job-%d", i)),
		Team: fmt.Sprintf("team%02d", i%teams), Service: "service00", Tasks: make([]job.BatchTask, tasks),
	}
	for t := range b.Tasks {
		b.Tasks[t].Index = t
	}
	return b
}

func measureSchedule(m *Slopes, minTime time.Duration) error {
	for _, c := range []struct{ targets, teams, tasks int }{
		{55, 63, 10}, {55, 7, 10}, {55, 63, 1}, {55, 63, 100}, {400, 63, 10}, {2700, 63, 10},
	} {
		file, err := parseConfigFile(c.teams, 1)
		if err != nil {
			return errors.Trace(err)
		}
		p := scheduler.New("p", 1)
		p.Configure(epoch, file)
		for i := range c.targets {
			p.SetTarget(epoch, newTarget(i))
		}
		now := epoch
		perTask := cpuPerCall(minTime, func(i int) {
			now = now.Add(time.Millisecond)
			offerAndFinish(p, now, newBatch(i, c.tasks, c.teams))
		}) / time.Duration(c.tasks)
		m.addCPU("choosing, starting and ending one task", fmt.Sprintf("%d targets, %d teams, jobs of %d tasks", c.targets, c.teams, c.tasks), perTask)
		if c.targets == 55 && c.teams == 63 && c.tasks == 10 {
			m.ScheduleCPU = perTask
		}
	}
	return nil
}

func measureQueue(m *Slopes, minTime time.Duration) error {
	const jobs, tasks = 1000, 10
	file, err := parseConfigFile(7, 1)
	if err != nil {
		return errors.Trace(err)
	}
	refused := 0
	heapSize := retainedHeap(func() any {
		p := scheduler.NewWith("p", 1, scheduler.Options{NoAdmission: true})
		p.Configure(epoch, file)
		p.SetTarget(epoch, newTarget(0))
		for i := range jobs {
			b := newBatch(i, tasks, 7)
			for t := range b.Tasks {
				b.Tasks[t].Payload = make([]byte, 200)
			}
			if !p.Offer(epoch, b).Accepted {
				refused++
			}
		}
		return p
	})
	if refused > 0 {
		return errors.Errorf("%d of %d jobs were refused instead of queued", refused, jobs)
	}
	m.QueuedBytes = heapSize / (jobs * tasks)
	m.addPoint("memory of one waiting task with a payload of 200 bytes", fmt.Sprintf("%d waiting", jobs*tasks), m.QueuedBytes, "bytes")
	return nil
}

func measureSplit(m *Slopes, minTime time.Duration) error {
	for _, holders := range []int{7, 49} {
		s := split.New("e0", "z0", split.DefaultCosts(), 1)
		for i := range holders {
			s.Report(epoch, job.HolderLoad{
				Entry: job.EntryID(fmt.Sprintf("e%d", i)), Zone: job.Zone(fmt.Sprintf("z%d", i/7)),
				Pool: "p", Targets: 55, Slots: 440, Free: 200,
			})
		}
		tasks := make([]job.BatchTask, 10)
		m.SplitCPU = cpuPerCall(minTime, func(int) {
			for _, part := range s.Split(epoch, "p", job.UrgencyInteractive, tasks).Parts {
				s.Returned("p", part.Entry, len(part.Tasks), 100*time.Millisecond)
			}
		})
		m.addCPU("splitting one job of 10 tasks", fmt.Sprintf("%d holders", holders), m.SplitCPU)
	}
	return nil
}

func measureQuotas(m *Slopes, minTime time.Duration) error {
	for _, teams := range []int{7, 63} {
		file, err := parseConfigFile(teams, 1)
		if err != nil {
			return errors.Trace(err)
		}
		q := quota.New()
		q.Configure(file, 1)
		m.QuotaCPU = cpuPerCall(minTime, func(i int) {
			team := file.Teams[i%teams].Name
			now := epoch.Add(time.Duration(i) * time.Millisecond)
			if q.Admit(now, team, 10).Allowed {
				q.Done(now, team, 10)
			}
		})
		m.addCPU("one job through its team's quota", fmt.Sprintf("%d teams", teams), m.QuotaCPU)
	}
	return nil
}
