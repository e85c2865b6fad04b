package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

type fakeEntry struct {
	mu        sync.Mutex
	announced []job.Target
	withdrawn []string
	renewed   chan struct{}
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Method == http.MethodDelete {
		f.withdrawn = append(f.withdrawn, r.URL.Path)
		return
	}
	var t job.Target
	_ = json.NewDecoder(r.Body).Decode(&t)
	f.announced = append(f.announced, t)
	if len(f.announced) == 2 {
		close(f.renewed)
	}
	_ = json.NewEncoder(w).Encode(target.Grant{LeaseMillis: 100, RenewMillis: 1})
}

func post(t *testing.T, addr, path, body string) *http.Response {
	t.Helper()
	resp, err := http.Post("http://"+addr+path, "application/json", strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func TestAnnouncesRenewsAndWithdraws(t *testing.T) {
	entry := &fakeEntry{renewed: make(chan struct{})}
	server := httptest.NewServer(entry)
	defer server.Close()
	unreachable := "127.0.0.1:1" // skipped
	s, err := New(Options{ID: "t1", Service: "thumbs", Zone: "a", Entries: []string{unreachable, server.Listener.Addr().String()}})
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	<-entry.renewed
	cancel()
	qt.Assert(t, <-ended, qt.IsNil)
	qt.Assert(t, entry.withdrawn, qt.DeepEquals, []string{"/v1/targets/t1"})
	qt.Assert(t, entry.announced[0], qt.Equals, job.Target{ID: "t1", Pool: "thumbs", Zone: "a", Address: s.Addr(), Slots: 8, Connections: 64})
}

func TestRunsCountsRefusesAndStops(t *testing.T) {
	entered := make(chan struct{})
	work := func(ctx context.Context, _ job.ID, _ int, _ []byte) ([]byte, error) {
		close(entered)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	s, err := New(Options{ID: "t1", Slots: 1, Work: work})
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	answered := make(chan int, 1)
	go func() { answered <- post(t, s.Addr(), "/v1/tasks/j/0", "").StatusCode }()
	<-entered
	refused := post(t, s.Addr(), "/v1/tasks/j/1", "")
	qt.Assert(t, refused.StatusCode, qt.Equals, http.StatusTooManyRequests)
	qt.Assert(t, refused.Header.Get(target.HeaderRun), qt.Equals, target.RunNotRun)
	req, _ := http.NewRequest(http.MethodDelete, "http://"+s.Addr()+"/v1/tasks/j/0", nil)
	_, err = http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, <-answered, qt.Equals, http.StatusInternalServerError)
	cancel()
	qt.Assert(t, <-ended, qt.IsNil)
	c := s.Counters()
	c.MaxConnections = 0
	qt.Assert(t, c, qt.Equals, Counters{Starts: 1, Refused: 1, Stopped: 1, MaxConcurrent: 1, Connections: c.Connections})
}

func TestBuiltInWorkAndDoubledStarts(t *testing.T) {
	tracker := NewStartTracker()
	var addrs []string
	for _, id := range []job.TargetID{"t1", "t2"} {
		s, err := New(Options{ID: id, Starts: tracker})
		qt.Assert(t, err, qt.IsNil)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); _ = s.Run(ctx) }()
		t.Cleanup(func() { cancel(); <-ended })
		addrs = append(addrs, s.Addr())
	}
	resp := post(t, addrs[0], "/v1/tasks/a%2Fb/3", `{"sleep_ms":1,"size":5}`)
	var a Answer
	qt.Assert(t, json.NewDecoder(resp.Body).Decode(&a), qt.IsNil)
	qt.Assert(t, a.RanMillis >= 1, qt.IsTrue)
	a.RanMillis = 0
	qt.Assert(t, a, qt.Equals, Answer{Task: "a%2Fb/3", Target: "t1", Filling: "xxxxx"})
	qt.Assert(t, post(t, addrs[1], "/v1/tasks/a%2Fb/3", `{"fail":true}`).StatusCode, qt.Equals, http.StatusInternalServerError)
	qt.Assert(t, tracker.Starts(), qt.Equals, uint64(2))
	qt.Assert(t, tracker.DoubledStarts(), qt.Equals, uint64(1))
}
