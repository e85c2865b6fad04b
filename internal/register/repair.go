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
	// repairInterval is how often the voters are assessed. A lost disk is replaced
	// within this interval plus a probe of the returned entry and two consensus rounds.
	repairInterval = 250 * time.Millisecond
	// repairTimeout bounds one change of the voters: it allows for a large value on a
	// slow disk.
	repairTimeout = 3 * time.Second
	// repairVisibleTimeout bounds the wait until a change of the voters is in effect
	// on this entry.
	repairVisibleTimeout = 500 * time.Millisecond
	// startupGrace is how long after the start of this entry a voter that it has not
	// discovered may still be starting.
	startupGrace = 3 * time.Second
	// identifyTimeout bounds the wait for the identity of a new voter's disk.
	identifyTimeout = time.Second
	// retireTimeout bounds how long a planned stop waits for the transfer of the vote.
	retireTimeout = 2 * time.Second
	// retirePollInterval is how often a planned stop checks whether the vote was
	// transferred.
	retirePollInterval = 20 * time.Millisecond
)

// RepairOptions configures the automatic repair of the voter set.
type RepairOptions struct {
	// Want is how many voters the fleet needs.
	Want int
	// Within is the time within which a dead voter must be replaced: afterwards the
	// fleet has to tolerate the next failure. Zero where the settings don't define it.
	Within time.Duration
	// Disks lists the entries with a data folder as this entry sees them. The
	// register adds which of them vote and since when the others have not been alive.
	Disks func() []voters.Disk
}

// repairState is the state of the goroutine that repairs the voter set.
type repairState struct {
	// away holds, for each entry that is not alive, when it was first seen so.
	away map[job.EntryID]time.Time
	// turn decides when this entry carries out a change that is due.
	turn voters.Turn
	// failed is the new voter of the last change, if that failed: it may be
	// heard and yet not reachable, and must not keep others from being replaced.
	failed job.EntryID
	// assessment is the last logged assessment.
	assessment assessment
}

