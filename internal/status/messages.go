package status

import (
	"expvar"

	"github.com/vanillagrade/vanillagrade/internal/peer"
)

// Traffic counts the messages of one kind that an entry sent. Received messages are
// not counted, so that the sum over all entries counts each message once.
type Traffic struct {
	Kind     peer.Kind
	Messages uint64
	Bytes    uint64
}

// MessageVars publishes the counters of useful and wasted messages and bytes, by kind,
// in vars. Useful messages carry a task, a result or an answer.
func MessageVars(vars *expvar.Map, read func() []Traffic) {
	messages := func(t *Traffic) uint64 { return t.Messages }
	bytes := func(t *Traffic) uint64 { return t.Bytes }
	vars.Set("messages_useful", byKind(read, true, messages))
	vars.Set("messages_wasted", byKind(read, false, messages))
	vars.Set("bytes_useful", byKind(read, true, bytes))
	vars.Set("bytes_wasted", byKind(read, false, bytes))
}

func byKind(read func() []Traffic, useful bool, value func(*Traffic) uint64) expvar.Func {
	return func() any {
		counts := map[string]uint64{}
		for _, t := range read() {
			if t.Kind.CarriesWork() == useful {
				counts[t.Kind.String()] += value(&t)
			}
		}
		return counts
	}
}
