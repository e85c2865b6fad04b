package register

import (
	"context"
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
		if r.firstAlive(disks) != r.self {
			continue
		}
		if action, ok := voters.Plan(time.Now(), disks, r.opts.Mend.Want); ok {
			r.mend(ctx, s.Version, action)
		}
	}
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
