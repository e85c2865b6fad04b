package registrar

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/membership"
)

// exploration is the state and result of one search through the simulation.
type exploration struct {
	visited   map[uint64]bool
	complete  bool
	violation string
}

// step is a visited state with the choice that led to it and the preceding step.
type step struct {
	simulation *simulation
	name       string
	previous   *step
}

func (s *step) trace() string {
	var names []string
	for ; s.previous != nil; s = s.previous {
		names = append(names, s.name)
	}
	slices.Reverse(names)
	return strings.Join(names, "\n")
}

// explore visits the states breadth first, so that the limit cuts off only the
// longest paths.
func explore(b bounds, limit int) *exploration {
	x := &exploration{visited: map[uint64]bool{}}
	first := &step{simulation: newSimulation(b)}
	queue := []*step{first}
	x.visited[xxhash.Sum64String(first.simulation.key())] = true
	for len(queue) > 0 && x.violation == "" && len(x.visited) < limit {
		at := queue[0]
		queue[0] = nil
		queue = queue[1:]
		queue = append(queue, x.expand(at)...)
	}
	x.complete = len(queue) == 0
	return x
}

// expand returns the unvisited states that follow a step.
func (x *exploration) expand(at *step) []*step {
	list := at.simulation.choices()
	if len(list) == 0 && at.simulation.faultFree {
		if wrong := at.simulation.checkEnd(); wrong != "" {
			x.violation = wrong + ":\n" + at.trace()
		}
	}
	var next []*step
	for i := range list {
		s := &step{simulation: at.simulation.clone(), name: list[i].name, previous: at}
		s.simulation.choices()[i].do()
		if s.simulation.starts > 1 {
			x.violation = "started twice:\n" + s.trace()
			return nil
		}
		key := xxhash.Sum64String(s.simulation.key())
		if !x.visited[key] {
			x.visited[key] = true
			next = append(next, s)
		}
	}
	at.simulation = nil
	return next
}

// clone copies everything that a choice may change.
func (sim *simulation) clone() *simulation {
	c := *sim
	c.messages, c.crashed = slices.Clone(sim.messages), slices.Clone(sim.crashed)
	c.nodes = map[job.EntryID]*exploreNode{}
	for id, n := range sim.nodes {
		c.nodes[id] = n.clone()
	}
	return &c
}

func (n *exploreNode) clone() *exploreNode {
	c := *n
	c.pulled = maps.Clone(n.pulled)
	c.table = newTable()
	for id, records := range n.table.records {
		for _, k := range records {
			copied := *k
			c.table.records[id] = append(c.table.records[id], &copied)
		}
	}
	completeness := *n.completeness
	completeness.liveSets, completeness.incarnations, completeness.syncedSets = slices.Clone(completeness.liveSets), maps.Clone(completeness.incarnations), maps.Clone(completeness.syncedSets)
	completeness.lostEntries, completeness.losses = slices.Clone(completeness.lostEntries), slices.Clone(completeness.losses)
	c.completeness = &completeness
	ownerTable := *n.ownerTable
	ownerTable.submissions = map[job.ID]*ownedSubmission{}
	c.ownerTable = &ownerTable
	if n.claim == nil {
		return &c
	}
	claim := *n.claim
	entry := *claim.ownedSubmission
	entry.decided = make(chan struct{})
	claim.ownedSubmission = &entry
	if n.ownerTable.submissions[entry.id] != nil {
		ownerTable.submissions[entry.id] = &entry
	}
	inner := *claim.claim
	inner.withdrawn, inner.redirected, inner.confirmed = maps.Clone(inner.withdrawn), maps.Clone(inner.redirected), maps.Clone(inner.confirmed)
	inner.queries = map[job.EntryID]*query{}
	for id, a := range claim.claim.queries {
		copied := *a
		inner.queries[id] = &copied
	}
	claim.claim = &inner
	c.claim = &claim
	return &c
}

// checkEnd checks the final state of a run without crashes and lost messages. It
// returns a description of the violation, if any.
func (sim *simulation) checkEnd() string {
	if sim.starts != 1 {
		return fmt.Sprintf("%d starts", sim.starts)
	}
	for _, id := range sim.bounds.claims {
		at := id
		for range exploreNames {
			c := sim.nodes[at].claim
			if c == nil || c.open {
				return fmt.Sprintf("the claim at %s is undecided", at)
			}
			if c.result.kind == resultStart {
				break
			}
			if c.result.kind != resultJoin {
				return fmt.Sprintf("the claim at %s ended with result %d", at, c.result.kind)
			}
			at = c.result.owner.Entry
		}
		if sim.nodes[at].claim.result.kind != resultStart {
			return fmt.Sprintf("the joins from %s form a cycle", id)
		}
	}
	return ""
}

// idsByRegistrars returns one id for each pair of registrars, in both orders.
func idsByRegistrars() []job.ID {
	var ids []job.ID
	seen := map[string]bool{}
	for i := 0; len(seen) < 6; i++ {
		id := job.ID(fmt.Sprint("id", i))
		ranked := membership.Rank(exploreNames, string(id))
		pair := fmt.Sprint(ranked[:replicas])
		if !seen[pair] {
			seen[pair] = true
			ids = append(ids, id)
		}
	}
	return ids
}

