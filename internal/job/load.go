package job

import "time"

// HolderLoad is a holder's load report for the targets that it holds for one pool.
// Owners use it to split a job over holders. A wrong or outdated value may delay
// tasks but never causes a second start.
type HolderLoad struct {
	Entry EntryID `cbor:"1,keyasint"`
	Zone  Zone    `cbor:"2,keyasint"`
	// Pool is the group of targets that serve the same services.
	Pool    string `cbor:"3,keyasint"`
	Targets int    `cbor:"4,keyasint"`
	Slots   int    `cbor:"5,keyasint"`
	Free    int    `cbor:"6,keyasint"`
	// Queued is the number of waiting tasks per urgency class (index: Urgency).
	Queued [UrgencyUrgent + 1]int `cbor:"7,keyasint"`
	// Wait is the expected wait of a task that arrives now, per urgency class.
	Wait [UrgencyUrgent + 1]time.Duration `cbor:"8,keyasint"`
	// Largest is the largest task that any of the targets could ever hold.
	Largest Size `cbor:"9,keyasint"`
	// Cordoned is set while the holder's zone is cordoned. It then starts nothing, has no slots
	// and returns what it is offered.
	Cordoned bool `cbor:"10,keyasint,omitempty" json:",omitempty"`
	// Priorities has the expected wait of each priority of the interactive class, if the
	// services of the pool have several. Entries of earlier releases do not send it.
	Priorities []PriorityLoad `cbor:"11,keyasint,omitempty" json:",omitempty"`
}

// PriorityLoad is the load of a holder as seen by a service of one priority.
type PriorityLoad struct {
	Priority int `cbor:"1,keyasint"`
	// Wait is the expected wait of a task that arrives now.
	Wait time.Duration `cbor:"2,keyasint"`
}

// Size is the resource demand of a task or the capacity of a target.
type Size struct {
	Processors   int `cbor:"1,keyasint,omitempty"`
	MemoryMB     int `cbor:"2,keyasint,omitempty"`
	Accelerators int `cbor:"3,keyasint,omitempty"`
	// MilliProcessors is a fraction of a processor, in thousandths, in addition to
	// Processors.
	MilliProcessors int `cbor:"4,keyasint,omitempty"`
}

// Size returns the declared size of the task.
func (t *TaskSpec) Size() Size {
	return Size{Processors: t.Processors, MemoryMB: t.MemoryMB, Accelerators: t.Accelerators, MilliProcessors: t.MilliProcessors}
}

// Plus returns the sum of s and o.
func (s Size) Plus(o Size) Size {
	return Size{
		Processors: s.Processors + o.Processors, MemoryMB: s.MemoryMB + o.MemoryMB,
		Accelerators: s.Accelerators + o.Accelerators, MilliProcessors: s.MilliProcessors + o.MilliProcessors,
	}
}

// Minus returns the difference of s and o.
func (s Size) Minus(o Size) Size {
	return Size{
		Processors: s.Processors - o.Processors, MemoryMB: s.MemoryMB - o.MemoryMB,
		Accelerators: s.Accelerators - o.Accelerators, MilliProcessors: s.MilliProcessors - o.MilliProcessors,
	}
}

// Max returns the larger of two sizes in each dimension.
func (s Size) Max(o Size) Size {
	out := Size{
		Processors: s.Processors, MilliProcessors: s.MilliProcessors,
		MemoryMB: max(s.MemoryMB, o.MemoryMB), Accelerators: max(s.Accelerators, o.Accelerators),
	}
	if o.TotalMilliProcessors() > s.TotalMilliProcessors() {
		out.Processors, out.MilliProcessors = o.Processors, o.MilliProcessors
	}
	return out
}

// milliPerProcessor is the number of thousandths in one processor.
const milliPerProcessor = 1000

// TotalMilliProcessors returns the total processors in thousandths.
func (s Size) TotalMilliProcessors() int { return s.Processors*milliPerProcessor + s.MilliProcessors }

// Fits reports whether a task of size s fits into the available capacity.
func (s Size) Fits(available Size) bool {
	return s.TotalMilliProcessors() <= available.TotalMilliProcessors() && s.MemoryMB <= available.MemoryMB && s.Accelerators <= available.Accelerators
}

// Target is one target as it announces itself.
type Target struct {
	ID      TargetID `json:"id" cbor:"1,keyasint"`
	Pool    string   `json:"service" cbor:"2,keyasint"`
	Address string   `json:"address" cbor:"3,keyasint"`
	Zone    Zone     `json:"availability_zone" cbor:"4,keyasint"`
	Rack    string   `json:"rack" cbor:"5,keyasint,omitempty"`
	// Slots is the number of tasks that may run at once, and Connections the number
	// of connections that all entries together may hold; zero means the default of
	// the configuration.
	Slots        int `json:"slots" cbor:"6,keyasint,omitempty"`
	Connections  int `json:"connections" cbor:"7,keyasint,omitempty"`
	Processors   int `json:"processors" cbor:"8,keyasint,omitempty"`
	MemoryMB     int `json:"memory_mb" cbor:"9,keyasint,omitempty"`
	Accelerators int `json:"accelerators" cbor:"10,keyasint,omitempty"`
	// Running is the target's own count of running tasks; it may be outdated.
	Running int `json:"running" cbor:"11,keyasint,omitempty"`
	// MilliProcessors is a fraction of a processor, in thousandths, in addition to
	// Processors.
	MilliProcessors int `json:"milli_processors,omitempty" cbor:"12,keyasint,omitempty"`
	// StartedAt is when the target's process started, in Unix milliseconds; zero if the
	// target does not report it. It tells a target from the one that ran before it under
	// the same id.
	StartedAt int64 `json:"started_at_ms,omitempty" cbor:"13,keyasint,omitempty"`
}

// RestartedSince reports whether t is a later process of a target that ran before under
// the same id.
func (t *Target) RestartedSince(before *Target) bool {
	return before.StartedAt != 0 && t.StartedAt > before.StartedAt
}

// Capacity returns the total capacity of the target.
func (t *Target) Capacity() Size {
	return Size{Processors: t.Processors, MemoryMB: t.MemoryMB, Accelerators: t.Accelerators, MilliProcessors: t.MilliProcessors}
}
