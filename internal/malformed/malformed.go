// Package malformed counts received messages that can't be decoded or make no sense,
// and logs them at a limited rate.
//
// A sender of another version, or a broken one, may send hundreds of unusable messages
// per second. If they were ignored silently, nobody would find out why its targets get
// no work. If each were logged, they would crowd everything else out of the log and take
// processor time from the work.
package malformed

import (
	"log/slog"
	"sync"
	"time"
)

// LogInterval is the minimum interval between log lines of one kind. A problem is seen
// while it lasts, and one line of each kind every ten seconds costs next to nothing.
const LogInterval = 10 * time.Second

// Kind is the kind of a malformed message.
type Kind string

// The kinds.
const (
	// Announcement is a target's announcement of itself or of its withdrawal.
	Announcement Kind = "announcement"
	// Row is one entry in a target's list of its running and ended tasks.
	Row Kind = "row"
)

// Kinds lists all kinds, for metrics.
var Kinds = []Kind{Announcement, Row}

// Tally counts and logs malformed messages. A nil Tally does neither.
type Tally struct {
	log *slog.Logger

	mu    sync.Mutex
	kinds map[Kind]*kindCount
}

// kindCount holds the counters of one kind.
type kindCount struct {
	total      uint64
	suppressed uint64
	lastLogged time.Time
}

// New returns a tally that writes to log.
func New(log *slog.Logger) *Tally {
	return &Tally{log: log, kinds: map[Kind]*kindCount{}}
}

// Record counts a malformed message. It also logs the message unless another one of the
// kind was logged less than LogInterval ago. The next line of the kind says how many
// messages were not logged.
func (t *Tally) Record(now time.Time, kind Kind, err error) {
	if t == nil {
		return
	}
	suppressed, shouldLog := t.count(now, kind)
	if shouldLog {
		t.log.Warn("malformed input ignored", "kind", string(kind), "error", err.Error(), "untold_before", suppressed)
	}
}

func (t *Tally) count(now time.Time, kind Kind) (suppressed uint64, shouldLog bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.kinds[kind]
	if c == nil {
		c = &kindCount{}
		t.kinds[kind] = c
	}
	c.total++
	if !c.lastLogged.IsZero() && now.Sub(c.lastLogged) < LogInterval {
		c.suppressed++
		return 0, false
	}
	suppressed, c.suppressed, c.lastLogged = c.suppressed, 0, now
	return suppressed, true
}

// Total returns the number of malformed messages of a kind.
func (t *Tally) Total(kind Kind) uint64 {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.kinds[kind]; c != nil {
		return c.total
	}
	return 0
}
