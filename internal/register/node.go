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

// step passes one input to the consensus node and performs the resulting writes,
// sends and answers. Messages of the node to itself are processed at once.
func (r *Register) step(in consensus.Input) {
	r.mu.Lock()
	if r.node == nil {
		r.mu.Unlock()
		return
	}
	var outgoing []consensus.Message
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
			outgoing = append(outgoing, m)
		}
		if n := len(out.Writes); n > 0 {
			r.pendingWrite = &out.Writes[n-1]
			signal(r.writeNeeded)
		}
		for _, a := range out.Answers {
			if done := r.outcomes[a.Token]; done != nil {
				delete(r.outcomes, a.Token)
				done <- a.Outcome
			}
		}
	}
	busy := r.node.Busy()
	r.mu.Unlock()
	for _, m := range outgoing {
		// An unsent message is treated like a lost one: Retry repeats it.
		_ = r.mesh.Send(m.To, peer.ConsensusMessage, m)
	}
	if busy {
		signal(r.retryNeeded)
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
	// The link authenticates the sender; an entry can't send for another one.
	if m.From.Entry != from.Entry || m.To != r.self {
		return nil, errors.NotValidf("message from %s to %s over the link of %s", m.From.Entry, m.To, from.Entry)
	}
	r.recordContact(from.Entry)
	r.recordSender(m.From)
	r.step(consensus.Received{Message: m})
	return nil, nil
}

// writeLoop syncs records one after the other; records created during a write are
// combined into the next write.
func (r *Register) writeLoop(ctx context.Context) {
	for {
		select {
		case <-r.writeNeeded:
		case <-ctx.Done():
			return
		}
		for r.writeNext() {
			if ctx.Err() != nil {
				return
			}
		}
		r.mu.Lock()
		failed := r.pendingWrite != nil
		r.mu.Unlock()
		if !failed {
			continue
		}
		// The write failed. The node has sent no answer that depends on the
		// write, and each attempt writes a new file, so a retry is safe.
		if !sleep(ctx, writeRetryDelay) {
			return
		}
		signal(r.writeNeeded)
	}
}

// writeNext writes the latest pending record and reports whether it wrote one.
func (r *Register) writeNext() bool {
	r.mu.Lock()
	w := r.pendingWrite
	r.pendingWrite = nil
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
		if r.pendingWrite == nil {
			r.pendingWrite = w
		}
		r.mu.Unlock()
		return false
	}
	r.problem = ""
	r.mu.Unlock()
	r.step(consensus.Synced{Seq: w.Seq})
	// Only a synced file takes effect: otherwise a restart would bring back an
	// older file.
	r.installAndAnnounce(snapshotOf(&w.Record.Chosen))
	return true
}

// retryLoop resends unanswered messages with exponential backoff and jitter, so
// that two proposers stop obstructing each other.
func (r *Register) retryLoop(ctx context.Context) {
	for {
		select {
		case <-r.retryNeeded:
		case <-ctx.Done():
			return
		}
		chosenVersion := r.chosenVersion()
		for wait := retryMin; r.busy(); wait = min(2*wait, retryMax) {
			if v := r.chosenVersion(); v != chosenVersion {
				chosenVersion, wait = v, retryMin
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

func (r *Register) chosenVersion() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.Chosen.Version
}

// finishLoop forms the register and completes proposals whose proposer became
// unresponsive.
func (r *Register) finishLoop(ctx context.Context) {
	r.step(consensus.Finish{})
	for {
		wait := finishInterval
		if r.awaitingFormation() {
			wait = formationPollInterval
		}
		if !sleep(ctx, jitter(wait)) {
			return
		}
		if r.needsFinish() {
			r.step(consensus.Finish{})
		}
	}
}

// formationPollInterval is how often an entry checks whether the entries that form
// the register are known.
const formationPollInterval = 100 * time.Millisecond

// awaitingFormation passes the entries that form the register to the node once they
// are known. It reports whether the register is still to be formed.
func (r *Register) awaitingFormation() bool {
	if r.opts.InitialVoters == nil {
		return false
	}
	r.mu.Lock()
	unformed := r.node.Chosen.Version == 0
	named := len(r.node.Genesis) > 0
	r.mu.Unlock()
	if !unformed || named {
		return unformed
	}
	if genesis := r.opts.InitialVoters(); len(genesis) > 0 {
		r.log.Info("initial voters known", "entries", genesis)
		r.step(consensus.GenesisKnown{Genesis: genesis})
	}
	return true
}

// needsFinish reports whether an accepted proposal has been pending for two ticks
// without an attempt of this node, or the register is not formed yet.
func (r *Register) needsFinish() bool {
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

// recordSender records the disk that a message of the consensus names: it reveals a lost
// disk as soon as its entry takes part again.
func (r *Register) recordSender(disk consensus.Voter) {
	if disk.Identity == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setDisk(disk)
}

func (r *Register) recordContact(from job.EntryID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastContact[from] = time.Now()
}
