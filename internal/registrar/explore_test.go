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

// exploration is what was seen within the bounds.
type exploration struct {
	seen     map[uint64]bool
	complete bool
	found    string
}

// step is a state with the way to it.
type step struct {
	world *world
	name  string
	back  *step
}

func (s *step) trace() string {
	var names []string
	for ; s.back != nil; s = s.back {
		names = append(names, s.name)
	}
	slices.Reverse(names)
	return strings.Join(names, "\n")
}

// explore visits the states in the order of their distance from the start, so
// that a limit leaves out the longest ways only.
func explore(b bounds, limit int) *exploration {
	x := &exploration{seen: map[uint64]bool{}}
	first := &step{world: newWorld(b)}
	queue := []*step{first}
	x.seen[xxhash.Sum64String(first.world.key())] = true
	for len(queue) > 0 && x.found == "" && len(x.seen) < limit {
		at := queue[0]
		queue[0] = nil
		queue = queue[1:]
		queue = append(queue, x.expand(at)...)
	}
	x.complete = len(queue) == 0
	return x
}

// expand returns the new states after one more step.
func (x *exploration) expand(at *step) []*step {
	list := at.world.choices()
	if len(list) == 0 && at.world.quiet {
		if wrong := at.world.end(); wrong != "" {
			x.found = wrong + ":\n" + at.trace()
		}
	}
	var next []*step
	for i := range list {
		s := &step{world: at.world.clone(), name: list[i].name, back: at}
		s.world.choices()[i].do()
		if s.world.starts > 1 {
			x.found = "started twice:\n" + s.trace()
			return nil
		}
		key := xxhash.Sum64String(s.world.key())
		if !x.seen[key] {
			x.seen[key] = true
			next = append(next, s)
		}
	}
	at.world = nil
	return next
}

// clone copies all that a step may change.
func (w *world) clone() *world {
	c := *w
	c.messages, c.crashed = slices.Clone(w.messages), slices.Clone(w.crashed)
	c.nodes = map[job.EntryID]*exploreNode{}
	for id, n := range w.nodes {
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
	memory := *n.memory
	memory.bases, memory.lives, memory.done = slices.Clone(memory.bases), maps.Clone(memory.lives), maps.Clone(memory.done)
	memory.deaths, memory.losses = slices.Clone(memory.deaths), slices.Clone(memory.losses)
	c.memory = &memory
	owned := *n.owned
	owned.entries = map[job.ID]*own{}
	c.owned = &owned
	if n.claim == nil {
		return &c
	}
	claim := *n.claim
	entry := *claim.own
	entry.decided = make(chan struct{})
	claim.own = &entry
	if n.owned.entries[entry.id] != nil {
		owned.entries[entry.id] = &entry
	}
	inner := *claim.claim
	inner.given, inner.moved, inner.joined = maps.Clone(inner.given), maps.Clone(inner.moved), maps.Clone(inner.joined)
	inner.asks = map[job.EntryID]*ask{}
	for id, a := range claim.claim.asks {
		copied := *a
		inner.asks[id] = &copied
	}
	claim.claim = &inner
	c.claim = &claim
	return &c
}

// end checks a run without crash and loss that has come to its end.
func (w *world) end() string {
	if w.starts != 1 {
		return fmt.Sprintf("%d starts", w.starts)
	}
	for _, id := range w.bounds.claims {
		at := id
		for range exploreNames {
			c := w.nodes[at].claim
			if c == nil || c.open {
				return fmt.Sprintf("the claim at %s is undecided", at)
			}
			if c.decided.kind == verdictStart {
				break
			}
			if c.decided.kind != verdictJoin {
				return fmt.Sprintf("the claim at %s ended as %d", at, c.decided.kind)
			}
			at = c.decided.owner.Entry
		}
		if w.nodes[at].claim.decided.kind != verdictStart {
			return fmt.Sprintf("the joins from %s lead in a circle", id)
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

// Whatever the order in which messages arrive, are lost, and entries die and
// return, no submission may start twice, and no two entries may wait for each
// other's answer.
func TestEveryInterleaving(t *testing.T) {
	scenarios := []struct {
		name string
		bounds
	}{
		{"two claims at once", bounds{claims: []job.EntryID{"a", "b"}}},
		{"three claims at once", bounds{claims: []job.EntryID{"a", "b", "c"}}},
		{"two claims and a loss", bounds{claims: []job.EntryID{"a", "b"}, losses: 1}},
		{"two claims, the first owner dies", bounds{claims: []job.EntryID{"a", "b"}, crashes: []job.EntryID{"a"}}},
		{"two claims, a registrar dies", bounds{claims: []job.EntryID{"a", "b"}, crashes: []job.EntryID{"c"}}},
		{"a registrar dies and returns", bounds{claims: []job.EntryID{"a", "b"}, crashes: []job.EntryID{"c"}, returns: true}},
		{"the owner dies and returns", bounds{claims: []job.EntryID{"a", "b"}, crashes: []job.EntryID{"a"}, returns: true}},
		{"owner and registrar die", bounds{claims: []job.EntryID{"a", "b"}, crashes: []job.EntryID{"a", "c"}}},
		{"the owner dies and a loss", bounds{claims: []job.EntryID{"a", "b"}, crashes: []job.EntryID{"a"}, losses: 1}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			total, complete := 0, 0
			for _, id := range idsByRegistrars() {
				b := scenario.bounds
				b.id = id
				x := explore(b, *exploreLimit/raceDivisor)
				qt.Assert(t, x.found, qt.Equals, "", qt.Commentf("registrars %v\n%s", membership.Rank(exploreNames, string(id)), x.found))
				total += len(x.seen)
				if x.complete {
					complete++
				}
			}
			t.Logf("%d states; complete for %d of 6 orders of registrars", total, complete)
		})
	}
}

// seededLimit is enough for each seeded fault.
const seededLimit = 25_000

// An explorer that finds nothing proves something only if it finds what is
// wrong: each of these errors starts a submission twice.
func TestSeededFaultsAreFound(t *testing.T) {
	faults := map[string]bounds{
		"registrars speak before they have synced": {fault: trustUnsynced, claims: []job.EntryID{"a", "b"}, crashes: []job.EntryID{"c", "a"}, returns: true},
		"an owner starts what it gave up":          {fault: forgetYield, claims: []job.EntryID{"a", "b"}},
		"a lost owner's submission starts again":   {fault: restartLost, claims: []job.EntryID{"a", "b"}, crashes: []job.EntryID{"a"}},
		"a claim replaces any record":              {fault: replaceAny, claims: []job.EntryID{"a", "b"}},
	}
	for name, b := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			found := ""
			for _, id := range idsByRegistrars() {
				b.id = id
				if x := explore(b, seededLimit); x.found != "" {
					found = x.found
					t.Logf("found after %d states: %s", len(x.seen), strings.ReplaceAll(found, "\n", "; "))
					break
				}
			}
			qt.Assert(t, found, qt.Not(qt.Equals), "")
		})
	}
}

