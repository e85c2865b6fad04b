package timeline

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Sentence is one statement of a story.
type Sentence struct {
	// At is the time since the story's first event.
	At    time.Duration `json:"at"`
	Entry job.EntryID   `json:"entry"`
	Text  string        `json:"text"`
}

// Story is what happened to one submission, with the reason of each decision.
type Story struct {
	Submission job.ID     `json:"submission"`
	Found      bool       `json:"found"`
	Sentences  []Sentence `json:"sentences"`
	// Missing says what the story may lack.
	Missing []string `json:"missing,omitempty"`
}

// storyTasks is up to how many tasks each one is told by itself; above, starts
// and ends are summed up by target.
const storyTasks = 4

// Explain tells the story of one submission.
func Explain(t Timeline, id job.ID) Story {
	events := t.Of(id)
	story := Story{Submission: id, Found: len(events) > 0}
	if story.Found {
		t.missing(&story, events[0].Stamp)
	} else {
		t.missing(&story, 0)
	}
	if !story.Found {
		return story
	}
	start := events[0].Stamp.Time()
	add := func(ev *Event, text string) {
		story.Sentences = append(story.Sentences, Sentence{At: ev.Stamp.Time().Sub(start), Entry: ev.Entry, Text: text})
	}
	sums := sumTasks(events)
	var first *Event
	told := map[*Event]bool{}
	for i := range events {
		ev := &events[i]
		if ev.Kind == SubmissionReceived {
			if first != nil {
				add(ev, sentAgain(first, ev))
			} else {
				first = ev
			}
		}
		if sums.many() && sums.covers(ev) {
			if text := sums.tell(ev); text != "" {
				add(ev, text)
			}
			continue
		}
		add(ev, sentence(ev))
		if other := t.concerning(ev); other != nil && !told[other] {
			told[other] = true
			add(ev, fmt.Sprintf("%s that, at %s: %s", beforeOrAfter(other, ev), clockText(other.Stamp), sentence(other)))
		}
	}
	return story
}

// sentAgain says that a caller has sent the submission before: its later sending may
// have been answered well, and what failed is the earlier one.
func sentAgain(first, ev *Event) string {
	return fmt.Sprintf("the caller sends it again, %s after entry %s received it", round(ev.Stamp.Time().Sub(first.Stamp.Time())), first.Entry)
}

// contextKinds are the events of targets and entries that a story may refer to.
var (
	targetContext = []Kind{TargetLapsed, TargetLeaving, TargetSuspect, TargetYielded, LeaseRunOut}
	entryContext  = []Kind{EntryDead, EntrySuspect, EntryDraining, EntryStopped, EntryPaused, OwnerSilent}
)

// ContextKinds returns the kinds of events, beside those of the submission itself,
// that its story may refer to.
func ContextKinds() []Kind { return slices.Concat(targetContext, entryContext) }

// missing lists why the story may not be whole.
func (t *Timeline) missing(story *Story, from Stamp) {
	for _, e := range t.Unreachable {
		story.Missing = append(story.Missing, fmt.Sprintf("entry %s could not be reached: what it did is not told here", e))
	}
	for _, g := range t.Gaps {
		if from <= g.CompleteFrom && g.CompleteFrom > 0 {
			story.Missing = append(story.Missing, fmt.Sprintf("entry %s keeps events only from %s on: earlier ones fell out of its ring", g.Entry, clockText(g.CompleteFrom)))
		}
		if g.LeftOut > 0 {
			story.Missing = append(story.Missing, fmt.Sprintf("entry %s has %d more events than were asked for", g.Entry, g.LeftOut))
		}
	}
	for _, s := range t.Skewed {
		story.Missing = append(story.Missing, fmt.Sprintf("the clock of entry %s is %s ahead: its events stand too late", s.Entry, s.Ahead.Round(time.Second)))
	}
}

