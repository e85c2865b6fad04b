package entry

import (
	"context"
	"sync"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/handover"
	"github.com/vanillagrade/vanillagrade/internal/holder"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/membership"
	"github.com/vanillagrade/vanillagrade/internal/pipeline"
	"github.com/vanillagrade/vanillagrade/internal/policy/split"
)

// holders gives the owner access to its own holder and to those of other entries.
type holders struct {
	self    job.Owner
	local   *holder.Holder
	remote  *handover.Remote
	members *membership.Membership

	mu       sync.Mutex
	splitter *split.Splitter
	// reportedAt is the time of each entry's last reported load, and slots the number
	// of slots that the entry reported for each pool.
	reportedAt map[job.EntryID]time.Time
	slots      map[job.EntryID]map[string]int
	// answerLoads are the loads that arrived with answers whose outcomes are not counted yet.
	answerLoads map[job.EntryID]job.HolderLoad
}

var _ pipeline.Holders = (*holders)(nil)

// splitSeed makes an entry's random choice among equal holders the same in each run.
const splitSeed = 1

func newHolders(self job.Owner, local *holder.Holder, r *handover.Remote, m *membership.Membership) *holders {
	return &holders{
		self:        self,
		local:       local,
		remote:      r,
		members:     m,
		splitter:    split.New(self.Entry, self.Zone, split.DefaultCosts(), splitSeed),
		reportedAt:  map[job.EntryID]time.Time{},
		slots:       map[job.EntryID]map[string]int{},
		answerLoads: map[job.EntryID]job.HolderLoad{},
	}
}

// recordLoads passes loads to the splitter, each once: a second report of the same load
// would discard the record of what was sent to its holder since. Only a report that another
// entry has passed on, or that is read again, can be a copy of one that counted before.
func (h *holders) recordLoads(now time.Time, loads []membership.Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	newReports := map[job.EntryID]time.Time{}
	for _, l := range loads {
		at := now.Add(-l.Age)
		if l.Entry == h.self.Entry || !l.Direct && at.Sub(h.reportedAt[l.Entry]) < sameReportTolerance {
			continue
		}
		if _, seen := newReports[l.Entry]; !seen {
			h.slots[l.Entry] = map[string]int{}
		}
		newReports[l.Entry] = at
		h.slots[l.Entry][l.Pool] = l.Slots
		h.splitter.Report(at, l.HolderLoad)
	}
	for entry, at := range newReports {
		h.reportedAt[entry] = at
	}
}

// sameReportTolerance is the difference in time below which a report that did not come from
// the holder itself counts as a copy of the last one: it carries its age in milliseconds.
const sameReportTolerance = 2 * time.Millisecond

// setView drops holders that accept no new work.
func (h *holders) setView(view membership.Members) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range view.List {
		if !m.Serving() {
			h.splitter.Forget(m.Entry)
			delete(h.slots, m.Entry)
		}
	}
}

// Place implements pipeline.Holders. It reads this entry's own load at the time of the
// decision, so that load is never stale.
func (h *holders) Place(now time.Time, f *pipeline.Flow, tasks []int, without []job.EntryID) ([]pipeline.Part, job.Reason) {
	own := h.local.Load(f.Service.Pool)
	batch := make([]job.BatchTask, len(tasks))
	for i, task := range tasks {
		batch[i] = job.BatchTask{Index: task, TaskSpec: f.Submission.Tasks[task]}
	}
	plan := h.split(now, own, f, batch, without)
	if len(plan.Parts) == 0 {
		// A heartbeat may have reported a holder since loads were last recorded. A job
		// must not be refused for lack of a target because of that delay.
		h.recordLoads(now, h.members.AgedLoads())
		plan = h.split(now, own, f, batch, without)
	}
	parts := make([]pipeline.Part, len(plan.Parts))
	for i, p := range plan.Parts {
		parts[i] = pipeline.Part{Holder: p.Entry, Tasks: indices(p.Tasks)}
	}
	return parts, plan.Reason
}

func (h *holders) split(now time.Time, own job.HolderLoad, f *pipeline.Flow, batch []job.BatchTask, without []job.EntryID) split.Plan {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.splitter.Report(now, own)
	return h.splitter.SplitFor(now, f.Service.Pool, split.Precedence{Urgency: f.Service.Urgency, Priority: f.Service.Priority, MaxPerTarget: f.Submission.MaxPerTarget}, batch, without...)
}

func indices(tasks []job.BatchTask) []int {
	out := make([]int, len(tasks))
	for i := range tasks {
		out[i] = tasks[i].Index
	}
	return out
}

// Offer implements pipeline.Holders.
func (h *holders) Offer(to job.EntryID, pool string, b *job.Batch, report func([]job.TaskOutcome)) {
	counted := func(outcomes []job.TaskOutcome) {
		h.batchEnded(to, pool, len(b.Tasks), outcomes)
		report(outcomes)
	}
	if to == h.self.Entry {
		h.local.Offer(b, counted)
		return
	}
	member, _ := h.view().Get(to)
	h.remote.Offer(context.Background(), to, member.Incarnation, b, counted)
}

func (h *holders) view() *membership.Members {
	view := h.members.View()
	return &view
}

// batchEnded notifies the splitter that a batch has ended.
func (h *holders) batchEnded(from job.EntryID, pool string, n int, outcomes []job.TaskOutcome) {
	var sum time.Duration
	ran := 0
	for i := range outcomes {
		if outcomes[i].Status == job.TaskDone {
			sum += outcomes[i].Ran
			ran++
		}
	}
	mean := time.Duration(0)
	if ran > 0 {
		mean = sum / time.Duration(ran)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.splitter.Returned(pool, from, n, mean)
	if l, ok := h.answerLoads[from]; ok {
		// The holder measured this load after these tasks had ended.
		delete(h.answerLoads, from)
		h.reportedAt[from] = time.Now()
		h.splitter.Report(time.Now(), l)
	}
}

// recordAnswerLoad keeps the load that a holder reported with its answer until the outcomes
// are counted.
func (h *holders) recordAnswerLoad(from job.EntryID, l job.HolderLoad) {
	member, known := h.view().Get(from)
	if !known || !member.Serving() {
		return
	}
	l.Entry, l.Zone = from, member.Zone
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answerLoads[from] = l
}

// Cancel implements pipeline.Holders.
func (h *holders) Cancel(to job.EntryID, owner job.Owner, id job.ID) {
	if to == h.self.Entry {
		h.local.Cancel(owner, id)
		return
	}
	h.remote.Cancel(to, id)
}

// knownSlots returns the number of slots of a pool on which this owner can place tasks.
func (h *holders) knownSlots(pool string) int {
	own := h.local.Load(pool).Slots
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, pools := range h.slots {
		own += pools[pool]
	}
	return own
}
