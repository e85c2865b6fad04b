package explore

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/vanillagrade/vanillagrade/internal/consensus"
	"github.com/vanillagrade/vanillagrade/internal/job"
)

// MaxNodes bounds the nodes of a Voters model.
const MaxNodes = 6

// Operator submits one command to one of the nodes, once for each entry of At.
type Operator struct {
	Command consensus.Command
	At      []int
	// GivesUp lets the operator abandon a submission at any moment.
	GivesUp bool
}

// Voters is a model of the nodes of package consensus with a network that loses,
// repeats and reorders messages, and with disks.
//
// The network is the set of all messages ever sent: any of them may arrive at
// any time, any number of times, or never. A write may complete at any time
// after it was issued; a crash keeps it or loses it.
type Voters struct {
	// Names are the entries; the first Genesis of them form the register.
	Names   []job.EntryID
	Genesis int
	// Formed starts from a formed register; otherwise from empty disks.
	Formed bool
	// Number is that of the configuration in force at the start.
	Number    uint64
	Operators []Operator
	// Bounds of the exploration.
	Crashes, Losses int
	MaxRound        uint64
	// Blackouts is how often all nodes lose power at once, and Wiped how many disks
	// are lost in one at the most.
	Blackouts, Wiped int
	// EndsDark ends each course with the last loss of power: what is left is only
	// asked whether it resumes.
	EndsDark bool
	// SyncAtOnce completes each write in the step that issued it. It leaves out
	// the crashes between the two.
	SyncAtOnce bool

	// The hooks seed a fault into the protocol. Nil means none.
	// OnStep may change the input and the outcome of a step.
	OnStep func(step Stepper, s consensus.State, in consensus.Input) (consensus.State, consensus.Output)
	// OnRestart may change the record that a restart finds, given the state
	// before it; lost is set if the disk was lost.
	OnRestart func(found consensus.Record, before consensus.State, lost bool) consensus.Record
	// EarlySend lets messages leave before the write that they rest on.
	EarlySend bool
	// OneLife makes all starts of a node use the same ballots.
	OneLife bool

	nodes     interner[nodeState]
	messages  interner[consensus.Message]
	histories interner[history]
	memo      map[memoKey]effect
	spentMemo map[uint64]bool
}

// Stepper is the step function of package consensus.
type Stepper func(consensus.State, consensus.Input) (consensus.State, consensus.Output)

// nodeState is one node with its disk.
type nodeState struct {
	State   consensus.State
	Disk    consensus.Record
	Pending []consensus.Write
	Life    uint64
	Disks   int
}

// history is what an observer outside knows: all chosen values and all answers.
type history struct {
	Chosen  []consensus.Value
	Answers []told
	// Submitted counts the submissions of each operator.
	Submitted [maxOperators]uint8
	Wrong     string
}

const maxOperators = 4

type told struct {
	Operator int
	Outcome  consensus.Outcome
	// Submitted is how often the operator had submitted by then.
	Submitted uint8
}

// World is one state of the model.
type World struct {
	nodes   [MaxNodes]uint32
	net     string // sorted message numbers, two bytes each
	history uint32
	crashes uint8
	losses  uint8
	// blackouts is how often all have lost power.
	blackouts uint8
}

type memoKey struct {
	node  uint32
	input uint64
}

// effect is what one input does to one node.
type effect struct {
	node    uint32
	sent    []uint16
	answers []consensus.Answer
	chosen  *consensus.Value
	back    bool
}

// Input numbers above the message numbers stand for the other inputs.
const (
	inputSync = 1<<32 + iota
	inputRetry
	inputFinish
	inputCrash
	inputPower
	inputSubmit  = 1 << 33
	inputAbandon = 1 << 34
)

// interner numbers equal things equally.
type interner[T any] struct {
	numbers map[string]uint32
	things  []T
}

func (i *interner[T]) number(v T) uint32 {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("explore: encoding a state: %v", err))
	}
	n, ok := i.numbers[string(b)]
	if ok {
		return n
	}
	if i.numbers == nil {
		i.numbers = map[string]uint32{}
	}
	n = uint32(len(i.things))
	i.numbers[string(b)] = n
	i.things = append(i.things, v)
	return n
}

