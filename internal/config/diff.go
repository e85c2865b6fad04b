package config

import (
	"fmt"
	"reflect"
	"sort"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Diff returns the changes from old to updated, one line per change, in a fixed
// order. If old is nil, everything is new.
func Diff(old, updated *File) []string {
	if old == nil {
		old = &File{}
	}
	var lines []string
	compare := func(what string, before, after any) {
		if before != after {
			lines = append(lines, fmt.Sprintf("%s: %v -> %v", what, before, after))
		}
	}
	compare("number", old.Number, updated.Number)
	compare("limits.max_job_tasks", old.Limits.MaxJobTasks, updated.Limits.MaxJobTasks)
	compare("limits.max_job_bytes", old.Limits.MaxJobBytes, updated.Limits.MaxJobBytes)
	compare("limits.max_queued_tasks", old.Limits.MaxQueuedTasks, updated.Limits.MaxQueuedTasks)
	compare("limits.max_queued_bytes", old.Limits.MaxQueuedBytes, updated.Limits.MaxQueuedBytes)
	compare("targets.lease", old.Targets.Lease, updated.Targets.Lease)
	compare("targets.slots", old.Targets.Slots, updated.Targets.Slots)
	compare("targets.connections", old.Targets.Connections, updated.Targets.Connections)
	lines = append(lines, diffByName("team", old.Teams, updated.Teams, func(t Team) string { return t.Name })...)
	lines = append(lines, diffByName("service", old.Services, updated.Services, func(s Service) string { return s.Name })...)
	return lines
}

// diffByName compares two lists of structs and matches their elements by name.
func diffByName[T any](kind string, old, updated []T, name func(T) string) []string {
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
		b, inOld := before[n]
		a, inUpdated := after[n]
		switch {
		case !inUpdated:
			lines = append(lines, fmt.Sprintf("%s %s: removed", kind, n))
		case !inOld:
			lines = append(lines, fmt.Sprintf("%s %s: added", kind, n))
			var zero T
			lines = append(lines, diffFields(kind, n, zero, a)...)
		default:
			lines = append(lines, diffFields(kind, n, b, a)...)
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

// fileKeyByField maps the fields of Team and Service to their keys in the file.
var fileKeyByField = map[string]string{
	"Weight": "weight", "MaxQueuedTasks": "max_queued_tasks", "TasksPerSecond": "tasks_per_second",
	"Pool": "pool", "Urgency": "urgency", "Priority": "priority", "Repeatable": "repeatable", "Keep": "keep",
	"Deadline": "deadline", "FlagLate": "late_answers",
}

func diffFields(kind, name string, before, after any) []string {
	var lines []string
	b, a := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range b.NumField() {
		key := fileKeyByField[b.Type().Field(i).Name]
		if key == "" || b.Field(i).Equal(a.Field(i)) {
			continue
		}
		lines = append(lines, fmt.Sprintf("%s %s: %s %s -> %s", kind, name, key, formatValue(key, b.Field(i)), formatValue(key, a.Field(i))))
	}
	return lines
}

// formatValue returns a value as it is written in the file.
func formatValue(key string, v reflect.Value) string {
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
		if key != fileKeyByField["FlagLate"] {
			break
		}
		if x {
			return lateFlag
		}
		return lateRefuse
	}
	return fmt.Sprint(v.Interface())
}
