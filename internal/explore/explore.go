// Package explore visits every state that a small model can reach and checks an
// invariant in each. The models run the real step functions of the protocols, so
// what is checked is the code that runs, and not a copy of it.
//
// Random tests find what goes wrong often. The faults that undo an accepted
// configuration need several unlikely things in one exact order; within small
// bounds all orders are tried.
package explore

import "fmt"

// Key identifies a state: a 64-bit hash of all of it. Two states that share one
// by chance would be taken for one; at ten million states the chance that any
// two do is about one in 400,000.
type Key uint64

// Model is a system to explore.
type Model[S any] interface {
	// Initial returns the states to start from.
	Initial() []S
	// Key identifies a state.
	Key(S) Key
	// Next calls visit with each state that one action leads to.
	Next(s S, visit func(action string, next S))
	// Check returns what is wrong with a state.
	Check(S) error
}

// Report is the result of a run.
type Report struct {
	States      int
	Transitions int
	Depth       int
	// Complete is false if the limit of states was met.
	Complete bool
	// Violation is what Check returned first; Trace the actions that led there.
	Violation error
	Trace     []string
}

// String returns the report in one line, and the trace below it.
func (r Report) String() string {
	s := fmt.Sprintf("%d states, %d transitions, depth %d", r.States, r.Transitions, r.Depth)
	if !r.Complete {
		s += " (not complete)"
	}
	if r.Violation != nil {
		s += ": " + r.Violation.Error()
		for _, a := range r.Trace {
			s += "\n  " + a
		}
	}
	return s
}

// origin is how a state was first reached.
type origin struct {
	from   Key
	action string
}

// Run explores m breadth first, so that a trace is a shortest one. It stops at
// the first violation or after limit states.
func Run[S any](m Model[S], limit int) Report {
	seen := map[Key]origin{}
	var level, next []S
	r := Report{}
	var bad Key
	add := func(s S, from Key, action string) bool {
		k := m.Key(s)
		if _, ok := seen[k]; ok {
			return true
		}
		seen[k] = origin{from: from, action: action}
		r.States++
		if err := m.Check(s); err != nil {
			r.Violation, bad = err, k
			return false
		}
		next = append(next, s)
		return r.States < limit
	}
	for _, s := range m.Initial() {
		add(s, 0, "")
	}
	for len(next) > 0 && r.Violation == nil {
		level, next = next, nil
		r.Depth++
		for _, s := range level {
			k, more := m.Key(s), true
			m.Next(s, func(action string, n S) {
				if !more {
					return
				}
				r.Transitions++
				more = add(n, k, action)
			})
			if !more {
				r.Trace = trace(seen, bad)
				return r
			}
		}
	}
	r.Complete = r.Violation == nil
	return r
}

func trace(seen map[Key]origin, k Key) []string {
	var actions []string
	for k != 0 {
		o := seen[k]
		if o.action == "" {
			break
		}
		actions = append([]string{o.action}, actions...)
		k = o.from
	}
	return actions
}
