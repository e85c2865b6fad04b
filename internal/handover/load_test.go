package handover

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Guards against owners that use a holder's load from before their own work there ended: the
// next heartbeat, which would update it, is half a second away.
func TestAnswersReportTheLoadOfTheirPool(t *testing.T) {
	run(t, func(s *fixture) {
		s.server.ReportLoads(func(pool string) job.HolderLoad {
			return job.HolderLoad{Pool: pool, Entry: "holder", Zone: "z", Free: 3}
		})
		var mu sync.Mutex
		var loads []job.HolderLoad
		reported := false
		s.remote = NewRemote(RemoteOptions{
			Mesh: s.net.Join(job.Owner{Entry: "second", Incarnation: 1, Zone: "y"}),
			Gone: func(job.EntryID, job.Incarnation) bool { return false },
			OnLoad: func(from job.EntryID, l job.HolderLoad) {
				mu.Lock()
				defer mu.Unlock()
				qt.Check(t, from, qt.Equals, job.EntryID("holder"))
				qt.Check(t, reported, qt.IsFalse)
				loads = append(loads, l)
			},
		})
		defer s.net.Crash("second")
		b := batch("j", 0, 1)
		b.Pool = "gpu"
		done := make(chan struct{})
		s.remote.Offer(context.Background(), "holder", holderID.Incarnation, b, func([]job.TaskOutcome) {
			mu.Lock()
			defer mu.Unlock()
			reported = true
			close(done)
		})
		<-done
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		qt.Assert(t, loads, qt.DeepEquals, []job.HolderLoad{{Pool: "gpu", Free: 3}})
	})
}
