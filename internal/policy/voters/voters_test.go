package voters

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

var now = time.Unix(1000, 0)

func alive(name job.EntryID, zone job.Zone, voter bool) Disk {
	return Disk{Entry: name, Zone: zone, Voter: voter, Alive: true, Since: now.Add(-time.Minute)}
}

func away(name job.EntryID, zone job.Zone, since time.Duration) Disk {
	return Disk{Entry: name, Zone: zone, Voter: true, Since: now.Add(-since)}
}

func foreign(d Disk) Disk {
	d.Foreign = true
	return d
}

// Disks are lost, VMs are restarted, replaced for good and added. The set must be
// mended before the next loss, and must not move for a VM that is only away for
// moments.
func TestPlan(t *testing.T) {
	cases := []struct {
		name     string
		disks    []Disk
		want     int
		old, new job.EntryID
	}{
		{"all is well", []Disk{alive("a", "x", true), alive("b", "y", true), alive("c", "z", true)}, 3, "", ""},
		{"an emptied disk is given its place back", []Disk{alive("a", "x", true), foreign(alive("b", "y", true)), alive("c", "z", true)}, 3, "b", "b"},
		{"a voter that restarts keeps its place", []Disk{alive("a", "x", true), away("b", "y", 4*time.Second), alive("c", "z", true), alive("d", "y", false)}, 3, "", ""},
		{"one that is gone is replaced", []Disk{alive("a", "x", true), away("b", "y", time.Minute), alive("c", "z", true), alive("d", "z", false)}, 3, "b", "d"},
		{"by a disk of a zone without a voter, if there is one", []Disk{alive("a", "x", true), away("b", "y", time.Minute), alive("c", "z", true), alive("d", "z", false), alive("e", "y", false)}, 3, "b", "e"},
		{"without a spare disk nothing is done", []Disk{alive("a", "x", true), away("b", "y", time.Minute), alive("c", "z", true)}, 3, "", ""},
		{"a spare that was just met is not taken", []Disk{alive("a", "x", true), away("b", "y", time.Minute), {Entry: "d", Zone: "y", Alive: true, Since: now}}, 3, "", ""},
		{"the set is widened, one zone after the other", []Disk{alive("a", "x", true), alive("b", "y", true), alive("c", "z", true), alive("d", "x", false), alive("e", "w", false)}, 5, "", "e"},
		{"and no further than asked", []Disk{alive("a", "x", true), alive("b", "y", true), alive("c", "z", true), alive("d", "x", false)}, 3, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a, ok := Plan(now, c.disks, c.want)
			qt.Assert(t, ok, qt.Equals, c.new != "")
			qt.Assert(t, a.Old, qt.Equals, c.old)
			qt.Assert(t, a.New, qt.Equals, c.new)
		})
	}
}
