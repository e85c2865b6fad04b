package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/fleet"
)

// output collects what a command writes; it is safe for concurrent use.
type output struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.String()
}

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	l, err := fleet.Listen()
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	return l.Addr().String()
}

// eventually waits until a condition holds, and fails the test after conditionTimeout.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(conditionTimeout); !holds(); {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against an entry whose refusals appear neither in the log nor in the metrics.
func TestEntryLogsDecisionsAndServesMetrics(t *testing.T) {
	caller, metricsAddress := freeAddress(t), freeAddress(t)
	ctx, cancel := context.WithCancel(t.Context())
	var stdout, stderr output
	ended := make(chan int, 1)
	go func() {
		ended <- runMain(ctx, []string{
			"entry", "--name", "a1", "--az", "a", "--caller-addr", caller, "--peer-addr", freeAddress(t),
			"--operator-addr", freeAddress(t), "--metrics-addr", metricsAddress,
		}, &stdout, &stderr)
	}()
	eventually(t, "a refusal", func() bool {
		resp, err := http.Post("http://"+caller+"/v1/jobs", "application/json", strings.NewReader(`{"id":"early","service":"none","tasks":[{}]}`))
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	eventually(t, "the log line of the refusal", func() bool {
		return strings.Contains(stdout.String(), `"msg":"submission_answered"`) && strings.Contains(stdout.String(), `"request":"early"`)
	})
	resp, err := http.Get("http://" + metricsAddress + "/metrics")
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(body), qt.Contains, `vanillagrade_events_total{kind="submission_answered",reason="not_configured"}`)
	cancel()
	qt.Assert(t, <-ended, qt.Equals, exitOK)
	qt.Check(t, stderr.String(), qt.Equals, "")
}

// Guards against an invalid metrics address that is reported only after the start.
func TestWrongMetricsAddressIsRefused(t *testing.T) {
	var stdout, stderr output
	code := runMain(t.Context(), []string{
		"entry", "--name", "a1", "--az", "a", "--caller-addr", freeAddress(t), "--peer-addr", freeAddress(t),
		"--operator-addr", freeAddress(t), "--metrics-addr", "everywhere",
	}, &stdout, &stderr)
	qt.Check(t, code, qt.Equals, exitUsage)
	qt.Check(t, stderr.String(), qt.Contains, `--metrics-addr: "everywhere" is not IP:PORT`)
}
