package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

// Limits of announcements. The retry delay is short, since a target that the
// entries don't know receives no work.
const (
	announceTimeout    = 2 * time.Second
	announceRetryDelay = 200 * time.Millisecond
	maxGrantBytes      = 4096
)

// announceLoop announces the target until ctx ends. After a failure it tries the
// next entry.
func (t *Target) announceLoop(ctx context.Context) {
	if len(t.opts.Entries) == 0 {
		return
	}
	next := 0
	for ctx.Err() == nil {
		entry := t.opts.Entries[next%len(t.opts.Entries)]
		wait, err := t.announceOnce(ctx, entry)
		if err != nil {
			t.opts.Log.Warn("announcement failed", "target", t.opts.ID, "entry", entry, "error", err)
			next++
			wait = announceRetryDelay
		}
		_ = sleep(ctx, wait)
	}
}

// announceOnce announces the target to one entry and returns the delay until
// the next announcement.
func (t *Target) announceOnce(ctx context.Context, entry string) (time.Duration, error) {
	body, err := json.Marshal(t.announcement())
	if err != nil {
		return 0, errors.Trace(err)
	}
	answer, err := t.send(ctx, http.MethodPut, entry, body)
	if err != nil {
		return 0, errors.Trace(err)
	}
	var grant target.Grant
	if err := json.Unmarshal(answer, &grant); err != nil {
		return 0, errors.Annotate(err, "answer to the announcement")
	}
	if grant.RenewMillis <= 0 {
		return 0, errors.NotValidf("renew_ms %d", grant.RenewMillis)
	}
	return time.Duration(grant.RenewMillis) * time.Millisecond, nil
}

func (t *Target) announcement() job.Target {
	t.mu.Lock()
	running := len(t.running)
	t.mu.Unlock()
	return job.Target{
		ID:           t.opts.ID,
		Pool:         t.opts.Service,
		Address:      t.Addr(),
		Zone:         t.opts.Zone,
		Rack:         t.opts.Rack,
		Slots:        t.opts.Slots,
		Connections:  t.opts.Connections,
		Processors:   t.opts.Processors,
		MemoryMB:     t.opts.MemoryMB,
		Accelerators: t.opts.Accelerators,
		Running:      running,
	}
}

// withdraw notifies the first reachable entry that the target stops. If no
// entry is reachable, the target's lease expires.
func (t *Target) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	for _, entry := range t.opts.Entries {
		if _, err := t.send(ctx, http.MethodDelete, entry, nil); err == nil {
			return
		}
	}
}

func (t *Target) send(ctx context.Context, method, entry string, body []byte) ([]byte, error) {
	to := "http://" + entry + target.TargetsPath + url.PathEscape(string(t.opts.ID))
	req, err := http.NewRequestWithContext(ctx, method, to, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := t.opts.Client.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxGrantBytes))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if resp.StatusCode/100 != 2 {
		return nil, errors.Errorf("%s answered %s: %s", entry, resp.Status, bytes.TrimSpace(answer))
	}
	return answer, nil
}
