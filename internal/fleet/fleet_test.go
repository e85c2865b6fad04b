package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/api"
	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/standin"
)

const testFile = `number: 1
services:
  - {name: thumbs, pool: desk, urgency: interactive, repeatable: true, deadline: 30s}
  - {name: alerts, pool: desk, urgency: urgent, repeatable: false, deadline: 30s}
  - {name: spill, pool: desk, urgency: urgent, repeatable: false, keep: synced}
  - {name: report, pool: desk, urgency: batch, repeatable: false, keep: replicated}
`

const testPool = "desk"

// startTest starts a fleet and waits until its entries know all slots.
func startTest(t *testing.T, o Options) *Fleet {
	t.Helper()
	o.File = []byte(testFile)
	o.Dir = t.TempDir()
	o.Pool = testPool
	f, err := Start(o)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	slots := o.Target.Slots
	if slots == 0 {
		slots = config.DefaultSlots
	}
	qt.Assert(t, f.WaitReady(ctx, len(o.Zones)*o.TargetsPerZone*slots), qt.IsNil)
	return f
}

// reply is what a caller received.
type reply struct {
	status   int
	complete api.CompleteAnswer
	other    api.IncompleteAnswer
}

// send posts a job. If the error is a failed dial, nothing was sent.
func send(client *http.Client, address, body string) (*reply, error) {
	response, err := client.Post("http://"+address+"/v1/jobs", "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	r := &reply{status: response.StatusCode}
	if r.status == http.StatusOK {
		return r, json.Unmarshal(answer, &r.complete)
	}
	return r, json.Unmarshal(answer, &r.other)
}

// jobBody is a job of n tasks that each sleep for some milliseconds.
func jobBody(id, service string, n, sleepMS int) string {
	tasks := ""
	for i := range n {
		if i > 0 {
			tasks += ","
		}
		tasks += fmt.Sprintf(`{"payload":{"sleep_ms":%d}}`, sleepMS)
	}
	return fmt.Sprintf(`{"id":%q,"service":%q,"attempt":1,"tasks":[%s]}`, id, service, tasks)
}

// whole reports whether a complete answer has the right result for each task.
func whole(r *reply, id string, n int) bool {
	if len(r.complete.Results) != n {
		return false
	}
	for i, result := range r.complete.Results {
		var echo struct {
			Task string `json:"task"`
		}
		if json.Unmarshal(result.Payload, &echo) != nil || echo.Task != fmt.Sprintf("%s/%d", id, i) {
			return false
		}
	}
	return true
}

func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// An operator stops an entry while callers wait for jobs and keep sending. Each
// caller must receive a complete answer, a refusal with "not run", or a refused
// connection. No request may be interrupted.
func TestPlannedStopUnderLoadBreaksNoRequest(t *testing.T) {
	f := startTest(t, Options{Zones: []job.Zone{"a"}, EntriesPerZone: 1, TargetsPerZone: 4})
	address := f.CallerAddresses("")[0]
	var mu sync.Mutex
	completed, refused := 0, 0
	first := make(chan struct{})
	var once sync.Once
	var wg sync.WaitGroup
	for c := range 8 {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for i := 0; ; i++ {
				id := fmt.Sprintf("stop-%d-%d", c, i)
				r, err := send(client, address, jobBody(id, "thumbs", 3, 20))
				if err != nil {
					qt.Check(t, neverSent(err), qt.IsTrue, qt.Commentf("%v", err))
					return
				}
				mu.Lock()
				if r.status == http.StatusOK {
					completed++
					qt.Check(t, whole(r, id, 3), qt.IsTrue)
				} else {
					refused++
					qt.Check(t, r.other.Run, qt.Equals, "not run")
				}
				mu.Unlock()
				once.Do(func() { close(first) })
				if r.status != http.StatusOK {
					return
				}
			}
		})
	}
	<-first
	qt.Assert(t, f.Stop(), qt.IsNil)
	wg.Wait()
	qt.Assert(t, completed > 0, qt.IsTrue)
	qt.Assert(t, f.Starts.DoubledStarts(), qt.Equals, uint64(0))
}

