package eventlog

import (
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// receivedInterval is how often the ids of received requests without a line are logged.
// It bounds what is lost when the process is killed, and lets a busy entry put some
// dozen ids into one line.
const receivedInterval = 100 * time.Millisecond

// received collects the ids of requests whose receipt has no line.
//
// When an entry is killed, its unanswered requests are lost. Those whose targets it held
// itself leave no line at any other entry, so the log would not distinguish a killed
// entry from a request that never arrived. At 20 bytes each, all ids can be logged where
// full lines can't.
type received struct {
	ids    []job.ID
	listed int
}

// add stores an id to be logged. It reports whether the id is the first one pending.
func (r *received) add(id job.ID) (first bool) {
	if r.listed >= maxListedIDs {
		return false
	}
	r.listed++
	r.ids = append(r.ids, id)
	return len(r.ids) == 1
}

// logReceived logs the pending ids.
func (s *Sink) logReceived() {
	s.mu.Lock()
	ids := s.received.ids
	s.received.ids = nil
	s.mu.Unlock()
	for part := range slices.Chunk(ids, idsPerLine) {
		s.log.Info("requests without lines of their own", "requests", part)
	}
}
