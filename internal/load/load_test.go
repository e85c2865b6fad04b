package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/api"
	"github.com/vanillagrade/vanillagrade/internal/job"
)

// small is a mix whose jobs all arrive within 50 ms.
const small = `
name: small
seed: 3
duration: 50ms
fleet: {targets: 4, slots: 8}
teams: [{name: a, share: 3}, {name: b, share: 1}]
streams:
  - {name: jobs, service: s, rate: 400, tasks: {min: 2, max: 6}, run: {median: 10ms, sigma: 0.5, max: 40ms}, declared_factor: 10}
  - {name: singles, service: t, rate: 200, single: true, deadline: 1h, run: {median: 5ms}}
`

func smallSpec(t *testing.T) Spec {
	spec, err := Parse([]byte(small))
	qt.Assert(t, err, qt.IsNil)
	return spec
}

func arrivals(spec *Spec) []Arrival { return slices.Collect(Schedule(spec)) }

func TestScheduleRepeatsAndKeepsItsRates(t *testing.T) {
	spec := smallSpec(t)
	spec.Duration = 5 * time.Second
	spec.Streams[1].Bursts.Size = 20
	spec.Streams[1].Rate = 0
	spec.Streams[1].Share = 0.25
	first := arrivals(&spec)
	qt.Assert(t, arrivals(&spec), qt.DeepEquals, first)
	var last time.Duration
	count, teams, work := map[string]int{}, map[string]int{}, map[string]time.Duration{}
	for _, a := range first {
		qt.Assert(t, a.At >= last, qt.IsTrue)
		last = a.At
		count[a.Stream.Name]++
		teams[a.Team]++
		work[a.Stream.Name] += a.Work()
	}
	within := func(got, want, part float64) {
		t.Helper()
		qt.Assert(t, got > want*(1-part) && got < want*(1+part), qt.IsTrue, qt.Commentf("%v, expected %v", got, want))
	}
	within(float64(count["jobs"]), 2000, 0.08)
	within(float64(teams["a"])/float64(len(first)), 0.75, 0.05)
	within(work["singles"].Seconds()/5, 0.25*32, 0.15)
	spec.Load = 2
	within(float64(len(arrivals(&spec))), 2*float64(len(first)), 0.1)
}

func TestIdealOfLargeJob(t *testing.T) {
	a := Arrival{Tasks: make([]Task, 100)}
	for i := range a.Tasks {
		a.Tasks[i].Run = 100 * time.Millisecond
	}
	qt.Assert(t, a.Ideal(200), qt.Equals, 100*time.Millisecond)
	qt.Assert(t, a.Ideal(10), qt.Equals, time.Second)
}

func TestSpecErrors(t *testing.T) {
	for name, change := range map[string][2]string{
		"unknown key":    {"seed: 3", "sede: 3"},
		"no duration":    {"duration: 50ms", ""},
		"too long":       {"duration: 50ms", "duration: 50h"},
		"both rates":     {"rate: 400", "rate: 400, share: 0.1"},
		"unknown team":   {"service: s", "service: s, teams: [c]"},
		"doubled stream": {"name: singles", "name: jobs"},
		"single of many": {"single: true", "single: true, tasks: {min: 2}"},
		"no run time":    {"median: 5ms", "median: 0s"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(small, change[0], change[1], 1)))
			qt.Assert(t, err, qt.IsNotNil)
		})
	}
}

func TestShippedMixes(t *testing.T) {
	patterns, err := filepath.Glob("../../examples/patterns/*.yaml")
	qt.Assert(t, err, qt.IsNil)
	for _, file := range append(patterns, "../../examples/cuenca.yaml", "../../examples/meuse.yaml") {
		spec, err := Read(file)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(arrivals(&spec)) > 0, qt.IsTrue, qt.Commentf(file))
	}
}

// fakeEntry answers jobs as a fleet of stand-ins would. alter, if set, may
// corrupt each complete answer before it is sent.
type fakeEntry struct {
	alter func(a *api.CompleteAnswer)
	other *api.IncompleteAnswer
	// hold, if set, delays all answers until this many jobs have arrived.
	hold int

	mu         sync.Mutex
	arrived    int
	allArrived chan struct{}
	starts     int
	vars       int
}

