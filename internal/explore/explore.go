// Package explore is an explicit-state model checker. It visits every state that a
// small model can reach and checks an invariant in each. The models run the real
// step functions of the protocols, so the checked code is the code in use and not
// a copy.
//
// Random tests find frequent faults. The faults that undo an accepted configuration
// need several unlikely events in one exact order; within small bounds, the
// exploration tries all orders.
package explore

import "fmt"

// Key identifies a state by a 64-bit hash of its whole content. Two states whose
// hashes collide are treated as one; at ten million states the probability of any
// collision is about one in 400,000.
type Key uint64

// Model is a system to explore.
type Model[S any] interface {
	// Initial returns the states to start from.
	Initial() []S
	// Key returns the key of a state.
	Key(S) Key
	// Next calls visit with each state that is one action away from s.
	Next(s S, visit func(action string, next S))
	// Check returns an error if the state violates the invariant.
	Check(S) error
}

// Report is the result of a run.
type Report struct {
	States      int
	Transitions int
	Depth       int
	// Complete is true if all reachable states were visited, without a violation.
	Complete bool
	// Violation is the first error that Check returned; Trace lists the actions
	// that led to it.
	Violation error
	Trace     []string
}

// String returns a one-line summary, followed by the trace of a violation.
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

// origin is the state and the action from which a state was first reached.
type origin struct {
	from   Key
	action string
}

// Run explores m breadth first, so that a trace has the fewest possible actions.
// It stops at the first violation or after limit states.
func Run[S any](m Model[S], limit int) Report {
	seen := map[Key]origin{}
	var level, next []S
	r := Report{}
	var violating Key
	add := func(s S, from Key, action string) bool {
		k := m.Key(s)
		if _, ok := seen[k]; ok {
			return true
		}
		seen[k] = origin{from: from, action: action}
		r.States++
		if err := m.Check(s); err != nil {
			r.Violation, violating = err, k
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
			k, proceed := m.Key(s), true
			m.Next(s, func(action string, n S) {
				if !proceed {
					return
				}
				r.Transitions++
				proceed = add(n, k, action)
			})
			if !proceed {
				r.Trace = trace(seen, violating)
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
