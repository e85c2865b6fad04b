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

// MaxNodes is the maximum number of nodes in a Voters model.
const MaxNodes = 6

// Operator submits one command once for each element of At, which lists the nodes
// by index.
type Operator struct {
	Command consensus.Command
	At      []int
	// Abandons lets the operator abandon a submission at any time.
	Abandons bool
}

// Voters is a model of the nodes of package consensus, with their disks and a
// network that loses, duplicates and reorders messages.
//
// The network is the set of all messages ever sent: each may arrive at any time,
// any number of times, or never. A write may complete at any time after it was
// issued; a crash keeps or loses a pending write.
type Voters struct {
	// Names are the entries; the first Genesis of them form the register.
	Names   []job.EntryID
	Genesis int
	// Formed makes the model start from a formed register instead of empty disks.
	Formed bool
	// Number is the number of the configuration in effect at the start.
	Number    uint64
	Operators []Operator
	// Crashes, Losses and MaxRound bound the exploration: the number of node
	// crashes, the number of lost disks and the highest ballot round.
	Crashes, Losses int
	MaxRound        uint64
	// PowerLosses is how often all nodes lose power at once, and LostDisksPerPowerLoss the maximum
	// number of disks lost each time.
	PowerLosses, LostDisksPerPowerLoss int
	// EndsAtPowerLoss ends each run at the last power loss: the remaining nodes are only
	// checked for recovery.
	EndsAtPowerLoss bool
	// SyncAtOnce completes each write in the step that issued it, which leaves out
	// the crashes between issue and completion.
	SyncAtOnce bool

	// The hooks inject a fault into the protocol; nil injects none.
	// OnStep may change the input and the result of a step.
	OnStep func(step Stepper, s consensus.State, in consensus.Input) (consensus.State, consensus.Output)
	// OnRestart may change the record that a node restarts from, given its state
	// before the restart; lost is set if its disk was lost.
	OnRestart func(found consensus.Record, before consensus.State, lost bool) consensus.Record
	// EarlySend sends messages before the write that they depend on is complete.
	EarlySend bool
	// SameIncarnation gives all incarnations of a node the same number, so that a restart
	// reuses earlier ballots.
	SameIncarnation bool

	nodes        interner[nodeState]
	messages     interner[consensus.Message]
	histories    interner[history]
	memo         map[memoKey]effect
	obsoleteMemo map[uint64]bool
}

// Stepper is the step function of package consensus.
type Stepper func(consensus.State, consensus.Input) (consensus.State, consensus.Output)

// nodeState is one node with its disk.
type nodeState struct {
	State       consensus.State
	Disk        consensus.Record
	Pending     []consensus.Write
	Incarnation uint64
	Disks       int
}

// history is the knowledge of an outside observer: all chosen values and answers.
type history struct {
	Chosen  []consensus.Value
	Answers []answerRecord
	// Submitted counts the submissions of each operator.
	Submitted [maxOperators]uint8
	// NewestAtRead is the number of the newest chosen configuration when the operator last
	// submitted a read.
	NewestAtRead [maxOperators]uint64
	Wrong        string
}

const maxOperators = 4

type answerRecord struct {
	Operator int
	Outcome  consensus.Outcome
	// Submitted is how often the operator had submitted before the answer.
	Submitted uint8
	// NewestAtRead is the number of the newest chosen configuration when the answered
	// read was submitted.
	NewestAtRead uint64
}

// World is one state of the model.
type World struct {
	nodes   [MaxNodes]uint32
	net     string // sorted message numbers, two bytes each
	history uint32
	crashes uint8
	losses  uint8
	// powerLosses is how often all nodes have lost power.
	powerLosses uint8
}

type memoKey struct {
	node  uint32
	input uint64
}

// effect is the result of one input at one node.
type effect struct {
	node     uint32
	sent     []uint16
	answers  []consensus.Answer
	chosen   *consensus.Value
	wentBack bool
}

// Numbers above the message numbers identify the other inputs.
const (
	inputSync = 1<<32 + iota
	inputRetry
	inputFinish
	inputCrash
	inputPower
	inputSubmit  = 1 << 33
	inputAbandon = 1 << 34
)

// interner assigns a number to each distinct value; equal values get the same one.
type interner[T any] struct {
	numbers map[string]uint32
	values  []T
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
	n = uint32(len(i.values))
	i.numbers[string(b)] = n
	i.values = append(i.values, v)
	return n
}

// Initial returns the single initial state.
func (m *Voters) Initial() []World {
	m.memo, m.obsoleteMemo = map[memoKey]effect{}, map[uint64]bool{}
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
		n := nodeState{State: consensus.Start(r, genesis, m.incarnationOf(i, 0)), Disk: r}
		w.nodes[i] = m.nodes.number(n)
	}
	return []World{w}
}

func diskName(name job.EntryID, n int) consensus.Identity {
	return consensus.Identity(fmt.Sprintf("%s#%d", name, n))
}

func (m *Voters) incarnationOf(node int, incarnation uint64) uint64 {
	if m.SameIncarnation {
		incarnation = 0
	}
	return uint64(node+1)*100 + incarnation
}

// Outcomes returns each answer given in any visited state, as "operator: kind". A
// test uses it to check that its bounds allow the outcomes of interest.
func (m *Voters) Outcomes() map[string]bool {
	seen := map[string]bool{}
	for i := range m.histories.values {
		for _, a := range m.histories.values[i].Answers {
			seen[fmt.Sprintf("%d: %s", a.Operator, outcomeNames[a.Outcome.Kind])] = true
		}
	}
	return seen
}

