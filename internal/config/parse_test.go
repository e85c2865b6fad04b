package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

const validFile = `number: 42                      # a comment
teams:
  - {name: studio7, weight: 3, max_queued_tasks: 4000, tasks_per_second: 900}
services:
  - name: thumbnails
    urgency: interactive
    repeatable: true
    keep: memory
    deadline: 800ms
    late_answers: refuse
  - name: alerts
    urgency: urgent
    priority: 2
    pool: thumbnails
    repeatable: false
    keep: synced
    late_answers: flag
limits: {max_job_tasks: 1900, max_job_bytes: 16MiB, max_queued_tasks: 20000, max_queued_bytes: 1GiB}
targets: {lease: 4s, slots: 8, connections: 64}
`

func TestParseReadsEveryKey(t *testing.T) {
	f, err := Parse("a.yaml", []byte(validFile))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, *f, qt.DeepEquals, File{
		Number: 42,
		Teams:  []Team{{Name: "studio7", Weight: 3, MaxQueuedTasks: 4000, TasksPerSecond: 900}},
		Services: []Service{
			{Name: "thumbnails", Pool: "thumbnails", Urgency: job.UrgencyInteractive, Repeatable: true, Deadline: 800 * time.Millisecond},
			{Name: "alerts", Pool: "thumbnails", Urgency: job.UrgencyUrgent, Priority: 2, Keep: job.KeepSynced, FlagLate: true},
		},
		Limits:  Limits{MaxJobTasks: 1900, MaxJobBytes: 16 << 20, MaxQueuedTasks: 20000, MaxQueuedBytes: 1 << 30},
		Targets: TargetDefaults{Lease: 4 * time.Second, Slots: 8, Connections: 64},
	})
	small, err := Parse("a.yaml", []byte("number: 1\nservices: [{name: a}]"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, small.Limits.MaxQueuedBytes, qt.Equals, int64(DefaultMaxQueuedBytes))
	qt.Assert(t, Digest([]byte("x")) != Digest([]byte("y")), qt.IsTrue)
}

// An operator mistypes a key or a unit, or copies a block twice. If the file were
// accepted, a quota could silently be missing. One check must report all faults, each
// with its line.
func TestParseReportsEveryProblemWithItsLine(t *testing.T) {
	head := "number: 1\nservices: [{name: a}]\n"
	cases := map[string]struct{ file, want string }{
		"unknown key":      {head + "limit: {}", `f:3:1: file: unknown key "limit"`},
		"key twice":        {head + "number: 2", `f:3:1: file: key "number" stands twice, first on line 1`},
		"no number":        {"services: [{name: a}]", `key "number" is missing`},
		"no services":      {"number: 1", `key "services" is missing`},
		"empty services":   {"number: 1\nservices: []", "f:2:11: services: must name at least one"},
		"empty":            {"", "f:1:1: empty file"},
		"comment only":     {"# nothing", "empty file"},
		"two documents":    {head + "---\nnumber: 2\n", "second document"},
		"text for number":  {"number: many\nservices: [{name: a}]", "f:1:9: number: must be a whole number"},
		"octal":            {"number: 010\nservices: [{name: a}]", "must be a decimal number"},
		"negative":         {"number: -1\nservices: [{name: a}]", "must be a decimal number"},
		"zero":             {"number: 0\nservices: [{name: a}]", "0 is not between 1"},
		"bare duration":    {"number: 1\nservices:\n- name: a\n  deadline: 800", "f:4:13: services[0].deadline: must be a duration with a unit"},
		"wrong unit":       {head + "limits: {max_job_bytes: 16MB}", "is not a size with a unit"},
		"huge size":        {head + "limits: {max_job_bytes: 9999999GiB}", "above the largest size"},
		"long lease":       {head + "targets: {lease: 2h}", "2h is not between"},
		"bad urgency":      {"number: 1\nservices: [{name: a, urgency: fast}]", `urgency "fast" (urgent, interactive or batch)`},
		"bad priority":     {"number: 1\nservices: [{name: a, priority: 10}]", "10 is not between 0 and 9"},
		"bad keep":         {"number: 1\nservices: [{name: a, keep: disk}]", `keep "disk"`},
		"bad late":         {"number: 1\nservices: [{name: a, late_answers: yes}]", "late_answers"},
		"bad bool":         {"number: 1\nservices: [{name: a, repeatable: maybe}]", "must be true or false"},
		"bad name":         {"number: 1\nservices: [{name: a b}]", "is not a name"},
		"null":             {"number: 1\nservices: [{name: }]", "services[0].name: must be text"},
		"scalar":           {"hello", "must be a mapping"},
		"service twice":    {"number: 1\nservices:\n- name: a\n- name: a", `f:4:3: service "a" stands twice, first on line 3`},
		"team twice":       {head + "teams: [{name: t}, {name: t}]", `team "t" stands twice`},
		"team over limit":  {head + "teams: [{name: t, max_queued_tasks: 20001}]", "above limits.max_queued_tasks 20000"},
		"job over queue":   {head + "limits: {max_queued_tasks: 10}", "f:3:10: limits: max_job_tasks 1900 is above max_queued_tasks 10"},
		"bytes over queue": {head + "limits: {max_job_bytes: 1GiB}", "is above max_queued_bytes"},
		"slots":            {head + "targets: {slots: 65}", "f:3:11: targets: 65 slots need as many connections"},
		"alias":            {"number: &a 1\nservices: [{name: *a}]", "aliases"},
		"tag":              {"number: !!int 1\nservices: [{name: a}]", "not allowed"},
		"tab":              {"number: 1\n\tservices: 1", "not valid YAML"},
		"open bracket":     {"number: [1", "not valid YAML"},
		"deep":             {"number: " + strings.Repeat("[", 100000), "nested too deeply"},
		"deep dashes":      {"number:\n " + strings.Repeat("- ", 100000), "nested too deeply"},
		"many keys":        {strings.Repeat("a: b\n", 100000), "f:65:1: more than 64 keys"},
		"too large":        {strings.Repeat("#", MaxFileBytes+1), "at most 1048576"},
		"not text":         {"number: \xff", "not UTF-8"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, err := Parse("f", []byte(c.file))
			qt.Assert(t, f, qt.IsNil)
			qt.Assert(t, err, qt.IsNotNil)
			_, ok := err.(Problems)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, strings.Contains(err.Error(), c.want), qt.IsTrue, qt.Commentf("got %s", err))
		})
	}
	long := head[:len(head)-len("[{name: a}]\n")] + strings.Repeat("\n- name: a\n  keep: memory", 100)
	_, err := Parse("f", []byte(long))
	qt.Assert(t, strings.Contains(err.Error(), "stands twice"), qt.IsTrue, qt.Commentf("%s", err))
	_, err = Parse("f", []byte("number: x\nfoo: 1\nservices:\n- name: a\n  deadline: 3\n- name: a\n"))
	problems := err.(Problems)
	qt.Assert(t, len(problems), qt.Equals, 4, qt.Commentf("%s", err))
	lines := []int{problems[0].Line, problems[1].Line, problems[2].Line, problems[3].Line}
	qt.Assert(t, lines, qt.DeepEquals, []int{1, 2, 5, 6})
}

