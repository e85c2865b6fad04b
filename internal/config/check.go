package config

// keyPositions holds the position of each key in the file.
type keyPositions struct {
	teams    []map[string]position
	services []map[string]position
	limits   map[string]position
	targets  map[string]position
}

// check reports problems that involve several values: duplicate names and limits
// that contradict each other.
func (d *decoder) check(f *File, p *keyPositions) {
	teams := map[string]position{}
	for i := range f.Teams {
		d.checkUnique(teams, "team", f.Teams[i].Name, p.teams[i]["name"])
		if f.Teams[i].MaxQueuedTasks > f.Limits.MaxQueuedTasks {
			d.problemAtToken(p.teams[i]["max_queued_tasks"], "team %q: max_queued_tasks %d is above limits.max_queued_tasks %d, so it could never be reached",
				f.Teams[i].Name, f.Teams[i].MaxQueuedTasks, f.Limits.MaxQueuedTasks)
		}
	}
	services := map[string]position{}
	for i := range f.Services {
		d.checkUnique(services, "service", f.Services[i].Name, p.services[i]["name"])
	}
	if f.Limits.MaxJobTasks > f.Limits.MaxQueuedTasks {
		d.problemAtToken(firstPresent(p.limits, "max_job_tasks", "max_queued_tasks"), "limits: max_job_tasks %d is above max_queued_tasks %d, so the largest jobs would always be refused",
			f.Limits.MaxJobTasks, f.Limits.MaxQueuedTasks)
	}
	if f.Limits.MaxJobBytes > f.Limits.MaxQueuedBytes {
		d.problemAtToken(firstPresent(p.limits, "max_job_bytes", "max_queued_bytes"), "limits: max_job_bytes %d is above max_queued_bytes %d, so the largest jobs would always be refused",
			f.Limits.MaxJobBytes, f.Limits.MaxQueuedBytes)
	}
	if f.Targets.Slots > f.Targets.Connections {
		d.problemAtToken(firstPresent(p.targets, "slots", "connections"), "targets: %d slots need as many connections, but there are %d",
			f.Targets.Slots, f.Targets.Connections)
	}
}

func (d *decoder) checkUnique(seen map[string]position, what, name string, at position) {
	if name == "" || at == nil {
		return
	}
	if first := seen[name]; first != nil {
		d.problemAtToken(at, "%s %q stands twice, first on line %d", what, name, first.Position.Line)
		return
	}
	seen[name] = at
}

// firstPresent returns the position of the first of the keys that the file contains.
func firstPresent(positions map[string]position, keys ...string) position {
	for _, key := range keys {
		if positions[key] != nil {
			return positions[key]
		}
	}
	return nil
}
