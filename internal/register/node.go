package register

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/consensus"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
)

// step gives one input to the node and carries out what it asks for. Messages to
// itself are taken in at once.
func (r *Register) step(in consensus.Input) {
	r.mu.Lock()
	if r.node == nil {
		r.mu.Unlock()
		return
	}
	var away []consensus.Message
	inputs := []consensus.Input{in}
	for len(inputs) > 0 {
		state, out := consensus.Step(*r.node, inputs[0])
		inputs = inputs[1:]
		r.node = &state
		for _, m := range out.Messages {
			if m.To == r.self {
				inputs = append(inputs, consensus.Received{Message: m})
				continue
			}
			away = append(away, m)
		}
		if n := len(out.Writes); n > 0 {
			r.pending = &out.Writes[n-1]
			signal(r.write)
		}
		for _, a := range out.Answers {
			if done := r.waiting[a.Token]; done != nil {
				delete(r.waiting, a.Token)
				done <- a.Outcome
			}
		}
	}
	busy := r.node.Busy()
	r.mu.Unlock()
	for _, m := range away {
		// A message that can't be sent is lost like any other; Retry repeats it.
		_ = r.mesh.Send(m.To, peer.ConsensusMessage, m)
	}
	if busy {
		signal(r.kick)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (r *Register) onMessage(_ context.Context, from job.Owner, body cbor.RawMessage) (any, error) {
	var m consensus.Message
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, errors.Annotate(err, "decoding a message of the voters")
	}
	// The link proves who sent it; a message can't speak for another entry.
	if m.From.Entry != from.Entry || m.To != r.self {
		return nil, errors.NotValidf("message from %s to %s over the link of %s", m.From.Entry, m.To, from.Entry)
	}
	r.contact(from.Entry)
	r.step(consensus.Received{Message: m})
	return nil, nil
}

// writeLoop syncs records one after the other; records that come up during a
// write share the next one.
func (r *Register) writeLoop(ctx context.Context) {
	for {
		select {
		case <-r.write:
		case <-ctx.Done():
			return
		}
		for r.writeNext() {
			if ctx.Err() != nil {
				return
			}
		}
		r.mu.Lock()
		left := r.pending != nil
		r.mu.Unlock()
		if !left {
			continue
		}
		// The write failed. The node has answered nothing that rests on it,
		// and each try writes a fresh file, so trying again is safe.
		if !sleep(ctx, writePause) {
			return
		}
		signal(r.write)
	}
}

// writeNext writes the latest record and reports whether it did.
func (r *Register) writeNext() bool {
	r.mu.Lock()
	w := r.pending
	r.pending = nil
	r.mu.Unlock()
	if w == nil {
		return false
	}
	err := saveRecord(r.opts.Store, w.Record)
	r.mu.Lock()
	if err != nil {
		if r.problem != err.Error() {
			r.log.Error("the record can't be written; this entry does not vote until it can", "error", err)
		}
		r.problem = err.Error()
		if r.pending == nil {
			r.pending = w
		}
		r.mu.Unlock()
		return false
	}
	r.problem = ""
	r.mu.Unlock()
	r.step(consensus.Synced{Seq: w.Seq})
	// Only what is on the disk comes into force: otherwise a restart would
	// bring back an older file.
	r.putAndTell(snapshotOf(&w.Record.Chosen))
	return true
}

// retryLoop repeats what got no answer, with a growing and random wait so that
// two proposers stop getting in each other's way.
func (r *Register) retryLoop(ctx context.Context) {
	for {
		select {
		case <-r.kick:
		case <-ctx.Done():
			return
		}
		version := r.version()
		for wait := retryFirst; r.busy(); wait = min(2*wait, retryMost) {
			if v := r.version(); v != version {
				version, wait = v, retryFirst
			}
			if !sleep(ctx, jitter(wait)) {
				return
			}
			if r.busy() {
				r.step(consensus.Retry{})
			}
		}
	}
}

func (r *Register) busy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.Busy()
}

func (r *Register) version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.Chosen.Version
}

// finishLoop forms the register and completes proposals whose proposer fell
// silent.
func (r *Register) finishLoop(ctx context.Context) {
	r.step(consensus.Finish{})
	for {
		wait := finishInterval
		if r.founding() {
			wait = foundInterval
		}
		if !sleep(ctx, jitter(wait)) {
			return
		}
		if r.orphaned() {
			r.step(consensus.Finish{})
		}
	}
}

// foundInterval is how often an entry looks whether the entries that form the
// register are known by now.
const foundInterval = 100 * time.Millisecond

// founding tells the node who forms the register, once that is known, and
// reports whether it is still waited for.
func (r *Register) founding() bool {
	if r.opts.Found == nil {
		return false
	}
	r.mu.Lock()
	waits := r.node.Chosen.Version == 0
	named := len(r.node.Genesis) > 0
	r.mu.Unlock()
	if !waits || named {
		return waits
	}
	if genesis := r.opts.Found(); len(genesis) > 0 {
		r.log.Info("the entries that form the register are known", "entries", genesis)
		r.step(consensus.Founded{Genesis: genesis})
	}
	return true
}

// orphaned reports whether an accepted proposal has been waiting for two ticks,
// or the register is not formed yet.
func (r *Register) orphaned() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.node.Chosen.Version == 0 {
		return true
	}
	if r.node.Accepted == nil || r.node.Attempt != nil {
		r.idleTicks = 0
		return false
	}
	r.idleTicks++
	const ticks = 2
	return r.idleTicks >= ticks
}

func (r *Register) contact(from job.EntryID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard[from] = time.Now()
}
