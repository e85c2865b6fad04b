package load

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/standin"
)

// counterTimeout bounds one request for counters.
const counterTimeout = 2 * time.Second

// Names of the entries' counters in /debug/vars. Each counter is a map by kind
// of message. A useful message carries a task, a result or an answer. Every
// other message is wasted: control, a retransmission, a refused hand-over.
const (
	varMessagesUseful = "messages_useful"
	varMessagesWasted = "messages_wasted"
	varBytesUseful    = "bytes_useful"
	varBytesWasted    = "bytes_wasted"
)

// getJSON requests a path from an address and decodes the answer into a value.
func (r *runner) getJSON(ctx context.Context, address, path string, into any) error {
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

// targetCounters sums the counters of the stand-ins. It returns false if it
// could not read all of them: the sum is then incomplete.
func (r *runner) targetCounters(ctx context.Context) (standin.Counters, bool) {
	var sum standin.Counters
	for _, address := range r.opts.Targets {
		var c standin.Counters
		if err := r.getJSON(ctx, address, "/v1/counters", &c); err != nil {
			return sum, false
		}
		sum.Starts += c.Starts
		sum.DoubledStarts += c.DoubledStarts
	}
	return sum, len(r.opts.Targets) > 0
}

// messageCounters sums the message counters of all entries. It returns false if
// it could not read all of them.
func (r *runner) messageCounters(ctx context.Context) (Messages, bool) {
	sum := Messages{ByKind: map[string]int64{}}
	for _, address := range r.opts.Operators {
		var vars map[string]json.RawMessage
		if err := r.getJSON(ctx, address, "/debug/vars", &vars); err != nil {
			return sum, false
		}
		sum.Useful += sumCounters(vars[varMessagesUseful], sum.ByKind)
		sum.Wasted += sumCounters(vars[varMessagesWasted], sum.ByKind)
		sum.UsefulBytes += sumCounters(vars[varBytesUseful], nil)
		sum.WastedBytes += sumCounters(vars[varBytesWasted], nil)
	}
	return sum, len(r.opts.Operators) > 0
}

// sumCounters returns the sum of one expvar map and adds each of its values to
// kinds, unless kinds is nil.
func sumCounters(raw json.RawMessage, kinds map[string]int64) int64 {
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

// since returns the difference between m and the earlier counts.
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