func (f *fakeEntry) serve(t *testing.T) string {
	f.allArrived = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs", f.postJob)
	mux.HandleFunc("POST /v1/services/{service}", f.postSingle)
	mux.HandleFunc("GET /v1/counters", func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		_, _ = fmt.Fprintf(w, `{"starts":%d,"doubled_starts":0}`, f.starts)
	})
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.vars += 10
		_, _ = fmt.Fprintf(w, `{"messages_useful":{"batch_offer":%d},"messages_wasted":{"heartbeat":%d}}`, f.vars, f.vars/10)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func (f *fakeEntry) arrive(tasks int) {
	f.mu.Lock()
	f.arrived++
	f.starts += tasks
	if f.arrived == f.hold {
		close(f.allArrived)
	}
	f.mu.Unlock()
	if f.hold > 0 {
		<-f.allArrived
	}
}

func echoOf(payload json.RawMessage) json.RawMessage {
	var e echo
	_ = json.Unmarshal(payload, &e)
	out, _ := json.Marshal(e)
	return out
}

func (f *fakeEntry) postJob(w http.ResponseWriter, r *http.Request) {
	var req api.JobRequest
	_ = json.NewDecoder(r.Body).Decode(&req)
	f.arrive(len(req.Tasks))
	if f.other != nil {
		w.WriteHeader(http.StatusTooManyRequests)
		_ = json.NewEncoder(w).Encode(f.other)
		return
	}
	answer := api.CompleteAnswer{ID: job.ID(req.ID), Outcome: job.Complete}
	for i, task := range req.Tasks {
		answer.Results = append(answer.Results, api.TaskResult{Task: i, Payload: echoOf(task.Payload)})
	}
	if f.alter != nil {
		f.alter(&answer)
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func (f *fakeEntry) postSingle(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	f.arrive(1)
	w.Header().Set(api.HeaderID, r.Header.Get(api.HeaderID))
	_, _ = w.Write(echoOf(body))
}

// The entry answers nothing until all jobs have arrived. A closed-loop load tool
// would wait for answers, never send the remaining jobs, and report the stall
// as low load.
func TestRunIsOpenLoop(t *testing.T) {
	spec := smallSpec(t)
	jobs := len(arrivals(&spec))
	entry := &fakeEntry{hold: jobs}
	address := entry.serve(t)
	report, err := Run(t.Context(), spec, Options{Entries: []string{address}, Targets: []string{address}, Operators: []string{address}})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, report.Total.Complete, qt.Equals, jobs)
	qt.Assert(t, report.Checks.Passed(), qt.IsTrue)
	qt.Assert(t, report.Checks.TargetsCounted, qt.IsTrue)
	qt.Assert(t, report.Checks.Starts, qt.Equals, uint64(report.Checks.Tasks))
	qt.Assert(t, report.Messages.Useful, qt.Equals, int64(10))
	qt.Assert(t, report.Messages.UsefulShare() > 0.9, qt.IsTrue)
	qt.Assert(t, report.Services, qt.HasLen, 2)
	var text, svg, js bytes.Buffer
	qt.Assert(t, WriteText(&text, &report), qt.IsNil)
	qt.Assert(t, text.String(), qt.Contains, "90.9% useful")
	qt.Assert(t, WritePlot(&svg, []Report{report}), qt.IsNil)
	qt.Assert(t, svg.String(), qt.Contains, "<svg")
	qt.Assert(t, WriteJSON(&js, []Report{report}), qt.IsNil)
	qt.Assert(t, json.Valid(js.Bytes()), qt.IsTrue)
}

// An entry returns the result of another task or job, or omits one. The load
// tool must detect each case, or it would report a wrong answer as a good and
// fast one.
func TestRunDetectsWrongAnswers(t *testing.T) {
	count := func(c Checks) []int { return []int{c.Misdelivered, c.Partial, c.Unreadable} }
	for name, test := range map[string]struct {
		change func(*api.CompleteAnswer)
		want   []int
	}{
		"another task's result": {func(a *api.CompleteAnswer) { a.Results[0].Payload = a.Results[1].Payload }, []int{1, 0, 0}},
		"wrong order":           {func(a *api.CompleteAnswer) { slices.Reverse(a.Results) }, []int{2, 0, 0}},
		"a result is missing":   {func(a *api.CompleteAnswer) { a.Results = a.Results[:1] }, []int{0, 1, 0}},
		"another job's answer":  {func(a *api.CompleteAnswer) { a.ID = "other" }, []int{0, 0, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			spec := smallSpec(t)
			spec.MaxJobs = 1
			spec.Streams = spec.Streams[:1]
			spec.Streams[0].Tasks = Count{2, 2}
			address := (&fakeEntry{alter: test.change}).serve(t)
			report, err := Run(t.Context(), spec, Options{Entries: []string{address}})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, count(report.Checks), qt.DeepEquals, test.want)
			qt.Assert(t, report.Checks.Examples, qt.Not(qt.HasLen), 0)
			qt.Assert(t, report.Checks.TargetsCounted, qt.IsFalse)
		})
	}
}

