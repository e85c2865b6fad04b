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

// idleConfig has leases so long that their renewals are negligible compared with
// the messages between entries.
const idleConfig = `number: 1
services:
  - {name: s, pool: p, urgency: interactive}
targets: {lease: 60s}
`

// minIdleTime is long enough for at least one heartbeat of each kind.
const minIdleTime = time.Second

// fleetShape describes an idle fleet to measure. In a discovered fleet, entries find each
// other through seeds and share work across zones, so that they send heartbeats to other
// zones as often as to their own.
type fleetShape struct {
	zones, perZone int
	discovered     bool
}

func (s fleetShape) String() string {
	if s.discovered {
		return fmt.Sprintf("%d zones of %d entries, found through seeds", s.zones, s.perZone)
	}
	return fmt.Sprintf("%d zones of %d entries", s.zones, s.perZone)
}

// entryUsage is the resource usage of one entry while no work arrives.
type entryUsage struct {
	core  float64
	bytes float64
	heap  float64
	kinds map[string]float64
}

// measurePeers runs idle fleets of entries with real links between them and
// measures the cost per entry. The largest fleet covers the size expected
// within two years.
func measurePeers(m *Slopes, minTime time.Duration) error {
	shapes := []fleetShape{
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
	if minTime < minMeasureTime {
		shapes = []fleetShape{{1, 1, false}, {2, 2, false}, {3, 1, true}}
	}
	var single entryUsage
	for i, s := range shapes {
		r, err := s.measureIdle(max(10*minTime, minIdleTime))
		if err != nil {
			return errors.Annotate(err, s.String())
		}
		if i == 0 {
			single = r
		}
		at := s.String()
		m.addPoint("processor time of one entry at rest", at, 100*r.core, "% of a core")
		if i > 0 {
			m.addPoint("messages between entries, sent and received, one entry at rest", at, r.bytes, "bytes a second")
		}
		m.addPoint("heap of one entry at rest, an empty ring included", at, r.heap, "bytes")
		for _, kind := range slices.Sorted(maps.Keys(r.kinds)) {
			if r.kinds[kind] > 0 {
				m.addPoint("of that: "+kind, at, r.kinds[kind], "bytes a second")
			}
		}
		if s.discovered {
			m.Idle = append(m.Idle, IdleCost{
				Entries: s.zones * s.perZone, Core: max(0, r.core-single.core), Bytes: r.bytes, Memory: max(0, r.heap-single.heap),
			})
		}
	}
	m.BaseCore, m.BaseMemory = single.core, single.heap
	return nil
}

// IdleCost is the cost of the links to all other entries for one idle entry.
type IdleCost struct {
	Entries int
	Core    float64
	Bytes   float64
	Memory  float64
}

// nearestAtRest returns the measurement whose number of entries is nearest to n.
func (m *Slopes) nearestAtRest(n int) IdleCost {
	var best IdleCost
	for _, r := range m.Idle {
		if best.Entries == 0 || abs(r.Entries-n) < abs(best.Entries-n) {
			best = r
		}
	}
	return best
}

func abs(n int) int { return max(n, -n) }

// measureForwards measures the bytes of forwarding announcements that arrive at an
// entry which does not hold the target.
func measureForwards(m *Slopes, minTime time.Duration) error {
	const entries, targets = 3, 30
	f, err := fleet.Start(fleet.Options{
		Zones: []job.Zone{"z"}, EntriesPerZone: entries, TargetsPerZone: targets, Pool: "p",
		Target: standin.Options{Processors: 8}, File: []byte(shortLeaseConfig),
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = f.Stop() }()
	start := time.Now()
	before, err := sentBytes(f.OperatorAddresses())
	if err != nil {
		return errors.Trace(err)
	}
	time.Sleep(max(10*minTime, 2*minIdleTime))
	after, err := sentBytes(f.OperatorAddresses())
	if err != nil {
		return errors.Trace(err)
	}
	renewals := targets * time.Since(start).Seconds() / shortRenewInterval.Seconds()
	kind := peer.TargetForward.String()
	// Each forward is sent by one entry and received by another.
	m.ForwardBytes = 2 * (after[kind] - before[kind]) / renewals
	m.addPoint("passing one announcement on to its holder, sent and received, in the mean", fmt.Sprintf("%d entries a zone, %d targets", entries, targets), m.ForwardBytes, "bytes")
	return nil
}

// shortLeaseConfig has leases so short that many are renewed within a second.
const shortLeaseConfig = `number: 1
services:
  - {name: s, pool: p, urgency: interactive}
targets: {lease: 1s}
`

// shortRenewInterval is the interval at which targets announce under
// shortLeaseConfig.
const shortRenewInterval = time.Second / 3

func (s fleetShape) measureIdle(period time.Duration) (entryUsage, error) {
	before := heapBytes()
	zones := make([]job.Zone, s.zones)
	for i := range zones {
		zones[i] = job.Zone(fmt.Sprintf("z%d", i+1))
	}
	f, err := fleet.Start(fleet.Options{
		Zones: zones, EntriesPerZone: s.perZone, TargetsPerZone: s.perZone, Pool: "p",
		Target: standin.Options{Processors: 8}, File: []byte(idleConfig), Discover: s.discovered,
	})
	if err != nil {
		return entryUsage{}, errors.Trace(err)
	}
	defer func() { _ = f.Stop() }()
	entries := float64(s.zones * s.perZone)
	// Exclude the startup, when entries establish links and process the first
	// configuration.
	time.Sleep(period / 2)
	heap := max(0, float64(heapBytes())-float64(before)) / entries
	bytesBefore, err := sentBytes(f.OperatorAddresses())
	if err != nil {
		return entryUsage{}, errors.Trace(err)
	}
	cpu, start := cpuTime(), time.Now()
	time.Sleep(period)
	spent, elapsed := cpuTime()-cpu, time.Since(start)
	bytesAfter, err := sentBytes(f.OperatorAddresses())
	if err != nil {
		return entryUsage{}, errors.Trace(err)
	}
	r := entryUsage{core: spent.Seconds() / elapsed.Seconds() / entries, heap: heap, kinds: map[string]float64{}}
	for kind, n := range bytesAfter {
		// Each message is sent once and received once.
		r.kinds[kind] = 2 * (n - bytesBefore[kind]) / elapsed.Seconds() / entries
		r.bytes += r.kinds[kind]
	}
	return r, nil
}

// sentBytes returns the bytes that all entries have sent to each other, by kind
// of message.
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
