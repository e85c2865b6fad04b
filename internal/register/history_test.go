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

// call is one apply, or a read where id is empty.
type call struct {
	id     string
	number uint64
}

// reply is what came back.
type reply struct {
	verdict string
	number  uint64
	id      string
}

// registerModel is the register as one sequential object. Its state is the row
// of accepted changes, as "id:number" words.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		row, in, out := state.(string), input.(call), output.(reply)
		words := strings.Fields(row)
		latestID, latest := "", uint64(0)
		if len(words) > 0 {
			latestID, latest = split(words[len(words)-1])
		}
		mine := fmt.Sprintf("%s:%d", in.id, in.number)
		known := strings.Contains(" "+row+" ", " "+mine+" ")
		switch {
		case in.id == "":
			return out.verdict != "accepted" || out.number == latest && out.id == latestID, row
		case out.verdict == "unavailable":
			return !known, row
		case out.verdict == "conflict":
			won := fmt.Sprintf("%s:%d", out.id, out.number)
			return !known && in.number <= latest && strings.Contains(" "+row+" ", " "+won+" "), row
		case known:
			return true, row
		case out.verdict == "unknown" && in.number <= latest:
			return true, row
		}
		return in.number > latest, strings.TrimSpace(row + " " + mine)
	},
	Equal: func(a, b any) bool { return a == b },
}

func split(word string) (string, uint64) {
	id, digits, _ := strings.Cut(word, ":")
	var number uint64
	_, _ = fmt.Sscan(digits, &number)
	return id, number
}

func replyOf(a Accepted, err error) reply {
	var conflict *Conflict
	switch {
	case err == nil:
		return reply{"accepted", a.Number, a.ChangeID}
	case errors.As(err, &conflict):
		return reply{"conflict", conflict.Number, conflict.ChangeID}
	case errors.Is(err, ErrUnavailable):
		return reply{verdict: "unavailable"}
	}
	return reply{verdict: "unknown"}
}

// Operators apply and read through all entries while messages are lost, entries
// are cut off and voters crash. If what they hear did not fit one order of all
// changes, some operator would believe in a configuration that never was.
func TestHistoriesAreLinearizable(t *testing.T) {
	const seeds = 12
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleetOn(t, &peertest.Network{Delay: time.Millisecond, Drop: peertest.LoseAtRandom(seed, 0.05)}, 3, 2)
			defer f.stopAll()
			time.Sleep(5 * time.Second)
			history := f.record(seed)
			verdicts := map[string]int{}
			for _, op := range history {
				verdicts[op.Output.(reply).verdict]++
			}
			t.Logf("seed %d: %v", seed, verdicts)
			qt.Assert(t, verdicts["accepted"] > 5, qt.IsTrue)
			qt.Assert(t, porcupine.CheckOperations(registerModel, history), qt.IsTrue)
		})
	}
}

// record runs three operators and one saboteur.
func (f *fleet) record(seed uint64) []porcupine.Operation {
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
					op := f.timed(start, o, in, f.entries[r.IntN(len(f.entries))])
					mu.Lock()
					history = append(history, op)
					mu.Unlock()
					if v := op.Output.(reply).verdict; v == "accepted" || v == "conflict" || in.id == "" {
						break
					}
				}
				time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
			}
		})
	}
	stop := make(chan struct{})
	var saboteur sync.WaitGroup
	saboteur.Go(func() { f.sabotage(rand.New(rand.NewPCG(seed, 99)), stop) })
	wg.Wait()
	close(stop)
	saboteur.Wait()
	return history
}

func (f *fleet) timed(start time.Time, client int, in call, at job.EntryID) porcupine.Operation {
	f.mu.Lock()
	node := f.nodes[at]
	f.mu.Unlock()
	op := porcupine.Operation{ClientId: client, Input: in, Call: time.Since(start).Nanoseconds(), Output: reply{verdict: "unavailable"}}
	if node != nil {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		if in.id == "" {
			op.Output = replyOf(node.Confirm(ctx))
		} else {
			op.Output = replyOf(node.Apply(ctx, in.id, []byte(fileOf(int(in.number), in.id))))
		}
	}
	op.Return = time.Since(start).Nanoseconds()
	if op.Output.(reply).verdict == "unknown" {
		// It may take effect at any later time.
		op.Return = time.Hour.Nanoseconds()
	}
	return op
}

// sabotage cuts off or crashes one voter after the other.
func (f *fleet) sabotage(r *rand.Rand, stop chan struct{}) {
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