// An entry reports "not run" for jobs whose tasks the targets did start. The
// caller would resubmit these jobs and be billed twice.
func TestRunDetectsFalseNotRun(t *testing.T) {
	spec := smallSpec(t)
	spec.Streams = spec.Streams[:1]
	entry := &fakeEntry{other: &api.IncompleteAnswer{Outcome: job.Refused, Run: job.NotRun().String(), Reason: job.Overloaded}}
	address := entry.serve(t)
	report, err := Run(t.Context(), spec, Options{Entries: []string{address}, Targets: []string{address}})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, report.Checks.UnexplainedStarts, qt.Equals, int64(report.Checks.Tasks))
	qt.Assert(t, report.Total.Refused, qt.DeepEquals, map[string]int{"overloaded": report.Total.Jobs})
	qt.Assert(t, report.Checks.Passed(), qt.IsFalse)
}

func TestRunStaysOnLoopback(t *testing.T) {
	spec := smallSpec(t)
	_, err := Run(context.Background(), spec, Options{Entries: []string{"192.0.2.1:80"}})
	qt.Assert(t, err, qt.ErrorMatches, ".*outside of loopback.*")
	_, err = Run(context.Background(), spec, Options{})
	qt.Assert(t, err, qt.ErrorMatches, ".*without entries.*")
}

func TestReportMetrics(t *testing.T) {
	spec := smallSpec(t)
	spec.Duration, spec.Warmup = 10*time.Second, 2*time.Second
	g := newCollector(&spec)
	for i := range 1000 {
		a := &Arrival{At: 3 * time.Second, Stream: &spec.Streams[0], Team: "a", Tasks: []Task{{Run: 100 * time.Millisecond}}}
		stretch := time.Duration(1)
		if i >= 985 {
			stretch = 5
		}
		g.add(jobResult{arrival: a, outcome: outcomeComplete, took: stretch * 100 * time.Millisecond, ended: 4 * time.Second, late: i < 200})
	}
	early := &Arrival{At: time.Second, Stream: &spec.Streams[0], Tasks: []Task{{Run: time.Hour}}}
	g.add(jobResult{arrival: early, outcome: outcomeComplete, took: time.Hour, ended: time.Hour})
	got := g.total.summarize(8 * time.Second)
	qt.Assert(t, got.Jobs, qt.Equals, 1000)
	qt.Assert(t, got.Late, qt.Equals, 200)
	qt.Assert(t, got.Stretch.Median, qt.Equals, 1.0)
	qt.Assert(t, int(got.Stretch.P99), qt.Equals, 5)
	qt.Assert(t, got.Offered, qt.Equals, 12.5)
	qt.Assert(t, got.Goodput, qt.Equals, 10.0)
	ours := Report{Mix: "m", Policy: "ours", Total: got, Services: []Group{got}}
	other := ours
	other.Policy, other.Total.Stretch.P99 = "baseline", 10*got.Stretch.P99
	var out bytes.Buffer
	qt.Assert(t, WriteRatios(&out, []Report{ours, other}), qt.IsNil)
	qt.Assert(t, out.String(), qt.Contains, "(10.00x)")
}
