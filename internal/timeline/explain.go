package timeline

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Sentence describes one step of a story.
type Sentence struct {
	// At is the time since the story's first event.
	At    time.Duration `json:"at"`
	Entry job.EntryID   `json:"entry"`
	Text  string        `json:"text"`
}

// Story describes what happened to one submission, with the reason of each decision.
type Story struct {
	Submission job.ID     `json:"submission"`
	Found      bool       `json:"found"`
	Sentences  []Sentence `json:"sentences"`
	// Missing lists what the story may lack.
	Missing []string `json:"missing,omitempty"`
}

// maxSeparateTasks is the number of tasks up to which each one has its own
// sentences. With more tasks, starts and ends are summarised by target.
const maxSeparateTasks = 4

// Explain returns the story of one submission.
func Explain(t Timeline, id job.ID) Story {
	events := t.EventsOf(id)
	story := Story{Submission: id, Found: len(events) > 0}
	if story.Found {
		t.addMissing(&story, events[0].Stamp)
	} else {
		t.addMissing(&story, 0)
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
	mentioned := map[*Event]bool{}
	for i := range events {
		ev := &events[i]
		if ev.Kind == SubmissionReceived {
			if first != nil {
				add(ev, resubmissionText(first, ev))
			} else {
				first = ev
			}
		}
		if sums.many() && sums.canSummarise(ev) {
			if text := sums.summary(ev); text != "" {
				add(ev, text)
			}
			continue
		}
		add(ev, sentence(ev))
		if related := t.relatedEvent(ev); related != nil && !mentioned[related] {
			mentioned[related] = true
			add(ev, fmt.Sprintf("%s that, at %s: %s", beforeOrAfter(related, ev), clockText(related.Stamp), sentence(related)))
		}
	}
	return story
}

// resubmissionText states that the caller has sent the submission before. The second
// attempt may have succeeded where the first one failed, so a reader must be able to
// tell them apart.
func resubmissionText(first, ev *Event) string {
	return fmt.Sprintf("the caller sends it again, %s after entry %s received it", round(ev.Stamp.Time().Sub(first.Stamp.Time())), first.Entry)
}

// The kinds of events of targets and entries that a story may refer to.
var (
	targetContext = []Kind{TargetExpired, TargetStopping, TargetSuspect, TargetYielded, LeaseExpired}
	entryContext  = []Kind{EntryDead, EntrySuspect, EntryDraining, EntryStopped, EntryPaused, OwnerUnresponsive}
)

// ContextKinds returns the kinds of events, apart from those of the submission itself,
// that its story may refer to.
func ContextKinds() []Kind { return slices.Concat(targetContext, entryContext) }

// addMissing adds to the story why it may be incomplete.
func (t *Timeline) addMissing(story *Story, from Stamp) {
	for _, e := range t.Unreachable {
		story.Missing = append(story.Missing, fmt.Sprintf("entry %s could not be reached: what it did is not told here", e))
	}
	for _, g := range t.Gaps {
		if from <= g.CompleteFrom && g.CompleteFrom > 0 {
			story.Missing = append(story.Missing, fmt.Sprintf("events of entry %s are complete only from %s on: its ring dropped earlier ones", g.Entry, clockText(g.CompleteFrom)))
		}
		if g.LeftOut > 0 {
			story.Missing = append(story.Missing, fmt.Sprintf("entry %s has %d more matching events than the limit allows", g.Entry, g.LeftOut))
		}
	}
	for _, s := range t.Skewed {
		story.Missing = append(story.Missing, fmt.Sprintf("the clock of entry %s is %s ahead: its events appear too late", s.Entry, s.Ahead.Round(time.Second)))
	}
}

// relatedEvent returns the event of the fleet that explains why ev lost a target or an
// entry, or nil if there is none. It is the last such event before ev, or else the first
// one shortly after it, since an entry may act on a death before the death is recorded.
func (t *Timeline) relatedEvent(ev *Event) *Event {
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
		if other.Submission != "" || !slices.Contains(kinds, other.Kind) || !other.involves(subject) {
			continue
		}
		if other.Stamp <= ev.Stamp {
			found = other
			continue
		}
		if found == nil && other.Stamp.Time().Sub(ev.Stamp.Time()) <= maxRecordDelay {
			found = other
		}
		break
	}
	return found
}

// maxRecordDelay is how long after its effect a death may be recorded. Other entries
// detect it by their own heartbeats, some seconds later at most.
const maxRecordDelay = 3 * time.Second

func (ev *Event) involves(subject string) bool {
	return string(ev.Target) == subject || string(ev.Peer) == subject || string(ev.Entry) == subject
}

func beforeOrAfter(other, ev *Event) string {
	if other.Stamp > ev.Stamp {
		return "after"
	}
	return "before"
}

// taskSums counts the tasks that were queued, started and ended as planned, by entry,
// target and cause.
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
	count    int
	reported bool
	longest  time.Duration
	last     Stamp
}

func sumTasks(events []Event) *taskSums {
	s := &taskSums{tasks: map[int]bool{}, sums: map[sumKey]*taskSum{}}
	for i := range events {
		ev := &events[i]
		if !ev.HasTask() {
			continue
		}
		s.tasks[ev.Task] = true
		if !s.canSummarise(ev) {
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

func keyOf(ev *Event) sumKey {
	return sumKey{entry: ev.Entry, kind: ev.Kind, target: ev.Target, cause: ev.Cause}
}

func (s *taskSums) many() bool { return len(s.tasks) > maxSeparateTasks }

// canSummarise reports whether the event may be summarised, which holds if the task
// went as planned.
func (s *taskSums) canSummarise(ev *Event) bool {
	switch ev.Kind {
	case TaskQueued, TaskStarted, TaskEnded:
		return ev.Reason == "" && ev.HasTask()
	}
	return false
}

// summary returns the sentence that stands for all events summarised with ev if ev is
// the first of them, and an empty string otherwise.
func (s *taskSums) summary(ev *Event) string {
	sum := s.sums[keyOf(ev)]
	if sum.reported {
		return ""
	}
	sum.reported = true
	if sum.count == 1 {
		return sentence(ev)
	}
	overText := ""
	if span := sum.last.Time().Sub(ev.Stamp.Time()); span > 0 {
		overText = fmt.Sprintf(" over %s", span)
	}
	switch ev.Kind {
	case TaskQueued:
		return fmt.Sprintf("%d tasks wait%s%s", sum.count, overText, causeText(ev.Cause))
	case TaskStarted:
		return fmt.Sprintf("%d tasks start on target %s%s%s", sum.count, ev.Target, overText, causeText(ev.Cause))
	}
	return fmt.Sprintf("%d tasks end on target %s%s, the longest after %s", sum.count, ev.Target, overText, round(sum.longest))
}

func causeText(cause string) string {
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
