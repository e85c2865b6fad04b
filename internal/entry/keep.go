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

// openKeeper opens this entry's keeper, with a log where there is a disk.
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

// chooseKeeper returns the keeper for a submission: this entry's own disk, or
// an entry of this zone, or one of another.
func (e *Entry) chooseKeeper(way job.Keep, id job.ID) (pipeline.Acceptor, bool) {
	synced := way == job.KeepSynced
	if synced && e.keeper.HasDisk() {
		return e.keeper, true
	}
	view := e.members.View()
	candidates := e.keepersAt(&view, synced)
	if len(candidates) == 0 {
		return nil, false
	}
	return &keep.Remote{Mesh: e.links, Entry: candidates[0], Synced: synced}, true
}

// keepersAt returns the entries that could keep a submission, best first: alive
// before under suspicion, this zone before others.
func (e *Entry) keepersAt(view *membership.Members, synced bool) []job.EntryID {
	disks := e.voters()
	var members []membership.Member
	for _, m := range view.List {
		if m.Entry == e.self.Entry || !m.Serving() || synced && !slices.Contains(disks, m.Entry) {
			continue
		}
		members = append(members, m)
	}
	cost := func(m membership.Member) int {
		c := 0
		if m.State != membership.Alive {
			c += 2
		}
		if m.Zone != e.self.Zone {
			c++
		}
		return c
	}
	slices.SortStableFunc(members, func(a, b membership.Member) int { return cost(a) - cost(b) })
	var out []job.EntryID
	for _, m := range members {
		out = append(out, m.Entry)
	}
	return out
}

// driveEvery is how often kept submissions without a living owner are looked
// for. It adds at most this to the seconds in which an entry is called dead.
const driveEvery = time.Second

// driveOn finishes kept submissions whose owner's life has ended, until ctx
// ends.
func (e *Entry) driveOn(ctx context.Context) error {
	return every(ctx, driveEvery, func(time.Time) {
		if e.config.Current() != nil && !e.check.Draining() {
			e.driveOrphans(ctx)
		}
	})
}

func (e *Entry) driveOrphans(ctx context.Context) {
	view := e.members.View()
	gone := func(owner job.Owner) bool { return e.lifeOver(&view, owner) }
	for _, kept := range e.keeper.Open(gone) {
		e.keeper.Adopt(kept.Submission.ID, e.self)
		go e.drive(ctx, kept)
	}
}

// drive finishes one kept submission: its results are fetched from the holders
// that still have them, and tasks that were never granted start.
func (e *Entry) drive(ctx context.Context, kept keep.Kept) {
	f := &pipeline.Flow{Submission: &kept.Submission, Resumed: true, Journal: e.keeper, Started: map[int]bool{}}
	for _, task := range kept.Granted {
		f.Started[task] = true
	}
	f.Held = e.collect(ctx, kept.Owner, kept.Submission.ID, kept.Granted, e.fetch(ctx, kept.Owner, kept.Submission.ID))
	e.log.Info("a kept submission is driven on", "submission", kept.Submission.ID, "lost_owner", kept.Owner.Entry, "started", len(f.Started), "results", len(f.Held))
	for ctx.Err() == nil && joinedACaller(e.chain(ctx, f)) {
		time.Sleep(collectEvery)
	}
}

// joinedACaller reports whether a driven submission met a caller's own attempt
// on its way through this entry and was given that one's answer, "its owner is
// lost", in place of being driven. Left at that, nobody would drive it any more
// and its callers would be sent away for ever.
func joinedACaller(a job.Answer) bool {
	return a.Outcome == job.Refused && a.Reason == job.OwnerLost
}

// Tasks of a lost owner may still run at holders. Their results are asked for
// until all are there, for as long as all but the longest tasks take.
const (
	collectEvery = 250 * time.Millisecond
	collectBound = 10 * time.Second
)

func covers(held []job.TaskOutcome, tasks []int) bool {
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

// lifeOver reports whether an owner's life has ended: an earlier life of this
// entry, or one that the view calls over. Also a life of which this entry has
// heard nothing counts once the entry is called dead.
func (e *Entry) lifeOver(view *membership.Members, owner job.Owner) bool {
	if owner.Entry == e.self.Entry {
		return owner.Incarnation != e.self.Incarnation
	}
	m, known := view.Get(owner.Entry)
	if !known || m.Incarnation > owner.Incarnation {
		return true
	}
	return m.State == membership.Dead || m.State == membership.Left
}

// fetch collects the results of a lost owner's submission from all holders in
// reach.
func (e *Entry) fetch(ctx context.Context, owner job.Owner, id job.ID) []job.TaskOutcome {
	view := e.members.View()
	var from []job.EntryID
	for _, m := range view.List {
		if m.Live() && m.Entry != e.self.Entry {
			from = append(from, m.Entry)
		}
	}
	return append(e.served.Held(owner, id), e.remote.Fetch(ctx, from, owner, id)...)
}
