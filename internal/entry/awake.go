package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

const (
	// awakeEvery is how often the entry looks whether it stood still: well below the
	// terms that end by it.
	awakeEvery = 50 * time.Millisecond
	// pauseWorthALine is the shortest pause that is told: twice the tenth of a second for
	// which a small VM's share of its processor may be used up, and a tick.
	pauseWorthALine = 250 * time.Millisecond
)

// noticePauses tells when the entry stood still, until ctx ends. Whoever asks why work was
// given up, or why an entry answered nothing, finds the cause here: nothing else in the
// log shows a pause but the lines that are missing.
func (e *Entry) noticePauses(ctx context.Context) error {
	last := e.awake.Now()
	return every(ctx, awakeEvery, func(time.Time) {
		now := e.awake.Now()
		e.tellPause(now.Sub(last))
		last = now
	})
}

// tellPause records a pause that is worth a line.
func (e *Entry) tellPause(gap time.Duration) {
	if gap < pauseWorthALine {
		return
	}
	cause := fmt.Sprintf("nothing of it ran for %d ms", gap.Milliseconds())
	e.events.Record(timeline.Event{Kind: timeline.EntryPaused, Peer: e.self.Entry, Took: gap, Cause: cause})
}
