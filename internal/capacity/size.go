// Package capacity measures how the costs of an entry grow with targets, teams,
// tasks, events and changes, and works out from these slopes what a size that
// can't be run on one machine takes.
package capacity

import (
	"fmt"
	"time"
)

// Size is a fleet to work out.
type Size struct {
	Regions int
	Zones   int
	// Entries is the entry VMs of all zones together.
	Entries int
	Targets int
	// Starts is task starts a second of the whole fleet at its peak.
	Starts float64
	// TasksPerJob is the mean; the largest job has 1,900.
	TasksPerJob float64
	Teams       int
	Services    int
	// Changes is accepted configurations a day.
	Changes float64
	// Renew is the time between two announcements of one target.
	Renew time.Duration
}

// TwoYears is the size that the users expect within two years. Entries and
// TasksPerJob are assumptions: three entry VMs a zone, so that a zone bears the
// loss of one and then of a second, and jobs of ten tasks in the mean. Renew
// follows from the default lease.
func TwoYears() Size {
	return Size{
		Regions: 2, Zones: 7, Entries: 21, Targets: 2700, Starts: 110_000, TasksPerJob: 10,
		Teams: 63, Services: 20, Changes: 2900, Renew: 4 * time.Second / 3,
	}
}

// TargetsPerEntry is how many targets one entry holds.
func (s *Size) TargetsPerEntry() float64 { return float64(s.Targets) / float64(s.Entries) }

// StartsPerEntry is how many tasks one entry starts a second at the peak.
func (s *Size) StartsPerEntry() float64 { return s.Starts / float64(s.Entries) }

// RenewalsPerEntry is how many announcements one entry takes a second.
func (s *Size) RenewalsPerEntry() float64 { return s.TargetsPerEntry() / s.Renew.Seconds() }

// ChangesPerSecond is the mean rate of accepted configurations.
func (s *Size) ChangesPerSecond() float64 { return s.Changes / (24 * time.Hour).Seconds() }

// Budget of control for one daemon.
const (
	BudgetCore   = 0.025
	BudgetMemory = 64 << 20
	BudgetBytes  = 6 << 10
)

// Cost is what one thing takes of one daemon at a size.
type Cost struct {
	What string
	// Core is processor time a second, in cores; Bytes is sent and received a
	// second; Memory is in bytes.
	Core   float64
	Bytes  float64
	Memory float64
	// Mechanism names what carries it.
	Mechanism string
}

// Sum adds up costs.
func Sum(costs []Cost) Cost {
	sum := Cost{What: "sum"}
	for _, c := range costs {
		sum.Core += c.Core
		sum.Bytes += c.Bytes
		sum.Memory += c.Memory
	}
	return sum
}

// Control returns what control takes of one entry at the size.
func Control(s *Size, m *Slopes) []Cost {
	rest, known := m.restAt(s.Entries), m.exchangeAt(s.Entries)
	return []Cost{
		{What: "the process itself", Core: m.BaseCore, Memory: m.BaseMemory, Mechanism: "one process, no work yet, the ring's slots allotted"},
		{
			What: "targets' leases", Core: s.RenewalsPerEntry() * m.RenewalCPU.Seconds(),
			Bytes: s.RenewalsPerEntry() * (m.RenewalBytes + m.ForwardBytes), Memory: s.TargetsPerEntry() * m.TargetBytes,
			Mechanism: "each target announces to its zone, one entry holds it (rendezvous hash)",
		},
		{
			What: "lapsed leases", Core: s.TargetsPerEntry() * m.ExpireCPU.Seconds() * expiresPerSecond,
			Mechanism: "one scan of the held leases each 250 ms",
		},
		{
			What: "links and heartbeats", Core: rest.Core, Bytes: rest.Bytes, Memory: rest.Memory,
			Mechanism: fmt.Sprintf("one message a peer and interval, loads and digest on it; measured with %d entries found through seeds", rest.Entries),
		},
		{
			What: "discovery", Core: exchangesPerSecond * known.CPU.Seconds() / 2, Bytes: exchangesPerSecond * known.Bytes,
			Mechanism: fmt.Sprintf("an exchange with one entry each 2 s, asked and answered; measured with %d entries", known.Entries),
		},
		{
			What: "leases of runs", Core: s.TargetsPerEntry() * looksPerSecond * m.LookCPU.Seconds(),
			Bytes:     s.TargetsPerEntry() * looksPerSecond * m.LookBytes,
			Mechanism: "one renewal a busy target for all its runs, which waits there for their ends; none where nothing runs",
		},
		{
			What: "configuration", Core: s.ChangesPerSecond() * m.ParseCPU.Seconds(),
			Bytes: s.ChangesPerSecond() * m.ConfigBytes, Memory: m.ConfigMemory,
			Mechanism: "digest on heartbeats, pull of the whole file, one register",
		},
		{
			What: "time line", Core: s.StartsPerEntry() * eventsPerTask * m.EventCPU.Seconds(), Memory: max(0, m.RingMemory-m.EmptyRing),
			Mechanism: "bounded ring, read only when asked; its texts",
		},
	}
}

// looksPerSecond is how often the leases on a busy target are renewed where no run of it
// ends: each 0.35 s.
const looksPerSecond = 1 / 0.35

// exchangesPerSecond is how many exchanges of known entries one entry takes part in: it
// asks each two seconds and is asked as often in the mean.
const exchangesPerSecond = 1

// expiresPerSecond is how often the leases are scanned.
const expiresPerSecond = 4

// eventsPerTask is how many events one started task leaves at its holder:
// queued, started, ended.
const eventsPerTask = 3

// eventsPerJob is how many events one job leaves beside those of its tasks: received,
// admitted, answered, and a batch offered, received and reported at two holders.
const eventsPerJob = 9

// linesPerSecond is how many lines of successful steps a busy entry writes: 20 a kind.
const linesPerSecond = 20 * 9

// Work returns what the work itself takes of one entry at the peak.
func Work(s *Size, m *Slopes) []Cost {
	jobs := s.StartsPerEntry() / s.TasksPerJob
	return []Cost{
		{
			What: "tasks through one entry, both ends and callers included", Core: s.StartsPerEntry() * m.TaskCPU.Seconds(),
			Mechanism: "HTTP to the target on kept connections",
		},
		{
			What: "of that: choice of task and target", Core: s.StartsPerEntry() * m.ScheduleCPU.Seconds(),
			Mechanism: "heaps by pool; one lock a pool",
		},
		{What: "of that: split of jobs over holders", Core: jobs * m.SplitCPU.Seconds(), Mechanism: "one message a holder a job"},
		{What: "of that: teams' quotas", Core: jobs * m.QuotaCPU.Seconds(), Mechanism: "one bucket a team and entry"},
		{
			What:      "log",
			Core:      (s.StartsPerEntry()*eventsPerTask+jobs*eventsPerJob)*m.LeftOutCPU.Seconds() + linesPerSecond*m.LineCPU.Seconds(),
			Bytes:     m.LogBytes,
			Mechanism: "a budget of lines by kind, ids of the rest; the bytes go to the log's reader, not to other entries",
		},
		{
			What: "waiting tasks, for ten seconds of the peak", Memory: 10 * s.StartsPerEntry() * m.QueuedBytes,
			Mechanism: "bounded queues by count and bytes",
		},
	}
}
