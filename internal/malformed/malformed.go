// Package malformed counts what others sent that can't be read or can't be meant,
// and tells the log without a line for each.
//
// Load pattern: one writer of another version, or one that is broken, sends
// hundreds of messages a second that can't be used. Passed over without a word,
// nobody would find out why its targets get no work; with a line each, they would
// push everything else out of the log and take processor time from the work.
package malformed

import (
	"log/slog"
	"sync"
	"time"
)

// LogEvery is how often one kind is told at the most: often enough to be seen while
// it goes on, and a line a kind each ten seconds takes nothing.
const LogEvery = 10 * time.Second

// Kind is what was malformed.
type Kind string

// The kinds.
const (
	// Announcement is what a target says of itself, or its leaving.
	Announcement Kind = "announcement"
	// Row is one line of a target's list of runs and ends.
	Row Kind = "row"
)

// Kinds lists them all, for figures.
var Kinds = []Kind{Announcement, Row}

// Tally counts and tells. Its nil value does neither.
type Tally struct {
	log *slog.Logger

	mu    sync.Mutex
	kinds map[Kind]*count
}

// count is one kind's figures.
type count struct {
	total  uint64
	untold uint64
	told   time.Time
}

// New returns a tally that tells log.
func New(log *slog.Logger) *Tally {
	return &Tally{log: log, kinds: map[Kind]*count{}}
}

// Note counts one message, and tells it unless one of its kind was told within
// LogEvery; the next line says how many were not.
func (t *Tally) Note(now time.Time, kind Kind, err error) {
	if t == nil {
		return
	}
	untold, tell := t.count(now, kind)
	if tell {
		t.log.Warn("passed over what can't be used", "kind", string(kind), "error", err.Error(), "untold_before", untold)
	}
}

func (t *Tally) count(now time.Time, kind Kind) (untold uint64, tell bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.kinds[kind]
	if c == nil {
		c = &count{}
		t.kinds[kind] = c
	}
	c.total++
	if !c.told.IsZero() && now.Sub(c.told) < LogEvery {
		c.untold++
		return 0, false
	}
	untold, c.untold, c.told = c.untold, 0, now
	return untold, true
}

// Total returns how many of a kind there were.
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