// concerning finds, for a lost target or entry, the event of the fleet that belongs to
// it: the last one before, or the first one that closely follows, since an entry may
// act on a death before it records it. It returns nil if there is none.
func (t *Timeline) concerning(ev *Event) *Event {
	var subject string
	var kinds []Kind
	switch ev.Reason {
	case job.TargetLost, job.TargetRefused:
		subject, kinds = string(ev.Target), targetContext
	case job.HolderLost, job.OwnerLost, job.ZoneUnreachable:
		subject, kinds = string(ev.Peer), entryContext
	}
	if subject == "" {
		return nil
	}
	var found *Event
	for i := range t.Events {
		other := &t.Events[i]
		if other.Submission != "" || !slices.Contains(kinds, other.Kind) || !other.concerns(subject) {
			continue
		}
		if other.Stamp <= ev.Stamp {
			found = other
			continue
		}
		if found == nil && other.Stamp.Time().Sub(ev.Stamp.Time()) <= followsWithin {
			found = other
		}
		break
	}
	return found
}

// followsWithin is how long after its effect the event of a death may be recorded:
// other entries notice one by their own heartbeats, some seconds later at most.
const followsWithin = 3 * time.Second

func (ev *Event) concerns(subject string) bool {
	return string(ev.Target) == subject || string(ev.Peer) == subject || string(ev.Entry) == subject
}

func beforeOrAfter(other, ev *Event) string {
	if other.Stamp > ev.Stamp {
		return "after"
	}
	return "before"
}

// taskSums counts the plain starts and ends of tasks by entry and target.
type taskSums struct {
	tasks map[int]bool
	sums  map[sumKey]*taskSum
}

type sumKey struct {
	entry  job.EntryID
	kind   Kind
	target job.TargetID
	cause  string
}

type taskSum struct {
	count   int
	told    bool
	longest time.Duration
	last    Stamp
}

func sumTasks(events []Event) *taskSums {
	s := &taskSums{tasks: map[int]bool{}, sums: map[sumKey]*taskSum{}}
	for i := range events {
		ev := &events[i]
		if !ev.HasTask() {
			continue
		}
		s.tasks[ev.Task] = true
		if !s.covers(ev) {
			continue
		}
		k := keyOf(ev)
		if s.sums[k] == nil {
			s.sums[k] = &taskSum{}
		}
		sum := s.sums[k]
		sum.count++
		sum.longest = max(sum.longest, ev.Took)
		sum.last = ev.Stamp
	}
	return s
}

// keyOf sums by target and cause.
func keyOf(ev *Event) sumKey {
	return sumKey{entry: ev.Entry, kind: ev.Kind, target: ev.Target, cause: ev.Cause}
}

func (s *taskSums) many() bool { return len(s.tasks) > storyTasks }

// covers reports whether the event may be summed up: it went as planned.
func (s *taskSums) covers(ev *Event) bool {
	switch ev.Kind {
	case TaskQueued, TaskStarted, TaskEnded:
		return ev.Reason == "" && ev.HasTask()
	}
	return false
}

// tell returns the sum's one sentence at its first event, and nothing after.
func (s *taskSums) tell(ev *Event) string {
	sum := s.sums[keyOf(ev)]
	if sum.told {
		return ""
	}
	sum.told = true
	if sum.count == 1 {
		return sentence(ev)
	}
	over := ""
	if span := sum.last.Time().Sub(ev.Stamp.Time()); span > 0 {
		over = fmt.Sprintf(" over %s", span)
	}
	switch ev.Kind {
	case TaskQueued:
		return fmt.Sprintf("%d tasks wait%s%s", sum.count, over, because(ev.Cause))
	case TaskStarted:
		return fmt.Sprintf("%d tasks start on target %s%s%s", sum.count, ev.Target, over, because(ev.Cause))
	}
	return fmt.Sprintf("%d tasks end on target %s%s, the longest after %s", sum.count, ev.Target, over, round(sum.longest))
}

func because(cause string) string {
	if cause == "" {
		return ""
	}
	return ": " + strings.TrimPrefix(cause, ": ")
}

func round(d time.Duration) time.Duration {
	if d > time.Second {
		return d.Round(time.Millisecond)
	}
	return d.Round(10 * time.Microsecond)
}
