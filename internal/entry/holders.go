package entry

import (
	"sync"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/holder"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/pipeline"
	"github.com/vanillagrade/vanillagrade/internal/policy/split"
)

// remote hands batches to holders on other entries.
type remote interface {
	Offer(to job.EntryID, b *job.Batch, report func([]job.TaskOutcome))
	Cancel(to job.EntryID, owner job.Owner, id job.ID)
}

// holders is the owner's way to its own holder and to those of other entries.
type holders struct {
	self   job.Owner
	local  *holder.Holder
	remote remote

	mu       sync.Mutex
	splitter *split.Splitter
}

var _ pipeline.Holders = (*holders)(nil)

// splitSeed makes an entry's draws among equal holders the same in each run.
const splitSeed = 1

func newHolders(self job.Owner, local *holder.Holder, r remote) *holders {
	return &holders{
		self:     self,
		local:    local,
		remote:   r,
		splitter: split.New(self.Entry, self.Zone, split.DefaultCosts(), splitSeed),
	}
}

// observe takes in the loads that a holder reported.
func (h *holders) observe(now time.Time, loads []job.HolderLoad) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range loads {
		h.splitter.Report(now, l)
	}
}

// forget drops a holder that is dead or left.
func (h *holders) forget(e job.EntryID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.splitter.Forget(e)
}

// Place implements pipeline.Holders. This entry's own load is read at the
// moment of the decision, so it is never old.
func (h *holders) Place(now time.Time, f *pipeline.Flow, tasks []int) ([]pipeline.Part, job.Reason) {
	own := h.local.Load(f.Service.Pool)
	batch := make([]job.BatchTask, len(tasks))
	for i, task := range tasks {
		batch[i] = job.BatchTask{Index: task, TaskSpec: f.Submission.Tasks[task]}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.splitter.Report(now, own)
	plan := h.splitter.Split(now, f.Service.Pool, f.Service.Urgency, batch)
	parts := make([]pipeline.Part, len(plan.Parts))
	for i, p := range plan.Parts {
		parts[i] = pipeline.Part{Holder: p.Entry, Tasks: indices(p.Tasks)}
	}
	return parts, plan.Reason
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
		h.returned(to, pool, len(b.Tasks), outcomes)
		report(outcomes)
	}
	if to == h.self.Entry {
		h.local.Offer(b, counted)
		return
	}
	h.remote.Offer(to, b, counted)
}

// returned tells the splitter that a batch has ended.
func (h *holders) returned(from job.EntryID, pool string, n int, outcomes []job.TaskOutcome) {
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
}

// Cancel implements pipeline.Holders.
func (h *holders) Cancel(to job.EntryID, owner job.Owner, id job.ID) {
	if to == h.self.Entry {
		h.local.Cancel(owner, id)
		return
	}
	h.remote.Cancel(to, owner, id)
}
