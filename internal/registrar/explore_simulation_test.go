package registrar

import (
	"flag"
	"fmt"
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/membership"
)

// The explorer runs the production code of claim, table, ownerTable and
// completeness for three entries through every interleaving within its bounds:
// claims of one id at several entries, messages that are delivered in any order or
// lost, and an entry that crashes and restarts without its data. Each other entry
// detects the crash at any later time. Each choice leads from a state to a new one;
// states that were visited before are not explored again.
//
// Invariants: no id starts twice. Without crashes and lost messages, every claim is
// decided, exactly one starts the submission, and the joins of all others lead to
// it.

// exploreLimit bounds the number of states explored per scenario and order of
// registrars.
var exploreLimit = flag.Int("explore", 12_000, "states for each scenario and order of registrars")

// maxRetries bounds the retries of one claim, not counting those caused by a change
// of the view.
const maxRetries = 1

// bounds limits the events of one exploration.
type bounds struct {
	id       job.ID
	claims   []job.EntryID // entries that claim the id; the first claim is a first attempt
	losses   int           // number of messages that may be lost
	crashes  []job.EntryID // entries that may crash, each once
	restarts bool          // crashed entries may restart
	fault    fault         // a seeded fault that the explorer must find
}

// fault is an error seeded into the protocol to verify that the explorer finds it.
type fault uint8

const (
	_ fault = iota
	// trustUnsynced lets a registrar report an id as unseen before it has synced.
	trustUnsynced
	// forgetYield lets an entry start a submission after yielding its claim.
	forgetYield
	// restartLost starts a lost owner's submission again.
	restartLost
	// replaceAny lets a claim replace any record.
	replaceAny
)

var (
	exploreNames = []job.EntryID{"a", "b", "c"}
	exploreTime  = time.Unix(1_000_000, 0)
)

// exploreDigest is the digest of the explored submission.
var exploreDigest = job.Digest{1}

// exploreClaim is a claim with the state that Registrar.decide keeps for it.
type exploreClaim struct {
	claim           *claim
	ownedSubmission *ownedSubmission
	askingRival     bool
	result          claimResult
	open            bool
	retries         int
}

// exploreNode is one incarnation of an entry.
type exploreNode struct {
	owner        job.Owner
	alive        bool
	table        *table
	ownerTable   *ownerTable
	completeness *completeness
	view         *membership.Members
	claim        *exploreClaim
	pulled       map[job.EntryID]bool
}

// exploreMessage is a request or a reply in transit.
type exploreMessage struct {
	from, to    job.Owner
	claim       *claimRequest
	reply       *claimReply
	yield       *Claimant // the claimant in question
	yielded     *yieldReply
	settle      *settleMessage
	claimNumber uint64 // the number of the asking claim
}

// simulation is one state of the explored system.
type simulation struct {
	bounds    bounds
	nodes     map[job.EntryID]*exploreNode
	messages  []exploreMessage
	nextClaim int // index of the next claim in bounds.claims
	losses    int // number of messages lost so far
	crashed   []job.EntryID
	starts    int
	faultFree bool // no crash and no lost message so far
}

func newSimulation(b bounds) *simulation {
	sim := &simulation{bounds: b, nodes: map[job.EntryID]*exploreNode{}, faultFree: true}
	for _, id := range exploreNames {
		sim.boot(id, 1)
	}
	for _, n := range sim.nodes {
		n.completeness.coldUntil = exploreTime
		n.completeness.complete(exploreTime, nil)
	}
	for _, n := range sim.nodes {
		for _, other := range exploreNames {
			n.completeness.recordSynced(other, n.completeness.setDigest())
		}
	}
	return sim
}

func (sim *simulation) boot(id job.EntryID, incarnation job.Incarnation) {
	owner := job.Owner{Entry: id, Incarnation: incarnation, Zone: "z"}
	n := &exploreNode{
		owner: owner, alive: true, table: newTable(), ownerTable: newOwnerTable(owner),
		completeness: newCompleteness(exploreTime, id, time.Hour), pulled: map[job.EntryID]bool{},
	}
	view := &membership.Members{Self: membership.Member{Entry: id, Zone: "z", Incarnation: incarnation, State: membership.Alive}}
	for _, other := range exploreNames {
		m := membership.Member{Entry: other, Zone: "z", Incarnation: 1, State: membership.Alive}
		if node := sim.nodes[other]; node != nil {
			m.Incarnation = node.owner.Incarnation
		}
		if other == id {
			m = view.Self
		}
		view.List = append(view.List, m)
	}
	n.view = view
	n.completeness.applyView(exploreTime, view, true)
	sim.nodes[id] = n
}

// choice is one event that can happen next.
type choice struct {
	name string
	do   func()
}

