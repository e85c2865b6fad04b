// Package config implements the operators' declarative file: its Go types, a parser
// that reports line numbers, validation, and the difference between two files.
package config

import (
	"slices"
	"strings"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// File is one complete configuration. It is immutable once it is parsed, so all
// stages share one pointer and read it without a lock.
type File struct {
	// Number orders configurations: a file is accepted only if its number is
	// higher than that of the file in effect.
	Number   uint64
	Teams    []Team
	Services []Service
	Limits   Limits
	Targets  TargetDefaults
	// Routes select the service by host and path for requests that do not name it.
	Routes []Route
	// Pools lists the pools that targets may announce; nil allows any.
	Pools []string
}

// Route maps the requests for a host and a path prefix to a service.
type Route struct {
	Host       string
	PathPrefix string
	Service    string
	// Unsupported names a property of the route that this release does not serve. Work for
	// the route is refused, while the rest of the file takes effect. It is empty for a route
	// that is served.
	Unsupported string
}

// Team is a group of callers that share a quota.
type Team struct {
	Name string
	// Weight is the team's relative share of the slots while several teams have
	// waiting tasks.
	Weight int
	// MaxQueuedTasks bounds the team's waiting tasks; zero means
	// Limits.MaxQueuedTasks.
	MaxQueuedTasks int
	// TasksPerSecond bounds the rate at which the team's tasks are admitted;
	// zero means unlimited.
	TasksPerSecond int
}

// Service is one kind of work that callers request.
type Service struct {
	Name string
	// Pool is the group of targets that run the service; targets announce it as
	// their service. It defaults to the service's name. Several services share
	// targets by naming the same pool.
	Pool    string
	Urgency job.Urgency
	// Priority orders the services of one urgency class that share a pool, from 0, the
	// most urgent, to MaxPriority.
	Priority   int
	Repeatable bool
	Keep       job.Keep
	// Deadline is the default deadline for the answer; zero means none.
	Deadline time.Duration
	// FlagLate lets work continue past its deadline and marks the answer as late.
	// Otherwise the submission ends at its deadline.
	FlagLate bool
	// Attempts is the number of failed runs of one task after which its job fails;
	// zero counts as one. A task is run again only after its previous run has
	// provably ended.
	Attempts int
	// Stretch and Slack define the latency objective: Stretch times the run time of
	// the job's longest task, plus Slack. Zero Stretch means no objective.
	Stretch float64
	Slack   time.Duration
}

// Limits bounds the jobs and queues of one entry.
type Limits struct {
	MaxJobTasks    int
	MaxJobBytes    int64
	MaxQueuedTasks int
	MaxQueuedBytes int64
}

// TargetDefaults applies to targets that do not announce values of their own.
type TargetDefaults struct {
	Lease       time.Duration
	Slots       int
	Connections int
}

// Defaults for keys that the file omits.
const (
	DefaultMaxJobTasks    = 1900
	DefaultMaxJobBytes    = 16 << 20
	DefaultMaxQueuedTasks = 20000
	DefaultMaxQueuedBytes = 256 << 20
	DefaultLease          = 4 * time.Second
	DefaultSlots          = 8
	DefaultConnections    = 64
)

// MaxPriority is the priority of the least urgent services.
const MaxPriority = 9

// Service returns the named service.
func (f *File) Service(name string) (Service, bool) {
	if f == nil {
		return Service{}, false
	}
	for i := range f.Services {
		if f.Services[i].Name == name {
			return f.Services[i], true
		}
	}
	return Service{}, false
}

// Priorities returns the distinct priorities of the services of one urgency class that
// share a pool, the most urgent first.
func (f *File) Priorities(pool string, u job.Urgency) []int {
	if f == nil {
		return nil
	}
	var out []int
	for i := range f.Services {
		s := &f.Services[i]
		if s.Pool == pool && s.Urgency == u && !slices.Contains(out, s.Priority) {
			out = append(out, s.Priority)
		}
	}
	slices.Sort(out)
	return out
}

// Route returns the route for a request: among the routes of its host, the one with
// the longest matching path prefix.
func (f *File) Route(host, path string) (Route, bool) {
	best := -1
	if f == nil {
		return Route{}, false
	}
	for i := range f.Routes {
		r := &f.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		if best < 0 || len(r.PathPrefix) > len(f.Routes[best].PathPrefix) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return f.Routes[best], true
}

// Team returns the named team. If the file lists no teams, every name is accepted
// and gets a team of weight 1 without limits of its own.
func (f *File) Team(name string) (Team, bool) {
	if f == nil {
		return Team{}, false
	}
	for i := range f.Teams {
		if f.Teams[i].Name == name {
			return f.Teams[i], true
		}
	}
	if len(f.Teams) == 0 {
		return Team{Name: name, Weight: 1}, true
	}
	return Team{}, false
}

// UnsupportedRoutes returns the services whose routes this release does not serve, each
// with the property that it does not serve.
func (f *File) UnsupportedRoutes() []string {
	var out []string
	for i := range f.Routes {
		if r := &f.Routes[i]; r.Unsupported != "" {
			out = append(out, r.Service+": "+r.Unsupported)
		}
	}
	return out
}

// View provides the configuration in effect, or nil before the first one.
type View interface {
	Current() *File
}

// Fixed is a View that always returns the same file.
type Fixed struct{ File *File }

// Current returns the file.
func (f Fixed) Current() *File { return f.File }
