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

// Long random runs reach what small bounds leave out: several changes and
// replacements one after the other, with crashes and lost disks among them.
func TestVotersInLongRandomRuns(t *testing.T) {
	met := map[string]bool{}
	rapid.Check(t, func(t *rapid.T) {
		m := three(40,
			configure("x", 2, 0, 2), configure("y", 2, 1), replace("c", "d", 0, 0, 1), configure("z", 3, 2, 1, 0))
		m.Names, m.Crashes, m.Losses = names[:4], 6, 1
		m.SyncAtOnce = rapid.Bool().Draw(t, "sync at once")
		// All actions alike: rapid's own choice prefers the first ones.
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		w := m.Initial()[0]
		for range 1000 {
			choices := m.choices(w)
			var next []World
			m.take(w, choices[r.IntN(len(choices))], func(_ string, n World) { next = append(next, n) })
			if len(next) == 0 {
				continue
			}
			w = next[r.IntN(len(next))]
			if err := m.Check(w); err != nil {
				t.Fatal(err)
			}
		}
		maps.Copy(met, m.Outcomes())
	})
	for _, want := range []string{"0: accepted", "0: conflict", "1: accepted", "1: conflict", "2: accepted", "3: accepted"} {
		qt.Assert(t, met[want], qt.IsTrue, qt.Commentf("never met %q: %v", want, met))
	}
}
