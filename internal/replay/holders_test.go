package replay

import (
	"flag"
	"testing"
)

var holderCounts = flag.Bool("replay.holders", false, "print the credit by the number of holders and by the part of a zone that is lost")

// go test ./internal/replay -v -run TestHolderCounts -replay.holders prints the credit of
// channelSite with one to four holders a zone, and with some of a zone's 40 targets lost.
func TestHolderCounts(t *testing.T) {
	if !*holderCounts {
		return
	}
	for _, x := range []float64{1, 1.5, 2.5} {
		for _, n := range []int{1, 2, 4} {
			s := channelSite()
			s.holders, s.owners = n, 4-n
			f := mean(t, "", s, channelLoad(x))
			t.Logf("load %.1f, %d holders a zone: %v", x, n, f)
		}
		for _, lost := range []int{5, 7, 10, 13, 20} {
			s := channelSite()
			s.lost = lost
			f := mean(t, "", s, channelLoad(x))
			t.Logf("load %.1f, %d of 40 targets lost: %v", x, lost, f)
		}
	}
}
