// Package status is what one entry says of itself and of what it knows of the
// fleet, and whether that is healthy.
package status

import (
	"fmt"
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/scheduler"
)

// Status is the state of one entry as operators read it.
type Status struct {
	Entry       job.EntryID     `json:"entry"`
	Zone        job.Zone        `json:"availability_zone"`
	Incarnation job.Incarnation `json:"incarnation"`
	Version     string          `json:"version"`
	Healthy     bool            `json:"healthy"`
	// Why says what is not as it should be, one sentence each.
	Why           []string              `json:"why,omitempty"`
	Draining      bool                  `json:"draining"`
	Running       int                   `json:"running_submissions"`
	Members       []Member              `json:"members"`
	Targets       []Target              `json:"targets"`
	Holders       []job.HolderLoad      `json:"holders"`
	Voters        []Voter               `json:"voters"`
	Configuration Configuration         `json:"configuration"`
	Queues        []Queue               `json:"queues"`
	Outcomes      map[string]uint64     `json:"outcomes"`
	Refusals      map[job.Reason]uint64 `json:"refusals_by_reason"`
	// ClockRejections counts peers' clock readings too far ahead to follow.
	ClockRejections uint64 `json:"clock_rejections,omitempty"`
}

// MemberState is what this entry holds of another one.
type MemberState string

// The states of a member.
const (
	Alive   MemberState = "alive"
	Suspect MemberState = "suspect"
	Dead    MemberState = "dead"
	Left    MemberState = "left"
)

// Member is one entry of the fleet as this entry sees it.
type Member struct {
	Entry job.EntryID `json:"entry"`
	Zone  job.Zone    `json:"availability_zone"`
	State MemberState `json:"state"`
}

// Target is one target that this entry holds.
type Target struct {
	ID      job.TargetID `json:"id"`
	Pool    string       `json:"pool"`
	Address string       `json:"address"`
	Rack    string       `json:"rack,omitempty"`
	State   string       `json:"state"`
	Slots   int          `json:"slots"`
	Running int          `json:"running"`
	// Slowness is how many times longer than expected its tasks take.
	Slowness float64 `json:"slowness"`
}

// Voter is one entry that agrees on configurations.
type Voter struct {
	Entry job.EntryID `json:"entry"`
	State MemberState `json:"state"`
}

// Configuration is the file in force.
type Configuration struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
	// Since is when it came into force at this entry.
	Since time.Time `json:"since,omitzero"`
	// Stale says that this entry can't know whether a newer one was accepted,
	// and StaleSince from when on.
	Stale      bool      `json:"stale"`
	StaleSince time.Time `json:"stale_since,omitzero"`
	// Problem says why this entry's disk does not take part in agreeing on it.
	Problem string `json:"problem,omitempty"`
}

// Queue is the waiting work of one pool at this entry.
type Queue struct {
	Pool    string `json:"pool"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	// Queued counts waiting tasks by urgency class, and by team.
	Queued map[string]int `json:"queued"`
	Teams  map[string]int `json:"teams,omitempty"`
}

// Sources are where a status comes from. A nil one leaves its part out.
type Sources struct {
	Self          job.Owner
	Version       string
	Draining      func() bool
	Running       func() int
	Members       func() []Member
	Pools         func() []scheduler.Stats
	Holders       func() []job.HolderLoad
	Voters        func() []job.EntryID
	Configuration func() Configuration
	Outcomes      func() (map[job.Outcome]uint64, map[job.Reason]uint64)
	// Wanted names the pools that the configuration in force needs.
	Wanted          func() []string
	ClockRejections func() uint64
}

// Read builds the status now.
func (s *Sources) Read() Status {
	st := Status{
		Entry: s.Self.Entry, Zone: s.Self.Zone, Incarnation: s.Self.Incarnation, Version: s.Version,
		Draining: call(s.Draining), Running: call(s.Running), Members: call(s.Members),
		Holders: call(s.Holders), Configuration: call(s.Configuration),
		ClockRejections: call(s.ClockRejections),
	}
	for _, pool := range call(s.Pools) {
		st.addPool(&pool)
	}
	for _, voter := range call(s.Voters) {
		st.Voters = append(st.Voters, Voter{Entry: voter, State: st.stateOf(voter)})
	}
	if s.Outcomes != nil {
		outcomes, reasons := s.Outcomes()
		st.Outcomes = map[string]uint64{}
		for outcome, n := range outcomes {
			st.Outcomes[string(outcome)] = n
		}
		st.Refusals = reasons
	}
	st.Why = judge(&st, call(s.Wanted))
	st.Healthy = len(st.Why) == 0
	return st
}

func call[T any](f func() T) T {
	if f == nil {
		var zero T
		return zero
	}
	return f()
}

func (st *Status) addPool(pool *scheduler.Stats) {
	q := Queue{Pool: pool.Pool, Slots: pool.Slots, Running: pool.Running, Queued: map[string]int{}, Teams: pool.Teams}
	for urgency, n := range pool.Queued {
		q.Queued[job.Urgency(urgency).String()] = n
	}
	st.Queues = append(st.Queues, q)
	for i := range pool.Targets {
		t := &pool.Targets[i]
		st.Targets = append(st.Targets, Target{
			ID: t.Target.ID, Pool: pool.Pool, Address: t.Target.Address, Rack: t.Target.Rack,
			State: t.State, Slots: t.Target.Slots, Running: t.Running, Slowness: t.Slowness,
		})
	}
	slices.SortFunc(st.Targets, func(a, b Target) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

func (st *Status) stateOf(id job.EntryID) MemberState {
	if id == st.Entry {
		return Alive
	}
	for _, m := range st.Members {
		if m.Entry == id {
			return m.State
		}
	}
	return Dead
}

// quarantined is the state of a target that gets only probes.
const quarantined = "quarantined"

// judge says what is not as it should be. A single failed target or a full
// queue is ordinary; what is named here needs an operator, or will if it stays.
func judge(st *Status, wanted []string) []string {
	var why []string
	say := func(format string, args ...any) { why = append(why, fmt.Sprintf(format, args...)) }
	if st.Draining {
		say("this entry is draining: it takes no new work")
	}
	if st.Configuration.Number == 0 {
		say("no configuration is in force: apply a first file")
	}
	if st.Configuration.Stale {
		say("the configuration may be stale since %s: no majority of the voters can be reached", st.Configuration.StaleSince.UTC().Format(time.RFC3339))
	}
	if p := st.Configuration.Problem; p != "" {
		say("this entry's disk does not vote on configurations: %s", p)
	}
	for _, m := range st.Members {
		switch m.State {
		case Suspect, Dead:
			say("entry %s in %s is %s", m.Entry, m.Zone, m.State)
		case Alive, Left:
		}
	}
	for _, pool := range wanted {
		if st.slots(pool) == 0 {
			say("no target of pool %s is announced at any entry known here", pool)
		}
	}
	for _, t := range st.Targets {
		if t.State == quarantined {
			say("target %s of pool %s is quarantined: it fails what it starts", t.ID, t.Pool)
		}
	}
	return why
}

// slots sums a pool's slots over all holders known here.
func (st *Status) slots(pool string) int {
	sum := 0
	own := false
	for i := range st.Holders {
		if st.Holders[i].Pool != pool {
			continue
		}
		sum += st.Holders[i].Slots
		own = own || st.Holders[i].Entry == st.Entry
	}
	if own {
		return sum
	}
	for i := range st.Queues {
		if st.Queues[i].Pool == pool {
			sum += st.Queues[i].Slots
		}
	}
	return sum
}
