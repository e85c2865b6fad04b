package replay

import (
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var shared = flag.Bool("replay.shared", false, "print the credit of the shared-pool sites")

// go test ./internal/replay -v -run TestSharedPools -replay.shared prints the figures of
// docs/design/50-precedence.md.
func TestSharedPools(t *testing.T) {
	if !*shared {
		return
	}
	for _, site := range []struct {
		name string
		site site
		load func(float64) traffic
	}{{"hive", hiveSite(), hiveLoad}, {"channel", channelSite(), channelLoad}} {
		for _, x := range []float64{1, 1.5, 2.5, 4} {
			f := mean(t, site.name, site.site, site.load(x))
			t.Logf("%s %.1f: credit %.3f, check %.2f permit %.2f hold %.2f, refused %d (free %d), abandoned %d, uncertain %d, of %d",
				site.name, x, f.credit, f.kinds["check"], f.kinds["permit"], f.kinds["hold"], f.refused, f.refusedWithCapacity, f.abandoned, f.uncertain, f.sent)
		}
	}
}

// In a shortage no service may be served worse than a less urgent one of its pool. Without
// precedence the most urgent one, whose jobs are short and wide, gets the worst service.
func TestUrgentServicesFirst(t *testing.T) {
	for _, x := range []float64{1.5, 2.5} {
		with := mean(t, "precedence", hiveSite(), hiveLoad(x))
		s := hiveSite()
		s.opts.NoPrecedence = true
		without := mean(t, "none", s, hiveLoad(x))
		k := with.kinds
		qt.Check(t, k["check"] > k["hold"] && k["hold"] > k["permit"], qt.IsTrue, qt.Commentf("%.1f times: %v", x, k))
		qt.Check(t, k["check"] > without.kinds["check"]+0.1, qt.IsTrue, qt.Commentf("%.1f times", x))
		qt.Check(t, with.credit > without.credit-noiseMargin, qt.IsTrue, qt.Commentf("%.1f times", x))
		qt.Check(t, 4*with.abandoned < without.abandoned, qt.IsTrue, qt.Commentf("%.1f times", x))
	}
}

// A pool whose services all have one priority must behave exactly as without precedence.
func TestOnePriorityChangesNothing(t *testing.T) {
	l := traffic{seed: 5, kinds: bookingKindsWith(func(k *kind) { k.priority = 3 }), until: 3 * time.Second, factor: constantFactor(2.5)}
	with := simulate(t, defaultSite(), l.kinds, l.arrivals()).metrics()
	s := defaultSite()
	s.opts.NoPrecedence = true
	without := simulate(t, s, l.kinds, l.arrivals()).metrics()
	qt.Check(t, with.String(), qt.Equals, without.String())
}
