// Package config is the operators' declarative file: its typed form, its
// parser with line numbers, its checks and the difference between two files.
package config

import (
	"strings"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// File is one whole accepted configuration. It is never changed after it was
// parsed, so stages share one pointer and read it without a lock.
type File struct {
	// Number orders configurations: a file is accepted only above the number
	// in force.
	Number   uint64
	Teams    []Team
	Services []Service
	Limits   Limits
	Targets  TargetDefaults
	// Routes lead requests to services by host and path, where callers do not
	// name the service.
	Routes []Route
	// Pools, where the file lists them, are all pools that targets may announce;
	// nil allows any.
	Pools []string
}

// Route leads the requests for a host and a path to a service.
type Route struct {
	Host       string
	PathPrefix string
	Service    string
}

// Team is a group of callers that shares a quota.
type Team struct {
	Name string
	// Weight is the team's share of the slots when several teams wait.
	Weight int
	// MaxQueuedTasks bounds the team's waiting tasks; zero takes
	// Limits.MaxQueuedTasks.
	MaxQueuedTasks int
	// TasksPerSecond bounds the rate at which the team's tasks are admitted;
	// zero means no bound.
	TasksPerSecond int
}

// Service is one kind of work that callers ask for.
type Service struct {
	Name string
	// Pool names the group of targets that run the service: what a target
	// announces as its service. By default it is the service's own name, so
	// several services may share targets by naming one pool.
	Pool       string
	Urgency    job.Urgency
	Repeatable bool
	Keep       job.Keep
	// Deadline is the answer's default deadline; zero means none.
	Deadline time.Duration
	// FlagLate keeps work whose deadline has passed and flags the answer late;
	// otherwise the submission ends at its deadline.
	FlagLate bool
	// Attempts is how many runs of a task may fail before its job does; zero
	// and one mean that the first failure ends the job. Only a run that has
	// provably ended is followed by another.
	Attempts int
	// Stretch and Slack make the latency objective: Stretch times what the
	// longest task of the job takes, and Slack more. Zero Stretch is none.
	Stretch float64
	Slack   time.Duration
}

// Limits bounds what one entry accepts.
type Limits struct {
	MaxJobTasks    int
	MaxJobBytes    int64
	MaxQueuedTasks int
	MaxQueuedBytes int64
}

// TargetDefaults holds for targets that do not announce their own.
type TargetDefaults struct {
	Lease       time.Duration
	Slots       int
	Connections int
}

// Default limits, used where the file says nothing.
const (
	DefaultMaxJobTasks    = 1900
	DefaultMaxJobBytes    = 16 << 20
	DefaultMaxQueuedTasks = 20000
	DefaultMaxQueuedBytes = 256 << 20
	DefaultLease          = 4 * time.Second
	DefaultSlots          = 8
	DefaultConnections    = 64
)

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

// Route returns the route of a request: of those of its host the one with the
// longest prefix of its path.
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

// Team returns the named team. A file that names no team serves all callers as
// one team of weight 1 without a name.
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

// View gives the configuration in force; nil before the first one.
type View interface {
	Current() *File
}

// Fixed is a View of one file that never changes.
type Fixed struct{ File *File }

// Current returns the file.
func (f Fixed) Current() *File { return f.File }