func TestDiffNamesEveryChange(t *testing.T) {
	old, err := Parse("a", []byte(validFile))
	qt.Assert(t, err, qt.IsNil)
	changed := strings.NewReplacer("number: 42", "number: 43", "weight: 3", "weight: 4", "name: alerts", "name: alarms",
		"deadline: 800ms", "deadline: 2s", "late_answers: refuse", "late_answers: flag", "lease: 4s", "lease: 5s").Replace(validFile)
	updated, err := Parse("a", []byte(changed))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, Diff(old, updated), qt.DeepEquals, []string{
		"number: 42 -> 43",
		"targets.lease: 4s -> 5s",
		"team studio7: weight 3 -> 4",
		"service alarms: added",
		"service alarms: pool  -> thumbnails",
		"service alarms: urgency batch -> urgent",
		"service alarms: priority 0 -> 2",
		"service alarms: keep memory -> synced",
		"service alarms: late_answers refuse -> flag",
		"service alerts: removed",
		"service thumbnails: deadline 800ms -> 2s",
		"service thumbnails: late_answers refuse -> flag",
	})
	qt.Assert(t, Diff(old, old), qt.HasLen, 0)
	qt.Assert(t, len(Diff(nil, old)) > 5, qt.IsTrue)
}

// Files come over the network: for any input, the parser must return either a file or
// problems with positions, and must not panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	seeds, _ := filepath.Glob("testdata/seeds/*.yaml")
	for _, s := range seeds {
		data, err := os.ReadFile(s)
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := Parse("f", data)
		if (file == nil) == (err == nil) {
			t.Fatalf("file %v and error %v", file, err)
		}
		if err == nil {
			_ = Diff(nil, file)
			return
		}
		for _, p := range err.(Problems) {
			if p.Line < 1 || p.Column < 1 || p.Message == "" {
				t.Fatalf("problem without a place: %+v", p)
			}
		}
	})
}

// If the services of other pools or classes counted, a pool whose own services all have one
// priority would be scheduled by levels that it does not have.
func TestPrioritiesAreThoseOfOnePoolAndClass(t *testing.T) {
	f := &File{Services: []Service{
		{Name: "a", Pool: "p", Priority: 2, Urgency: job.UrgencyInteractive},
		{Name: "b", Pool: "p", Priority: 0, Urgency: job.UrgencyInteractive},
		{Name: "c", Pool: "p", Priority: 2, Urgency: job.UrgencyInteractive},
		{Name: "d", Pool: "p", Priority: 1, Urgency: job.UrgencyBatch},
		{Name: "e", Pool: "q", Priority: 3, Urgency: job.UrgencyInteractive},
	}}
	qt.Check(t, f.Priorities("p", job.UrgencyInteractive), qt.DeepEquals, []int{0, 2})
	qt.Check(t, f.Priorities("q", job.UrgencyUrgent), qt.HasLen, 0)
	qt.Check(t, (*File)(nil).Priorities("p", job.UrgencyBatch), qt.HasLen, 0)
}
