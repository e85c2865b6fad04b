// Package load sends open-loop load to entries and checks their answers.
// Arrivals follow a schedule regardless of earlier answers, so that a slow
// system can't reduce its own load and appear faster than it is.
package load

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"
)

// Limits of one run, so that a mistyped mix can't exhaust the machine.
const (
	maxDuration  = 10 * time.Minute
	maxJobs      = 2_000_000
	maxInFlight  = 20_000
	maxJobTasks  = 1_900
	defaultJobs  = 200_000
	defaultSlots = 8
)

// Spec is a mix of load, as defined in a YAML file.
type Spec struct {
	Name string `yaml:"name"`
	// Seed seeds the schedule: runs with the same seed send the same jobs at the
	// same times.
	Seed uint64 `yaml:"seed"`
	// Duration is how long jobs arrive. The run ends when the last job is
	// answered.
	Duration time.Duration `yaml:"duration"`
	// Warmup is the first part of Duration. Answers to its jobs are checked, but
	// excluded from the statistics.
	Warmup time.Duration `yaml:"warmup"`
	// MaxJobs bounds the number of jobs in the run.
	MaxJobs int `yaml:"max_jobs"`
	// Load multiplies all rates; zero means 1.
	Load float64 `yaml:"load"`
	// Configuration is the configuration file that the mix expects to be in
	// effect. A relative path is relative to the folder of the mix.
	Configuration string   `yaml:"configuration"`
	Fleet         Fleet    `yaml:"fleet"`
	Teams         []Team   `yaml:"teams"`
	Streams       []Stream `yaml:"streams"`
}

// Fleet describes the fleet that the mix is intended for. Shares of capacity
// and the ideal time of large jobs are computed from it, and an in-process
// trial starts it.
type Fleet struct {
	Zones   []string `yaml:"zones"`
	Entries int      `yaml:"entries"`
	Targets int      `yaml:"targets"`
	Slots   int      `yaml:"slots"`
	Pool    string   `yaml:"pool"`
	PerRack int      `yaml:"per_rack"`
	// Processors, MemoryMB and Accelerators are the resources that each target
	// announces; zero announces enough for all tasks.
	Processors   int `yaml:"processors"`
	MemoryMB     int `yaml:"memory_mb"`
	Accelerators int `yaml:"accelerators"`
	// Slow and Failing make some of the targets unhealthy.
	Slow    SlowTargets `yaml:"slow"`
	Failing int         `yaml:"failing"`
}

// SlowTargets makes tasks run Factor as long on the first Count targets.
type SlowTargets struct {
	Count  int     `yaml:"count"`
	Factor float64 `yaml:"times"`
}

// Capacity returns the slots of all targets.
func (f *Fleet) Capacity() int { return f.Targets * f.Slots }

// Team is a group of callers of the mix.
type Team struct {
	Name string `yaml:"name"`
	// Share is the team's relative share of the arrivals in each of its streams.
	Share float64 `yaml:"share"`
}

// Stream is one kind of job that arrives independently of the others.
type Stream struct {
	Name    string `yaml:"name"`
	Service string `yaml:"service"`
	Kind    string `yaml:"kind"`
	// Teams names the teams that send the stream; empty means all.
	Teams []string `yaml:"teams"`
	// Single sends each job as a single request, whose body the entry does not
	// interpret.
	Single bool `yaml:"single"`
	// Rate is in jobs per second; Share is the fraction of the fleet's slots that
	// the work occupies. Exactly one of them is set.
	Rate  float64 `yaml:"rate"`
	Share float64 `yaml:"share"`
	// Bursts, if set, makes jobs arrive in groups instead of one by one.
	Bursts Bursts `yaml:"bursts"`
	// Tasks is the number of tasks in a job.
	Tasks Count `yaml:"tasks"`
	// Run is the run time of one task.
	Run Distribution `yaml:"run"`
	// DeclaredFactor is the error of declared run times: each is the run time
	// multiplied or divided by up to this factor. Zero declares no run time, and 1
	// declares the exact one.
	DeclaredFactor float64       `yaml:"declared_factor"`
	Deadline       time.Duration `yaml:"deadline"`
	PayloadBytes   int           `yaml:"payload_bytes"`
	AnswerBytes    int           `yaml:"answer_bytes"`
	Processors     int           `yaml:"processors"`
	MemoryMB       int           `yaml:"memory_mb"`
	Accelerators   int           `yaml:"accelerators"`
	Cancel         Cancel        `yaml:"cancel"`
	// From and Until bound the stream in time; a zero Until means Spec.Duration.
	From  time.Duration `yaml:"from"`
	Until time.Duration `yaml:"until"`
}

// Bursts groups the arrivals of a stream: Size jobs arrive at once. The mean rate
// of jobs remains the stream's rate.
type Bursts struct {
	Size int `yaml:"size"`
}

// Cancel cancels a Share of the jobs, each After its arrival.
type Cancel struct {
	Share float64       `yaml:"share"`
	After time.Duration `yaml:"after"`
}

// Count is a random number between Min and Max, log-uniform: small numbers are
// more frequent.
type Count struct {
	Min int `yaml:"min"`
	Max int `yaml:"max"`
}

