// Package status reports the state of one entry, what it knows of the fleet, and
// whether that state is healthy.
package status

import (
	"fmt"
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/scheduler"
)

// Status is the state of one entry as shown to operators.
type Status struct {
	Entry       job.EntryID     `json:"entry"`
	Zone        job.Zone        `json:"availability_zone"`
	Incarnation job.Incarnation `json:"incarnation"`
	Version     string          `json:"version"`
	Healthy     bool            `json:"healthy"`
	// Why lists the problems that make the entry unhealthy, one sentence each.
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
	// CordonedZones are the zones in which no new work starts.
	CordonedZones []job.Zone `json:"cordoned_zones,omitempty"`
	// ClockRejections counts the timestamps of peers that were too far ahead to follow.
	ClockRejections uint64 `json:"clock_rejections,omitempty"`
}

// MemberState is the state of an entry as seen by this one.
type MemberState string

// The states of a member.
const (
	Alive   MemberState = "alive"
	Suspect MemberState = "suspect"
	Dead    MemberState = "dead"
	Left    MemberState = "left"
)

// Member is an entry of the fleet as seen by this one.
type Member struct {
	Entry job.EntryID `json:"entry"`
	Zone  job.Zone    `json:"availability_zone"`
	State MemberState `json:"state"`
}

// Target is a target that this entry holds.
type Target struct {
	ID      job.TargetID `json:"id"`
	Pool    string       `json:"pool"`
	Address string       `json:"address"`
	Rack    string       `json:"rack,omitempty"`
	State   string       `json:"state"`
	Slots   int          `json:"slots"`
	Running int          `json:"running"`
	// Slowness is the ratio of the actual to the expected run time of its tasks.
	Slowness float64 `json:"slowness"`
	// RelativeRunTime is the run time relative to the typical target, and SpeedSamples the
	// number of measured tasks that it is based on.
	RelativeRunTime float64 `json:"relative_run_time"`
	SpeedSamples    int     `json:"speed_samples"`
}

// Voter is an entry that votes on configurations.
type Voter struct {
	Entry job.EntryID `json:"entry"`
	State MemberState `json:"state"`
}

// Configuration describes the configuration file in effect.
type Configuration struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
	// Since is when the configuration took effect at this entry.
	Since time.Time `json:"since,omitzero"`
	// Stale means that this entry can't know whether a newer configuration was
	// accepted. StaleSince is when this began.
	Stale      bool      `json:"stale"`
	StaleSince time.Time `json:"stale_since,omitzero"`
	// Problem is the disk problem that keeps this entry from voting on configurations.
	Problem string `json:"problem,omitempty"`
}

