package eventlog

import (
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

const (
	// recentEvents bounds the successful steps that are kept after they were left out
	// of the log. A busy entry leaves out 150 a second, so they reach back some seconds,
	// about as long as a request takes. They take 200 KB, and a search some 5 µs.
	recentEvents = 1024
	// recentMaxAge is the age up to which a left-out step may still be logged.
	recentMaxAge = 10 * time.Second
)

// unloggedEvent is an event that was left out of the log.
type unloggedEvent struct {
	at    time.Time
	event timeline.Event
}

// recent keeps the latest successful steps that the budget left out.
//
// Under load most requests have no lines, and whether a request will fail is not known
// at its first steps. Its failure alone would not show which holders had its tasks and
// on which targets they ran, so the cause could not be traced. The steps are therefore
// logged once the request fails.
type recent struct {
	events []unloggedEvent
	next   int
}

func (r *recent) add(at time.Time, ev *timeline.Event) {
	if ev.Submission == "" {
		return
	}
	k := unloggedEvent{at, *ev}
	k.event.Cause = truncate(k.event.Cause)
	if len(r.events) < recentEvents {
		r.events = append(r.events, k)
		return
	}
	r.events[r.next] = k
	r.next = (r.next + 1) % recentEvents
}

// take removes and returns up to limit events of a request, oldest first.
func (r *recent) take(now time.Time, id job.ID, limit int) []unloggedEvent {
	var steps []unloggedEvent
	for i := range r.events {
		k := &r.events[(r.next+i)%len(r.events)]
		if len(steps) >= limit {
			break
		}
		if k.event.Submission != id || now.Sub(k.at) > recentMaxAge {
			continue
		}
		steps = append(steps, *k)
		k.event = timeline.Event{}
	}
	return steps
}
