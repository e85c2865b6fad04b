package scheduler

// Options disables individual policies so that the effect of each can be
// measured under the same load. The zero value enables all; entries use it.
type Options struct {
	// NoFairness ignores teams, so that all callers share one queue for each class.
	NoFairness bool
	// NoClasses ignores the urgency class of services.
	NoClasses bool
	// NoJobOrder serves the jobs of one team in order of arrival.
	NoJobOrder bool
	// NoHeadroom lets teams above their share use the last free slots.
	NoHeadroom bool
	// NoAdmission accepts every batch that fits into the bounded queue.
	NoAdmission bool
	// NoHealth uses slow and failing targets like all others.
	NoHealth bool
	// NoSpeedRecords makes the speed of each target start from nothing.
	NoSpeedRecords bool
	// NoReserve lets long tasks use every slot.
	NoReserve bool
	// NoEstimates uses declared run times instead of measured ones.
	NoEstimates bool
	// NoObjectives ignores the latency objectives of jobs.
	NoObjectives bool
	// NoSizes measures capacity in slots even where task sizes limit it, and places
	// tasks by occupancy alone.
	NoSizes bool
	// NoEndEstimates accepts a job with an objective even if the running tasks are
	// expected to occupy the slots until its answer is no longer useful.
	NoEndEstimates bool
	// NoWaitLimit lets a job with an objective wait for all of its slack, regardless of
	// its service and of how late other jobs started.
	NoWaitLimit bool
	// NoProgressPriority lets the remaining tasks of a partly executed job move behind other
	// jobs when it is late.
	NoProgressPriority bool
	// NoSuspectIsolation runs suspected tasks together with others.
	NoSuspectIsolation bool
	// NoPrecedence treats the services of a class alike, whatever their priorities.
	NoPrecedence bool
	// NoPreemption never stops a run for a more urgent job.
	NoPreemption bool
	// Placement selects among the targets with free capacity.
	Placement Placement
}

// Placement is a strategy for selecting among the targets with free capacity.
type Placement int

// The placement strategies. All but the first are baselines for comparison.
const (
	PlaceExpectedFinish Placement = iota
	PlaceRandom
	PlaceRoundRobin
)

// Baseline returns the options of a plain dispatcher: first come first served,
// random placement, no admission control.
func Baseline() Options {
	return Options{
		NoFairness: true, NoHeadroom: true, NoClasses: true, NoJobOrder: true, NoAdmission: true,
		NoHealth: true, NoReserve: true, NoEstimates: true, NoObjectives: true, NoSizes: true, NoPreemption: true, Placement: PlaceRandom,
	}
}
