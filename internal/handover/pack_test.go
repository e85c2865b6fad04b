package handover

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

func specOf(payload string) job.TaskSpec {
	return job.TaskSpec{Kind: "frame", Payload: []byte(payload), RunMillis: 60, MilliProcessors: 8000, MemoryMB: 64}
}

func roundTrip(t *testing.T, o offer) (got offer, bytes int) {
	t.Helper()
	o.pack()
	raw, err := cbor.Marshal(o)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, cbor.Unmarshal(raw, &got), qt.IsNil)
	got.unpack()
	return got, len(raw)
}

// A job of 30 equal tasks is sent to another entry over a slow link. If the payload were sent
// 30 times, the tasks would wait for the link as long as they run.
func TestEqualTasksAreSentOnce(t *testing.T) {
	payload := make([]byte, 300)
	var o offer
	for i := range 30 {
		o.Batch.Tasks = append(o.Batch.Tasks, job.BatchTask{Index: 2 * i, TaskSpec: specOf(string(payload))})
	}
	got, bytes := roundTrip(t, o)
	qt.Assert(t, got.Batch.Tasks, qt.DeepEquals, o.Batch.Tasks)
	qt.Assert(t, bytes < 1000, qt.IsTrue, qt.Commentf("%d bytes", bytes))
}

// The tasks of a job differ, or the job has only one. Each must keep its kind: without it, a
// task would be measured together with all other tasks of its service.
func TestDifferentTasksArriveUnchanged(t *testing.T) {
	var o offer
	for i, payload := range []string{"a", "b", "b"} {
		o.Batch.Tasks = append(o.Batch.Tasks, job.BatchTask{Index: i, TaskSpec: specOf(payload)})
	}
	got, _ := roundTrip(t, o)
	qt.Assert(t, got.Batch.Tasks, qt.DeepEquals, o.Batch.Tasks)
	o.Batch.Tasks = o.Batch.Tasks[:1]
	got, _ = roundTrip(t, o)
	qt.Assert(t, got.Batch.Tasks, qt.DeepEquals, o.Batch.Tasks)
}
