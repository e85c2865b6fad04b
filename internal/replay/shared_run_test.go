package replay

import (
	"flag"
	"testing"
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
