package load

import (
	"container/heap"
	"iter"
	"math"
	"math/rand/v2"
	"time"
)

// Task is one task of an arrival.
type Task struct {
	Run time.Duration
	// Declared is the run time that the caller declares; zero declares none.
	Declared time.Duration
}

// Arrival is one job of the schedule.
type Arrival struct {
	// At is the time since the start of the run.
	At     time.Duration
	Number int
	Stream *Stream
	Team   string
	Tasks  []Task
	// CancelAt is when the caller cancels the job; zero means never.
	CancelAt time.Duration
}

// Work returns the run time of all tasks together.
func (a *Arrival) Work() time.Duration {
	var sum time.Duration
	for _, t := range a.Tasks {
		sum += t.Run
	}
	return sum
}

// Ideal returns the time that the job needs alone on an idle fleet with the
// given slots: the longer of its longest task and its work divided by the
// slots. Zero slots means unlimited.
func (a *Arrival) Ideal(slots int) time.Duration {
	var longest time.Duration
	for _, t := range a.Tasks {
		longest = max(longest, t.Run)
	}
	if slots > 0 {
		longest = max(longest, a.Work()/time.Duration(slots))
	}
	return longest
}

// source generates the arrivals of one stream.
type source struct {
	stream      *Stream
	random      *rand.Rand
	teams       []Team
	totalShare  float64
	rate        float64
	next        time.Duration
	leftInBurst int
}

// sourceHeap is a heap of sources ordered by their next arrival.
type sourceHeap []*source

func (s sourceHeap) Len() int { return len(s) }

func (s sourceHeap) Less(i, j int) bool {
	if s[i].next != s[j].next {
		return s[i].next < s[j].next
	}
	return s[i].stream.Name < s[j].stream.Name
}
func (s sourceHeap) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *sourceHeap) Push(x any)   { *s = append(*s, x.(*source)) }
func (s *sourceHeap) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// Schedule returns the arrivals of the mix in order of time. It is
// deterministic: the same mix gives the same arrivals.
func Schedule(spec *Spec) iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		var queue sourceHeap
		for i := range spec.Streams {
			s := newSource(spec, i)
			if s.next < s.end(spec) {
				heap.Push(&queue, s)
			}
		}
		for number := 0; len(queue) > 0 && number < spec.MaxJobs; number++ {
			s := queue[0]
			a := s.arrival(number)
			s.advance()
			if s.next < s.end(spec) {
				heap.Fix(&queue, 0)
			} else {
				heap.Pop(&queue)
			}
			if !yield(a) {
				return
			}
		}
	}
}

func newSource(spec *Spec, index int) *source {
	st := &spec.Streams[index]
	s := &source{
		stream: st,
		random: rand.New(rand.NewPCG(spec.Seed, uint64(index)+1)),
		rate:   st.JobsPerSecond(spec),
		next:   st.From,
	}
	for _, t := range spec.Teams {
		if len(st.Teams) == 0 || contains(st.Teams, t.Name) {
			s.teams = append(s.teams, t)
			s.totalShare += t.Share
		}
	}
	s.leftInBurst = 0
	s.advance()
	return s
}

func contains(list []string, name string) bool {
	for _, s := range list {
		if s == name {
			return true
		}
	}
	return false
}

func (s *source) end(spec *Spec) time.Duration {
	if s.stream.Until > 0 {
		return min(s.stream.Until, spec.Duration)
	}
	return spec.Duration
}

// advance moves to the next arrival. Within a burst, this has the same time;
// otherwise it follows after an exponentially distributed gap, so that the
// bursts form a Poisson process.
func (s *source) advance() {
	if s.leftInBurst > 0 {
		s.leftInBurst--
		return
	}
	s.leftInBurst = s.stream.Bursts.Size - 1
	gap := s.random.ExpFloat64() * float64(s.stream.Bursts.Size) / s.rate
	s.next += time.Duration(gap * float64(time.Second))
}

func (s *source) arrival(number int) Arrival {
	st := s.stream
	a := Arrival{At: s.next, Number: number, Stream: st, Team: s.drawTeam(), Tasks: make([]Task, st.Tasks.draw(s.random))}
	for i := range a.Tasks {
		run := st.Run.draw(s.random)
		a.Tasks[i] = Task{Run: run, Declared: s.drawDeclared(run)}
	}
	if st.Cancel.Share > 0 && s.random.Float64() < st.Cancel.Share {
		a.CancelAt = a.At + st.Cancel.After
	}
	return a
}

func (s *source) drawTeam() string {
	at := s.random.Float64() * s.totalShare
	for _, t := range s.teams {
		at -= t.Share
		if at < 0 {
			return t.Name
		}
	}
	return s.teams[len(s.teams)-1].Name
}

func (s *source) drawDeclared(run time.Duration) time.Duration {
	factor := s.stream.DeclaredFactor
	if factor == 0 {
		return 0
	}
	exponent := 2*s.random.Float64() - 1
	return max(time.Duration(float64(run)*math.Pow(factor, exponent)), time.Millisecond)
}

// JobsPerSecond returns the stream's mean rate, multiplied by the mix's Load.
func (st *Stream) JobsPerSecond(spec *Spec) float64 {
	if st.Rate > 0 {
		return st.Rate * spec.Load
	}
	work := st.Run.mean().Seconds() * st.Tasks.mean()
	return st.Share * float64(spec.Fleet.Capacity()) / work * spec.Load
}

// meanDraws is the number of draws that a mean is estimated from. It keeps the
// error under 1% for the spreads in use, and takes milliseconds for a few
// streams.
const meanDraws = 20_000

func (d *Distribution) draw(r *rand.Rand) time.Duration {
	if d.Sigma == 0 {
		return d.Median
	}
	run := time.Duration(float64(d.Median) * math.Exp(d.Sigma*r.NormFloat64()))
	return min(max(run, d.Min, time.Millisecond), d.Max).Round(time.Millisecond)
}

func (d *Distribution) mean() time.Duration {
	r := rand.New(rand.NewPCG(1, 1))
	var sum time.Duration
	for range meanDraws {
		sum += d.draw(r)
	}
	return sum / meanDraws
}

func (c *Count) draw(r *rand.Rand) int {
	if c.Min == c.Max {
		return c.Min
	}
	low, high := math.Log(float64(c.Min)), math.Log(float64(c.Max)+1)
	return min(int(math.Exp(low+r.Float64()*(high-low))), c.Max)
}

func (c *Count) mean() float64 {
	r := rand.New(rand.NewPCG(1, 1))
	sum := 0
	for range meanDraws {
		sum += c.draw(r)
	}
	return float64(sum) / meanDraws
}
