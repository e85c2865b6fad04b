package entry

import (
	"context"
	"path/filepath"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/keep"
	"github.com/vanillagrade/vanillagrade/internal/membership"
	"github.com/vanillagrade/vanillagrade/internal/pipeline"
	"github.com/vanillagrade/vanillagrade/internal/storage"
)

// submissionsDir is the folder of kept submissions in the data folder.
const submissionsDir = "submissions"

// openKeeper opens this entry's keeper, with a log if there is a disk.
func (e *Entry) openKeeper() error {
	var log *storage.SubmissionLog
	if dir := e.opts.Settings.DataDir; dir != "" {
		opened, err := storage.OpenSubmissionLog(filepath.Join(dir, submissionsDir), storage.OS{})
		if err != nil {
			return errors.Annotate(err, "--data")
		}
		log = opened
	}
	keeper, err := keep.New(log)
	if err != nil {
		return errors.Annotate(err, "--data")
	}
	e.keeper, e.submissions = keeper, log
	keep.Serve(e.links, keeper)
	return nil
}

// chooseKeeper returns the keeper for a submission: this entry if the mode is synced and
// it has a disk, otherwise the first of rankKeepers.
func (e *Entry) chooseKeeper(mode job.Keep, id job.ID) (pipeline.Acceptor, bool) {
	synced := mode == job.KeepSynced
	if synced && e.keeper.HasDisk() {
		return e.keeper, true
	}
	view := e.members.View()
	candidates := e.rankKeepers(&view, synced)
	if len(candidates) == 0 {
		return nil, false
	}
	return &keep.Remote{Mesh: e.links, Entry: candidates[0], Synced: synced}, true
}

// rankKeepers returns the entries that could keep a submission, best first: alive
// before suspected, this zone before others.
func (e *Entry) rankKeepers(view *membership.Members, synced bool) []job.EntryID {
	disks := e.voters()
	var members []membership.Member
	for _, m := range view.List {
		if m.Entry == e.self.Entry || !m.Serving() || synced && !slices.Contains(disks, m.Entry) {
			continue
		}
		members = append(members, m)
	}
	rank := func(m membership.Member) int {
		c := 0
		if m.State != membership.Alive {
			c += 2
		}
		if m.Zone != e.self.Zone {
			c++
		}
		return c
	}
	slices.SortStableFunc(members, func(a, b membership.Member) int { return rank(a) - rank(b) })
	var out []job.EntryID
	for _, m := range members {
		out = append(out, m.Entry)
	}
	return out
}

// orphanInterval is how often the entry checks for kept submissions without a live
// owner. It is the longest delay added to the seconds that it takes to detect a dead
// entry.
const orphanInterval = time.Second

// watchOrphans finishes kept submissions whose owner's incarnation has ended, until
// ctx ends.
func (e *Entry) watchOrphans(ctx context.Context) error {
	return every(ctx, orphanInterval, func(time.Time) {
		if e.config.Current() != nil && !e.check.Draining() {
			e.driveOrphans(ctx)
		}
	})
}

func (e *Entry) driveOrphans(ctx context.Context) {
	view := e.members.View()
	gone := func(owner job.Owner) bool { return e.incarnationEnded(&view, owner) }
	for _, kept := range e.keeper.Orphans(gone) {
		e.keeper.Adopt(kept.Submission.ID, e.self)
		go e.drive(ctx, kept)
	}
}

// drive finishes one kept submission: it fetches results from the holders that still
// have them, and starts the tasks that were never granted.
func (e *Entry) drive(ctx context.Context, kept keep.Kept) {
	f := &pipeline.Flow{Submission: &kept.Submission, Resumed: true, Journal: e.keeper, Started: map[int]bool{}}
	for _, task := range kept.Granted {
		f.Started[task] = true
	}
	f.Held = e.collectResults(ctx, kept.Owner, kept.Submission.ID, kept.Granted, e.fetchResults(ctx, kept.Owner, kept.Submission.ID))
	e.log.Info("resuming a kept submission", "submission", kept.Submission.ID, "lost_owner", kept.Owner.Entry, "started", len(f.Started), "results", len(f.Held))
	for ctx.Err() == nil && joinedCallerAttempt(e.chain(ctx, f)) {
		time.Sleep(collectInterval)
	}
}

// joinedCallerAttempt reports whether a driven submission was joined to a caller's own
// attempt in this entry and received the answer of that attempt, "its owner is lost".
// The submission was not driven in that case, so the caller of this function must try
// again. Otherwise no entry would own it, and its callers would be refused forever.
func joinedCallerAttempt(a job.Answer) bool {
	return a.Outcome == job.Refused && a.Reason == job.OwnerLost
}

// Tasks of a lost owner may still run at holders. Their results are polled until all
// have arrived, at most for collectTimeout: all but the longest tasks end within it.
const (
	collectInterval = 250 * time.Millisecond
	collectTimeout  = 10 * time.Second
)

func coversAll(held []job.TaskOutcome, tasks []int) bool {
	have := map[int]bool{}
	for i := range held {
		have[held[i].Index] = true
	}
	for _, task := range tasks {
		if !have[task] {
			return false
		}
	}
	return true
}

// incarnationEnded reports whether an owner's incarnation has ended: it is an earlier
// incarnation of this entry, or has ended according to the view. An incarnation of which
// this entry has received nothing also counts as ended once its entry is considered dead.
func (e *Entry) incarnationEnded(view *membership.Members, owner job.Owner) bool {
	if owner.Entry == e.self.Entry {
		return owner.Incarnation != e.self.Incarnation
	}
	m, known := view.Get(owner.Entry)
	if !known || m.Incarnation > owner.Incarnation {
		return true
	}
	return m.State == membership.Dead || m.State == membership.Left
}

// fetchResults fetches the results of a lost owner's submission from all reachable
// holders.
func (e *Entry) fetchResults(ctx context.Context, owner job.Owner, id job.ID) []job.TaskOutcome {
	view := e.members.View()
	var from []job.EntryID
	for _, m := range view.List {
		if m.Live() && m.Entry != e.self.Entry {
			from = append(from, m.Entry)
		}
	}
	return append(e.handoverServer.Held(owner, id), e.remote.Fetch(ctx, from, owner, id)...)
}