// Distribution is the distribution of a run time: log-normal with Median and
// Sigma, clamped to Min and Max. If Sigma is zero, the run time is always Median.
type Distribution struct {
	Median time.Duration `yaml:"median"`
	Sigma  float64       `yaml:"sigma"`
	Min    time.Duration `yaml:"min"`
	Max    time.Duration `yaml:"max"`
}

// Read reads a mix file and checks it.
func Read(path string) (Spec, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Spec{}, errors.Trace(err)
	}
	spec, err := Parse(content)
	if err != nil {
		return Spec{}, errors.Annotate(err, path)
	}
	if spec.Configuration != "" && !filepath.IsAbs(spec.Configuration) {
		spec.Configuration = filepath.Join(filepath.Dir(path), spec.Configuration)
	}
	return spec, nil
}

// Parse parses the content of a mix file and checks it. Unknown keys are errors.
func Parse(content []byte) (Spec, error) {
	var s Spec
	if err := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict()).Decode(&s); err != nil {
		return Spec{}, errors.Trace(err)
	}
	s.setDefaults()
	return s, s.Check()
}

func (s *Spec) setDefaults() {
	if s.MaxJobs == 0 {
		s.MaxJobs = defaultJobs
	}
	if s.Load == 0 {
		s.Load = 1
	}
	if s.Fleet.Slots == 0 {
		s.Fleet.Slots = defaultSlots
	}
	if s.Fleet.Entries == 0 {
		s.Fleet.Entries = 1
	}
	if len(s.Teams) == 0 {
		s.Teams = []Team{{Share: 1}}
	}
	for i := range s.Streams {
		st := &s.Streams[i]
		if st.Tasks.Min == 0 {
			st.Tasks.Min = 1
		}
		st.Tasks.Max = max(st.Tasks.Max, st.Tasks.Min)
		if st.Bursts.Size == 0 {
			st.Bursts.Size = 1
		}
		if st.Run.Max == 0 {
			st.Run.Max = max(st.Run.Median, maxRun)
		}
	}
}

// maxRun is the upper bound of run times if the file sets none.
const maxRun = 30 * time.Second

// Check returns an error if the mix is invalid.
func (s *Spec) Check() error {
	switch {
	case s.Duration <= 0 || s.Duration > maxDuration:
		return errors.NotValidf("duration %s (up to %s)", s.Duration, maxDuration)
	case s.Warmup < 0 || s.Warmup >= s.Duration:
		return errors.NotValidf("warmup %s (shorter than duration)", s.Warmup)
	case s.MaxJobs < 1 || s.MaxJobs > maxJobs:
		return errors.NotValidf("max_jobs %d (up to %d)", s.MaxJobs, maxJobs)
	case s.Load < 0:
		return errors.NotValidf("load %v", s.Load)
	case len(s.Streams) == 0:
		return errors.NotValidf("a mix without streams")
	}
	teams := map[string]bool{}
	for _, t := range s.Teams {
		if teams[t.Name] || t.Share <= 0 {
			return errors.NotValidf("team %q (must be unique and have a positive share)", t.Name)
		}
		teams[t.Name] = true
	}
	names := map[string]bool{}
	for i := range s.Streams {
		st := &s.Streams[i]
		if names[st.Name] || st.Name == "" {
			return errors.NotValidf("stream name %q (must be set and unique)", st.Name)
		}
		names[st.Name] = true
		if err := st.check(s, teams); err != nil {
			return errors.Annotatef(err, "stream %q", st.Name)
		}
	}
	return nil
}

func (st *Stream) check(s *Spec, teams map[string]bool) error {
	switch {
	case st.Service == "":
		return errors.NotValidf("a stream without service")
	case (st.Rate > 0) == (st.Share > 0):
		return errors.NotValidf("rate %v and share %v (exactly one)", st.Rate, st.Share)
	case st.Share > 0 && s.Fleet.Capacity() == 0:
		return errors.NotValidf("a share without fleet.targets")
	case st.Tasks.Min < 1 || st.Tasks.Max > maxJobTasks:
		return errors.NotValidf("tasks %d to %d (1 to %d)", st.Tasks.Min, st.Tasks.Max, maxJobTasks)
	case st.Single && st.Tasks.Max > 1:
		return errors.NotValidf("a single request of %d tasks", st.Tasks.Max)
	case st.Run.Median <= 0 || st.Run.Sigma < 0 || st.Run.Min > st.Run.Max:
		return errors.NotValidf("run time")
	case st.Bursts.Size < 1:
		return errors.NotValidf("burst size %d", st.Bursts.Size)
	case st.Cancel.Share < 0 || st.Cancel.Share > 1:
		return errors.NotValidf("cancel share %v", st.Cancel.Share)
	case st.DeclaredFactor != 0 && st.DeclaredFactor < 1:
		return errors.NotValidf("declared_factor %v (0, or 1 and above)", st.DeclaredFactor)
	}
	for _, t := range st.Teams {
		if !teams[t] {
			return errors.NotFoundf("team %q", t)
		}
	}
	return nil
}

// Summary returns a one-line description of the mix.
func (s *Spec) Summary() string {
	return fmt.Sprintf("%s: seed %d, %s of arrivals at %.2f times the mix's rates, %d slots", s.Name, s.Seed, s.Duration, s.Load, s.Fleet.Capacity())
}
