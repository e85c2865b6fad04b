//go:build chaos

package fleet

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

var (
	chaosFor  = flag.Duration("chaos.for", 45*time.Second, "how long faults are brought about")
	chaosSeed = flag.Uint64("chaos.seed", 1, "seed of the faults; their timing against the load differs from run to run")
)

// chaosCallers and chaosAttempts are the callers side by side, and how often
// each sends a job whose fate is unknown.
const (
	chaosCallers  = 12
	chaosAttempts = 4
)

// tally counts what callers received.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
	wrong  []string
}

func (a *tally) count(what string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts[what]++
}

func (a *tally) blame(format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wrong = append(a.wrong, fmt.Sprintf(format, args...))
}

// Entries are killed, restarted and stopped, and availability zones cut off, at
// random while callers send jobs of all services and send again what is
// unknown. Whatever happens, no task starts twice, no "not run" is false and no
// answer is partial or somebody else's. It is a search for faults that runs for
// a minute, so it stands outside of the usual tests:
//
//	go test -tags chaos -run Chaos -v ./internal/fleet -chaos.seed 7
func TestChaos(t *testing.T) {
	f := startTest(t, Options{Zones: []job.Zone{"a", "b", "c"}, EntriesPerZone: 2, TargetsPerZone: 2, Wires: true})
	stop := make(chan struct{})
	b := f.balancer(stop)
	sums := &tally{counts: map[string]int{}}
	var wg sync.WaitGroup
	for c := range chaosCallers {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: time.Minute}
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
					f.persist(client, b, c, i, sums)
				}
			}
		})
	}
	f.faults(t, rand.New(rand.NewPCG(*chaosSeed, *chaosSeed)))
	close(stop)
	wg.Wait()
	t.Logf("%v", sums.counts)
	t.Logf("%d starts", f.Ledger.Starts())
	qt.Assert(t, sums.wrong, qt.HasLen, 0)
	qt.Assert(t, f.Ledger.DoubledStarts(), qt.Equals, uint64(0))
}

// persist sends one job until its fate is known or the caller gives up.
func (f *Fleet) persist(client *http.Client, b *balancer, c, i int, sums *tally) {
	services := []string{"alerts", "thumbs", "spill", "report"}
	id := fmt.Sprintf("x%d-%d", c, i)
	tasks := 1 + (c+i)%5
	body := jobBody(id, services[(c+i)%len(services)], tasks, 5+(i*7)%60)
	for n := 1; n <= chaosAttempts; n++ {
		sent := attempt(body, n)
		if c%2 == 1 {
			sent = strings.Replace(body, `"attempt":1,`, "", 1)
		}
		r, err := send(client, b.pick(c+i+n), sent)
		if err != nil {
			sums.count("broken connection")
			continue
		}
		if r.status == http.StatusOK {
			sums.count("complete")
			if !whole(r, id, tasks) {
				sums.blame("%s: not its own whole answer", id)
			}
			return
		}
		sums.count(fmt.Sprintf("%s, %s, %s", r.other.Outcome, r.other.Reason, r.other.Run))
		if r.other.Run == "not run" {
			f.checkNotRun(id, tasks, sums)
			return
		}
		if r.other.Outcome != job.Refused {
			return
		}
	}
}

func (f *Fleet) checkNotRun(id string, tasks int, sums *tally) {
	for k := range tasks {
		if f.Ledger.Started(job.ID(id), k) {
			sums.blame("%s: task %d was started and called not run", id, k)
		}
	}
}

// faults brings faults about until the time is up. Each is over before the next
// one, but for what it leaves behind.
func (f *Fleet) faults(t *testing.T, r *rand.Rand) {
	names := f.Names()
	upTo := func(d time.Duration) { time.Sleep(time.Duration(r.Int64N(int64(d)))) }
	for until := time.Now().Add(*chaosFor); time.Now().Before(until); upTo(time.Second) {
		name := names[r.IntN(len(names))]
		switch r.IntN(4) {
		case 0, 1:
			f.Kill(name)
			upTo(1500 * time.Millisecond)
			qt.Assert(t, f.Restart(name), qt.IsNil)
		case 2:
			zone := f.member(name).zone
			f.CutZone(zone, true)
			upTo(4 * time.Second)
			f.CutZone(zone, false)
		case 3:
			qt.Check(t, f.StopEntry(name), qt.IsNil)
			qt.Assert(t, f.Restart(name), qt.IsNil)
		}
	}
}
