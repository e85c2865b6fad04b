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

// Times of announcing. A failed announcement is repeated soon, since a target
// that is unknown to the entries gets no work.
const (
	announceTimeout = 2 * time.Second
	announceAgain   = 200 * time.Millisecond
	maxGrantBytes   = 4096
)

func (t *Target) announce(ctx context.Context) {
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
			wait = announceAgain
		}
		_ = sleep(ctx, wait)
	}
}

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

// withdraw tells the first entry that listens that the target leaves. Nothing
// is lost when none does: the lease lapses.
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
