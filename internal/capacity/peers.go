package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/fleet"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/standin"
)

// restingFile has leases so long that their renewals don't show beside what
// entries send to each other.
const restingFile = `number: 1
services:
  - {name: s, pool: p, urgency: interactive}
targets: {lease: 60s}
`

// leastRest takes in at least one heartbeat of each kind.
const leastRest = time.Second

// shape is a fleet at rest that is measured. A discovered one finds its entries through
// seeds and shares work across zones, so that heartbeats go to other zones as often as
// to the own.
type shape struct {
	zones, perZone int
	discovered     bool
}

func (s shape) String() string {
	if s.discovered {
		return fmt.Sprintf("%d zones of %d entries, found through seeds", s.zones, s.perZone)
	}
	return fmt.Sprintf("%d zones of %d entries", s.zones, s.perZone)
}

// resting is what one entry takes while no work comes.
type resting struct {
	core  float64
	bytes float64
	heap  float64
	kinds map[string]float64
}

// measurePeers lets fleets of entries stand at rest, with real links between
// them, and measures what each entry takes. The largest has as many entries as
// the size to come.
func measurePeers(m *Slopes, least time.Duration) error {
	shapes := []shape{
		{1, 1, false},
		{1, 3, false},
		{7, 1, false},
		{7, 3, false},
		{7, 7, false},
		{3, 1, true},
		{7, 1, true},
		{7, 3, true},
		{7, 7, true},
	}
	if least < leastTime {
		shapes = []shape{{1, 1, false}, {2, 2, false}, {3, 1, true}}
	}
	var alone resting
	for i, s := range shapes {
		r, err := s.rest(max(10*least, leastRest))
		if err != nil {
			return errors.Annotate(err, s.String())
		}
		if i == 0 {
			alone = r
		}
		at := s.String()
		m.point("processor time of one entry at rest", at, 100*r.core, "% of a core")
		if i > 0 {
			m.point("messages between entries, sent and received, one entry at rest", at, r.bytes, "bytes a second")
		}
		m.point("heap of one entry at rest, an empty ring included", at, r.heap, "bytes")
		for _, kind := range slices.Sorted(maps.Keys(r.kinds)) {
			if r.kinds[kind] > 0 {
				m.point("of that: "+kind, at, r.kinds[kind], "bytes a second")
			}
		}
		if s.discovered {
			m.Rest = append(m.Rest, AtRest{
				Entries: s.zones * s.perZone, Core: max(0, r.core-alone.core), Bytes: r.bytes, Memory: max(0, r.heap-alone.heap),
			})
		}
	}
	m.BaseCore, m.BaseMemory = alone.core, alone.heap
	return nil
}

// AtRest is what the links to the others take of one entry at rest.
type AtRest struct {
	Entries int
	Core    float64
	Bytes   float64
	Memory  float64
}

// restAt returns what was measured with the number of entries nearest to n.
func (m *Slopes) restAt(n int) AtRest {
	var best AtRest
	for _, r := range m.Rest {
		if best.Entries == 0 || abs(r.Entries-n) < abs(best.Entries-n) {
			best = r
		}
	}
	return best
}

func abs(n int) int { return max(n, -n) }

// measureForwards counts what announcements cost that reach an entry which does
// not hold the target.
func measureForwards(m *Slopes, least time.Duration) error {
	const entries, targets = 3, 30
	f, err := fleet.Start(fleet.Options{
		Zones: []job.Zone{"z"}, EntriesPerZone: entries, TargetsPerZone: targets, Pool: "p",
		Target: standin.Options{Processors: 8}, File: []byte(shortFile),
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = f.Stop() }()
	began := time.Now()
	before, err := sentBytes(f.OperatorAddresses())
	if err != nil {
		return errors.Trace(err)
	}
	time.Sleep(max(10*least, 2*leastRest))
	after, err := sentBytes(f.OperatorAddresses())
	if err != nil {
		return errors.Trace(err)
	}
	renewals := targets * time.Since(began).Seconds() / shortRenew.Seconds()
	kind := peer.TargetForward.String()
	// Each is sent by one entry and received by another.
	m.ForwardBytes = 2 * (after[kind] - before[kind]) / renewals
	m.point("passing one announcement on to its holder, sent and received, in the mean", fmt.Sprintf("%d entries a zone, %d targets", entries, targets), m.ForwardBytes, "bytes")
	return nil
}

// shortFile has leases so short that a second sees many renewals.
const shortFile = `number: 1
services:
  - {name: s, pool: p, urgency: interactive}
targets: {lease: 1s}
`

// shortRenew is when targets under shortFile announce again.
const shortRenew = time.Second / 3

func (s shape) rest(during time.Duration) (resting, error) {
	before := heap()
	zones := make([]job.Zone, s.zones)
	for i := range zones {
		zones[i] = job.Zone(fmt.Sprintf("z%d", i+1))
	}
	f, err := fleet.Start(fleet.Options{
		Zones: zones, EntriesPerZone: s.perZone, TargetsPerZone: s.perZone, Pool: "p",
		Target: standin.Options{Processors: 8}, File: []byte(restingFile), Discover: s.discovered,
	})
	if err != nil {
		return resting{}, errors.Trace(err)
	}
	defer func() { _ = f.Stop() }()
	entries := float64(s.zones * s.perZone)
	// The first second holds the joining of the links and the first file.
	time.Sleep(during / 2)
	used := max(0, float64(heap())-float64(before)) / entries
	bytesBefore, err := sentBytes(f.OperatorAddresses())
	if err != nil {
		return resting{}, errors.Trace(err)
	}
	cpu, began := processorTime(), time.Now()
	time.Sleep(during)
	spent, took := processorTime()-cpu, time.Since(began)
	bytesAfter, err := sentBytes(f.OperatorAddresses())
	if err != nil {
		return resting{}, errors.Trace(err)
	}
	r := resting{core: spent.Seconds() / took.Seconds() / entries, heap: used, kinds: map[string]float64{}}
	for kind, n := range bytesAfter {
		// Each message is sent once and received once.
		r.kinds[kind] = 2 * (n - bytesBefore[kind]) / took.Seconds() / entries
		r.bytes += r.kinds[kind]
	}
	return r, nil
}

// sentBytes sums what all entries have sent to each other, by kind.
func sentBytes(operators []string) (map[string]float64, error) {
	sum := map[string]float64{}
	for _, address := range operators {
		vars := struct {
			Useful map[string]float64 `json:"bytes_useful"`
			Wasted map[string]float64 `json:"bytes_wasted"`
		}{}
		if err := getJSON("http://"+address+"/debug/vars", &vars); err != nil {
			return nil, errors.Trace(err)
		}
		for _, kinds := range []map[string]float64{vars.Useful, vars.Wasted} {
			for kind, n := range kinds {
				sum[kind] += n
			}
		}
	}
	return sum, nil
}

func getJSON(url string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return errors.Trace(json.NewDecoder(resp.Body).Decode(into))
}
