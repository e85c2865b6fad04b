package split

import (
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Precedence says how urgent a job is compared to the others of its pool, and how many of its
// tasks may share a target.
type Precedence struct {
	Urgency job.Urgency
	// Priority is that of the service within its urgency class, 0 for the most urgent.
	Priority int
	// MaxPerTarget is as in job.Submission.
	MaxPerTarget int
}

// waitAt returns the expected wait of a task at a holder and the free slots there. Where more
// urgent queued work takes the free slots first, the holder reports a wait, and its free slots
// do not count. A holder of an earlier release, or one whose services of the pool all have one
// priority, reports one wait for the class. One with an older configuration may not know the
// priority: the wait of the next less urgent one is then a bound.
func (p Precedence) waitAt(l *job.HolderLoad) (wait time.Duration, free int) {
	if p.Urgency != job.UrgencyInteractive || len(l.Priorities) == 0 {
		return l.Wait[p.Urgency], l.Free
	}
	found := l.Priorities[len(l.Priorities)-1]
	for _, x := range l.Priorities {
		if x.Priority >= p.Priority {
			found = x
			break
		}
	}
	if found.Wait > 0 {
		return found.Wait, 0
	}
	return 0, l.Free
}
