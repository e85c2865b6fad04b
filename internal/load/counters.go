package load

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/standin"
)

// counterTimeout bounds one reading of counters.
const counterTimeout = 2 * time.Second

// The names of the entries' counters in /debug/vars. Each is a map by kind of
// message. Useful is a message that carries a task, a result or an answer;
// wasted is every other one: control, retransmission, refusal of a hand-over.
const (
	varMessagesUseful = "messages_useful"
	varMessagesWasted = "messages_wasted"
	varBytesUseful    = "bytes_useful"
	varBytesWasted    = "bytes_wasted"
)

func (r *runner) read(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, counterTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errors.Trace(err)
	}
	if r.opts.Token != "" {
		req.Header.Set("Authorization", "Bearer "+r.opts.Token)
	}
	status, _, body, err := r.do(req)
	if err != nil {
		return errors.Trace(err)
	}
	if status != http.StatusOK {
		return errors.Errorf("%s%s: status %d", address, path, status)
	}
	return errors.Trace(json.Unmarshal(body, into))
}

// targetCounters sums the stand-ins' counters; false means that one of them
// could not be read, so that the sum proves nothing.
func (r *runner) targetCounters(ctx context.Context) (standin.Counters, bool) {
	var sum standin.Counters
	for _, address := range r.opts.Targets {
		var c standin.Counters
		if err := r.read(ctx, address, "/v1/counters", &c); err != nil {
			return sum, false
		}
		sum.Starts += c.Starts
		sum.DoubledStarts += c.DoubledStarts
	}
	return sum, len(r.opts.Targets) > 0
}

// messageCounters sums the counters of all entries.
func (r *runner) messageCounters(ctx context.Context) (Messages, bool) {
	sum := Messages{ByKind: map[string]int64{}}
	for _, address := range r.opts.Operators {
		var vars map[string]json.RawMessage
		if err := r.read(ctx, address, "/debug/vars", &vars); err != nil {
			return sum, false
		}
		sum.Useful += sumVar(vars[varMessagesUseful], sum.ByKind)
		sum.Wasted += sumVar(vars[varMessagesWasted], sum.ByKind)
		sum.UsefulBytes += sumVar(vars[varBytesUseful], nil)
		sum.WastedBytes += sumVar(vars[varBytesWasted], nil)
	}
	return sum, len(r.opts.Operators) > 0
}

// sumVar adds up one expvar map, and its parts into kinds.
func sumVar(raw json.RawMessage, kinds map[string]int64) int64 {
	var parts map[string]int64
	if json.Unmarshal(raw, &parts) != nil {
		return 0
	}
	var sum int64
	for kind, n := range parts {
		sum += n
		if kinds != nil {
			kinds[kind] += n
		}
	}
	return sum
}

func (m Messages) since(before Messages) Messages {
	m.Useful -= before.Useful
	m.Wasted -= before.Wasted
	m.UsefulBytes -= before.UsefulBytes
	m.WastedBytes -= before.WastedBytes
	for kind, n := range before.ByKind {
		m.ByKind[kind] -= n
	}
	return m
}