// Initial returns the one state at the start.
func (m *Voters) Initial() []World {
	m.memo, m.spentMemo = map[memoKey]effect{}, map[uint64]bool{}
	genesis := m.Names[:m.Genesis]
	value := consensus.Value{}
	var h history
	if m.Formed {
		value = consensus.Value{Version: 1, Lineage: 1, Change: consensus.Change{ID: "start", Number: m.Number}}
		for _, name := range genesis {
			value.Voters = append(value.Voters, consensus.Voter{Entry: name, Identity: diskName(name, 0)})
		}
		h.Chosen = []consensus.Value{value}
	}
	w := World{history: m.histories.number(h)}
	for i, name := range m.Names {
		r := consensus.Record{Self: consensus.Voter{Entry: name, Identity: diskName(name, 0)}}
		if i < m.Genesis {
			r.Chosen = value
		}
		n := nodeState{State: consensus.Start(r, genesis, m.lifeOf(i, 0)), Disk: r}
		w.nodes[i] = m.nodes.number(n)
	}
	return []World{w}
}

func diskName(name job.EntryID, n int) consensus.Identity {
	return consensus.Identity(fmt.Sprintf("%s#%d", name, n))
}

func (m *Voters) lifeOf(node int, life uint64) uint64 {
	if m.OneLife {
		life = 0
	}
	return uint64(node+1)*100 + life
}

// Outcomes returns each answer that some state gave, as "operator: kind", so
// that a test can tell that its bounds let the interesting ones happen.
func (m *Voters) Outcomes() map[string]bool {
	seen := map[string]bool{}
	for i := range m.histories.things {
		for _, a := range m.histories.things[i].Answers {
			seen[fmt.Sprintf("%d: %s", a.Operator, outcomeNames[a.Outcome.Kind])] = true
		}
	}
	return seen
}

var outcomeNames = map[consensus.OutcomeKind]string{
	consensus.Accepted: "accepted", consensus.Conflicted: "conflict", consensus.Reused: "reused",
	consensus.NotVoting: "not voting", consensus.Unavailable: "unavailable", consensus.Unknown: "unknown",
}

// Key identifies a state.
func (m *Voters) Key(w World) Key {
	var b [4*MaxNodes + 7]byte
	for i, n := range w.nodes {
		binary.LittleEndian.PutUint32(b[4*i:], n)
	}
	binary.LittleEndian.PutUint32(b[4*MaxNodes:], w.history)
	b[4*MaxNodes+4], b[4*MaxNodes+5], b[4*MaxNodes+6] = w.crashes, w.losses, w.blackouts
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(w.net)
	return Key(d.Sum64())
}

// Check returns what the observer found wrong.
func (m *Voters) Check(w World) error {
	if h := &m.histories.things[w.history]; h.Wrong != "" {
		return fmt.Errorf("%s", h.Wrong)
	}
	return nil
}

// choice is one action that is open in a world.
type choice struct {
	node  int
	input uint64
}

// Next visits what one action leads to.
func (m *Voters) Next(w World, visit func(string, World)) {
	for _, c := range m.choices(w) {
		m.take(w, c, visit)
	}
}

func (m *Voters) take(w World, c choice, visit func(string, World)) {
	switch c.input {
	case inputCrash:
		m.crash(w, c.node, visit)
		return
	case inputPower:
		m.power(w, visit)
		return
	}
	m.act(w, c.node, c.input, visit)
}

// choices returns the open actions; some may turn out to change nothing.
func (m *Voters) choices(w World) []choice {
	var out []choice
	if int(w.blackouts) < m.Blackouts {
		out = append(out, choice{0, inputPower})
	} else if m.EndsDark && m.Blackouts > 0 {
		return nil
	}
	for i := 0; i+1 < len(w.net); i += 2 {
		number := uint32(w.net[i]) | uint32(w.net[i+1])<<8
		to := slices.Index(m.Names, m.messages.things[number].To)
		out = append(out, choice{to, uint64(number)})
	}
	for i := range m.Names {
		n := &m.nodes.things[w.nodes[i]]
		if len(n.Pending) > 0 {
			out = append(out, choice{i, inputSync})
		}
		if n.State.Round < m.MaxRound && n.State.Attempt == nil {
			if len(n.State.Queue) > 0 {
				out = append(out, choice{i, inputRetry})
			}
			if n.State.Accepted != nil || n.State.Chosen.Version == 0 {
				out = append(out, choice{i, inputFinish})
			}
		}
		out = append(out, choice{i, inputCrash})
	}
	h := &m.histories.things[w.history]
	for o, op := range m.Operators {
		if int(h.Submitted[o]) < len(op.At) {
			out = append(out, choice{op.At[h.Submitted[o]], inputSubmit + uint64(o)})
		}
		if op.GivesUp && h.Submitted[o] > 0 {
			out = append(out, choice{op.At[h.Submitted[o]-1], inputAbandon + uint64(o)})
		}
	}
	return out
}

