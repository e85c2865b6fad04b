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

func postponed(d Disk) Disk {
	d.Postponed = true
	return d
}

func foreign(d Disk) Disk {
	d.Foreign = true
	return d
}

// Disks are lost, and VMs are restarted, replaced permanently or added. The set must be
// repaired before the next loss, and must not change for a VM that is only away for a
// moment.
func TestPlan(t *testing.T) {
	cases := []struct {
		name     string
		disks    []Disk
		want     int
		old, new job.EntryID
	}{
		{"a healthy set stays unchanged", []Disk{alive("a", "x", true), alive("b", "y", true), alive("c", "z", true)}, 3, "", ""},
		{"a voter with an emptied disk replaces itself", []Disk{alive("a", "x", true), foreign(alive("b", "y", true)), alive("c", "z", true)}, 3, "b", "b"},
		{"an unresponsive voter that was not declared dead stays", []Disk{alive("a", "x", true), suspect("b", "y", time.Minute), alive("c", "z", true), alive("d", "y", false)}, 3, "", ""},
		{"a voter whose process was restarted immediately stays", []Disk{alive("a", "x", true), dead("b", "y", ReplaceDelay-1), alive("c", "z", true), alive("d", "y", false)}, 3, "", ""},
		{"a dead voter is replaced before the next loss", []Disk{alive("a", "x", true), dead("b", "y", ReplaceDelay), alive("c", "z", true), alive("d", "z", false)}, 3, "b", "d"},
		{"a voter that stopped as planned is replaced immediately", []Disk{alive("a", "x", true), stopped(alive("b", "y", true)), alive("c", "z", true), alive("d", "z", false)}, 3, "b", "d"},
		{"a draining voter is replaced before it stops", []Disk{alive("a", "x", true), draining(alive("b", "y", true)), alive("c", "z", true), alive("d", "z", false)}, 3, "b", "d"},
		{"a dead voter is replaced before a draining one", []Disk{draining(alive("a", "x", true)), dead("b", "y", time.Minute), alive("c", "z", true), alive("d", "z", false)}, 3, "b", "d"},
		{"a draining voter stays if there is no spare disk", []Disk{alive("a", "x", true), draining(alive("b", "y", true)), alive("c", "z", true)}, 3, "", ""},
		{"a spare disk in a zone without a voter is preferred", []Disk{alive("a", "x", true), dead("b", "y", time.Minute), alive("c", "z", true), alive("d", "z", false), alive("e", "y", false)}, 3, "b", "e"},
		{"a dead voter stays if there is no spare disk", []Disk{alive("a", "x", true), dead("b", "y", time.Minute), alive("c", "z", true)}, 3, "", ""},
		{"a spare disk that was just discovered is not eligible", []Disk{alive("a", "x", true), dead("b", "y", time.Minute), alive("c", "z", true), {Entry: "d", Zone: "y", Liveness: Alive, Since: now}}, 3, "", ""},
		{"a draining spare disk is not eligible", []Disk{alive("a", "x", true), dead("b", "y", time.Minute), alive("c", "z", true), draining(alive("d", "z", false))}, 3, "", ""},
		{"a zone with a majority loses one voter", []Disk{alive("a", "x", true), alive("b", "x", true), alive("c", "z", true), alive("d", "y", false)}, 3, "a", "d"},
		{"a zone that would get the majority is not eligible", []Disk{alive("a", "x", true), alive("b", "x", true), alive("c", "z", true), alive("d", "z", false)}, 3, "", ""},
		{"an emptied disk whose change failed lets another one go first", []Disk{postponed(foreign(alive("a", "x", true))), foreign(alive("b", "y", true)), alive("c", "z", true), alive("d", "x", true), alive("e", "y", true)}, 5, "b", "b"},
		{"an emptied disk whose change failed is tried again if it is the only one", []Disk{postponed(foreign(alive("a", "x", true))), alive("b", "y", true), alive("c", "z", true)}, 3, "a", "a"},
		{"a spare disk whose change failed lets another one go first", []Disk{alive("a", "x", true), dead("b", "y", time.Minute), alive("c", "z", true), postponed(alive("d", "y", false)), alive("e", "z", false)}, 3, "b", "e"},
		{"a voter is added in the zone with the fewest voters", []Disk{alive("a", "x", true), alive("b", "y", true), alive("c", "z", true), alive("d", "x", false), alive("e", "w", false)}, 5, "", "e"},
		{"no voter is added beyond the required number", []Disk{alive("a", "x", true), alive("b", "y", true), alive("c", "z", true), alive("d", "x", false)}, 3, "", ""},
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

// Operators must be able to distinguish a voter that may still return from one that no
// spare disk can replace.
func TestPlanExplainsWhyNoChangeIsDue(t *testing.T) {
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
	lost := []Disk{foreign(alive("a", "x", true)), foreign(alive("b", "y", true)), c}
	qt.Check(t, Plan(now, lost, 3).Reason, qt.Equals, MajorityLost)
	qt.Check(t, LostDisks(lost), qt.DeepEquals, []job.EntryID{"a", "b"})
	qt.Check(t, Plan(now, lost[1:], 3).Reason, qt.Equals, MajorityLost)
	qt.Check(t, Plan(now, append(lost[1:], alive("d", "z", true)), 3).Reason, qt.Equals, DiskLost)
	for _, test := range cases {
		v := Plan(now, test.disks, test.want)
		qt.Check(t, v, qt.Equals, Decision{Reason: test.reason, Voter: test.voter})
	}
}

// Guards against a change that is never carried out because the first entry in order is
// unable to.
func TestOrderListsOnlyVotersAbleToAct(t *testing.T) {
	disks := []Disk{foreign(alive("a", "x", true)), alive("b", "y", true), draining(alive("c", "z", true)), dead("d", "x", 0), alive("e", "y", false)}
	qt.Check(t, Order(disks, &Decision{Reason: DiskLost, Voter: "a"}), qt.DeepEquals, []job.EntryID{"b", "c"})
	qt.Check(t, Order(disks, &Decision{Reason: VoterDraining, Voter: "c"}), qt.DeepEquals, []job.EntryID{"c", "b"})
}
