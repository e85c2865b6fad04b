package status

import (
	"bytes"
	"encoding/json"
	"expvar"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/scheduler"
)

func healthySources() *Sources {
	return &Sources{
		Self:    job.Owner{Entry: "a1", Zone: "a", Incarnation: 7},
		Version: "v1",
		Members: func() []Member {
			return []Member{{Entry: "a1", Zone: "a", State: Alive}, {Entry: "b1", Zone: "b", State: Alive}, {Entry: "b2", Zone: "b", State: Left}}
		},
		Pools: func() []scheduler.Stats {
			return []scheduler.Stats{{Pool: "p", Slots: 8, Running: 2, Queued: [3]int{1, 0, 4}, Targets: []scheduler.TargetStats{
				{Target: job.Target{ID: "w2", Slots: 8}, State: "ready", Slowness: 1},
			}}}
		},
		Holders:       func() []job.HolderLoad { return []job.HolderLoad{{Entry: "b1", Pool: "q", Slots: 8}} },
		Voters:        func() []job.EntryID { return []job.EntryID{"a1", "b1", "gone"} },
		Configuration: func() Configuration { return Configuration{Number: 42, Digest: "abcdef"} },
		Wanted:        func() []string { return []string{"p", "q"} },
		Outcomes: func() (map[job.Outcome]uint64, map[job.Reason]uint64) {
			return map[job.Outcome]uint64{job.Complete: 5}, map[job.Reason]uint64{job.Overloaded: 3}
		},
	}
}

func TestHealthyStatus(t *testing.T) {
	st := healthySources().Read()
	qt.Assert(t, st.Why, qt.HasLen, 0)
	qt.Assert(t, st.Healthy, qt.IsTrue)
	qt.Assert(t, st.Queues[0].Queued, qt.DeepEquals, map[string]int{"batch": 1, "interactive": 0, "urgent": 4})
	qt.Assert(t, st.Voters[2], qt.Equals, Voter{Entry: "gone", State: Dead})
	var text bytes.Buffer
	qt.Assert(t, WriteText(&text, &st), qt.IsNil)
	for _, part := range []string{"entry a1 in a: healthy", "number 42, digest abcdef", "not completed, overloaded: 3"} {
		qt.Assert(t, text.String(), qt.Contains, part)
	}
	w := httptest.NewRecorder()
	Handler(healthySources().Read).ServeHTTP(w, httptest.NewRequest("GET", "/v1/status", nil))
	var back Status
	qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &back), qt.IsNil)
	qt.Assert(t, back.Healthy, qt.IsTrue)
}

// An operator must see which priority waits, or a shortage of one service looks like that of
// the whole pool.
func TestStatusShowsPriorities(t *testing.T) {
	src := healthySources()
	src.Pools = func() []scheduler.Stats {
		return []scheduler.Stats{{Pool: "p", Levels: []scheduler.LevelStats{
			{Urgency: job.UrgencyInteractive, Priority: 0, Queued: 3, Wait: 40 * time.Millisecond},
			{Urgency: job.UrgencyInteractive, Priority: 2, Running: 7, LevelCounts: scheduler.LevelCounts{Refused: 12}},
		}}}
	}
	st := src.Read()
	qt.Assert(t, st.Queues[0].Priorities[0].WaitMillis, qt.Equals, int64(40))
	var text bytes.Buffer
	qt.Assert(t, WriteText(&text, &st), qt.IsNil)
	for _, part := range []string{"interactive 0 ", "interactive 2 ", "40ms", "12 "} {
		qt.Check(t, text.String(), qt.Contains, part)
	}
}

// Each of these problems goes unnoticed until callers complain, unless the status
// reports it in a sentence and as unhealthy.
func TestStatusReportsProblems(t *testing.T) {
	since := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for want, change := range map[string]func(*Sources){
		"this entry is draining: it takes no new work":             func(s *Sources) { s.Draining = func() bool { return true } },
		"no configuration is in force: apply a first file":         func(s *Sources) { s.Configuration = nil },
		"entry b1 in b is suspect":                                 func(s *Sources) { s.Members = func() []Member { return []Member{{"b1", "b", Suspect}} } },
		"no target of pool q is announced at any entry known here": func(s *Sources) { s.Holders = nil },
		"the configuration may be stale since 2026-01-02T03:04:05Z: no majority of the voters can be reached": func(s *Sources) {
			s.Configuration = func() Configuration { return Configuration{Number: 1, Stale: true, StaleSince: since} }
		},
		"this entry's disk does not vote on configurations: no space": func(s *Sources) {
			s.Configuration = func() Configuration { return Configuration{Number: 1, Problem: "no space"} }
		},
		"target w1 of pool p is quarantined: its tasks fail": func(s *Sources) {
			s.Pools = func() []scheduler.Stats {
				return []scheduler.Stats{{Pool: "p", Slots: 8, Targets: []scheduler.TargetStats{{Target: job.Target{ID: "w1"}, State: quarantined}}}}
			}
		},
	} {
		t.Run(want, func(t *testing.T) {
			s := healthySources()
			change(s)
			st := s.Read()
			qt.Assert(t, st.Why, qt.DeepEquals, []string{want})
			qt.Assert(t, st.Healthy, qt.IsFalse)
		})
	}
}

func TestMessageVars(t *testing.T) {
	vars := new(expvar.Map)
	MessageVars(vars, func() []Traffic {
		return []Traffic{{peer.BatchOffer, 3, 300}, {peer.Heartbeat, 5, 50}, {peer.Kind(999), 1, 1}}
	})
	var got map[string]map[string]int
	qt.Assert(t, json.Unmarshal([]byte(vars.String()), &got), qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, map[string]map[string]int{
		"messages_useful": {"batch_offer": 3}, "messages_wasted": {"heartbeat": 5, "kind_999": 1},
		"bytes_useful": {"batch_offer": 300}, "bytes_wasted": {"heartbeat": 50, "kind_999": 1},
	})
}
