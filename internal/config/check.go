package config

// filePlaces remembers where each key was said.
type filePlaces struct {
	teams    []map[string]place
	services []map[string]place
	limits   map[string]place
	targets  map[string]place
}

// check finds what single values can't show: doubled names and limits that
// contradict each other.
func (d *decoder) check(f *File, p *filePlaces) {
	teams := map[string]place{}
	for i := range f.Teams {
		d.unique(teams, "team", f.Teams[i].Name, p.teams[i]["name"])
		if f.Teams[i].MaxQueuedTasks > f.Limits.MaxQueuedTasks {
			d.token(p.teams[i]["max_queued_tasks"], "team %q: max_queued_tasks %d is above limits.max_queued_tasks %d, so it could never be reached",
				f.Teams[i].Name, f.Teams[i].MaxQueuedTasks, f.Limits.MaxQueuedTasks)
		}
	}
	services := map[string]place{}
	for i := range f.Services {
		d.unique(services, "service", f.Services[i].Name, p.services[i]["name"])
	}
	if f.Limits.MaxJobTasks > f.Limits.MaxQueuedTasks {
		d.token(either(p.limits, "max_job_tasks", "max_queued_tasks"), "limits: max_job_tasks %d is above max_queued_tasks %d, so the largest jobs would always be refused",
			f.Limits.MaxJobTasks, f.Limits.MaxQueuedTasks)
	}
	if f.Limits.MaxJobBytes > f.Limits.MaxQueuedBytes {
		d.token(either(p.limits, "max_job_bytes", "max_queued_bytes"), "limits: max_job_bytes %d is above max_queued_bytes %d, so the largest jobs would always be refused",
			f.Limits.MaxJobBytes, f.Limits.MaxQueuedBytes)
	}
	if f.Targets.Slots > f.Targets.Connections {
		d.token(either(p.targets, "slots", "connections"), "targets: %d slots need as many connections, but there are %d",
			f.Targets.Slots, f.Targets.Connections)
	}
}

func (d *decoder) unique(seen map[string]place, what, name string, at place) {
	if name == "" || at == nil {
		return
	}
	if first := seen[name]; first != nil {
		d.token(at, "%s %q stands twice, first on line %d", what, name, first.Position.Line)
		return
	}
	seen[name] = at
}

// either returns the place of the first key that the file says itself.
func either(said map[string]place, keys ...string) place {
	for _, key := range keys {
		if said[key] != nil {
			return said[key]
		}
	}
	return nil
}
