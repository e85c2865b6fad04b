//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const host = "nony24.example"

// configuration returns a configuration with one route.
func configuration(version int, service string) []byte {
	raw, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-wrr6x73", "host": host, "path_prefix": "/lohu930/", "kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 60,
			"priority": 0, "service": service, "max_attempts": 3, "stretch": 1.6,
		}},
		"services": []map[string]any{{"name": service, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "enforces_capacity": true, "standby": false}},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return raw
}

// putConfiguration sends a configuration until it is acknowledged.
func putConfiguration(f *fleet, body []byte, within time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	controls := f.controls()
	for k, end := 0, time.Now().Add(within); time.Now().Before(end); k++ {
		resp, err := client.Post("http://"+controls[k%len(controls)]+"/config/put", "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				f.rec.event("config", map[string]any{"acknowledged_by": controls[k%len(controls)]})
				return true
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// jobOfSteps is the body of a best-effort job of one step.
func jobOfSteps(spec string, step map[string]any) []byte {
	raw, _ := json.Marshal(map[string]any{"spec": spec, "steps": []any{step}, "best_effort": true})
	return raw
}

// answer is what a client got: a code, or an error where there was none.
type answer struct {
	code int
	body string
	err  error
}

// submit sends a job once and waits for its answer.
func submit(ctx context.Context, f *fleet, to *machine, id string, body []byte, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.addr(frontPort)+"/lohu930/"+id, bytes.NewReader(body))
	must(err)
	req.GetBody = nil
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	f.rec.event("submit", map[string]any{"job": id, "to": to.name, "bytes": len(body)})
	// A channel of its own, so that one answer can't be taken for another's.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	a := answer{err: err}
	if err == nil {
		defer resp.Body.Close()
		raw, readErr := io.ReadAll(resp.Body)
		a = answer{code: resp.StatusCode, body: string(raw), err: readErr}
	}
	fields := map[string]any{"job": id, "from": to.name}
	if a.err != nil {
		fields["error"] = a.err.Error()
	} else {
		fields["code"], fields["body"] = a.code, a.body
	}
	f.rec.event("answer", fields)
	return a
}

// awaitService sends jobs to each edge until each has completed one.
func awaitService(f *fleet, within time.Duration) bool {
	end := time.Now().Add(within)
	for i, e := range f.edges() {
		for k := 0; ; k++ {
			if time.Now().After(end) {
				return false
			}
			a := submit(context.Background(), f, e, fmt.Sprintf("%08x%08x", 0xaa000000+i, k), jobOfSteps("60ms", map[string]any{"count": 2, "cpu": 14000, "mem_mb": 64, "estimated_ms": 60}), 1500*time.Millisecond)
			if a.err == nil && a.code == http.StatusOK {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return true
}

// putOnce sends a configuration to one daemon and reports whether it was acknowledged.
func putOnce(to string, body []byte) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+to+"/config/put", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// getOnce reads the configuration at one daemon; the code is 0 without an answer.
func getOnce(from string) (code, version int) {
	return getWith(&http.Client{Timeout: 2500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}, from)
}

// getWith reads the configuration at one daemon with a client.
func getWith(client *http.Client, from string) (code, version int) {
	resp, err := client.Get("http://" + from + "/config/get")
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	var file struct {
		Version int `json:"version"`
	}
	raw, _ := io.ReadAll(resp.Body)
	_ = json.Unmarshal(raw, &file)
	return resp.StatusCode, file.Version
}
