package preempt

import "time"

const (
	// MaxShare is the share of the work of a pool that stops may throw away, over Window. Each
	// part of it is capacity that no service gets.
	MaxShare = 0.02
	// Window is longer than the bursts for which stops are meant.
	Window = 10 * time.Second
	// buckets is the number of parts of the window that are counted separately.
	buckets = 10
)

// Budget bounds the work that is thrown away. The zero value is ready for use.
type Budget struct {
	parts   [buckets]part
	at      time.Time
	running int
}

// part is what was done and thrown away in one part of the window.
type part struct {
	number     int64
	work, lost time.Duration
}

// Observe records how many tasks run from now on.
func (b *Budget) Observe(now time.Time, running int) {
	if !b.at.IsZero() {
		b.part(now).work += time.Duration(b.running) * min(Window, now.Sub(b.at))
	}
	b.at, b.running = now, running
}

// Lose records work that was thrown away. A negative value corrects an earlier one.
func (b *Budget) Lose(now time.Time, work time.Duration) { b.part(now).lost += work }

// Left returns how much work may be thrown away now.
func (b *Budget) Left(now time.Time) time.Duration {
	var work, lost time.Duration
	current := b.part(now).number
	for i := range b.parts {
		if p := &b.parts[i]; p.number > current-buckets {
			work, lost = work+p.work, lost+p.lost
		}
	}
	return time.Duration(MaxShare*float64(work)) - lost
}

// part returns the part of the window to which a time belongs.
func (b *Budget) part(now time.Time) *part {
	number := now.UnixNano() / int64(Window/buckets)
	p := &b.parts[int(number%buckets)]
	if p.number != number {
		*p = part{number: number}
	}
	return p
}
