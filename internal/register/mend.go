package register

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/consensus"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/voters"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

const (
	// mendInterval is how often the voters are looked at. A lost disk is mended
	// within this, a probe of the returned entry and two rounds of the register.
	mendInterval = 250 * time.Millisecond
	// mendTimeout bounds one change of the voters: a large value to a slow disk.
	mendTimeout = 3 * time.Second
	// mendVisible bounds the wait until a change of the voters is seen here.
	mendVisible = 500 * time.Millisecond
	// unknownTime is how long after the start of this entry a voter that it has not
	// found yet may still be starting.
	unknownTime = 3 * time.Second
	// retireTimeout bounds how long a planned stop waits until the vote has passed on.
	retireTimeout = 2 * time.Second
	// retirePoll is how often it looks.
	retirePoll = 20 * time.Millisecond
)

// Mend is what the voters are mended by.
type Mend struct {
	// Want is how many voters the fleet needs.
	Want int
	// Within is how soon a dead voter has to be replaced: from then on the fleet has to
	// tolerate the next failure. Zero where the settings don't say.
	Within time.Duration
	// Disks lists the entries with a data folder as this entry sees them; the
	// register fills in who votes, and since when who is not alive is away.
	Disks func() []voters.Disk
}

// mending is what the goroutine that mends the voters remembers.
type mending struct {
	// away is since when entries have not been alive.
	away map[job.EntryID]time.Time
	// due is the change that is due, dueAt since when.
	due   dueChange
	dueAt time.Time
	// judged is what was last logged.
	judged judged
}

// dueChange is one change of one version of the register.
type dueChange struct {
	version uint64
	action  voters.Action
}

