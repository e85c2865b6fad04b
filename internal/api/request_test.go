package api

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/pipeline"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// checkedEcho refuses what the check stage refuses, and completes all other submissions.
type checkedEcho struct {
	echo
	check *pipeline.Check
	// during is called while a submission is in progress.
	during func(*job.Submission)
}

func (d *checkedEcho) Submit(ctx context.Context, s *job.Submission) job.Answer {
	return d.check.Process(ctx, &pipeline.Flow{Submission: s}, func(ctx context.Context, f *pipeline.Flow) job.Answer {
		if d.during != nil {
			d.during(s)
		}
		return d.echo.Submit(ctx, f.Submission)
	})
}

// newCheckedCaller returns a caller whose configuration has one service and these limits.
func newCheckedCaller(limits config.Limits, memory int64) (*Caller, *checkedEcho) {
	file := &config.File{Limits: limits, Services: []config.Service{{Name: "s"}}}
	view := config.Fixed{File: file}
	d := &checkedEcho{check: &pipeline.Check{Config: view, Events: timeline.Discard{}}}
	return &Caller{Dispatcher: d, Config: view, Memory: NewByteBudget(memory)}, d
}

func postJob(c *Caller, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(body))
	w := httptest.NewRecorder()
	c.Handler().ServeHTTP(w, r)
	return w
}

// jobOf returns a job of n tasks without a payload.
func jobOf(n int, fields string) string {
	return `{"service":"s",` + fields + `"tasks":[` + strings.TrimSuffix(strings.Repeat("{},", n), ",") + `]}`
}

// Guards against a job of millions of empty tasks, three bytes each, whose decoded tasks take
// thirty times the memory of its body and end the process before their number is checked.
func TestJobOfTooManyTasksIsRefusedBeforeItIsDecoded(t *testing.T) {
	for _, repeated := range []string{"", `"tasks":[{}],`} {
		c, _ := newCheckedCaller(config.Limits{MaxJobBytes: config.DefaultMaxJobBytes, MaxJobTasks: config.DefaultMaxJobTasks}, 256<<20)
		body := jobOf(5_000_000, repeated)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		w := postJob(c, body)
		runtime.ReadMemStats(&after)
		qt.Assert(t, w.Code, qt.Equals, http.StatusRequestEntityTooLarge, qt.Commentf("%s", w.Body))
		qt.Assert(t, w.Header().Get(HeaderRun), qt.Equals, "not-run")
		allocated := after.TotalAlloc - before.TotalAlloc
		qt.Assert(t, allocated < 4*uint64(len(body)), qt.IsTrue, qt.Commentf("%d MB allocated for a body of %d MB", allocated>>20, len(body)>>20))
		qt.Assert(t, c.Memory.Used(), qt.Equals, int64(0))
	}
}

// Guards against jobs of many small tasks that take far more memory than their bodies: only
// the bodies were reserved, so any number of such jobs was in progress at once.
func TestTasksShareTheMemoryForSubmissions(t *testing.T) {
	const tasks = 50
	c, d := newCheckedCaller(config.Limits{MaxJobBytes: 1 << 20, MaxJobTasks: tasks}, 100*taskBytes)
	var second *httptest.ResponseRecorder
	d.during = func(s *job.Submission) {
		if s.ID == "first" {
			qt.Check(t, c.Memory.Used() >= tasks*taskBytes, qt.IsTrue)
			second = postJob(c, jobOf(tasks, `"id":"second","attempt":1,`))
		}
	}
	qt.Assert(t, postJob(c, jobOf(tasks, `"id":"first","attempt":1,`)).Code, qt.Equals, http.StatusOK)
	qt.Assert(t, second.Code, qt.Equals, http.StatusTooManyRequests)
	qt.Assert(t, second.Header().Get("Retry-After"), qt.Equals, "1")
	qt.Assert(t, second.Header().Get(HeaderRun), qt.Equals, "not-run")
	qt.Assert(t, c.Memory.Used(), qt.Equals, int64(0))
	qt.Assert(t, postJob(c, jobOf(tasks, `"id":"second","attempt":1,`)).Code, qt.Equals, http.StatusOK)
}

// Guards against "try again later" for a job that takes more memory than the entry has for all
// submissions, and against "not run" for one of which an earlier attempt may have run.
func TestRefusalForMemoryIsTrue(t *testing.T) {
	limits := config.Limits{MaxJobBytes: 1 << 20, MaxJobTasks: 1000}
	for _, test := range []struct {
		name, fields string
		used         int64
		code         int
		run          string
	}{
		{"larger than all memory", `"id":"a","attempt":1,`, 0, http.StatusRequestEntityTooLarge, "not-run"},
		{"larger than all memory, sent before", `"id":"a","attempt":2,`, 0, http.StatusRequestEntityTooLarge, "may-have-run"},
		{"no memory free, sent before", `"id":"a","attempt":2,`, 100 * taskBytes, http.StatusTooManyRequests, "may-have-run"},
		{"no memory free, without an id", ``, 100 * taskBytes, http.StatusTooManyRequests, "not-run"},
	} {
		c, _ := newCheckedCaller(limits, 150*taskBytes)
		tasks := 1000
		if test.used > 0 {
			tasks = 100
		}
		qt.Assert(t, c.Memory.Reserve(test.used), qt.IsTrue)
		w := postJob(c, jobOf(tasks, test.fields))
		qt.Check(t, w.Code, qt.Equals, test.code, qt.Commentf("%s", test.name))
		qt.Check(t, w.Header().Get(HeaderRun), qt.Equals, test.run, qt.Commentf("%s", test.name))
		qt.Check(t, w.Header().Get("Retry-After") != "", qt.Equals, test.code == http.StatusTooManyRequests, qt.Commentf("%s", test.name))
		qt.Check(t, c.Memory.Used(), qt.Equals, test.used)
	}
}

// Guards against losing the answer to a job that was accepted before the configuration lowered
// the limit of tasks: when it is sent again, the dispatcher needs the whole job to find it.
func TestJobSentBeforeReachesTheDispatcherWhole(t *testing.T) {
	c, d := newCheckedCaller(config.Limits{MaxJobBytes: 1 << 20, MaxJobTasks: 2}, 1<<20)
	var got *job.Submission
	d.during = func(s *job.Submission) { got = s }
	postJob(c, jobOf(3, `"id":"a","attempt":2,`))
	qt.Assert(t, got, qt.IsNotNil)
	qt.Assert(t, got.Tasks, qt.HasLen, 3)
	qt.Assert(t, got.Digest, qt.Equals, got.ContentDigest())
}

// Guards against reserving for what a caller announces: many connections that announce large
// bodies and send nothing would take the memory of all others.
func TestBodyIsReservedAsItArrives(t *testing.T) {
	const sent = 100 << 10
	budget := NewByteBudget(1 << 20)
	held := &reservation{budget: budget}
	body, err := readReserved(strings.NewReader(strings.Repeat("x", sent)), 64<<20, held)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.HasLen, sent)
	qt.Assert(t, budget.Used() >= bodyFactor*sent, qt.IsTrue)
	for _, length := range []int64{-1, sent, sent - 1, 0} {
		held.release()
		body, err = readReserved(strings.NewReader(strings.Repeat("x", sent)), length, held)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.HasLen, sent)
	}
	_, err = readReserved(strings.NewReader(strings.Repeat("x", 1<<20)), -1, held)
	qt.Assert(t, err, qt.ErrorIs, errMemoryExhausted)
	qt.Assert(t, budget.Used() <= 1<<20, qt.IsTrue)
}
