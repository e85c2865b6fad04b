package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/membership"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/policy/crash"
)

// crashReportDelay is the delay before other entries are notified of a task under which a
// target ended. By then it is usually known whether many targets ended at once. A caller
// that lost its entry resends the job after 1.3 s at the earliest, so the report is in time.
const crashReportDelay = 250 * time.Millisecond

// crashReporter tracks tasks under which targets ended, and notifies the entries that may
// receive the same job again because its holder or owner may be lost.
type crashReporter struct {
	tracker *crash.Tracker
	members *membership.Membership
	mesh    peer.Mesh
	self    job.Owner

	mu         sync.Mutex
	unreported map[crash.Task]job.Owner
}

// crashReport is the message about one task: the targets that ended under it.
type crashReport struct {
	_          struct{} `cbor:",toarray"`
	Submission job.ID
	Index      int
	Targets    []job.TargetID
}

func newCrashReporter(e *Entry) *crashReporter {
	c := &crashReporter{tracker: crash.NewTracker(), mesh: e.links, self: e.self, unreported: map[crash.Task]job.Owner{}}
	c.mesh.HandleInOrder(peer.TaskCrashed, c.handle)
	return c
}

// record schedules a report about a task under which a target has just ended.
func (c *crashReporter) record(owner job.Owner, t crash.Task) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unreported) == 0 {
		time.AfterFunc(crashReportDelay, c.report)
	}
	c.unreported[t] = owner
}

// report notifies the entries of this zone and of the owners' zones.
func (c *crashReporter) report() {
	c.mu.Lock()
	pending := c.unreported
	c.unreported = map[crash.Task]job.Owner{}
	c.mu.Unlock()
	zones := []job.Zone{c.self.Zone}
	var list []crashReport
	for t, owner := range pending {
		v := c.tracker.Decide(t)
		if len(v.Counted) == 0 {
			continue // many targets ended at once, or the task has succeeded
		}
		list = append(list, crashReport{Submission: t.Submission, Index: t.Index, Targets: v.Counted})
		zones = append(zones, owner.Zone)
	}
	if len(list) == 0 || c.members == nil {
		return
	}
	view := c.members.View()
	for _, m := range view.List {
		if m.Entry == c.self.Entry || !m.Live() || !slices.Contains(zones, m.Zone) {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
			defer cancel()
			// An entry that misses this report loses at most one more target to the task.
			_ = c.mesh.Call(ctx, m.Entry, peer.TaskCrashed, list, nil)
		}()
	}
}

func (c *crashReporter) handle(_ context.Context, _ job.Owner, body cbor.RawMessage) (any, error) {
	var list []crashReport
	if err := cbor.Unmarshal(body, &list); err != nil {
		return nil, errors.Annotate(err, "decoding tasks under which targets ended")
	}
	now := time.Now()
	for _, x := range list {
		c.tracker.Merge(now, crash.Task{Submission: x.Submission, Index: x.Index}, x.Targets)
	}
	return true, nil
}
