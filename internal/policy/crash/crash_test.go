package crash

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

var start = time.Unix(1000, 0)

func task(id string, index int) Task { return Task{job.ID(id), index} }

// Guards against a task that takes down target after target.
func TestTaskIsAbandonedAfterSecondLostTarget(t *testing.T) {
	b := NewTracker()
	v := b.RecordLoss(start, task("a", 0), endedTarget("t1"))
	qt.Assert(t, v.Abandon, qt.IsFalse)
	qt.Assert(t, v.Suspect, qt.IsTrue)
	v = b.RecordLoss(start.Add(3*time.Second), task("a", 0), endedTarget("t2"))
	qt.Assert(t, v.Abandon, qt.IsTrue)
	qt.Assert(t, v.Lost, qt.DeepEquals, []job.TargetID{"t1", "t2"})
	qt.Assert(t, b.Decide(task("a", 1)).Suspect, qt.IsFalse)
}

// Guards against bystanders that are abandoned, and against suspicion that outlasts the
// task's success.
func TestBystanderThatCompletesIsCleared(t *testing.T) {
	b := NewTracker()
	b.RecordLoss(start, task("guilty", 0), endedTarget("t1"))
	b.RecordLoss(start, task("bystander", 3), endedTarget("t1"))
	b.Clear(task("bystander", 3))
	v := b.RecordLoss(start.Add(time.Minute), task("bystander", 3), endedTarget("t9"))
	qt.Assert(t, v.Abandon, qt.IsFalse)
}

// Guards against jobs that are abandoned because a rack failure, a network partition or a
// power loss ended their targets twice.
func TestMassLossCountsAgainstNoTask(t *testing.T) {
	b := NewTracker()
	for round := range 2 {
		at := start.Add(time.Duration(round) * 10 * time.Second)
		for i := range 6 {
			b.RecordLoss(at, task(fmt.Sprint("job", i), 0), endedTarget(job.TargetID(fmt.Sprintf("t%d-%d", round, i))))
		}
	}
	for i := range 6 {
		qt.Assert(t, b.Decide(task(fmt.Sprint("job", i), 0)).Abandon, qt.IsFalse, qt.Commentf("job %d", i))
	}
	once := NewTracker()
	for i := range 6 {
		once.RecordLoss(start, task(fmt.Sprint("job", i), 0), endedTarget(job.TargetID(fmt.Sprint("t", i))))
	}
	for i := range 6 {
		qt.Assert(t, once.Decide(task(fmt.Sprint("job", i), 0)).Suspect, qt.IsFalse, qt.Commentf("job %d", i))
	}
}

// Guards against mistaking a wide job whose tasks all crash their targets for a power
// loss.
func TestLossesOfOneJobAreNotAMassLoss(t *testing.T) {
	b := NewTracker()
	for i := range 8 {
		b.RecordLoss(start, task("guilty", i), endedTarget(job.TargetID(fmt.Sprint("t", i))))
		b.RecordLoss(start, task(fmt.Sprint("bystander", i), 0), endedTarget(job.TargetID(fmt.Sprint("t", i))))
	}
	qt.Assert(t, b.Decide(task("guilty", 0)).Suspect, qt.IsTrue)
	qt.Assert(t, b.Decide(task("bystander0", 0)).Suspect, qt.IsTrue)
}

// Guards against a loss record that is lost together with its holder or owner, and one
// that grows when the same losses are reported again.
func TestRecordsAreShared(t *testing.T) {
	first, second := NewTracker(), NewTracker()
	first.RecordLoss(start, task("a", 0), endedTarget("t1"))
	for range 3 {
		second.Merge(start, task("a", 0), first.Decide(task("a", 0)).Counted)
	}
	qt.Assert(t, second.Decide(task("a", 0)).Abandon, qt.IsFalse)
	qt.Assert(t, second.Decide(task("a", 0)).Suspect, qt.IsTrue)
	qt.Assert(t, second.RecordLoss(start, task("a", 0), endedTarget("t1")).Abandon, qt.IsFalse)
	qt.Assert(t, second.RecordLoss(start, task("a", 0), endedTarget("t2")).Abandon, qt.IsTrue)
}

// Guards against memory that grows with the number of tasks that were ever suspected.
func TestRecordsAreBounded(t *testing.T) {
	b := NewTracker()
	for i := range 2 * maxRecords {
		b.Merge(start, task("job", i), []job.TargetID{"t"})
	}
	qt.Assert(t, b.Len() <= maxRecords+1, qt.IsTrue, qt.Commentf("%d", b.Len()))
	b.Merge(start.Add(retention+time.Second), task("late", 0), []job.TargetID{"t"})
	qt.Assert(t, b.Len(), qt.Equals, 1)
}

// endedTarget returns a target with a place of its own, held by an entry with twenty
// targets.
func endedTarget(id job.TargetID) Ended {
	return Ended{Target: id, Place: "at " + string(id), Held: 20, Sure: true}
}

// Guards against jobs that are abandoned because of a machine that goes down repeatedly.
func TestUnstableTargetsCountAgainstNoTask(t *testing.T) {
	b := NewTracker()
	down := func(at time.Duration, id string, tasks ...Task) (v Decision) {
		for _, x := range tasks {
			v = b.RecordLoss(start.Add(at), x, Ended{Target: job.TargetID(id), Place: "10.0.0.1:80", Held: 20, Sure: true})
		}
		return v
	}
	down(0, "t1", task("a", 0))
	qt.Assert(t, down(3*time.Second, "t2", task("b", 0)).Abandon, qt.IsFalse)
	qt.Assert(t, b.RecordLoss(start.Add(6*time.Second), task("b", 0), endedTarget("t9")).Abandon, qt.IsFalse)
	qt.Assert(t, b.RecordLoss(start.Add(9*time.Second), task("b", 0), endedTarget("t10")).Abandon, qt.IsTrue)
}

// Guards against a task that makes target after target unresponsive, and against tasks
// that become suspects because one target was unreachable.
func TestTaskIsAbandonedAfterThirdUnconfirmedLoss(t *testing.T) {
	b := NewTracker()
	unresponsive := func(id job.TargetID) Ended { return Ended{Target: id, Place: "at " + string(id), Held: 20} }
	qt.Assert(t, b.RecordLoss(start, task("a", 0), unresponsive("t1")).Suspect, qt.IsFalse)
	qt.Assert(t, b.RecordLoss(start.Add(time.Second), task("a", 0), unresponsive("t2")).Suspect, qt.IsTrue)
	qt.Assert(t, b.RecordLoss(start.Add(2*time.Second), task("a", 0), unresponsive("t3")).Abandon, qt.IsTrue)
}
