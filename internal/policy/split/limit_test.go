package split

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Guards against a job that allows one task on each target and is kept at one holder, where its
// tasks wait for each other while the targets of other holders are free.
func TestLimitedJobIsSpreadOverEnoughTargets(t *testing.T) {
	one := Precedence{Urgency: job.UrgencyInteractive, MaxPerTarget: 1}
	// Each holder has eight targets.
	local := []job.HolderLoad{load("e1", "z1", 64, 64, 0), load("e2", "z1", 64, 64, 0)}
	all := append(local, load("e3", "z2", 64, 64, 0), load("e4", "z2", 64, 64, 0))
	for _, c := range []struct {
		tasks    int
		holders  []job.HolderLoad
		parts    int
		mostEach int
	}{
		{8, local, 1, 8},
		{16, local, 2, 8},
		{16, all, 2, 8},
		{32, all, 4, 8},
		{48, local, 2, 24},
	} {
		s := splitter(c.holders...)
		p := s.SplitFor(now, pool, one, tasks(c.tasks))
		qt.Check(t, total(p), qt.Equals, c.tasks)
		qt.Check(t, counts(p), qt.HasLen, c.parts, qt.Commentf("%d tasks: %v", c.tasks, counts(p)))
		for _, n := range counts(p) {
			qt.Check(t, n <= c.mostEach, qt.IsTrue, qt.Commentf("%d tasks: %v", c.tasks, counts(p)))
		}
		p = s.SplitFor(now, pool, Precedence{Urgency: job.UrgencyInteractive}, tasks(4))
		qt.Check(t, p.Parts[0].Zone, qt.Equals, job.Zone("z1"), qt.Commentf("other jobs stay in the zone"))
	}
}