// choices lists the events that can happen next.
func (sim *simulation) choices() []choice {
	sim.messages = slices.DeleteFunc(sim.messages, sim.obsolete)
	var list []choice
	add := func(name string, do func()) { list = append(list, choice{name, do}) }
	if sim.nextClaim < len(sim.bounds.claims) {
		if at := sim.bounds.claims[sim.nextClaim]; sim.nodes[at].alive && sim.nodes[at].claim == nil {
			add("claim at "+string(at), func() { sim.sendClaim(at) })
		}
	}
	for i := range sim.messages {
		add("deliver "+sim.messages[i].String(), func() { sim.deliver(i) })
		if sim.losses < sim.bounds.losses {
			add("lose "+sim.messages[i].String(), func() { sim.losses++; sim.faultFree = false; sim.reportFailure(sim.removeMessage(i)) })
		}
	}
	for _, id := range sim.bounds.crashes {
		if !slices.Contains(sim.crashed, id) {
			add("crash "+string(id), func() { sim.crash(id) })
		} else if !sim.nodes[id].alive && sim.bounds.restarts {
			add("restart "+string(id), func() { sim.boot(id, sim.nodes[id].owner.Incarnation+1) })
		}
	}
	for _, id := range exploreNames {
		sim.nodeChoices(sim.nodes[id], add)
	}
	return list
}

// obsolete reports whether a message is a reply that can no longer change anything.
func (sim *simulation) obsolete(m exploreMessage) bool {
	if m.reply == nil && m.yielded == nil {
		return false
	}
	n := sim.nodes[m.to.Entry]
	return !n.alive || n.owner != m.to || n.claim == nil || !n.claim.open || n.claim.ownedSubmission.claimNumber != m.claimNumber
}

func (sim *simulation) nodeChoices(n *exploreNode, add func(string, func())) {
	if !n.alive {
		return
	}
	for i, m := range n.view.List {
		other := sim.nodes[m.Entry]
		dead := !other.alive && m.State != membership.Dead
		next := other.alive && other.owner.Incarnation != m.Incarnation
		if dead || next {
			add(fmt.Sprintf("%s detects the change of %s", n.owner.Entry, m.Entry), func() { sim.detectChange(n, i) })
		}
	}
	if last := n.completeness.liveSets[len(n.completeness.liveSets)-1]; !n.completeness.synced || len(n.completeness.liveSets) > 1 {
		for _, from := range last {
			if from != n.owner.Entry && !n.pulled[from] && sim.nodes[from].alive {
				add(fmt.Sprintf("%s pulls from %s", n.owner.Entry, from), func() { sim.pull(n, from) })
			}
		}
	}
	if c := n.claim; c != nil && c.open && c.retries < maxRetries && c.claim.canRetry() {
		add(fmt.Sprintf("%s retries", n.owner.Entry), func() { c.retries++; c.claim.retry(); c.askingRival = false; sim.runRound(n) })
	}
}

// canRetry reports whether a retry would change anything.
func (c *claim) canRetry() bool {
	for _, q := range c.queries {
		if q.state == queryFailed || q.state == queryGranted && q.certainty == Unsynced {
			return true
		}
	}
	return false
}

func (sim *simulation) sendClaim(at job.EntryID) {
	n := sim.nodes[at]
	e, _ := n.ownerTable.begin(sim.bounds.id, exploreDigest)
	attempt := 2
	if sim.nextClaim == 0 {
		attempt = 1
	}
	sim.nextClaim++
	n.claim = &exploreClaim{ownedSubmission: e, open: true, claim: newClaim(sim.bounds.id, attempt, n.ownerTable.claimant(e))}
	sim.runRound(n)
}

// runRound runs one round of Registrar.decide.
func (sim *simulation) runRound(n *exploreNode) {
	c := n.claim
	if c == nil || !c.open {
		return
	}
	for list := c.claim.nextRegistrars(n.view); len(list) > 0; list = c.claim.nextRegistrars(n.view) {
		for _, to := range list {
			req := c.claim.request(to, exploreDigest)
			if to == n.owner.Entry {
				c.claim.recordReply(to, sim.answerClaim(n, req))
				continue
			}
			sim.post(exploreMessage{from: n.owner, to: sim.nodes[to].owner, claim: req, claimNumber: c.ownedSubmission.claimNumber})
		}
	}
	evaluated := c.claim.evaluate(n.view, exploreDigest, c.ownedSubmission.yielded)
	switch evaluated.kind {
	case resultWait:
		return
	case resultAskRival:
		if !c.askingRival {
			c.askingRival = true
			to := c.claim.rival(evaluated.by)
			sim.post(exploreMessage{from: n.owner, to: to, yield: &evaluated.by, claimNumber: c.ownedSubmission.claimNumber})
		}
		return
	case resultStart:
		n.ownerTable.start(c.ownedSubmission, c.claim.grantedBy())
		sim.starts++
	case resultTakeOver:
		n.ownerTable.drop(c.ownedSubmission)
		if sim.bounds.fault == restartLost {
			sim.starts++
		}
	default:
		n.ownerTable.drop(c.ownedSubmission)
		for _, to := range c.claim.grantedBy() {
			m := settleMessage{ID: sim.bounds.id, By: c.claim.by}
			if to == n.owner.Entry {
				n.table.settle(m.ID, m.By, nil)
				continue
			}
			sim.post(exploreMessage{from: n.owner, to: sim.nodes[to].owner, settle: &m})
		}
	}
	c.result, c.open = evaluated, false
}