// mendLoop has the voters mended. The first of them that is alive does it, and if it
// can't, the next one in order; two that act on one version do it once, since the
// register refuses the second change.
func (r *Register) mendLoop(ctx context.Context) {
	for {
		for r.mendOnce(ctx) {
			// Losses that came together are mended without a pause.
		}
		timer := time.NewTimer(jitter(mendInterval))
		select {
		case <-timer.C:
		case <-r.retiring:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// mendOnce looks at the voters, and reports whether it changed them.
func (r *Register) mendOnce(ctx context.Context) bool {
	s := r.current.Load()
	if s == nil || !r.voting() {
		return false
	}
	now := time.Now()
	disks := r.judgeDisks(s, now)
	verdict := voters.Plan(now, disks, r.opts.Mend.Want)
	order := voters.Order(disks, &verdict)
	r.logVerdict(s, disks, verdict, order)
	due := dueChange{s.Version, verdict.Action}
	if due != r.mending.due {
		r.mending.due, r.mending.dueAt = due, now
	}
	turn := slices.Index(order, r.self)
	if !verdict.Due() || turn < 0 || now.Sub(r.mending.dueAt) < time.Duration(turn)*voters.TurnTime {
		return false
	}
	return r.mend(ctx, s.Version, verdict.Action)
}

// Retire has this entry's vote pass on to a spare disk, where there is one, before a
// planned stop: the stop would otherwise leave the set with one voter less until it is
// mended. It returns when the vote has passed on, or can't.
func (r *Register) Retire(ctx context.Context) {
	if r.opts.Mend == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, retireTimeout)
	defer cancel()
	signal(r.retiring)
	for r.voting() && r.spareDisks.Load() > 0 {
		if !sleep(ctx, retirePoll) {
			return
		}
	}
}

// judged is what was last said of the voters.
type judged struct {
	reason voters.Reason
	voter  job.EntryID
	spare  job.EntryID
	acts   job.EntryID
}

// logVerdict logs what a look at the voters found, when it differs from the last
// one, and keeps the figures of the metrics.
func (r *Register) logVerdict(s *snapshot, disks []voters.Disk, v voters.Verdict, order []job.EntryID) {
	heard, spares := 0, 0
	for _, d := range disks {
		switch {
		case d.Votes():
			heard++
		case d.Spare():
			spares++
		}
	}
	acts := job.EntryID("")
	if len(order) > 0 {
		acts = order[0]
	}
	majority := len(s.Voters)/2 + 1
	r.votersHeard.Store(int64(heard))
	r.votersToLose.Store(int64(heard - majority))
	r.spareDisks.Store(int64(spares))
	said := judged{v.Reason, v.Voter, v.Action.New, acts}
	if said == r.mending.judged {
		return
	}
	r.mending.judged = said
	r.log.Info("voters judged", "reason", v.Reason, "voter", v.Voter, "spare", v.Action.New, "acts", acts,
		"version", s.Version, "voters", len(s.Voters), "heard", heard, "losses_left", heard-majority,
		"spare_disks", spares, "wanted", r.opts.Mend.Want, "disks", describe(disks, time.Now()))
}

// describe words how each disk is seen, and for how long.
func describe(disks []voters.Disk, now time.Time) []string {
	var out []string
	for _, d := range disks {
		role := "spare"
		if d.Voter {
			role = "voter"
		}
		if d.Foreign {
			role = "emptied voter"
		}
		age := "unknown"
		if !d.Since.IsZero() {
			age = now.Sub(d.Since).Round(time.Millisecond).String()
		}
		out = append(out, fmt.Sprintf("%s: %s, %s for %s", d.Entry, role, d.Liveness, age))
	}
	return out
}

// judgeDisks lists the disks, with who votes and since when the others are away.
func (r *Register) judgeDisks(s *snapshot, now time.Time) []voters.Disk {
	disks := r.opts.Mend.Disks()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range s.Voters {
		i := slices.IndexFunc(disks, func(d voters.Disk) bool { return d.Entry == v.Entry })
		if i < 0 {
			disks = append(disks, r.unknownVoter(v.Entry, now))
			i = len(disks) - 1
		}
		disks[i].Voter = true
		said, known := r.disks[v.Entry]
		disks[i].Foreign = v.Entry != r.self && known && said != v.Identity
	}
	r.mending.stampAway(disks, now)
	return disks
}

// unknownVoter is a voter that this entry has not found, or has forgotten.
func (r *Register) unknownVoter(e job.EntryID, now time.Time) voters.Disk {
	d := voters.Disk{Entry: e, Liveness: voters.Dead}
	if now.Sub(r.started) < unknownTime {
		d.Liveness = voters.Suspect
	}
	return d
}

// stampAway fills in since when entries have not been alive. The membership's own time
// is that of the last change of state, such as from suspect to dead.
func (m *mending) stampAway(disks []voters.Disk, now time.Time) {
	away := map[job.EntryID]time.Time{}
	for i := range disks {
		d := &disks[i]
		if d.Liveness == voters.Alive || d.Liveness == voters.Draining {
			continue
		}
		since, known := m.away[d.Entry]
		if !known {
			since = now
		}
		away[d.Entry], d.Since = since, since
	}
	m.away = away
}

// mend carries out one change of the voters, and reports whether it did.
func (r *Register) mend(ctx context.Context, version uint64, a voters.Action) bool {
	ctx, cancel := context.WithTimeout(ctx, mendTimeout)
	defer cancel()
	voter, err := r.identify(ctx, a.New)
	if err == nil && slices.Contains(r.current.Load().Voters, voter) {
		// What was known of its disk was out of date.
		return false
	}
	if err == nil {
		c := consensus.Command{Kind: consensus.Replace, Old: a.Old, New: voter, Expect: version}
		if a.Old == "" {
			c.Kind = consensus.Add
		}
		// A voter that has voted itself out can't tell when the change is safe.
		candidates := slices.DeleteFunc(r.candidates(), func(e job.EntryID) bool { return e == a.Old })
		_, err = r.carryOutAt(ctx, c, candidates)
	}
	if err != nil {
		r.log.Warn("the voters were not mended", "old", a.Old, "new", a.New, "cause", a.Cause, "error", errors.Cause(err).Error())
		return false
	}
	r.logMended(a, voter.Identity)
	r.awaitVersion(ctx, version)
	return true
}

// logMended logs a change of the voters, with how long the place of a lost one was
// empty.
func (r *Register) logMended(a voters.Action, identity consensus.Identity) {
	took := time.Duration(0)
	if since, known := r.mending.away[a.Old]; known {
		took = time.Since(since)
	}
	level := slog.LevelInfo
	if within := r.opts.Mend.Within; within > 0 && took > within {
		level = slog.LevelWarn
	}
	r.log.Log(context.Background(), level, "the voters were mended", "old", a.Old, "new", a.New, "identity", identity,
		"cause", a.Cause, "away_ms", took.Milliseconds(), "within_ms", r.opts.Mend.Within.Milliseconds())
	r.ev.Record(timeline.Event{Kind: timeline.VotersChanged, Peer: a.New, Cause: changeOf(a), Took: took})
}

// awaitVersion waits until a later version than the one given is seen here.
func (r *Register) awaitVersion(ctx context.Context, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, mendVisible)
	defer cancel()
	for r.held() <= version {
		if !sleep(ctx, confirmPause) {
			return
		}
	}
}

// changeOf words a change of the voters for the time line.
func changeOf(a voters.Action) string {
	if a.Old == "" {
		return "added: " + a.Cause
	}
	return "in place of " + string(a.Old) + ": " + a.Cause
}
