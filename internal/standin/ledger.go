package standin

import (
	"sync"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// ledgerKeys is how many tasks one generation of a ledger remembers. Two
// generations at about 100 bytes a task keep a stand-in that runs for days
// under about 100 MB; a second start within the last half million is seen.
const ledgerKeys = 500_000

type taskKey struct {
	submission job.ID
	index      int
}

// Ledger counts starts by task and so sees a task that was started twice.
type Ledger struct {
	mu      sync.Mutex
	starts  uint64
	doubled uint64
	recent  map[taskKey]struct{}
	older   map[taskKey]struct{}
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{recent: make(map[taskKey]struct{})} }

func (l *Ledger) start(key taskKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	if l.knows(key) {
		l.doubled++
		return
	}
	if len(l.recent) >= ledgerKeys {
		l.older = l.recent
		l.recent = make(map[taskKey]struct{})
	}
	l.recent[key] = struct{}{}
}

// Starts returns how many tasks were started.
func (l *Ledger) Starts() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts
}

// DoubledStarts returns how many starts were of a task started before.
func (l *Ledger) DoubledStarts() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.doubled
}

// Started reports whether a task was started, as far as the ledger reaches.
func (l *Ledger) Started(submission job.ID, index int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.knows(taskKey{submission, index})
}

func (l *Ledger) knows(key taskKey) bool {
	_, inRecent := l.recent[key]
	_, inOlder := l.older[key]
	return inRecent || inOlder
}
