package register

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
)

func TestApplyFromAnyEntryTakesEffectEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 4)
		defer f.stopAll()
		time.Sleep(3 * time.Second)
		var seen []uint64
		f.nodes["l1"].OnChange(func(_, updated *config.File) { seen = append(seen, updated.Number) })
		for number := 1; number <= 7; number++ {
			f.mustApply(f.entries[number-1], number)
		}
		f.assertInEffect(7, time.Second, f.entries...)
		qt.Assert(t, seen[len(seen)-1], qt.Equals, uint64(7))
		for i := range seen[1:] {
			qt.Assert(t, seen[i] < seen[i+1], qt.IsTrue)
		}
		state := f.nodes["v2"].State()
		qt.Assert(t, state.Voter, qt.IsTrue)
		qt.Assert(t, state.Stale, qt.IsFalse)
		body, accepted := f.nodes["l2"].Body()
		qt.Assert(t, string(body), qt.Equals, fileOf(7, "a"))
		qt.Assert(t, accepted, qt.Equals, Accepted{Number: 7, Digest: config.Digest(body), ChangeID: "change-7"})
		qt.Assert(t, f.nodes["l4"].Current().Services[0].Name, qt.Equals, "a")
	})
}

// Guards against a job that is refused as not configured when a script sends it right
// after applying the first file on the same entry: a majority had accepted the file, but it
// had not yet taken effect on that entry.
func TestAppliedFileIsInEffectWhenApplyReturns(t *testing.T) {
	for _, voters := range []int{1, 3} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, voters, 2)
			defer f.stopAll()
			time.Sleep(3 * time.Second)
			for number := 1; number <= 30; number++ {
				e := f.entries[number%len(f.entries)]
				f.mustApply(e, number)
				got, _ := f.nodes[e].Summary()
				qt.Assert(t, got >= uint64(number), qt.IsTrue, qt.Commentf("%d on %s after change %d", got, e, number))
			}
		})
	}
}

// The entry that receives an apply can't pull the accepted file, so the file does not take
// effect there. The operator must still get the answer that the change was accepted within
// a second, and no error.
func TestApplyDoesNotWaitLongForItsOwnEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 0)
		defer f.stopAll()
		f.wrap = func(m peer.Mesh) peer.Mesh { return pullLosingMesh{m} }
		f.start("l1", nil)
		time.Sleep(3 * time.Second)
		begun := time.Now()
		f.mustApply("l1", 1)
		qt.Assert(t, time.Since(begun) < time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(begun)))
	})
}

// pullLosingMesh rejects every pull request.
type pullLosingMesh struct{ peer.Mesh }

func (m pullLosingMesh) Call(ctx context.Context, to job.EntryID, kind peer.Kind, req, answer any) error {
	if kind == peer.ConfigPull {
		return peer.ErrRejected
	}
	return m.Mesh.Call(ctx, to, kind, req, answer)
}

func TestFleetsOfAnySize(t *testing.T) {
	for _, size := range []struct{ voters, learners int }{{1, 0}, {1, 2}, {2, 1}, {5, 2}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, size.voters, size.learners)
			defer f.stopAll()
			time.Sleep(3 * time.Second)
			f.mustApply(f.entries[len(f.entries)-1], 1)
			f.mustApply("v1", 2)
			f.assertInEffect(2, time.Second, f.entries...)
			if size.voters == 5 {
				f.cut(true, "v1", "v2")
				f.mustApply("l1", 3)
				f.cut(false, "v1", "v2")
				f.assertInEffect(3, 4*time.Second, f.entries...)
			}
		})
	}
}

// A short partition loses the one message that a voter needs, right after the voter
// had contact with all others. The voter must get the change by its next probe, within
// two seconds.
func TestLostMessageIsRecovered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5, 0)
		defer f.stopAll()
		time.Sleep(3 * time.Second)
		for number := 1; number <= 20; number++ {
			f.cut(true, "v1")
			f.mustApply("v2", number)
			f.cut(false, "v1")
			f.assertInEffect(uint64(number), probeInterval+50*time.Millisecond, f.entries...)
		}
	})
}

// Guards against refusing callers right after a power loss although a configuration arrives
// a tenth of a second later, and against blocking callers when no configuration arrives.
func TestAwaitFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1)
		defer f.stopAll()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		qt.Assert(t, f.nodes["l1"].AwaitFirst(ctx), qt.IsFalse)
		time.AfterFunc(time.Second, func() { f.mustApply("v1", 1) })
		begun := time.Now()
		qt.Assert(t, f.nodes["l1"].AwaitFirst(t.Context()), qt.IsTrue)
		qt.Assert(t, time.Since(begun) < 2*time.Second, qt.IsTrue)
		qt.Assert(t, f.nodes["l1"].AwaitFirst(ctx), qt.IsTrue)
	})
}