// A target's VM loses power while it runs tasks. Jobs with a task on the target
// must fail with "may have run", since the task may have had its effect. All
// other jobs must complete, and no task may be started twice.
func TestTargetLostWithRunningTasks(t *testing.T) {
	f := startTest(t, Options{Zones: []job.Zone{"a"}, EntriesPerZone: 1, TargetsPerZone: 3})
	address := f.CallerAddresses("")[0]
	const jobs = 12
	replies := make([]*reply, jobs)
	var wg sync.WaitGroup
	for i := range jobs {
		wg.Go(func() {
			var err error
			replies[i], err = send(http.DefaultClient, address, jobBody(fmt.Sprintf("die-%d", i), "alerts", 2, 300))
			qt.Check(t, err, qt.IsNil)
		})
	}
	for f.Starts.Starts() < jobs {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, f.targets[0].Kill(), qt.IsNil)
	wg.Wait()
	failed := 0
	for i, r := range replies {
		if r.status == http.StatusOK {
			qt.Check(t, whole(r, fmt.Sprintf("die-%d", i), 2), qt.IsTrue)
			continue
		}
		failed++
		qt.Check(t, r.other.Reason, qt.Equals, job.TargetLost)
		qt.Check(t, r.other.Run, qt.Equals, "may have run")
	}
	qt.Assert(t, failed > 0, qt.IsTrue)
	qt.Assert(t, f.Starts.DoubledStarts(), qt.Equals, uint64(0))
	_ = f.Stop()
}

// An operator drains a target while it runs tasks. These tasks must end with
// their results, and no task may be started on the target after its withdrawal.
func TestDrainingTargetFinishesAndStartsNothing(t *testing.T) {
	trackers := map[int]*standin.StartTracker{}
	f := startTest(t, Options{Zones: []job.Zone{"a"}, EntriesPerZone: 1, TargetsPerZone: 2, ModifyTarget: func(i int, o *standin.Options) {
		trackers[i] = standin.NewStartTracker()
		o.Starts = trackers[i]
	}})
	address := f.CallerAddresses("")[0]
	done := make(chan *reply)
	go func() {
		r, err := send(http.DefaultClient, address, jobBody("leave", "alerts", 8, 300))
		qt.Check(t, err, qt.IsNil)
		done <- r
	}()
	for trackers[0].Starts() == 0 {
		time.Sleep(time.Millisecond)
	}
	leaving := f.targets[0]
	leaving.stop()
	r := <-done
	qt.Assert(t, r.status, qt.Equals, http.StatusOK)
	<-leaving.done
	before := trackers[0].Starts()
	for i := range 4 {
		r, err := send(http.DefaultClient, address, jobBody(fmt.Sprintf("after-%d", i), "alerts", 4, 1))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.status, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, trackers[0].Starts(), qt.Equals, before)
	qt.Assert(t, f.Stop(), qt.IsNil)
}

// getJSON decodes a JSON response and returns its status.
func getJSON(url string, into any) int {
	response, err := http.Get("http://" + url)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(into)
	return response.StatusCode
}

// A target behind a load balancer withdraws, and the withdrawal reaches another
// entry than its announcement did. No task may be started on the target from then
// on, even after the pool's holder stops and another entry takes over the pool
// from the announcements that it has stored.
func TestWithdrawalAtAnyEntry(t *testing.T) {
	f := startTest(t, Options{Zones: []job.Zone{"a"}, EntriesPerZone: 3, TargetsPerZone: 2, ModifyTarget: func(_ int, o *standin.Options) {
		o.Entries = o.Entries[:1]
	}})
	tracker := standin.NewStartTracker()
	leaving, err := standin.New(standin.Options{ID: "leaving", Service: testPool, Zone: "a", Starts: tracker})
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = leaving.Kill() }()
	addresses := f.CallerAddresses("")
	announcement := fmt.Sprintf(`{"service":%q,"address":%q,"availability_zone":"a","slots":8,"connections":64}`, testPool, leaving.Addr())
	qt.Assert(t, do(http.MethodPut, addresses[0]+"/v1/targets/leaving", announcement), qt.Equals, http.StatusOK)
	qt.Assert(t, do(http.MethodDelete, addresses[2]+"/v1/targets/leaving", ""), qt.Equals, http.StatusNoContent)
	holder := ""
	for _, m := range f.entries {
		if m.entry.Load(testPool).Targets > 0 {
			holder = string(m.name)
			qt.Assert(t, m.entry.Load(testPool).Targets, qt.Equals, 2)
		}
	}
	qt.Assert(t, f.StopEntry(job.EntryID(holder)), qt.IsNil)
	for _, m := range f.entries {
		if m.stopped {
			continue
		}
		r, err := send(http.DefaultClient, m.listen.Caller.Addr().String(), jobBody("at-"+string(m.name), "alerts", 16, 5))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", r.other))
	}
	qt.Assert(t, tracker.Starts(), qt.Equals, uint64(0))
	qt.Assert(t, f.Stop(), qt.IsNil)
}

// do sends a request and returns its status.
func do(method, url, body string) int {
	request, err := http.NewRequest(method, "http://"+url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}
