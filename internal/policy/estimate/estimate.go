// Package estimate learns how long the tasks of a service and kind run.
//
// Load pattern: callers declare run times that are off by ten times and more.
// Without measured ones a pool admits ten times too much or too little, takes
// long tasks for short ones, and calls healthy targets slow.
//
// What a task declares counts as much as priorWeight measured ones: it helps
// for the first few tasks of a new kind and is outweighed after that.
//
// Grounds for the figures: buckets grow by 1.25, so a quantile is off by 12%
// at most, which is less than the spread inside one kind; 64 of them reach
// from 1 ms to 20 min. A sketch is halved when it holds 256 samples, so a kind
// whose run time changes is followed within a few hundred tasks: under a
// second at the rates of one pool. An HdrHistogram was not taken because it
// doesn't forget and takes kilobytes for each kind; a sketch takes 256 bytes.
package estimate

import (
	"math"
	"time"
)

const (
	buckets     = 64
	growth      = 1.25
	shortest    = time.Millisecond
	memory      = 256
	priorWeight = 2

	// maxKinds bounds the sketches, since callers choose the kinds. Beyond it
	// a new kind is measured as part of its service.
	maxKinds = 4096
)

// Unknown is taken for a task of which nothing is declared or measured: the
// middle, on a log scale, of the 50 ms to 1 s that most tasks run.
const Unknown = 220 * time.Millisecond

// Sketch is a histogram that forgets.
type Sketch struct {
	counts [buckets]float32
	n      float64
	sum    float64 // seconds
	seen   uint64
	last   time.Time

	// running counts started tasks that have not ended, starts sums up when
	// they started, in nanoseconds after the sketch's first start.
	running int
	starts  int64
	origin  time.Time
}

// Add takes in one run time.
func (s *Sketch) Add(ran time.Duration) {
	if s.n >= memory {
		s.halve()
	}
	s.counts[bucketOf(ran)]++
	s.n++
	s.sum += ran.Seconds()
	s.seen++
}

func (s *Sketch) halve() {
	for i := range s.counts {
		s.counts[i] /= 2
	}
	s.n /= 2
	s.sum /= 2
}

func bucketOf(d time.Duration) int {
	if d <= shortest {
		return 0
	}
	i := int(math.Log(float64(d)/float64(shortest)) / math.Log(growth))
	return min(i, buckets-1)
}

// Samples returns how many run times were ever added.
func (s *Sketch) Samples() uint64 { return s.seen }

// Mean returns the mean of the remembered run times.
func (s *Sketch) Mean() time.Duration {
	if s.n == 0 {
		return 0
	}
	return time.Duration(s.sum / s.n * float64(time.Second))
}

// Quantile returns the run time that the share q of tasks doesn't exceed.
func (s *Sketch) Quantile(q float64) time.Duration {
	if s.n == 0 {
		return 0
	}
	left := q * s.n
	for i, c := range s.counts {
		left -= float64(c)
		if left <= 0 && c > 0 {
			return time.Duration(float64(shortest) * math.Pow(growth, float64(i)+0.5))
		}
	}
	return s.Mean()
}

// Kind names what is measured together.
type Kind struct{ Service, Name string }

// Book holds the sketches of one pool.
type Book struct {
	kinds    map[Kind]*Sketch
	services map[string]*Sketch
	all      Sketch
	// threshold caches LongThreshold, which is asked for each job.
	threshold time.Duration
	stale     int
}

// New returns a book in which nothing was measured.
func New() *Book {
	return &Book{kinds: map[Kind]*Sketch{}, services: map[string]*Sketch{}}
}

// Started counts a task that was started.
func (b *Book) Started(now time.Time, k Kind) {
	b.sketchFor(k).begin(now, now)
}

// Ended counts a started task that ended in any way.
func (b *Book) Ended(k Kind, started time.Time) {
	b.sketchFor(k).end(started)
}

func (s *Sketch) begin(now, started time.Time) {
	if s.running == 0 {
		s.origin = now
		s.starts = 0
	}
	s.running++
	s.starts += int64(started.Sub(s.origin))
}

func (s *Sketch) end(started time.Time) {
	if s.running == 0 {
		return
	}
	s.running--
	s.starts -= int64(started.Sub(s.origin))
}

