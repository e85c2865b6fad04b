package voters

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

var now = time.Unix(1000, 0)

func alive(name job.EntryID, zone job.Zone, voter bool) Disk {
	return Disk{Entry: name, Zone: zone, Voter: voter, Liveness: Alive, Since: now.Add(-time.Minute)}
}

func suspect(name job.EntryID, zone job.Zone, since time.Duration) Disk {
	return Disk{Entry: name, Zone: zone, Voter: true, Since: now.Add(-since)}
}

func dead(name job.EntryID, zone job.Zone, since time.Duration) Disk {
	return Disk{Entry: name, Zone: zone, Voter: true, Liveness: Dead, Since: now.Add(-since)}
}

func stopped(d Disk) Disk {
	d.Liveness, d.Stopped = Dead, true
	return d
}

func draining(d Disk) Disk {
	d.Liveness = Draining
	return d
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
		{"a voter that is silent and not declared dead keeps its place", []Disk{alive("a", "x", true), suspect("b", "y", time.Minute), alive("c", "z", true), alive("d", "y", false)}, 3, "", ""},
		{"one whose process was restarted at once, too", []Disk{alive("a", "x", true), dead("b", "y", AwayTime-1), alive("c", "z", true), alive("d", "y", false)}, 3, "", ""},
		{"one that is dead is replaced before the next loss", []Disk{alive("a", "x", true), dead("b", "y", AwayTime), alive("c", "z", true), alive("d", "z", false)}, 3, "b", "d"},
		{"one that has stopped as planned, at once", []Disk{alive("a", "x", true), stopped(alive("b", "y", true)), alive("c", "z", true), alive("d", "z", false)}, 3, "b", "d"},
		{"one that is about to stop, before it does", []Disk{alive("a", "x", true), draining(alive("b", "y", true)), alive("c", "z", true), alive("d", "z", false)}, 3, "b", "d"},
		{"after one that is dead", []Disk{draining(alive("a", "x", true)), dead("b", "y", time.Minute), alive("c", "z", true), alive("d", "z", false)}, 3, "b", "d"},
		{"and keeps its place where no disk is spare", []Disk{alive("a", "x", true), draining(alive("b", "y", true)), alive("c", "z", true)}, 3, "", ""},
		{"by a disk of a zone without a voter, if there is one", []Disk{alive("a", "x", true), dead("b", "y", time.Minute), alive("c", "z", true), alive("d", "z", false), alive("e", "y", false)}, 3, "b", "e"},
		{"without a spare disk nothing is done", []Disk{alive("a", "x", true), dead("b", "y", time.Minute), alive("c", "z", true)}, 3, "", ""},
		{"a spare that was just met is not taken", []Disk{alive("a", "x", true), dead("b", "y", time.Minute), alive("c", "z", true), {Entry: "d", Zone: "y", Liveness: Alive, Since: now}}, 3, "", ""},
		{"nor one that is about to stop", []Disk{alive("a", "x", true), dead("b", "y", time.Minute), alive("c", "z", true), draining(alive("d", "z", false))}, 3, "", ""},
		{"a zone gives up its majority", []Disk{alive("a", "x", true), alive("b", "x", true), alive("c", "z", true), alive("d", "y", false)}, 3, "a", "d"},
		{"but not to another one", []Disk{alive("a", "x", true), alive("b", "x", true), alive("c", "z", true), alive("d", "z", false)}, 3, "", ""},
		{"the set is widened, one zone after the other", []Disk{alive("a", "x", true), alive("b", "y", true), alive("c", "z", true), alive("d", "x", false), alive("e", "w", false)}, 5, "", "e"},
		{"and no further than asked", []Disk{alive("a", "x", true), alive("b", "y", true), alive("c", "z", true), alive("d", "x", false)}, 3, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := Plan(now, c.disks, c.want)
			qt.Assert(t, v.Due(), qt.Equals, c.new != "")
			qt.Assert(t, v.Action.Old, qt.Equals, c.old)
			qt.Assert(t, v.Action.New, qt.Equals, c.new)
		})
	}
}

// Whoever is on call must be able to tell a voter that is waited for from one that no
// spare disk can replace.
func TestPlanSaysWhyNothingIsDue(t *testing.T) {
	b, c := alive("b", "y", true), alive("c", "z", true)
	cases := []struct {
		disks  []Disk
		want   int
		reason Reason
		voter  job.EntryID
	}{
		{[]Disk{alive("a", "x", true), b, c}, 3, Healthy, ""},
		{[]Disk{suspect("a", "x", time.Second), b, c}, 3, VoterSuspect, "a"},
		{[]Disk{dead("a", "x", time.Minute), b, c}, 3, NoSpare, "a"},
		{[]Disk{alive("a", "x", true), b, c}, 5, NoSpare, ""},
	}
	for _, test := range cases {
		v := Plan(now, test.disks, test.want)
		qt.Check(t, v, qt.Equals, Verdict{Reason: test.reason, Voter: test.voter})
	}
}

// Guards against a change that nobody carries out because the first in order can't.
func TestOrderOfThoseWhoAct(t *testing.T) {
	disks := []Disk{foreign(alive("a", "x", true)), alive("b", "y", true), draining(alive("c", "z", true)), dead("d", "x", 0), alive("e", "y", false)}
	qt.Check(t, Order(disks, &Verdict{Reason: DiskLost, Voter: "a"}), qt.DeepEquals, []job.EntryID{"b", "c"})
	qt.Check(t, Order(disks, &Verdict{Reason: VoterDraining, Voter: "c"}), qt.DeepEquals, []job.EntryID{"c", "b"})
}
