package timeline

import (
	"fmt"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// reasonTexts states each reason in words. docs/OPERATIONS.md says what to do about
// each.
var reasonTexts = map[job.Reason]string{
	job.Malformed:       "the request could not be read",
	job.Unsupported:     "it uses something that this release does not serve",
	job.UnknownService:  "the configuration in force has no such service",
	job.UnknownTeam:     "the configuration in force has no such team",
	job.IDReused:        "the same id was used before with other content",
	job.TooLarge:        "the job's payload is above the limit",
	job.TooManyTasks:    "the job has more tasks than the limit",
	job.Infeasible:      "no announced target could ever hold its largest task",
	job.OverQuota:       "the team is over its quota",
	job.Overloaded:      "the expected wait is longer than the request can bear",
	job.QueueFull:       "the queue is full",
	job.NoTarget:        "no target of the service is announced",
	job.ZoneCordoned:    "all zones with targets for it are cordoned",
	job.Draining:        "the entry takes no new work because it is stopping",
	job.NotConfigured:   "the entry holds no configuration yet",
	job.NotDue:          "its time has not come yet",
	job.DeadlinePassed:  "its deadline had passed",
	job.DeadlineTooNear: "its deadline is nearer than the work takes",
	job.CallerGone:      "the caller hung up",
	job.CancelledByCall: "the caller cancelled it",
	job.TaskFailed:      "a task failed at its target",
	job.TaskCrashes:     "targets ended each time a task of the job ran on them",
	job.TargetLost:      "the target was lost while the task ran",
	job.TargetRefused:   "the target refused it before starting",
	job.HolderLost:      "the entry that holds the targets was lost",
	job.OwnerLost:       "the entry that owned it was lost",
	job.ZoneUnreachable: "the other availability zone is unreachable",
	job.NoRegistrar:     "no registrar could record who owns it",
	job.NotKept:         "it could not be stored as its service requires",
	job.SiblingFailed:   "another task of the job had already failed",
	job.Internal:        "an internal error",
	job.Preempted:       "its run was stopped for a more urgent job",
}

// ReasonText returns the reason in words, or the reason itself if it has no text.
func ReasonText(r job.Reason) string {
	if text := reasonTexts[r]; text != "" {
		return text
	}
	return string(r)
}

// reasonAndCause returns the reason in words followed by the recorded cause.
func reasonAndCause(ev *Event) string {
	switch {
	case ev.Reason == "":
		return causeText(ev.Cause)
	case ev.Reason == Late:
		return ", late" + causeText(ev.Cause)
	case ev.Cause == "":
		return fmt.Sprintf(", because %s (%s)", ReasonText(ev.Reason), ev.Reason)
	}
	return fmt.Sprintf(", because %s (%s): %s", ReasonText(ev.Reason), ev.Reason, ev.Cause)
}

// sentence describes one event.
func sentence(ev *Event) string {
	switch ev.Kind {
	case SubmissionReceived:
		return fmt.Sprintf("received from its caller%s%s", withTasks(ev.Count), reasonAndCause(ev))
	case SubmissionJoined:
		return fmt.Sprintf("joined with the same submission%s, which keeps its place%s", ownedBy(ev.Peer), reasonAndCause(ev))
	case SubmissionTakenOver:
		return fmt.Sprintf("taken over%s; tasks that may have started never start again%s", fromLostEntry(ev.Peer), reasonAndCause(ev))
	case SubmissionAdmitted:
		return fmt.Sprintf("admitted%s; entry %s owns it%s", withTasks(ev.Count), ev.Entry, reasonAndCause(ev))
	case SubmissionRefused:
		return fmt.Sprintf("refused, nothing ran%s", reasonAndCause(ev))
	case SubmissionAnswered:
		return fmt.Sprintf("answered%s%s", afterTook(ev), reasonAndCause(ev))
	case BatchOffered:
		return fmt.Sprintf("%s handed to holder %s%s%s", batchIs(ev), ev.Peer, afterTook(ev), reasonAndCause(ev))
	case BatchReceived:
		return fmt.Sprintf("%s taken from owner %s%s", batchIs(ev), ev.Peer, reasonAndCause(ev))
	case BatchLost:
		return fmt.Sprintf("%s lost with holder %s%s%s", batchIs(ev), ev.Peer, afterTook(ev), reasonAndCause(ev))
	case BatchAwaited:
		return fmt.Sprintf("%s still with holder %s when the submission ended%s%s", batchIs(ev), ev.Peer, afterTook(ev), reasonAndCause(ev))
	case BatchReported:
		return fmt.Sprintf("%s reported to owner %s%s%s", batchIs(ev), ev.Peer, afterTook(ev), reasonAndCause(ev))
	}
	if ev.HasTask() {
		return taskSentence(ev)
	}
	switch ev.Kind {
	case TaskQueued:
		owner := ""
		if ev.Peer != "" && ev.Peer != ev.Entry {
			owner = " for owner " + string(ev.Peer)
		}
		return fmt.Sprintf("%s queued%s%s", tasksAre(ev.Count), owner, reasonAndCause(ev))
	case TaskDropped:
		return fmt.Sprintf("%s dropped before any start%s", tasksAre(ev.Count), reasonAndCause(ev))
	}
	return fleetSentence(ev)
}

func taskSentence(ev *Event) string {
	switch ev.Kind {
	case TaskQueued:
		return fmt.Sprintf("task %d waits%s", ev.Task, reasonAndCause(ev))
	case TaskStarted:
		waited := ""
		if ev.Took > 0 {
			waited = fmt.Sprintf(" after a wait of %s", round(ev.Took))
		}
		return fmt.Sprintf("task %d starts on target %s%s%s%s", ev.Task, ev.Target, concurrentTasks(ev.Count), waited, reasonAndCause(ev))
	case TaskEnded:
		if ev.Reason != "" {
			return fmt.Sprintf("task %d has no result%s%s%s", ev.Task, fromTarget(ev), afterTook(ev), reasonAndCause(ev))
		}
		return fmt.Sprintf("task %d ends on target %s%s%s", ev.Task, ev.Target, afterTook(ev), reasonAndCause(ev))
	case TaskSuspect:
		if ev.Reason != "" {
			return fmt.Sprintf("task %d is given up%s%s", ev.Task, fromTarget(ev), reasonAndCause(ev))
		}
		return fmt.Sprintf("task %d may have crashed its target and runs alone from now on%s%s", ev.Task, fromTarget(ev), reasonAndCause(ev))
	case TaskPreempted:
		return fmt.Sprintf("task %d is being stopped%s%s%s", ev.Task, fromTarget(ev), afterTook(ev), reasonAndCause(ev))
	case TaskRetried:
		return fmt.Sprintf("task %d goes back to the queue%s%s", ev.Task, fromTarget(ev), reasonAndCause(ev))
	}
	return fmt.Sprintf("task %d is dropped before any start%s", ev.Task, reasonAndCause(ev))
}

// fleetTexts describe the events that belong to no submission. %s stands for the
// subject of the event.
var fleetTexts = map[Kind]string{
	TargetAnnounced:       "target %s announces itself",
	TargetStopping:        "target %s is stopping and gets no new work",
	TargetExpired:         "the lease of target %s expired",
	TargetSuspect:         "target %s is suspected and gets only probes",
	TargetHealthy:         "target %s is healthy again",
	TargetSpeedUsed:       "the speed of target %s starts from a record",
	TargetSpeedCorrected:  "the speed record of target %s is wrong and no longer used",
	TargetTaken:           "this entry now controls target %s",
	TargetYielded:         "this entry yields target %s to another one, and its runs there are over",
	LeaseExpired:          "the lease of the runs on target %s has run out",
	VotersChanged:         "the voters change: %s votes",
	EntryAlive:            "entry %s is alive",
	EntrySuspect:          "entry %s is suspected",
	EntryDead:             "entry %s is taken for dead",
	ConfigurationInEffect: "a configuration is in force%s",
	ConfigurationProposed: "a configuration is proposed%s",
	ConfigurationStale:    "the configuration may be stale%s",
	ZoneCordoned:          "a zone is cordoned%s",
	ZoneUncordoned:        "a zone is uncordoned%s",
	EntryStarted:          "entry %s starts",
	EntryDraining:         "entry %s drains",
	EntryStopped:          "entry %s stops",
	EntryPaused:           "entry %s stood still",
	OwnerUnresponsive:     "the work of owner %s is given up",
}

func fleetSentence(ev *Event) string {
	if ev.Kind == HolderChanged {
		return fmt.Sprintf("target %s goes to holder %s%s", ev.Target, ev.Peer, reasonAndCause(ev))
	}
	text, ok := fleetTexts[ev.Kind]
	if !ok {
		return string(ev.Kind) + reasonAndCause(ev)
	}
	subject := string(ev.Peer)
	switch ev.Kind {
	case TargetAnnounced, TargetStopping, TargetExpired, TargetSuspect, TargetHealthy, TargetSpeedUsed, TargetSpeedCorrected, TargetTaken, TargetYielded, LeaseExpired:
		subject = string(ev.Target)
	case EntryStarted, EntryDraining, EntryStopped, EntryPaused:
		subject = string(ev.Entry)
	case ConfigurationInEffect, ConfigurationProposed, ConfigurationStale, ZoneCordoned, ZoneUncordoned:
		subject = ""
		if ev.Count > 0 {
			subject = fmt.Sprintf(", number %d", ev.Count)
		}
	}
	return fmt.Sprintf(text, subject) + reasonAndCause(ev)
}

func withTasks(n int) string {
	switch n {
	case 0:
		return ""
	case 1:
		return " with 1 task"
	}
	return fmt.Sprintf(" with %d tasks", n)
}

func tasksAre(n int) string {
	if n == 1 {
		return "1 task is"
	}
	return fmt.Sprintf("%d tasks are", n)
}

// concurrentTasks says how many other tasks ran on the target at a start. The count
// includes the started one.
func concurrentTasks(count int) string {
	switch {
	case count <= 1:
		return ""
	case count == 2:
		return " beside 1 other task"
	}
	return fmt.Sprintf(" beside %d other tasks", count-1)
}

func batchIs(ev *Event) string {
	switch ev.Count {
	case 0:
		return "a batch is"
	case 1:
		return "a batch of 1 task is"
	}
	return fmt.Sprintf("a batch of %d tasks is", ev.Count)
}

func afterTook(ev *Event) string {
	if ev.Took <= 0 {
		return ""
	}
	return fmt.Sprintf(" after %s", round(ev.Took))
}

func fromTarget(ev *Event) string {
	if ev.Target == "" {
		return ""
	}
	return fmt.Sprintf(" from target %s", ev.Target)
}

func ownedBy(id job.EntryID) string {
	if id == "" {
		return ""
	}
	return fmt.Sprintf(" owned by entry %s", id)
}

func fromLostEntry(id job.EntryID) string {
	if id == "" {
		return ""
	}
	return fmt.Sprintf(" from entry %s, which is lost", id)
}
