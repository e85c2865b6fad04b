//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, one line each, with the seconds since the
// start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	must(err)
	return &recorder{file: f, begun: time.Now()}
}

func (r *recorder) seconds() float64 { return time.Since(r.begun).Seconds() }

func (r *recorder) event(what string, fields map[string]any) {
	var parts []string
	for k, v := range fields {
		raw, err := json.Marshal(v)
		if err != nil {
			raw = []byte(fmt.Sprintf("%q", fmt.Sprint(v)))
		}
		parts = append(parts, k+"="+string(raw))
	}
	sort.Strings(parts)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %-14s %s\n", r.seconds(), what, strings.Join(parts, " "))
}

func (r *recorder) close() { _ = r.file.Close() }
