// Package capacity measures how the costs of an entry grow with targets, teams,
// tasks, events and changes. From these slopes it computes the cost of a fleet
// that is too large to run on one machine.
package capacity

import (
	"fmt"
	"time"
)

// Size is the size of a fleet whose cost is computed.
type Size struct {
	Regions int
	Zones   int
	// Entries is the total number of entry VMs in all zones.
	Entries int
	Targets int
	// Starts is the peak rate of task starts in the whole fleet, per second.
	Starts float64
	// TasksPerJob is the mean; the largest job has 1,900 tasks.
	TasksPerJob float64
	Teams       int
	Services    int
	// Changes is the number of accepted configurations per day.
	Changes float64
	// Renew is the interval between announcements of one target.
	Renew time.Duration
}

// TwoYears returns the size that the users expect within two years. Entries and
// TasksPerJob are assumptions: three entry VMs per zone, so that a zone tolerates
// the loss of one and then of a second, and a mean of ten tasks per job. Renew
// follows from the default lease.
func TwoYears() Size {
	return Size{
		Regions: 2, Zones: 7, Entries: 21, Targets: 2700, Starts: 110_000, TasksPerJob: 10,
		Teams: 63, Services: 20, Changes: 2900, Renew: 4 * time.Second / 3,
	}
}

// TargetsPerEntry returns the mean number of targets that one entry holds.
func (s *Size) TargetsPerEntry() float64 { return float64(s.Targets) / float64(s.Entries) }

// StartsPerEntry returns the peak rate of task starts at one entry, per second.
func (s *Size) StartsPerEntry() float64 { return s.Starts / float64(s.Entries) }

// RenewalsPerEntry returns the rate of announcements at one entry, per second.
func (s *Size) RenewalsPerEntry() float64 { return s.TargetsPerEntry() / s.Renew.Seconds() }

// ChangesPerSecond returns the mean rate of accepted configurations.
func (s *Size) ChangesPerSecond() float64 { return s.Changes / (24 * time.Hour).Seconds() }

// Budget for control work in one daemon: cores, bytes of memory, and bytes per
// second on the network.
const (
	BudgetCore   = 0.025
	BudgetMemory = 64 << 20
	BudgetBytes  = 6 << 10
)

// Cost is the cost of one mechanism in one daemon at a given size.
type Cost struct {
	What string
	// Cores is processor time in cores. Bytes is the network traffic, sent and
	// received, in bytes per second. Memory is in bytes.
	Cores  float64
	Bytes  float64
	Memory float64
	// Mechanism describes what causes the cost.
	Mechanism string
}

// Sum returns the sum of costs.
func Sum(costs []Cost) Cost {
	sum := Cost{What: "sum"}
	for _, c := range costs {
		sum.Cores += c.Cores
		sum.Bytes += c.Bytes
		sum.Memory += c.Memory
	}
	return sum
}

