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
	chaosDuration = flag.Duration("chaos.for", 45*time.Second, "how long faults are injected")
	chaosSeed     = flag.Uint64("chaos.seed", 1, "seed of the faults; their timing against the load differs from run to run")
)

// chaosCallers is the number of parallel callers. chaosAttempts is how often each
// of them sends a job whose result is unknown.
const (
	chaosCallers  = 12
	chaosAttempts = 4
)

// tally counts what callers received.
type tally struct {
	mu         sync.Mutex
	counts     map[string]int
	violations []string
}

func (a *tally) count(what string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts[what]++
}

func (a *tally) addViolation(format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}

// Entries are killed, restarted and stopped and availability zones are
// partitioned at random while callers send jobs of all services and resend those
// with an unknown result. No task may start twice, no "not run" may be false, and
// no answer may be partial or belong to another job. The test searches for faults
// for about a minute, so it needs a build tag:
//
//	go test -tags chaos -run Chaos -v ./internal/fleet -chaos.seed 7
func TestChaos(t *testing.T) {
	f := startTest(t, Options{Zones: []job.Zone{"a", "b", "c"}, EntriesPerZone: 2, TargetsPerZone: 2, Partitionable: true})
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
					f.sendUntilKnown(client, b, c, i, sums)
				}
			}
		})
	}
	f.injectFaults(t, rand.New(rand.NewPCG(*chaosSeed, *chaosSeed)))
	close(stop)
	wg.Wait()
	t.Logf("%v", sums.counts)
	t.Logf("%d starts", f.Starts.Starts())
	qt.Assert(t, sums.violations, qt.HasLen, 0)
	qt.Assert(t, f.Starts.DoubledStarts(), qt.Equals, uint64(0))
}

// sendUntilKnown sends one job until its result is known or all attempts are
// used.
func (f *Fleet) sendUntilKnown(client *http.Client, b *balancer, c, i int, sums *tally) {
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
				sums.addViolation("%s: not a complete answer of this job", id)
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
		if f.Starts.Started(job.ID(id), k) {
			sums.addViolation("%s: task %d was started but reported as not run", id, k)
		}
	}
}

// injectFaults injects faults until chaosDuration has passed. Each fault ends
// before the next one begins, but its effects may last longer.
func (f *Fleet) injectFaults(t *testing.T, r *rand.Rand) {
	names := f.Names()
	sleepUpTo := func(d time.Duration) { time.Sleep(time.Duration(r.Int64N(int64(d)))) }
	for until := time.Now().Add(*chaosDuration); time.Now().Before(until); sleepUpTo(time.Second) {
		name := names[r.IntN(len(names))]
		switch r.IntN(4) {
		case 0, 1:
			f.Kill(name)
			sleepUpTo(1500 * time.Millisecond)
			qt.Assert(t, f.Restart(name), qt.IsNil)
		case 2:
			zone := f.member(name).zone
			f.SetZonePartitioned(zone, true)
			sleepUpTo(4 * time.Second)
			f.SetZonePartitioned(zone, false)
		case 3:
			qt.Check(t, f.StopEntry(name), qt.IsNil)
			qt.Assert(t, f.Restart(name), qt.IsNil)
		}
	}
}
