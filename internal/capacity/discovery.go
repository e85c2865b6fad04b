package capacity

import (
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/discovery"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer/peertest"
)

// ExchangeCost is the cost of one exchange of known entries for a given number of
// entries.
type ExchangeCost struct {
	Entries int
	CPU     time.Duration
	Bytes   float64
}

// newDirectory returns a directory with the given number of known entries.
func newDirectory(self job.EntryID, address string, entries int) *discovery.Directory {
	directory := discovery.NewDirectory(discovery.Record{Owner: job.Owner{Entry: self, Incarnation: 1, Zone: "z"}, Address: address})
	for i := range entries {
		directory.Learn(time.Now(), discovery.Record{
			Owner:   job.Owner{Entry: job.EntryID(fmt.Sprintf("entry-zone-%d-%03d", i%7, i)), Incarnation: job.Incarnation(time.Now().UnixNano()), Zone: job.Zone(fmt.Sprintf("zone-%d", i%7))},
			Address: fmt.Sprintf("10.1.%d.%d:7720", i/250, i%250+1),
		})
	}
	return directory
}

// measureDiscovery measures one exchange between two entries that know all others. The
// cost is the sum of the requesting and the answering entry.
func measureDiscovery(m *Slopes, minTime time.Duration) error {
	for _, entries := range []int{7, 24, 49} {
		x, err := m.measureExchange(entries, minTime)
		if err != nil {
			return errors.Trace(err)
		}
		m.Exchange = append(m.Exchange, x)
		at := fmt.Sprintf("%d entries", entries)
		m.addCPU("one exchange of known entries, both ends", at, x.CPU)
		m.addPoint("one exchange of known entries and its answer, without TCP and IP headers", at, x.Bytes, "bytes")
	}
	return nil
}

func (m *Slopes) measureExchange(entries int, minTime time.Duration) (ExchangeCost, error) {
	network := &peertest.Network{}
	var answering *discovery.Joiner
	l, stop, err := serveCounted(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { answering.ServeHTTP(w, r) }))
	if err != nil {
		return ExchangeCost{}, errors.Trace(err)
	}
	defer stop()
	address := l.Addr().String()
	joiner := func(self job.EntryID, at string) *discovery.Joiner {
		return discovery.New(discovery.Options{
			Directory: newDirectory(self, at, entries), Mesh: network.Join(job.Owner{Entry: self, Incarnation: 1, Zone: "z"}),
			Seeds: func() []string { return nil }, OnNews: func([]discovery.Record) {},
		})
	}
	answering = joiner("answers", address)
	asking := joiner("asks", "10.2.0.1:7720")
	count := 0
	cpu := cpuPerCall(minTime, func(int) {
		asking.Exchange(address)
		count++
	})
	if !asking.Joined() {
		return ExchangeCost{}, errors.New("the exchange got no answer")
	}
	return ExchangeCost{Entries: entries, CPU: cpu, Bytes: float64(l.bytes.Load()) / float64(count)}, nil
}

// nearestExchange returns the measurement whose number of entries is nearest to n.
func (m *Slopes) nearestExchange(n int) ExchangeCost {
	var best ExchangeCost
	for _, x := range m.Exchange {
		if best.Entries == 0 || abs(x.Entries-n) < abs(best.Entries-n) {
			best = x
		}
	}
	return best
}
