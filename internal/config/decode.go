package config

import (
	"fmt"
	"sort"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// decoder converts a syntax tree to a File and collects all problems found.
type decoder struct {
	name     string
	problems Problems
}

// position is where a key is in the file, for problems found after decoding.
type position = *token.Token

// fields maps each known key of a mapping to the function that reads its value.
type fields map[string]func(ast.Node)

// mapping reads node as a mapping of known keys and returns the positions of the
// keys found.
func (d *decoder) mapping(node ast.Node, what string, known fields) map[string]position {
	seen := map[string]position{}
	var values []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		values = n.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{n}
	default:
		d.problemAtNode(node, "%s: must be a mapping of keys", what)
		return seen
	}
	for _, v := range values {
		key, ok := v.Key.(*ast.StringNode)
		if !ok {
			d.problemAtToken(v.Key.GetToken(), "%s: a key must be text", what)
			continue
		}
		read := known[key.Value]
		switch {
		case read == nil:
			d.problemAtToken(key.Token, "%s: unknown key %q (known: %s)", what, key.Value, known.names())
		case seen[key.Value] != nil:
			d.problemAtToken(key.Token, "%s: key %q stands twice, first on line %d", what, key.Value, seen[key.Value].Position.Line)
		default:
			seen[key.Value] = key.Token
			read(v.Value)
		}
	}
	return seen
}

func (f fields) names() string {
	names := make([]string, 0, len(f))
	for name := range f {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// list calls each for every element of node, which must be a list of at most limit
// elements.
func (d *decoder) list(node ast.Node, what string, limit int, each func(ast.Node)) {
	n, ok := node.(*ast.SequenceNode)
	if !ok {
		d.problemAtNode(node, "%s: must be a list", what)
		return
	}
	if len(n.Values) > limit {
		d.problemAtNode(node, "%s: %d elements; at most %d are allowed", what, len(n.Values), limit)
		return
	}
	for _, v := range n.Values {
		each(v)
	}
}

func (d *decoder) problemAtNode(n ast.Node, format string, args ...any) {
	if n == nil {
		d.problemAt(1, 1, format, args...)
		return
	}
	d.problemAtToken(n.GetToken(), format, args...)
}

func (d *decoder) file(f *File, tree *ast.File) {
	var root ast.Node
	for _, doc := range tree.Docs {
		if doc.Body == nil {
			continue
		}
		if root != nil {
			d.problemAtNode(doc.Body, "a second document; a file is one document")
			return
		}
		root = doc.Body
	}
	if root == nil {
		d.problemAt(1, 1, "empty file")
		return
	}
	f.Limits = Limits{
		MaxJobTasks: DefaultMaxJobTasks, MaxJobBytes: DefaultMaxJobBytes,
		MaxQueuedTasks: DefaultMaxQueuedTasks, MaxQueuedBytes: DefaultMaxQueuedBytes,
	}
	f.Targets = TargetDefaults{Lease: DefaultLease, Slots: DefaultSlots, Connections: DefaultConnections}
	positions := &keyPositions{}
	seen := d.mapping(root, "file", fields{
		"number":   func(n ast.Node) { f.Number = uint64(d.integer(n, "number", 1, maxNumber)) },
		"teams":    func(n ast.Node) { d.teams(f, positions, n) },
		"services": func(n ast.Node) { d.services(f, positions, n) },
		"limits":   func(n ast.Node) { positions.limits = d.limits(&f.Limits, n) },
		"targets":  func(n ast.Node) { positions.targets = d.targets(&f.Targets, n) },
	})
	d.required(root, "file", seen, "number", "services")
	d.check(f, positions)
}

func (d *decoder) required(n ast.Node, what string, seen map[string]position, keys ...string) {
	for _, key := range keys {
		if seen[key] == nil {
			d.problemAtNode(n, "%s: key %q is missing", what, key)
		}
	}
}

func (d *decoder) teams(f *File, positions *keyPositions, node ast.Node) {
	d.list(node, "teams", maxTeams, func(n ast.Node) {
		t := Team{Weight: 1}
		what := fmt.Sprintf("teams[%d]", len(f.Teams))
		seen := d.mapping(n, what, fields{
			"name":             func(n ast.Node) { t.Name = d.ident(n, what+".name") },
			"weight":           func(n ast.Node) { t.Weight = int(d.integer(n, what+".weight", 1, maxWeight)) },
			"max_queued_tasks": func(n ast.Node) { t.MaxQueuedTasks = int(d.integer(n, what+".max_queued_tasks", 1, maxTasks)) },
			"tasks_per_second": func(n ast.Node) { t.TasksPerSecond = int(d.integer(n, what+".tasks_per_second", 1, maxTasks)) },
		})
		d.required(n, what, seen, "name")
		f.Teams = append(f.Teams, t)
		positions.teams = append(positions.teams, seen)
	})
}

func (d *decoder) services(f *File, positions *keyPositions, node ast.Node) {
	d.list(node, "services", maxServices, func(n ast.Node) {
		s := Service{Urgency: job.UrgencyInteractive}
		what := fmt.Sprintf("services[%d]", len(f.Services))
		seen := d.mapping(n, what, fields{
			"name":         func(n ast.Node) { s.Name = d.ident(n, what+".name") },
			"pool":         func(n ast.Node) { s.Pool = d.ident(n, what+".pool") },
			"urgency":      func(n ast.Node) { s.Urgency = choice(d, n, what+".urgency", job.ParseUrgency) },
			"priority":     func(n ast.Node) { s.Priority = int(d.integer(n, what+".priority", 0, MaxPriority)) },
			"repeatable":   func(n ast.Node) { s.Repeatable = d.boolean(n, what+".repeatable") },
			"keep":         func(n ast.Node) { s.Keep = choice(d, n, what+".keep", job.ParseKeep) },
			"deadline":     func(n ast.Node) { s.Deadline = d.duration(n, what+".deadline", minDeadline, maxDeadline) },
			"late_answers": func(n ast.Node) { s.FlagLate = choice(d, n, what+".late_answers", parseLate) },
		})
		d.required(n, what, seen, "name")
		if s.Pool == "" {
			s.Pool = s.Name
		}
		f.Services = append(f.Services, s)
		positions.services = append(positions.services, seen)
	})
	if len(f.Services) == 0 {
		d.problemAtNode(node, "services: must name at least one")
	}
}

func (d *decoder) limits(l *Limits, node ast.Node) map[string]position {
	return d.mapping(node, "limits", fields{
		"max_job_tasks":    func(n ast.Node) { l.MaxJobTasks = int(d.integer(n, "limits.max_job_tasks", 1, maxTasks)) },
		"max_job_bytes":    func(n ast.Node) { l.MaxJobBytes = d.size(n, "limits.max_job_bytes") },
		"max_queued_tasks": func(n ast.Node) { l.MaxQueuedTasks = int(d.integer(n, "limits.max_queued_tasks", 1, maxTasks)) },
		"max_queued_bytes": func(n ast.Node) { l.MaxQueuedBytes = d.size(n, "limits.max_queued_bytes") },
	})
}

func (d *decoder) targets(t *TargetDefaults, node ast.Node) map[string]position {
	return d.mapping(node, "targets", fields{
		"lease":       func(n ast.Node) { t.Lease = d.duration(n, "targets.lease", minLease, maxLease) },
		"slots":       func(n ast.Node) { t.Slots = int(d.integer(n, "targets.slots", 1, maxSlots)) },
		"connections": func(n ast.Node) { t.Connections = int(d.integer(n, "targets.connections", 1, maxSlots)) },
	})
}