// Control returns the costs of control work in one entry at the size.
func Control(s *Size, m *Slopes) []Cost {
	rest, known := m.nearestAtRest(s.Entries), m.nearestExchange(s.Entries)
	return []Cost{
		{What: "the process itself", Cores: m.BaseCore, Memory: m.BaseMemory, Mechanism: "one process, no work yet, the ring's slots allotted"},
		{
			What: "targets' leases", Cores: s.RenewalsPerEntry() * m.RenewalCPU.Seconds(),
			Bytes: s.RenewalsPerEntry() * (m.RenewalBytes + m.ForwardBytes), Memory: s.TargetsPerEntry() * m.TargetBytes,
			Mechanism: "each target announces to its zone, one entry holds it (rendezvous hash)",
		},
		{
			What: "lapsed leases", Cores: s.TargetsPerEntry() * m.ExpireCPU.Seconds() * expiryScansPerSecond,
			Mechanism: "one scan of the held leases each 250 ms",
		},
		{
			What: "links and heartbeats", Cores: rest.Core, Bytes: rest.Bytes, Memory: rest.Memory,
			Mechanism: fmt.Sprintf("one message a peer and interval, loads and digest on it; measured with %d entries found through seeds", rest.Entries),
		},
		{
			What: "discovery", Cores: exchangesPerSecond * known.CPU.Seconds() / 2, Bytes: exchangesPerSecond * known.Bytes,
			Mechanism: fmt.Sprintf("an exchange with one entry each 2 s, asked and answered; measured with %d entries", known.Entries),
		},
		{
			What: "leases of runs", Cores: s.TargetsPerEntry() * leaseRenewalsPerSecond * m.LeaseRenewalCPU.Seconds(),
			Bytes:     s.TargetsPerEntry() * leaseRenewalsPerSecond * m.LeaseRenewalBytes,
			Mechanism: "one renewal a busy target for all its runs, which waits there for their ends; none where nothing runs",
		},
		{
			What: "configuration", Cores: s.ChangesPerSecond() * m.ParseCPU.Seconds(),
			Bytes: s.ChangesPerSecond() * m.ConfigBytes, Memory: m.ConfigMemory,
			Mechanism: "digest on heartbeats, pull of the whole file, one register",
		},
		{
			What: "time line", Cores: s.StartsPerEntry() * eventsPerTask * m.EventCPU.Seconds(), Memory: max(0, m.RingMemory-m.EmptyRing),
			Mechanism: "bounded ring, read only when asked; its texts",
		},
	}
}

// leaseRenewalsPerSecond is the rate at which the leases on a busy target are renewed while
// none of its runs ends: every 0.35 s.
const leaseRenewalsPerSecond = 1 / 0.35

// exchangesPerSecond is the rate of exchanges of known entries that one entry takes part
// in: it sends a request every two seconds and receives as many on average.
const exchangesPerSecond = 1

// expiryScansPerSecond is the rate of scans for expired leases.
const expiryScansPerSecond = 4

// eventsPerTask is the number of events that the holder records for one started
// task: queued, started, ended.
const eventsPerTask = 3

// eventsPerJob is the number of events of one job without those of its tasks: received,
// admitted, answered, and a batch offered, received and reported at each of two holders.
const eventsPerJob = 9

// logLinesPerSecond is the rate of log lines for successful steps at a busy entry: 20 per
// kind of event.
const logLinesPerSecond = 20 * 9

// Work returns the costs of the work itself in one entry at the peak.
func Work(s *Size, m *Slopes) []Cost {
	jobs := s.StartsPerEntry() / s.TasksPerJob
	return []Cost{
		{
			What: "tasks through one entry, both ends and callers included", Cores: s.StartsPerEntry() * m.TaskCPU.Seconds(),
			Mechanism: "HTTP to the target on kept connections",
		},
		{
			What: "of that: choice of task and target", Cores: s.StartsPerEntry() * m.ScheduleCPU.Seconds(),
			Mechanism: "heaps by pool; one lock a pool",
		},
		{What: "of that: split of jobs over holders", Cores: jobs * m.SplitCPU.Seconds(), Mechanism: "one message a holder a job"},
		{What: "of that: teams' quotas", Cores: jobs * m.QuotaCPU.Seconds(), Mechanism: "one bucket a team and entry"},
		{
			What:      "log",
			Cores:     (s.StartsPerEntry()*eventsPerTask+jobs*eventsPerJob)*m.UnloggedCPU.Seconds() + logLinesPerSecond*m.LoggedCPU.Seconds(),
			Bytes:     m.LogBytes,
			Mechanism: "a budget of lines by kind, ids of the rest; the bytes go to the log's reader, not to other entries",
		},
		{
			What: "waiting tasks, for ten seconds of the peak", Memory: 10 * s.StartsPerEntry() * m.QueuedBytes,
			Mechanism: "bounded queues by count and bytes",
		},
	}
}