// act gives one input to one node.
func (m *Voters) act(w World, node int, input uint64, visit func(string, World)) {
	key := memoKey{w.nodes[node], input}
	e, ok := m.memo[key]
	if !ok {
		e = m.effect(w.nodes[node], input)
		m.memo[key] = e
	}
	submits := input >= inputSubmit && input < inputAbandon
	next := w
	next.nodes[node] = e.node
	next.net = m.prune(&next, node, addMessages(w.net, e.sent))
	if next.nodes == w.nodes && next.net == w.net && len(e.answers) == 0 && !submits {
		return
	}
	if e.chosen != nil || len(e.answers) > 0 || submits || e.back {
		next.history = m.observe(next, e, input)
	}
	visit(m.label(node, input), next)
}

func (m *Voters) label(node int, input uint64) string {
	name := m.Names[node]
	switch {
	case input < inputSync:
		msg := &m.messages.things[input]
		return fmt.Sprintf("%s receives %s from %s: version %d ballot %d/%s/%d", name, kindNames[msg.Kind],
			msg.From.Identity, msg.Version, msg.Ballot.Round, msg.Ballot.Entry, msg.Ballot.Life)
	case input == inputSync:
		return fmt.Sprintf("%s completes its writes", name)
	case input == inputRetry:
		return fmt.Sprintf("%s retries", name)
	case input == inputFinish:
		return fmt.Sprintf("%s finishes what it accepted", name)
	case input < inputAbandon:
		return fmt.Sprintf("operator %d submits to %s", input-inputSubmit, name)
	}
	return fmt.Sprintf("operator %d gives up at %s", input-inputAbandon, name)
}

var kindNames = map[consensus.MessageKind]string{
	consensus.MsgPrepare: "prepare", consensus.MsgPromise: "promise", consensus.MsgAccept: "accept",
	consensus.MsgAccepted: "accepted", consensus.MsgReject: "reject", consensus.MsgChosen: "chosen",
	consensus.MsgFetch: "fetch", consensus.MsgLearn: "learn", consensus.MsgLearned: "learned",
}

// addMessages returns the set with more numbers in it.
func addMessages(net string, more []uint16) string {
	var list []uint16
	for _, n := range more {
		if !containsMessage(net, n) && !slices.Contains(list, n) {
			list = append(list, n)
		}
	}
	if len(list) == 0 {
		return net
	}
	for i := 0; i+1 < len(net); i += 2 {
		list = append(list, uint16(net[i])|uint16(net[i+1])<<8)
	}
	slices.Sort(list)
	b := make([]byte, 0, 2*len(list))
	for _, n := range list {
		b = append(b, byte(n), byte(n>>8))
	}
	return string(b)
}

// prune takes the spent messages out of a set: those to the node that changed,
// and new ones that come too late.
func (m *Voters) prune(w *World, changed int, net string) string {
	lossless := int(w.losses) == m.Losses && (m.Wiped == 0 || m.EndsDark || int(w.blackouts) == m.Blackouts)
	var kept []byte
	for i := 0; i+1 < len(net); i += 2 {
		number := uint16(net[i]) | uint16(net[i+1])<<8
		msg := &m.messages.things[number]
		to := slices.Index(m.Names, msg.To)
		if (to == changed || !containsMessage(w.net, number)) && m.isSpent(w.nodes[to], number, lossless) {
			if kept == nil {
				kept = append(make([]byte, 0, len(net)), net[:i]...)
			}
			continue
		}
		if kept != nil {
			kept = append(kept, net[i], net[i+1])
		}
	}
	if kept == nil {
		return net
	}
	return string(kept)
}

func (m *Voters) isSpent(node uint32, message uint16, lossless bool) bool {
	key := uint64(node)<<17 | uint64(message)<<1
	if lossless {
		key |= 1
	}
	v, ok := m.spentMemo[key]
	if !ok {
		v = m.spent(&m.nodes.things[node], &m.messages.things[message], lossless)
		m.spentMemo[key] = v
	}
	return v
}

func containsMessage(net string, n uint16) bool {
	for i := 0; i+1 < len(net); i += 2 {
		if net[i] == byte(n) && net[i+1] == byte(n>>8) {
			return true
		}
	}
	return false
}
