package eventlog

import (
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

const (
	// recentEvents bounds the successful steps that are kept for some time without a
	// line: a busy entry leaves out 150 a second, so they reach back some seconds, as
	// long as a request takes. They take 200 KB, and looking through them some 5 µs.
	recentEvents = 1024
	// recentTime is how long a step may have a line after all.
	recentTime = 10 * time.Second
)

// kept is an event without a line.
type kept struct {
	at    time.Time
	event timeline.Event
}

// recent keeps the latest successful steps that the budget left out.
//
// Under load most requests have no lines, and nobody knows of a request that it will
// fail when its first steps are taken. Its failure would then stand alone: without
// the holders that had its tasks and the targets where they ran, the way to the cause
// ends. So the steps are written when the request fails.
type recent struct {
	events []kept
	next   int
}

func (r *recent) keep(at time.Time, ev *timeline.Event) {
	if ev.Submission == "" {
		return
	}
	k := kept{at, *ev}
	k.event.Cause = bound(k.event.Cause)
	if len(r.events) < recentEvents {
		r.events = append(r.events, k)
		return
	}
	r.events[r.next] = k
	r.next = (r.next + 1) % recentEvents
}

// take returns up to most events of a request, oldest first, and forgets them.
func (r *recent) take(now time.Time, id job.ID, most int) []kept {
	var found []kept
	for i := range r.events {
		k := &r.events[(r.next+i)%len(r.events)]
		if len(found) >= most {
			break
		}
		if k.event.Submission != id || now.Sub(k.at) > recentTime {
			continue
		}
		found = append(found, *k)
		k.event = timeline.Event{}
	}
	return found
}