// age is for how long the running tasks have run on average.
func (s *Sketch) age(now time.Time) time.Duration {
	if s.running == 0 {
		return 0
	}
	return now.Sub(s.origin) - time.Duration(s.starts/int64(s.running))
}

// sketchFor returns the sketch of a kind, or that of its service for kinds
// without a name and beyond the bound.
func (b *Book) sketchFor(k Kind) *Sketch {
	if s := b.kinds[k]; s != nil {
		return s
	}
	if k.Name != "" && len(b.kinds) < maxKinds {
		s := &Sketch{}
		b.kinds[k] = s
		return s
	}
	s := b.services[k.Service]
	if s == nil {
		s = &Sketch{}
		b.services[k.Service] = s
	}
	return s
}

// Learn takes in the run time of one finished task.
func (b *Book) Learn(now time.Time, k Kind, ran time.Duration) {
	b.all.Add(ran)
	b.stale++
	s := b.sketchFor(k)
	s.Add(ran)
	s.last = now
}

const (
	// sureAfter is how many tasks must have been measured, and sureFor how
	// lately, before a job may be refused for its run time alone. A refused
	// kind isn't measured any more: without the second bound one wrong
	// estimate would shut it out for ever. One job each five seconds is tried.
	sureAfter = 5
	sureFor   = 5 * time.Second
)

// Sure reports whether the run time of a kind is known well enough to refuse a
// job for it.
func (b *Book) Sure(now time.Time, k Kind) bool {
	s := b.sketch(k)
	return s != nil && s.seen >= sureAfter && now.Sub(s.last) < sureFor
}

// Mean returns the expected run time of a task; declared is the caller's word,
// zero when it said nothing.
func (b *Book) Mean(now time.Time, k Kind, declared time.Duration) time.Duration {
	s := b.sketch(k)
	if s == nil {
		return orUnknown(declared)
	}
	mean := s.blend(declared)
	if s.seen < sureAfter {
		// Tasks that have run for longer than expected and still do are the
		// first sign that a new kind is long: their ends come too late.
		mean = max(mean, s.age(now))
	}
	return mean
}

// Blend returns the expected run time of a task of a job whose declared run time
// says as much as the mean of its kind: both are off by tens of percent, so the
// middle of the two, on a log scale, is off by less than either.
func (b *Book) Blend(now time.Time, k Kind, declared time.Duration) time.Duration {
	mean := b.Mean(now, k, declared)
	if declared <= 0 || mean <= 0 {
		return mean
	}
	return time.Duration(math.Sqrt(float64(mean) * float64(declared)))
}

func orUnknown(declared time.Duration) time.Duration {
	if declared > 0 {
		return declared
	}
	return Unknown
}

// blend is the measured mean with what was declared as a weak prior.
func (s *Sketch) blend(declared time.Duration) time.Duration {
	if s.seen == 0 {
		return orUnknown(declared)
	}
	if declared <= 0 {
		return s.Mean()
	}
	n := math.Min(float64(s.seen), memory)
	mean := (s.Mean().Seconds()*n + declared.Seconds()*priorWeight) / (n + priorWeight)
	return time.Duration(mean * float64(time.Second))
}

// Longest returns what the longest of n tasks of a kind is expected to run;
// zero while too little was measured.
func (b *Book) Longest(k Kind, n int) time.Duration {
	s := b.sketch(k)
	if s == nil || s.seen < sureAfter {
		return 0
	}
	return s.Quantile(float64(n) / float64(n+1))
}

func (b *Book) sketch(k Kind) *Sketch {
	if s := b.kinds[k]; s != nil {
		return s
	}
	return b.services[k.Service]
}

const (
	// longFactor and longQuantile say what is long: more than four times what
	// the shorter half of the mix runs.
	longFactor   = 4
	longQuantile = 0.25
	// refresh is after how many tasks the threshold is computed anew.
	refresh = 64
)

// LongThreshold returns the run time above which a task counts as long beside
// the others of this pool; zero while nothing was measured.
func (b *Book) LongThreshold() time.Duration {
	if b.threshold == 0 || b.stale >= refresh {
		b.stale = 0
		b.threshold = time.Duration(longFactor * float64(b.all.Quantile(longQuantile)))
	}
	return b.threshold
}

// PoolMean returns the mean run time over all tasks of the pool.
func (b *Book) PoolMean() time.Duration {
	if b.all.n == 0 {
		return Unknown
	}
	return b.all.Mean()
}
