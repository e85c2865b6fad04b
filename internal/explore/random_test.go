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

// TestMain fixes the seed of the random runs, so that each run of the tests has
// the same verdict; -rapid.seed gives another.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// wander takes actions at random and returns the world that they lead to.
func (m *Voters) wander(t *rapid.T, r *rand.Rand, w World, actions int) World {
	for range actions {
		choices := m.choices(w)
		var next []World
		// All actions alike: rapid's own choice prefers the first ones.
		m.take(w, choices[r.IntN(len(choices))], func(_ string, n World) { next = append(next, n) })
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

func drawn(t *rapid.T) *rand.Rand { return rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)) }

// Two entries mend one voter at once, each by another spare, judged by one version. The second of them must
// hear that it came too late; the bounds within which all orders can be tried end
// before that.
func TestTwoEntriesMendInRandomRuns(t *testing.T) {
	met := map[string]bool{}
	rapid.Check(t, func(t *rapid.T) {
		m := three(20, judgedBy(1, replace("b", "d", 0, 0)), judgedBy(1, replace("b", "e", 0, 2)))
		m.Names, m.Crashes = names[:5], 2
		m.wander(t, drawn(t), m.Initial()[0], 2000)
		maps.Copy(met, m.Outcomes())
	})
	for _, want := range []string{"0: accepted", "0: not voting", "1: accepted", "1: not voting"} {
		qt.Assert(t, met[want], qt.IsTrue, qt.Commentf("never met %q: %v", want, met))
	}
}

// Six disks of which five vote and two may be lost are too many for trying all orders.
// Random runs of a mend, a widening and changes among them lose all power now and then,
// with each two of the disks; what is left must read what was acknowledged.
func TestLossOfAllPowerInRandomRuns(t *testing.T) {
	if raceDetector {
		t.Skip("too slow under the race detector, which has the same code in the other runs")
	}
	const stretches, stretch = 3, 320
	met := map[string]bool{}
	rapid.Check(t, func(t *rapid.T) {
		m := three(40, add("e", 0, 1), configure("x", 2, 0, 2), replace("d", "f", 0, 1, 2), configure("y", 3, 2, 4))
		m.Names, m.Genesis, m.Crashes, m.Wiped = names[:6], 4, 3, 2
		m.SyncAtOnce = rapid.Bool().Draw(t, "sync at once")
		r, w := drawn(t), m.Initial()[0]
		for range stretches {
			w = m.wander(t, r, w, stretch)
			m.power(w, func(action string, dark World) {
				if err := m.Check(dark); err != nil {
					t.Fatalf("%s: %v", action, err)
				}
			})
		}
		maps.Copy(met, m.Outcomes())
	})
	for _, want := range []string{"0: accepted", "1: accepted", "2: accepted", "3: accepted"} {
		qt.Assert(t, met[want], qt.IsTrue, qt.Commentf("never met %q: %v", want, met))
	}
}

// Long random runs reach what small bounds leave out: several changes and
// replacements one after the other, with crashes and lost disks among them.
func TestVotersInLongRandomRuns(t *testing.T) {
	met := map[string]bool{}
	rapid.Check(t, func(t *rapid.T) {
		m := three(40,
			configure("x", 2, 0, 2), configure("y", 2, 1), replace("c", "d", 0, 0, 1), configure("z", 3, 2, 1, 0))
		m.Names, m.Crashes, m.Losses = names[:4], 6, 1
		m.SyncAtOnce = rapid.Bool().Draw(t, "sync at once")
		m.wander(t, drawn(t), m.Initial()[0], 1000)
		maps.Copy(met, m.Outcomes())
	})
	for _, want := range []string{"0: accepted", "0: conflict", "1: accepted", "1: conflict", "2: accepted", "3: accepted"} {
		qt.Assert(t, met[want], qt.IsTrue, qt.Commentf("never met %q: %v", want, met))
	}
}