// Messages arrive in any order or are lost, and entries crash and restart. No
// submission may start twice, and no two entries may wait for each other's answer.
func TestEveryInterleaving(t *testing.T) {
	scenarios := []struct {
		name string
		bounds
	}{
		{"two claims at once", bounds{claims: []job.EntryID{"a", "b"}}},
		{"three claims at once", bounds{claims: []job.EntryID{"a", "b", "c"}}},
		{"two claims and a lost message", bounds{claims: []job.EntryID{"a", "b"}, losses: 1}},
		{"two claims, the first owner crashes", bounds{claims: []job.EntryID{"a", "b"}, crashes: []job.EntryID{"a"}}},
		{"two claims, a registrar crashes", bounds{claims: []job.EntryID{"a", "b"}, crashes: []job.EntryID{"c"}}},
		{"a registrar crashes and restarts", bounds{claims: []job.EntryID{"a", "b"}, crashes: []job.EntryID{"c"}, restarts: true}},
		{"the owner crashes and restarts", bounds{claims: []job.EntryID{"a", "b"}, crashes: []job.EntryID{"a"}, restarts: true}},
		{"owner and registrar crash", bounds{claims: []job.EntryID{"a", "b"}, crashes: []job.EntryID{"a", "c"}}},
		{"the owner crashes and a message is lost", bounds{claims: []job.EntryID{"a", "b"}, crashes: []job.EntryID{"a"}, losses: 1}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			total, complete := 0, 0
			for _, id := range idsByRegistrars() {
				b := scenario.bounds
				b.id = id
				x := explore(b, *exploreLimit/raceDivisor)
				qt.Assert(t, x.violation, qt.Equals, "", qt.Commentf("registrars %v\n%s", membership.Rank(exploreNames, string(id)), x.violation))
				total += len(x.visited)
				if x.complete {
					complete++
				}
			}
			t.Logf("%d states; complete for %d of 6 orders of registrars", total, complete)
		})
	}
}

// seededLimit is the number of states within which every seeded fault is found.
const seededLimit = 25_000

// Each seeded fault starts a submission twice. The explorer must find all of them;
// otherwise finding no violation in the real protocol would prove nothing.
func TestSeededFaultsAreFound(t *testing.T) {
	faults := map[string]bounds{
		"registrars answer before they have synced": {fault: trustUnsynced, claims: []job.EntryID{"a", "b"}, crashes: []job.EntryID{"c", "a"}, restarts: true},
		"an owner starts after yielding":            {fault: forgetYield, claims: []job.EntryID{"a", "b"}},
		"a lost owner's submission starts again":    {fault: restartLost, claims: []job.EntryID{"a", "b"}, crashes: []job.EntryID{"a"}},
		"a claim replaces any record":               {fault: replaceAny, claims: []job.EntryID{"a", "b"}},
	}
	for name, b := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			violation := ""
			for _, id := range idsByRegistrars() {
				b.id = id
				if x := explore(b, seededLimit); x.violation != "" {
					violation = x.violation
					t.Logf("found after %d states: %s", len(x.visited), strings.ReplaceAll(violation, "\n", "; "))
					break
				}
			}
			qt.Assert(t, violation, qt.Not(qt.Equals), "")
		})
	}
}

// String describes a message identically in every run.
func (m exploreMessage) String() string {
	kind := fmt.Sprint("settle ", m.settle != nil)
	switch {
	case m.claim != nil:
		kind = fmt.Sprint("claim ", m.claim.By.Number, len(m.claim.Replace), m.claim.Replace)
	case m.reply != nil:
		kind = fmt.Sprint("reply ", m.reply.Certainty, recordNames(m.reply.Held))
	case m.yielded != nil:
		kind = fmt.Sprint("yielded ", m.yielded.Result, m.yielded.To.Entry, claimantName(m.yield))
	case m.yield != nil:
		kind = "yield " + claimantName(m.yield)
	}
	return fmt.Sprintf("%s/%d>%s/%d %s #%d", m.from.Entry, m.from.Incarnation, m.to.Entry, m.to.Incarnation, kind, m.claimNumber)
}

func claimantName(c *Claimant) string {
	if c == nil {
		return "-"
	}
	return fmt.Sprintf("%s/%d.%d", c.Owner.Entry, c.Owner.Incarnation, c.Number)
}

func recordNames(records []Record) string {
	names := make([]string, len(records))
	for i := range records {
		names[i] = claimantName(&records[i].By)
	}
	slices.Sort(names)
	return strings.Join(names, ",")
}

// key returns the state in a canonical form.
func (sim *simulation) key() string {
	var b strings.Builder
	fmt.Fprint(&b, sim.nextClaim, sim.losses, sim.crashed, sim.starts, sim.faultFree)
	messages := make([]string, len(sim.messages))
	for i := range sim.messages {
		messages[i] = sim.messages[i].String()
	}
	slices.Sort(messages)
	fmt.Fprint(&b, messages)
	for _, id := range exploreNames {
		n := sim.nodes[id]
		fmt.Fprint(&b, "|", n.alive, n.owner.Incarnation, n.completeness.liveSets, n.completeness.incarnations, n.completeness.synced, n.completeness.lostEntries, n.completeness.losses, n.pulled)
		var records []string
		for _, k := range n.table.records[sim.bounds.id] {
			records = append(records, claimantName(&k.By))
		}
		slices.Sort(records)
		fmt.Fprint(&b, records)
		for _, m := range n.view.List {
			fmt.Fprint(&b, m.State, m.Incarnation)
		}
		if c := n.claim; c != nil {
			fmt.Fprint(&b, " claim", c.open, c.askingRival, c.retries, c.ownedSubmission.state, c.ownedSubmission.yielded, c.result.kind, c.result.owner)
			for _, entry := range c.claim.askedRegistrars() {
				a := c.claim.queries[entry]
				fmt.Fprint(&b, entry, a.state, a.certainty, recordNames(a.held))
			}
			fmt.Fprint(&b, c.claim.withdrawn, c.claim.redirected, c.claim.confirmed)
		}
	}
	return b.String()
}