func (sim *simulation) post(m exploreMessage) { sim.messages = append(sim.messages, m) }

func (sim *simulation) removeMessage(i int) exploreMessage {
	m := sim.messages[i]
	sim.messages = slices.Delete(slices.Clone(sim.messages), i, i+1)
	return m
}

func (sim *simulation) answerClaim(n *exploreNode, req *claimRequest) *claimReply {
	certainty := n.completeness.certainty(exploreTime, req.ID)
	if sim.bounds.fault == trustUnsynced && certainty == Unsynced {
		certainty = Authoritative
	}
	if sim.bounds.fault == replaceAny {
		n.table.records[req.ID] = nil
	}
	return &claimReply{Held: n.table.claim(exploreTime, req), Certainty: certainty}
}

func (sim *simulation) deliver(i int) {
	m := sim.removeMessage(i)
	n := sim.nodes[m.to.Entry]
	if !n.alive || n.owner != m.to {
		sim.reportFailure(m)
		return
	}
	switch {
	case m.claim != nil:
		sim.post(exploreMessage{from: m.to, to: m.from, reply: sim.answerClaim(n, m.claim), claimNumber: m.claimNumber})
	case m.yield != nil && m.yielded == nil:
		answer := n.ownerTable.yield(m.from, sim.bounds.id)
		if e := n.ownerTable.submissions[sim.bounds.id]; e != nil && sim.bounds.fault == forgetYield {
			e.yielded = job.Owner{}
		}
		sim.post(exploreMessage{from: m.to, to: m.from, yield: m.yield, yielded: &answer, claimNumber: m.claimNumber})
		sim.runRound(n)
	case m.settle != nil:
		n.table.settle(m.settle.ID, m.settle.By, m.settle.Answer)
	default:
		sim.answer(n, m)
	}
}

func (sim *simulation) answer(n *exploreNode, m exploreMessage) {
	c := n.claim
	if c == nil || !c.open || c.ownedSubmission.claimNumber != m.claimNumber {
		return
	}
	if m.yielded != nil {
		c.askingRival = false
		c.claim.yielded(*m.yield, m.from, m.yielded)
	} else {
		c.claim.recordReply(m.from.Entry, m.reply)
	}
	sim.runRound(n)
}

// reportFailure reports to the asking claim that a request or its reply was lost.
func (sim *simulation) reportFailure(m exploreMessage) {
	asker, other := m.from, m.to
	if m.reply != nil || m.yielded != nil {
		asker, other = m.to, m.from
	}
	n := sim.nodes[asker.Entry]
	if !n.alive || n.owner != asker || n.claim == nil || !n.claim.open || n.claim.ownedSubmission.claimNumber != m.claimNumber {
		return
	}
	if m.yield != nil {
		n.claim.askingRival = false
		if !sim.nodes[other.Entry].alive || sim.nodes[other.Entry].owner != other {
			n.claim.askingRival = true // asked again when the crash is detected
		}
	} else if m.claim != nil || m.reply != nil {
		n.claim.claim.recordFailure(other.Entry)
	}
	sim.runRound(n)
}

func (sim *simulation) crash(id job.EntryID) {
	sim.crashed = append(sim.crashed, id)
	sim.faultFree = false
	n := sim.nodes[id]
	n.alive = false
	n.claim = nil
}

// detectChange updates a node's view with the current state of an entry.
func (sim *simulation) detectChange(n *exploreNode, i int) {
	view := *n.view
	view.List = slices.Clone(view.List)
	m := &view.List[i]
	other := sim.nodes[m.Entry]
	m.State = membership.Dead
	if other.alive {
		m.State, m.Incarnation = membership.Alive, other.owner.Incarnation
	}
	n.view = &view
	if n.completeness.applyView(exploreTime, n.view, true) {
		n.pulled = map[job.EntryID]bool{}
		sim.completeSync(n)
	}
	if n.claim != nil {
		n.claim.askingRival = false
		n.claim.claim.retry()
	}
	sim.runRound(n)
}

func (sim *simulation) pull(n *exploreNode, from job.EntryID) {
	other := sim.nodes[from]
	base := n.completeness.liveSets[len(n.completeness.liveSets)-1]
	for _, r := range slices.Concat(other.table.export(exploreTime, n.owner.Entry, base), other.ownerTable.export(n.owner.Entry, base)) {
		n.table.merge(exploreTime, r)
	}
	n.pulled[from] = true
	sim.completeSync(n)
}

func (sim *simulation) completeSync(n *exploreNode) {
	base := n.completeness.liveSets[len(n.completeness.liveSets)-1]
	for _, id := range base {
		if id != n.owner.Entry && !n.pulled[id] {
			return
		}
	}
	n.completeness.complete(exploreTime, []syncReply{{}})
	setDigest := n.completeness.setDigest()
	for _, id := range base {
		if sim.nodes[id].alive {
			sim.nodes[id].completeness.recordSynced(n.owner.Entry, setDigest)
		}
	}
}