// repairLoop repairs the voter set. The first live voter in order carries out a change,
// or the next one if the first can't. If two voters act on the same set, the change happens
// once, since the register refuses the second one.
func (r *Register) repairLoop(ctx context.Context) {
	for {
		for r.repairOnce(ctx) {
			// Simultaneous losses are repaired without a delay between them.
		}
		timer := time.NewTimer(jitter(repairInterval))
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

// repairOnce assesses the voters and carries out at most one change. It reports
// whether it changed them.
func (r *Register) repairOnce(ctx context.Context) bool {
	s := r.current.Load()
	if s == nil || !r.isVoting() {
		return false
	}
	now := time.Now()
	disks := r.listDisks(s, now)
	decision := voters.Plan(now, disks, r.opts.Repair.Want)
	turnOrder := voters.Order(disks, &decision)
	r.logAssessment(s, disks, decision, turnOrder)
	place := slices.Index(turnOrder, r.self)
	if !r.repairState.turn.Reached(now, s.Voters, decision.Due(), place) {
		return false
	}
	changed := r.changeVoters(ctx, s.Voters, decision.Action)
	r.repairState.failed = ""
	if !changed {
		r.repairState.failed = decision.Action.New
	}
	return changed
}

// TransferVote transfers this entry's vote to a spare disk, if there is one, before a
// planned stop: otherwise the set would have one voter less until its repair. It returns
// when the vote was transferred, can't be transferred, or retireTimeout is over.
func (r *Register) TransferVote(ctx context.Context) {
	if r.opts.Repair == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, retireTimeout)
	defer cancel()
	signal(r.retiring)
	for r.isVoting() && r.spareDisks.Load() > 0 {
		if !sleep(ctx, retirePollInterval) {
			return
		}
	}
}

// assessment is the part of an assessment of the voters whose change is logged.
type assessment struct {
	reason voters.Reason
	voter  job.EntryID
	spare  job.EntryID
	actor  job.EntryID
}

// logAssessment logs an assessment of the voters that differs from the last one, and
// stores the values of the metrics.
func (r *Register) logAssessment(s *snapshot, disks []voters.Disk, v voters.Decision, turnOrder []job.EntryID) {
	reachable, spares := 0, 0
	for _, d := range disks {
		switch {
		case d.Votes():
			reachable++
		case d.Spare():
			spares++
		}
	}
	actor := job.EntryID("")
	if len(turnOrder) > 0 {
		actor = turnOrder[0]
	}
	majority := len(s.Voters)/2 + 1
	r.reachableVoters.Store(int64(reachable))
	r.lossesLeft.Store(int64(reachable - majority))
	r.spareDisks.Store(int64(spares))
	assessed := assessment{v.Reason, v.Voter, v.Action.New, actor}
	if assessed == r.repairState.assessment {
		return
	}
	r.repairState.assessment = assessed
	r.reportMajorityLost(v.Reason == voters.MajorityLost, voters.LostDisks(disks))
	r.log.Info("voters assessed", "reason", v.Reason, "voter", v.Voter, "spare", v.Action.New, "acts", actor,
		"version", s.Version, "voters", len(s.Voters), "heard", reachable, "losses_left", reachable-majority,
		"spare_disks", spares, "wanted", r.opts.Repair.Want, "disks", describeDisks(disks, time.Now()))
}

// reportMajorityLost logs that a majority of the voters' disks is lost, and has State report it:
// no entry can repair that, so an operator has to form the fleet anew.
func (r *Register) reportMajorityLost(lost bool, disks []job.EntryID) {
	problem := ""
	if lost {
		problem = fmt.Sprintf("the disks of %v are lost and the other voters are no majority: the configuration can't change until the fleet is formed anew", disks)
		r.log.Error("majority of the voters' disks lost", "lost", disks, "cause", problem)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.majorityLost = problem
}

// describeDisks describes each disk's role, its liveness and how long it has had that
// liveness.
func describeDisks(disks []voters.Disk, now time.Time) []string {
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

// listDisks lists the disks, marks the voters and sets since when entries have not
// been alive.
func (r *Register) listDisks(s *snapshot, now time.Time) []voters.Disk {
	disks := r.opts.Repair.Disks()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range s.Voters {
		i := slices.IndexFunc(disks, func(d voters.Disk) bool { return d.Entry == v.Entry })
		if i < 0 {
			disks = append(disks, r.unknownVoter(v.Entry, now))
			i = len(disks) - 1
		}
		disks[i].Voter = true
		identity, known := r.disks[v.Entry]
		disks[i].Foreign = v.Entry != r.self && known && identity != v.Identity
	}
	for i := range disks {
		disks[i].Postponed = disks[i].Entry == r.repairState.failed
	}
	r.repairState.updateAway(disks, now)
	return disks
}

// unknownVoter describes a voter that this entry has not discovered, or has forgotten.
func (r *Register) unknownVoter(e job.EntryID, now time.Time) voters.Disk {
	d := voters.Disk{Entry: e, Liveness: voters.Dead}
	if now.Sub(r.started) < startupGrace {
		d.Liveness = voters.Suspect
	}
	return d
}

// updateAway sets since when entries have not been alive. The time that the membership
// reports is that of the last state change, such as from suspect to dead.
func (m *repairState) updateAway(disks []voters.Disk, now time.Time) {
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

// changeVoters carries out one change of the given voters and reports whether it succeeded.
func (r *Register) changeVoters(ctx context.Context, set []consensus.Voter, a voters.Action) bool {
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	voter, err := r.identifyWithin(ctx, a.New, identifyTimeout)
	if err == nil && slices.Contains(r.current.Load().Voters, voter) {
		// The known identity of its disk was out of date.
		return false
	}
	if err == nil {
		c := consensus.Command{Kind: consensus.Replace, Old: a.Old, New: voter, ExpectVoters: set, KeepsCordons: r.keepsCordons(voter)}
		if a.Old == "" {
			c.Kind = consensus.Add
		}
		// A voter that has removed itself can't determine when the change is safe.
		candidates := slices.DeleteFunc(r.candidates(), func(e job.EntryID) bool { return e == a.Old })
		_, err = r.executeAt(ctx, c, candidates)
	}
	if err != nil {
		r.log.Warn("voter set repair failed", "old", a.Old, "new", a.New, "cause", a.Cause, "error", errors.Cause(err).Error())
		return false
	}
	r.logRepair(a, voter.Identity)
	r.awaitVoter(ctx, voter)
	return true
}

// identifyWithin is identify with a time limit of its own.
func (r *Register) identifyWithin(ctx context.Context, entry job.EntryID, limit time.Duration) (consensus.Voter, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return r.identify(ctx, entry)
}

// logRepair logs a change of the voters and how long the replaced voter was away.
func (r *Register) logRepair(a voters.Action, identity consensus.Identity) {
	took := time.Duration(0)
	if since, known := r.repairState.away[a.Old]; known {
		took = time.Since(since)
	}
	level := slog.LevelInfo
	if within := r.opts.Repair.Within; within > 0 && took > within {
		level = slog.LevelWarn
	}
	r.log.Log(context.Background(), level, "voter set repaired", "old", a.Old, "new", a.New, "identity", identity,
		"cause", a.Cause, "away_ms", took.Milliseconds(), "within_ms", r.opts.Repair.Within.Milliseconds())
	r.events.Record(timeline.Event{Kind: timeline.VotersChanged, Peer: a.New, Cause: describeChange(a), Took: took})
}

// awaitVoter waits until a version that lists the new voter is in effect here.
func (r *Register) awaitVoter(ctx context.Context, voter consensus.Voter) {
	ctx, cancel := context.WithTimeout(ctx, repairVisibleTimeout)
	defer cancel()
	for !slices.Contains(r.current.Load().Voters, voter) {
		if !sleep(ctx, installPollInterval) {
			return
		}
	}
}

// describeChange describes a change of the voters for the time line.
func describeChange(a voters.Action) string {
	if a.Old == "" {
		return "added: " + a.Cause
	}
	return "in place of " + string(a.Old) + ": " + a.Cause
}
