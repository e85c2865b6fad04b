package eventlog

import (
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// receivedEvery is how often the ids of received requests without a line are told: it
// bounds what a process takes with it when it is killed, and joins some dozen ids of a
// busy entry into one line.
const receivedEvery = 100 * time.Millisecond

// received are the ids of requests whose receipt has no line.
//
// An entry that is killed takes its unanswered requests with it, and those of which it
// held the targets too leave no line anywhere else. Whoever has the id of one then can't
// tell a killed entry from a request that never arrived. At 20 bytes each all ids can
// be written where their lines can't.
type received struct {
	ids    []job.ID
	listed int
}

// add keeps an id to be told. It reports whether it is the first one.
func (r *received) add(id job.ID) (first bool) {
	if r.listed >= maxListed {
		return false
	}
	r.listed++
	r.ids = append(r.ids, id)
	return len(r.ids) == 1
}

// tellReceived writes the ids that wait.
func (s *Sink) tellReceived() {
	s.mu.Lock()
	ids := s.received.ids
	s.received.ids = nil
	s.mu.Unlock()
	for part := range slices.Chunk(ids, listedInLine) {
		s.log.Info("requests without lines of their own", "requests", part)
	}
}