var outcomeNames = map[consensus.OutcomeKind]string{
	consensus.Accepted: "accepted", consensus.Conflicted: "conflict", consensus.Reused: "reused",
	consensus.NotVoting: "not voting", consensus.Unavailable: "unavailable", consensus.Unknown: "unknown",
	consensus.Outdated: "outdated", consensus.Unsupported: "unsupported",
}

// Key returns the key of a state.
func (m *Voters) Key(w World) Key {
	var b [4*MaxNodes + 7]byte
	for i, n := range w.nodes {
		binary.LittleEndian.PutUint32(b[4*i:], n)
	}
	binary.LittleEndian.PutUint32(b[4*MaxNodes:], w.history)
	b[4*MaxNodes+4], b[4*MaxNodes+5], b[4*MaxNodes+6] = w.crashes, w.losses, w.powerLosses
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(w.net)
	return Key(d.Sum64())
}

// Check returns the first violation that the observer found.
func (m *Voters) Check(w World) error {
	if h := &m.histories.values[w.history]; h.Wrong != "" {
		return fmt.Errorf("%s", h.Wrong)
	}
	return nil
}

// choice is one action that is possible in a world.
type choice struct {
	node  int
	input uint64
}

// Next visits each world that is one action away from w.
func (m *Voters) Next(w World, visit func(string, World)) {
	for _, c := range m.choices(w) {
		m.perform(w, c, visit)
	}
}

func (m *Voters) perform(w World, c choice, visit func(string, World)) {
	switch c.input {
	case inputCrash:
		m.crash(w, c.node, visit)
		return
	case inputPower:
		m.losePower(w, visit)
		return
	}
	m.applyInput(w, c.node, c.input, visit)
}

// choices returns the possible actions; some of them may have no effect.
func (m *Voters) choices(w World) []choice {
	var out []choice
	if int(w.powerLosses) < m.PowerLosses {
		out = append(out, choice{0, inputPower})
	} else if m.EndsAtPowerLoss && m.PowerLosses > 0 {
		return nil
	}
	for i := 0; i+1 < len(w.net); i += 2 {
		number := uint32(w.net[i]) | uint32(w.net[i+1])<<8
		to := slices.Index(m.Names, m.messages.values[number].To)
		out = append(out, choice{to, uint64(number)})
	}
	for i := range m.Names {
		n := &m.nodes.values[w.nodes[i]]
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
	h := &m.histories.values[w.history]
	for o, op := range m.Operators {
		if int(h.Submitted[o]) < len(op.At) {
			out = append(out, choice{op.At[h.Submitted[o]], inputSubmit + uint64(o)})
		}
		if op.Abandons && h.Submitted[o] > 0 {
			out = append(out, choice{op.At[h.Submitted[o]-1], inputAbandon + uint64(o)})
		}
	}
	return out
}

// applyInput applies one input to one node.
func (m *Voters) applyInput(w World, node int, input uint64, visit func(string, World)) {
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
	if e.chosen != nil || len(e.answers) > 0 || submits || e.wentBack {
		next.history = m.observe(next, e, input)
	}
	visit(m.label(node, input), next)
}

func (m *Voters) label(node int, input uint64) string {
	name := m.Names[node]
	switch {
	case input < inputSync:
		msg := &m.messages.values[input]
		return fmt.Sprintf("%s receives %s from %s: version %d ballot %d/%s/%d", name, kindNames[msg.Kind],
			msg.From.Identity, msg.Version, msg.Ballot.Round, msg.Ballot.Entry, msg.Ballot.Incarnation)
	case input == inputSync:
		return fmt.Sprintf("%s completes its writes", name)
	case input == inputRetry:
		return fmt.Sprintf("%s retries", name)
	case input == inputFinish:
		return fmt.Sprintf("%s finishes the proposal that it accepted", name)
	case input < inputAbandon:
		return fmt.Sprintf("operator %d submits to %s", input-inputSubmit, name)
	}
	return fmt.Sprintf("operator %d abandons its request at %s", input-inputAbandon, name)
}

var kindNames = map[consensus.MessageKind]string{
	consensus.MsgPrepare: "prepare", consensus.MsgPromise: "promise", consensus.MsgAccept: "accept",
	consensus.MsgAccepted: "accepted", consensus.MsgReject: "reject", consensus.MsgChosen: "chosen",
	consensus.MsgFetch: "fetch", consensus.MsgLearn: "learn", consensus.MsgLearned: "learned",
}

// addMessages returns the set net with the numbers of more added.
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

// prune removes obsolete messages from net. It checks only messages to the changed
// node and messages that are not yet in the network of w.
func (m *Voters) prune(w *World, changed int, net string) string {
	lossless := int(w.losses) == m.Losses && (m.LostDisksPerPowerLoss == 0 || m.EndsAtPowerLoss || int(w.powerLosses) == m.PowerLosses)
	var kept []byte
	for i := 0; i+1 < len(net); i += 2 {
		number := uint16(net[i]) | uint16(net[i+1])<<8
		msg := &m.messages.values[number]
		to := slices.Index(m.Names, msg.To)
		if (to == changed || !containsMessage(w.net, number)) && m.isObsoleteMemoized(w.nodes[to], number, lossless) {
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

func (m *Voters) isObsoleteMemoized(node uint32, message uint16, lossless bool) bool {
	key := uint64(node)<<17 | uint64(message)<<1
	if lossless {
		key |= 1
	}
	v, ok := m.obsoleteMemo[key]
	if !ok {
		v = m.isObsolete(&m.nodes.values[node], &m.messages.values[message], lossless)
		m.obsoleteMemo[key] = v
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
