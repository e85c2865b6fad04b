package register

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer/peertest"
	"github.com/vanillagrade/vanillagrade/internal/storage/storagetest"
)

// call is an apply, or a read where id is empty.
type call struct {
	id     string
	number uint64
	// resent is set when an earlier call of this change had an unknown outcome.
	resent bool
}

// reply is the result of a call.
type reply struct {
	outcome string
	number  uint64
	id      string
}

// registerModel models the register as a sequential object. Its state is the list of
// accepted changes in order, as "id:number" words separated by spaces.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		accepted, in, out := state.(string), input.(call), output.(reply)
		words := strings.Fields(accepted)
		latestID, latest := "", uint64(0)
		if len(words) > 0 {
			latestID, latest = parseChange(words[len(words)-1])
		}
		own := fmt.Sprintf("%s:%d", in.id, in.number)
		known := strings.Contains(" "+accepted+" ", " "+own+" ")
		switch {
		case in.id == "":
			return out.outcome != "accepted" || out.number == latest && out.id == latestID, accepted
		case out.outcome == "unavailable":
			// A call that reached no majority can't know of an earlier one.
			return !known || in.resent, accepted
		case out.outcome == "conflict":
			winner := fmt.Sprintf("%s:%d", out.id, out.number)
			return !known && in.number <= latest && strings.Contains(" "+accepted+" ", " "+winner+" "), accepted
		case known:
			return true, accepted
		case out.outcome == "unknown" && in.number <= latest:
			return true, accepted
		}
		return in.number > latest, strings.TrimSpace(accepted + " " + own)
	},
	Equal: func(a, b any) bool { return a == b },
}

func parseChange(word string) (string, uint64) {
	id, digits, _ := strings.Cut(word, ":")
	var number uint64
	_, _ = fmt.Sscan(digits, &number)
	return id, number
}

func newReply(a Accepted, err error) reply {
	var conflict *Conflict
	switch {
	case err == nil:
		return reply{"accepted", a.Number, a.ChangeID}
	case errors.As(err, &conflict):
		return reply{"conflict", conflict.Number, conflict.ChangeID}
	case errors.Is(err, ErrUnavailable):
		return reply{outcome: "unavailable"}
	}
	return reply{outcome: "unknown"}
}

// The outcome of an operator's change is unknown, but the change was accepted. Sent again
// to a partitioned entry, it fails as unavailable, which is true of this call: the model
// must allow it. The model must reject a first call that fails as unavailable and takes
// effect later, and the acceptance of two changes with the same number.
func TestModelOfUnavailableCalls(t *testing.T) {
	change, rival := call{id: "a", number: 1}, call{id: "b", number: 1}
	again := call{id: "a", number: 1, resent: true}
	yes := func(c call) reply { return reply{"accepted", c.number, c.id} }
	none, unknown := reply{outcome: "unavailable"}, reply{outcome: "unknown"}
	for _, c := range []struct {
		name    string
		calls   []call
		replies []reply
		legal   bool
	}{
		{"resent behind a cut", []call{change, {}, again}, []reply{unknown, yes(change), none}, true},
		{"first call took effect", []call{change, {}}, []reply{none, yes(change)}, false},
		{"taken back", []call{change, change}, []reply{yes(change), none}, false},
		{"resent and overtaken", []call{change, rival, again, {}}, []reply{unknown, yes(rival), none, yes(rival)}, true},
		{"both accepted", []call{change, rival}, []reply{yes(change), yes(rival)}, false},
	} {
		history := make([]porcupine.Operation, len(c.calls))
		for i := range history {
			at := int64(2 * i)
			history[i] = porcupine.Operation{Input: c.calls[i], Output: c.replies[i], Call: at, Return: at + 1}
			if c.replies[i] == unknown {
				history[i].Return = time.Hour.Nanoseconds()
			}
		}
		qt.Check(t, porcupine.CheckOperations(registerModel, history), qt.Equals, c.legal, qt.Commentf(c.name))
	}
}

// Operators apply and read on all entries while messages are lost, entries are
// partitioned and voters crash. If the results did not fit a single order of all
// changes, an operator could rely on a configuration that never existed.
func TestHistoriesAreLinearizable(t *testing.T) {
	const seeds = 12
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleetOn(t, &peertest.Network{Delay: time.Millisecond, Drop: peertest.LoseAtRandom(seed, 0.05)}, 3, 2)
			defer f.stopAll()
			time.Sleep(5 * time.Second)
			history := f.recordHistory(seed)
			outcomes := map[string]int{}
			for _, op := range history {
				outcomes[op.Output.(reply).outcome]++
			}
			t.Logf("seed %d: %v", seed, outcomes)
			qt.Assert(t, outcomes["accepted"] > 5, qt.IsTrue)
			qt.Assert(t, porcupine.CheckOperations(registerModel, history), qt.IsTrue)
		})
	}
}

// recordHistory runs three operators while faults are injected, and returns their calls.
func (f *fleet) recordHistory(seed uint64) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	start := time.Now()
	var wg sync.WaitGroup
	const operators, calls = 3, 10
	for o := range operators {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(o)))
			for i := range calls {
				in := call{}
				if i%3 != 2 {
					in = call{id: fmt.Sprintf("o%d-%d", o, i), number: uint64(i + 1)}
				}
				// A lost answer makes an operator send the change again.
				for tries := 0; tries < 2; tries++ {
					op, reached := f.recordCall(start, o, in, f.entries[r.IntN(len(f.entries))])
					if !reached {
						continue
					}
					mu.Lock()
					history = append(history, op)
					mu.Unlock()
					v := op.Output.(reply).outcome
					if v == "accepted" || v == "conflict" || in.id == "" {
						break
					}
					in.resent = in.resent || v == "unknown"
				}
				time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
			}
		})
	}
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() { f.injectFaults(rand.New(rand.NewPCG(seed, 99)), stop) })
	wg.Wait()
	close(stop)
	faults.Wait()
	return history
}

// recordCall makes one call on an entry and records it with its times. It reports false
// if the entry is down and there was no call.
func (f *fleet) recordCall(start time.Time, client int, in call, at job.EntryID) (op porcupine.Operation, reached bool) {
	f.mu.Lock()
	node := f.nodes[at]
	f.mu.Unlock()
	if node == nil {
		return op, false
	}
	op = porcupine.Operation{ClientId: client, Input: in, Call: time.Since(start).Nanoseconds()}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	if in.id == "" {
		op.Output = newReply(node.Confirm(ctx))
	} else {
		op.Output = newReply(node.Apply(ctx, in.id, []byte(fileOf(int(in.number), in.id))))
	}
	op.Return = time.Since(start).Nanoseconds()
	if op.Output.(reply).outcome == "unknown" {
		// The change may take effect at any later time.
		op.Return = time.Hour.Nanoseconds()
	}
	return op, true
}

// injectFaults partitions or crashes one voter after the other.
func (f *fleet) injectFaults(r *rand.Rand, stop chan struct{}) {
	for {
		victim := f.voters[r.IntN(len(f.voters))]
		if r.IntN(2) == 0 {
			f.cut(true, victim)
			time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
			f.cut(false, victim)
		} else {
			fs := f.crash(victim, storagetest.Keeps[r.IntN(len(storagetest.Keeps))])
			time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
			f.start(victim, fs)
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}
