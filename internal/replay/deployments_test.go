package replay

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// deployment is a site with its load. The scheduling decisions were not tuned on any of
// the deployments.
type deployment struct {
	name    string
	site    site
	traffic traffic
}

// bookingKindsWith returns the usual kinds with a change to each.
func bookingKindsWith(change func(*kind)) []kind {
	kinds := bookingKinds()
	for i := range kinds {
		change(&kinds[i])
	}
	return kinds
}

func withSite(change func(*site)) site {
	s := defaultSite()
	change(&s)
	return s
}

// deployments returns the default site at several loads, and variants of it.
func deployments() []deployment {
	load := func(x float64, kinds []kind, zones ...float64) traffic {
		return traffic{kinds: kinds, until: 6 * time.Second, factor: constantFactor(x), zones: zones}
	}
	return []deployment{
		{"usual load", defaultSite(), load(1, bookingKinds())},
		{"half as much again", defaultSite(), load(1.5, bookingKinds())},
		{"two and a half times", defaultSite(), load(2.5, bookingKinds())},
		{"callers crowd one zone", defaultSite(), load(1.1, bookingKinds(), 105, 18, 18)},
		{"a third fewer targets", withSite(func(s *site) { s.targets = 11 }), load(1, bookingKinds())},
		{"objectives of 1.2", defaultSite(), load(1.2, bookingKindsWith(func(k *kind) { k.stretch = 1.2 }))},
		{"declared times off tenfold", defaultSite(), load(1.2, bookingKindsWith(func(k *kind) { k.declaredError = math.Log(10) }))},
		{"speeds of 0.4 to 1.6", withSite(func(s *site) { s.speeds = []float64{0.4, 1, 1.6} }), load(1, bookingKinds())},
		{"jobs of 1 and of 30 tasks", defaultSite(), load(1.3, []kind{
			{"check", 130, 1, 100 * time.Millisecond, usualStretch, usualDeclaredError, 0},
			{"permit", 2, 30, 200 * time.Millisecond, usualStretch, usualDeclaredError, 0},
			{"hold", 60, 2, 200 * time.Millisecond, usualStretch, usualDeclaredError, 0},
		})},
		{"a kind of target of half the size", withSite(func(s *site) { s.processors = []int{16, 8, 24} }), load(1, bookingKinds())},
		{"three holders a zone", withSite(func(s *site) { s.holders, s.targets = 3, 48 }), load(4, bookingKinds())},
	}
}

// sharedDeployments returns the sites whose services have different priorities.
func sharedDeployments() []deployment {
	return []deployment{{"hive at 1.5 times", hiveSite(), hiveLoad(1.5)}, {"channel at 2.5 times", channelSite(), channelLoad(2.5)}}
}

// decision is a scheduling decision that can be switched off.
type decision struct {
	name string
	off  func(*site)
}

func decisions() []decision {
	return []decision{
		{"jobs stay whole", func(s *site) { s.costs.WholeJobShare = 0 }},
		{"patience", func(s *site) { s.opts.NoWaitLimit = true }},
		{"expected ends", func(s *site) { s.opts.NoEndEstimates = true }},
		{"begun kept", func(s *site) { s.opts.NoProgressPriority = true }},
		{"objectives", func(s *site) { s.opts.NoObjectives = true }},
		{"sizes", func(s *site) { s.opts.NoSizes = true }},
		{"estimates", func(s *site) { s.opts.NoEstimates = true }},
		{"health", func(s *site) { s.opts.NoHealth = true }},
		{"admission", func(s *site) { s.opts.NoAdmission = true }},
		{"precedence", func(s *site) { s.opts.NoPrecedence = true }},
	}
}

// meanCredit simulates a deployment with several seeds. It returns the mean credit, its
// standard deviation, and how many of a thousand callers waited in vain.
func meanCredit(t *testing.T, d deployment, seeds int) (credit, spread, inVain float64) {
	var sum, squares, held, sent float64
	for seed := range uint64(seeds) {
		l := d.traffic
		l.seed = 100 + seed
		f := simulate(t, d.site, l.kinds, l.arrivals()).metrics()
		sum += f.credit
		squares += f.credit * f.credit
		held += float64(f.waitedInVain())
		sent += float64(f.sent)
	}
	n := float64(seeds)
	credit = sum / n
	return credit, math.Sqrt(max(0, squares/n-credit*credit)), 1000 * held / sent
}

// noiseMargin is by how much the mean credit of several simulations may differ by chance.
const noiseMargin = 0.02

// Decisions that were designed for one site must not reduce the credit of deployments with
// other machines or other work. Otherwise callers there would be served worse than by a
// simpler system, for no apparent reason.
func TestDecisionsHelpOtherDeployments(t *testing.T) {
	const seeds = 6
	for _, d := range deployments() {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			with, spread, _ := meanCredit(t, d, seeds)
			for _, x := range decisions()[:4] {
				other := d
				x.off(&other.site)
				without, _, _ := meanCredit(t, other, seeds)
				t.Logf("%-18s %.3f with, %.3f without (spread %.3f)", x.name, with, without, spread)
				qt.Check(t, with >= without-noiseMargin, qt.IsTrue, qt.Commentf("%s", x.name))
			}
		})
	}
}

var ablation = flag.Bool("replay.ablation", false, "print the credit that each decision adds on each deployment")

// go test ./internal/replay -v -run TestAblation -replay.ablation prints a table: the credit
// with all decisions and its spread over seeds, and the change in credit with each decision
// off. The number after the slash is how many of a thousand callers waited in vain.
func TestAblation(t *testing.T) {
	if !*ablation {
		return
	}
	const seeds = 5
	head := "| deployment | all |"
	for _, x := range decisions() {
		head += " without " + x.name + " |"
	}
	t.Log(head)
	for _, d := range append(deployments(), sharedDeployments()...) {
		with, spread, inVain := meanCredit(t, d, seeds)
		row := fmt.Sprintf("| %s | %.3f ± %.3f / %.0f |", d.name, with, spread, inVain)
		for _, x := range decisions() {
			other := d
			x.off(&other.site)
			without, _, held := meanCredit(t, other, seeds)
			row += fmt.Sprintf(" %+.3f / %.0f |", without-with, held)
		}
		t.Log(row)
	}
}
