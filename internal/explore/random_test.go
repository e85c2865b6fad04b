package explore

import (
	"flag"
	"maps"
	"math/rand/v2"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the random runs, so that each run of the tests has the
// same result; -rapid.seed sets another seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// randomWalk performs random actions and returns the world that they lead to.
func (m *Voters) randomWalk(t *rapid.T, r *rand.Rand, w World, actions int) World {
	for range actions {
		choices := m.choices(w)
		var next []World
		// Choose uniformly: rapid's own choice prefers the first elements.
		m.perform(w, choices[r.IntN(len(choices))], func(_ string, n World) { next = append(next, n) })
		if len(next) == 0 {
			continue
		}
		w = next[r.IntN(len(next))]
		if err := m.Check(w); err != nil {
			t.Fatal(err)
		}
	}
	return w
}

func drawRand(t *rapid.T) *rand.Rand { return rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)) }

// Two entries replace one voter at the same time, each by another spare and both
// expecting the same version. The second one must be refused. The bounds within
// which all orders can be tried do not reach that case.
func TestTwoEntriesReplaceOneVoterInRandomRuns(t *testing.T) {
	seen := map[string]bool{}
	rapid.Check(t, func(t *rapid.T) {
		m := three(20, expectFirstVoters(replace("b", "d", 0, 0)), expectFirstVoters(replace("b", "e", 0, 2)))
		m.Names, m.Crashes = names[:5], 2
		m.randomWalk(t, drawRand(t), m.Initial()[0], 2000)
		maps.Copy(seen, m.Outcomes())
	})
	for _, want := range []string{"0: accepted", "0: not voting", "1: accepted", "1: not voting"} {
		qt.Assert(t, seen[want], qt.IsTrue, qt.Commentf("outcome %q never occurred: %v", want, seen))
	}
}

// Six disks, of which five vote and two may be lost, are too many to try all orders.
// These random runs combine a replacement, an addition and configuration changes.
// At intervals all nodes lose power, with up to two disks lost in every combination;
// the remaining nodes must read each acknowledged change.
func TestLossOfAllPowerInRandomRuns(t *testing.T) {
	if raceDetector {
		t.Skip("too slow under the race detector; the other runs cover the same code with it")
	}
	const walks, walkLength = 3, 480
	seen := map[string]bool{}
	rapid.Check(t, func(t *rapid.T) {
		m := three(40, add("e", 0, 1), configure("x", 2, 0, 2), replace("d", "f", 0, 1, 2), configure("y", 3, 2, 4))
		m.Names, m.Genesis, m.Crashes, m.LostDisksPerPowerLoss = names[:6], 4, 3, 2
		m.SyncAtOnce = rapid.Bool().Draw(t, "sync at once")
		r, w := drawRand(t), m.Initial()[0]
		for range walks {
			w = m.randomWalk(t, r, w, walkLength)
			m.losePower(w, func(action string, after World) {
				if err := m.Check(after); err != nil {
					t.Fatalf("%s: %v", action, err)
				}
			})
		}
		maps.Copy(seen, m.Outcomes())
	})
	for _, want := range []string{"0: accepted", "1: accepted", "2: accepted", "3: accepted"} {
		qt.Assert(t, seen[want], qt.IsTrue, qt.Commentf("outcome %q never occurred: %v", want, seen))
	}
}

// Long random runs reach cases beyond the small bounds: several changes and
// replacements in a row, with crashes and lost disks between them.
func TestVotersInLongRandomRuns(t *testing.T) {
	seen := map[string]bool{}
	rapid.Check(t, func(t *rapid.T) {
		m := three(40,
			configure("x", 2, 0, 2), configure("y", 2, 1), replace("c", "d", 0, 0, 1), configure("z", 3, 2, 1, 0))
		m.Names, m.Crashes, m.Losses = names[:4], 6, 1
		m.SyncAtOnce = rapid.Bool().Draw(t, "sync at once")
		m.randomWalk(t, drawRand(t), m.Initial()[0], 1000)
		maps.Copy(seen, m.Outcomes())
	})
	for _, want := range []string{"0: accepted", "0: conflict", "1: accepted", "1: conflict", "2: accepted", "3: accepted"} {
		qt.Assert(t, seen[want], qt.IsTrue, qt.Commentf("outcome %q never occurred: %v", want, seen))
	}
}