// String names a message the same way in each run.
func (m exploreMessage) String() string {
	kind := fmt.Sprint("settle ", m.settle != nil)
	switch {
	case m.claim != nil:
		kind = fmt.Sprint("claim ", m.claim.By.Number, len(m.claim.Replace), m.claim.Replace)
	case m.reply != nil:
		kind = fmt.Sprint("reply ", m.reply.Standing, recordNames(m.reply.Held))
	case m.yielded != nil:
		kind = fmt.Sprint("yielded ", m.yielded.Verdict, m.yielded.To.Entry, claimantName(m.yield))
	case m.yield != nil:
		kind = "yield " + claimantName(m.yield)
	}
	return fmt.Sprintf("%s/%d>%s/%d %s #%d", m.from.Entry, m.from.Incarnation, m.to.Entry, m.to.Incarnation, kind, m.number)
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

// key is the state in a canonical form.
func (w *world) key() string {
	var b strings.Builder
	fmt.Fprint(&b, w.next, w.losses, w.crashed, w.starts, w.quiet)
	messages := make([]string, len(w.messages))
	for i := range w.messages {
		messages[i] = w.messages[i].String()
	}
	slices.Sort(messages)
	fmt.Fprint(&b, messages)
	for _, id := range exploreNames {
		n := w.nodes[id]
		fmt.Fprint(&b, "|", n.alive, n.owner.Incarnation, n.memory.bases, n.memory.lives, n.memory.synced, n.memory.deaths, n.memory.losses, n.pulled)
		var records []string
		for _, k := range n.table.records[w.bounds.id] {
			records = append(records, claimantName(&k.By))
		}
		slices.Sort(records)
		fmt.Fprint(&b, records)
		for _, m := range n.view.List {
			fmt.Fprint(&b, m.State, m.Incarnation)
		}
		if c := n.claim; c != nil {
			fmt.Fprint(&b, " claim", c.open, c.asking, c.retries, c.own.state, c.own.yielded, c.decided.kind, c.decided.owner)
			for _, entry := range c.claim.order() {
				a := c.claim.asks[entry]
				fmt.Fprint(&b, entry, a.state, a.standing, recordNames(a.held))
			}
			fmt.Fprint(&b, c.claim.given, c.claim.moved, c.claim.joined)
		}
	}
	return b.String()
}
