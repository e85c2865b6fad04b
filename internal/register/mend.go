package register

import (
	"context"
	"fmt"
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
	mendInterval = 500 * time.Millisecond
	// mendTimeout bounds one change of the voters: a large value to a slow disk.
	mendTimeout = 3 * time.Second
)

// Mend is what the voters are mended by.
type Mend struct {
	// Want is how many voters the fleet needs.
	Want int
	// Disks lists the entries with a data folder as this entry sees them; the
	// register fills in who votes.
	Disks func() []voters.Disk
}

// mendLoop has the voters mended, by the first of them that is alive: one at a
// time keeps two from taking two disks for one lost. Another one may act on an
// older view, and then the register refuses the second change.
func (r *Register) mendLoop(ctx context.Context) {
	for sleep(ctx, jitter(mendInterval)) {
		s := r.current.Load()
		if s == nil || !r.voting() {
			continue
		}
		disks := r.judgeDisks(s)
		verdict := voters.Plan(time.Now(), disks, r.opts.Mend.Want)
		acts := r.firstAlive(disks)
		r.tellVerdict(s, disks, verdict, acts)
		if acts == r.self && verdict.Due() {
			r.mend(ctx, s.Version, verdict.Action)
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

// tellVerdict logs what a look at the voters found, when it differs from the last
// one, and keeps the figures of the metrics.
func (r *Register) tellVerdict(s *snapshot, disks []voters.Disk, v voters.Verdict, acts job.EntryID) {
	heard, spares := 0, 0
	for _, d := range disks {
		switch {
		case d.Alive && d.Voter && !d.Foreign:
			heard++
		case d.Alive && !d.Voter:
			spares++
		}
	}
	majority := len(s.Voters)/2 + 1
	r.votersHeard.Store(int64(heard))
	r.votersToLose.Store(int64(heard - majority))
	r.spareDisks.Store(int64(spares))
	said := judged{v.Reason, v.Voter, v.Action.New, acts}
	if said == r.judged {
		return
	}
	r.judged = said
	r.log.Info("voters judged", "reason", v.Reason, "voter", v.Voter, "spare", v.Action.New, "acts", acts,
		"version", s.Version, "voters", len(s.Voters), "heard", heard, "losses_left", heard-majority,
		"spare_disks", spares, "wanted", r.opts.Mend.Want, "disks", seen(disks, time.Now()))
}

// seen words how each disk is seen, and for how long.
func seen(disks []voters.Disk, now time.Time) []string {
	var out []string
	for _, d := range disks {
		role, state := "spare", "away"
		if d.Voter {
			role = "voter"
		}
		if d.Foreign {
			role = "emptied voter"
		}
		if d.Alive {
			state = "heard"
		}
		age := "unknown"
		if !d.Since.IsZero() {
			age = now.Sub(d.Since).Round(time.Millisecond).String()
		}
		out = append(out, fmt.Sprintf("%s: %s, %s for %s", d.Entry, role, state, age))
	}
	return out
}

func (r *Register) judgeDisks(s *snapshot) []voters.Disk {
	disks := r.opts.Mend.Disks()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range s.Voters {
		i := slices.IndexFunc(disks, func(d voters.Disk) bool { return d.Entry == v.Entry })
		if i < 0 {
			// An entry that nobody remembers is gone for good.
			disks = append(disks, voters.Disk{Entry: v.Entry})
			i = len(disks) - 1
		}
		disks[i].Voter = true
		said, known := r.disks[v.Entry]
		disks[i].Foreign = v.Entry != r.self && known && said != v.Identity
	}
	return disks
}

func (r *Register) firstAlive(disks []voters.Disk) job.EntryID {
	var first job.EntryID
	for _, d := range disks {
		if d.Voter && d.Alive && !d.Foreign && (first == "" || d.Entry < first) {
			first = d.Entry
		}
	}
	return first
}

// mend carries out one change of the voters.
func (r *Register) mend(ctx context.Context, version uint64, a voters.Action) {
	ctx, cancel := context.WithTimeout(ctx, mendTimeout)
	defer cancel()
	voter, err := r.identify(ctx, a.New)
	if err == nil {
		c := consensus.Command{Kind: consensus.Replace, Old: a.Old, New: voter, Expect: version}
		if a.Old == "" {
			c.Kind = consensus.Add
		}
		_, err = r.carryOut(ctx, c)
	}
	if err != nil {
		r.log.Warn("the voters were not mended", "old", a.Old, "new", a.New, "cause", a.Cause, "error", errors.Cause(err).Error())
		return
	}
	r.log.Info("the voters were mended", "old", a.Old, "new", a.New, "identity", voter.Identity, "cause", a.Cause)
	r.ev.Record(timeline.Event{Kind: timeline.VotersChanged, Peer: a.New, Cause: changeOf(a)})
}

// changeOf words a change of the voters for the time line.
func changeOf(a voters.Action) string {
	if a.Old == "" {
		return "added: " + a.Cause
	}
	return "in place of " + string(a.Old) + ": " + a.Cause
}
