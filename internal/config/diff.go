package config

import (
	"fmt"
	"reflect"
	"sort"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Diff returns what changes from old to updated, one line a change, in a fixed
// order. old may be nil: everything is new then.
func Diff(old, updated *File) []string {
	if old == nil {
		old = &File{}
	}
	var lines []string
	put := func(what string, before, after any) {
		if before != after {
			lines = append(lines, fmt.Sprintf("%s: %v -> %v", what, before, after))
		}
	}
	put("number", old.Number, updated.Number)
	put("limits.max_job_tasks", old.Limits.MaxJobTasks, updated.Limits.MaxJobTasks)
	put("limits.max_job_bytes", old.Limits.MaxJobBytes, updated.Limits.MaxJobBytes)
	put("limits.max_queued_tasks", old.Limits.MaxQueuedTasks, updated.Limits.MaxQueuedTasks)
	put("limits.max_queued_bytes", old.Limits.MaxQueuedBytes, updated.Limits.MaxQueuedBytes)
	put("targets.lease", old.Targets.Lease, updated.Targets.Lease)
	put("targets.slots", old.Targets.Slots, updated.Targets.Slots)
	put("targets.connections", old.Targets.Connections, updated.Targets.Connections)
	lines = append(lines, named("team", old.Teams, updated.Teams, func(t Team) string { return t.Name })...)
	lines = append(lines, named("service", old.Services, updated.Services, func(s Service) string { return s.Name })...)
	return lines
}

// named compares two lists of structs by their names.
func named[T any](kind string, old, updated []T, name func(T) string) []string {
	before, after := byName(old, name), byName(updated, name)
	names := make([]string, 0, len(before)+len(after))
	for n := range before {
		names = append(names, n)
	}
	for n := range after {
		if _, ok := before[n]; !ok {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	var lines []string
	for _, n := range names {
		b, hadIt := before[n]
		a, hasIt := after[n]
		switch {
		case !hasIt:
			lines = append(lines, fmt.Sprintf("%s %s: removed", kind, n))
		case !hadIt:
			lines = append(lines, fmt.Sprintf("%s %s: added", kind, n))
			var zero T
			lines = append(lines, changed(kind, n, zero, a)...)
		default:
			lines = append(lines, changed(kind, n, b, a)...)
		}
	}
	return lines
}

func byName[T any](list []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(list))
	for _, v := range list {
		m[name(v)] = v
	}
	return m
}

// keyOf gives the fields of Team and Service the names of the file's keys.
var keyOf = map[string]string{
	"Weight": "weight", "MaxQueuedTasks": "max_queued_tasks", "TasksPerSecond": "tasks_per_second",
	"Pool": "pool", "Urgency": "urgency", "Repeatable": "repeatable", "Keep": "keep",
	"Deadline": "deadline", "FlagLate": "late_answers",
}

func changed(kind, name string, before, after any) []string {
	var lines []string
	b, a := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range b.NumField() {
		key := keyOf[b.Type().Field(i).Name]
		if key == "" || b.Field(i).Equal(a.Field(i)) {
			continue
		}
		lines = append(lines, fmt.Sprintf("%s %s: %s %s -> %s", kind, name, key, word(key, b.Field(i)), word(key, a.Field(i))))
	}
	return lines
}

// word returns a value as the file would say it.
func word(key string, v reflect.Value) string {
	switch x := v.Interface().(type) {
	case time.Duration:
		if x == 0 {
			return "none"
		}
		return x.String()
	case job.Urgency:
		return x.String()
	case job.Keep:
		return x.String()
	case bool:
		if key != keyOf["FlagLate"] {
			break
		}
		if x {
			return lateFlag
		}
		return lateRefuse
	}
	return fmt.Sprint(v.Interface())
}