// Queue describes the waiting and running tasks of one pool at this entry.
type Queue struct {
	Pool    string `json:"pool"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	// Queued counts the waiting tasks by urgency class, Teams by team.
	Queued map[string]int `json:"queued"`
	Teams  map[string]int `json:"teams,omitempty"`
	// Priorities has the services' priorities of each urgency class that has several.
	Priorities []Priority `json:"priorities,omitempty"`
}

// Priority describes the work of one priority of an urgency class of a pool at this entry.
// The numbers of slots are averages over about a second.
type Priority struct {
	Urgency  string `json:"urgency"`
	Priority int    `json:"priority"`
	Queued   int    `json:"queued"`
	Running  int    `json:"running"`
	// WaitMillis is the expected wait of a task that arrives now.
	WaitMillis int64 `json:"wait_ms"`
	// Demand is the number of slots that the requested work needs, Entitled the number to
	// which the priority is entitled, Received the number that it got.
	Demand   float64 `json:"demand"`
	Entitled float64 `json:"entitled"`
	Received float64 `json:"received"`
	// Admitted, Refused and Abandoned count jobs.
	Admitted  uint64 `json:"admitted"`
	Refused   uint64 `json:"refused"`
	Abandoned uint64 `json:"abandoned"`
}

// Sources are the functions that a status is read from. A nil function leaves its part
// of the status empty.
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
	CordonedZones func() []job.Zone
	// Wanted returns the pools that the configuration in effect needs.
	Wanted          func() []string
	ClockRejections func() uint64
}

// Read returns the current status.
func (s *Sources) Read() Status {
	st := Status{
		Entry: s.Self.Entry, Zone: s.Self.Zone, Incarnation: s.Self.Incarnation, Version: s.Version,
		Draining: callOrZero(s.Draining), Running: callOrZero(s.Running), Members: callOrZero(s.Members),
		Holders: callOrZero(s.Holders), Configuration: callOrZero(s.Configuration),
		ClockRejections: callOrZero(s.ClockRejections), CordonedZones: callOrZero(s.CordonedZones),
	}
	for _, pool := range callOrZero(s.Pools) {
		st.addPool(&pool)
	}
	for _, voter := range callOrZero(s.Voters) {
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
	st.Why = findProblems(&st, callOrZero(s.Wanted))
	st.Healthy = len(st.Why) == 0
	return st
}

func callOrZero[T any](f func() T) T {
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
	for i := range pool.Levels {
		q.Priorities = append(q.Priorities, priorityOf(&pool.Levels[i]))
	}
	st.Queues = append(st.Queues, q)
	for i := range pool.Targets {
		t := &pool.Targets[i]
		st.Targets = append(st.Targets, Target{
			ID: t.Target.ID, Pool: pool.Pool, Address: t.Target.Address, Rack: t.Target.Rack,
			State: t.State, Slots: t.Target.Slots, Running: t.Running, Slowness: t.Slowness,
			RelativeRunTime: t.Speed.Factor(), SpeedSamples: int(t.Speed.Samples),
		})
	}
	slices.SortFunc(st.Targets, func(a, b Target) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

func priorityOf(l *scheduler.LevelStats) Priority {
	return Priority{
		Urgency: l.Urgency.String(), Priority: l.Priority, Queued: l.Queued, Running: l.Running, WaitMillis: l.Wait.Milliseconds(),
		Demand: l.Share.Demand, Entitled: l.Share.Entitled, Received: l.Share.Received,
		Admitted: l.Admitted, Refused: l.Refused, Abandoned: l.Abandoned,
	}
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

// quarantined is the state of a target that receives only probes.
const quarantined = "quarantined"

// findProblems returns the problems of the entry, one sentence each. A single failed
// target or a full queue is normal. The problems listed here need an operator, at once
// or if they persist.
func findProblems(st *Status, requiredPools []string) []string {
	var problems []string
	add := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	if st.Draining {
		add("this entry is draining: it takes no new work")
	}
	if st.Configuration.Number == 0 {
		add("no configuration is in force: apply a first file")
	}
	if st.Configuration.Stale {
		add("the configuration may be stale since %s: no majority of the voters can be reached", st.Configuration.StaleSince.UTC().Format(time.RFC3339))
	}
	if p := st.Configuration.Problem; p != "" {
		add("this entry's disk does not vote on configurations: %s", p)
	}
	for _, m := range st.Members {
		switch m.State {
		case Suspect, Dead:
			add("entry %s in %s is %s", m.Entry, m.Zone, m.State)
		case Alive, Left:
		}
	}
	for _, pool := range requiredPools {
		if st.poolSlots(pool) == 0 {
			add("no target of pool %s is announced at any entry known here", pool)
		}
	}
	for _, t := range st.Targets {
		if t.State == quarantined {
			add("target %s of pool %s is quarantined: its tasks fail", t.ID, t.Pool)
		}
	}
	return problems
}

// poolSlots returns the slots of a pool at all holders that this entry knows.
func (st *Status) poolSlots(pool string) int {
	sum := 0
	selfIncluded := false
	for i := range st.Holders {
		if st.Holders[i].Pool != pool {
			continue
		}
		sum += st.Holders[i].Slots
		selfIncluded = selfIncluded || st.Holders[i].Entry == st.Entry
	}
	if selfIncluded {
		return sum
	}
	for i := range st.Queues {
		if st.Queues[i].Pool == pool {
			sum += st.Queues[i].Slots
		}
	}
	return sum
}
