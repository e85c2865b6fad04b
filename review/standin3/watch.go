//go:build review3

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// watch records what was sent, answered and run, and the breaks of rules that it sees.
type watch struct {
	mu      sync.Mutex
	file    *os.File
	begun   time.Time
	breaks  []string
	running map[string]map[*worker]time.Time
	starts  []start
	ends    []runEnd
}

// start is a task that a worker has begun.
type start struct {
	at   time.Time
	job  string
	task string
	run  int
	on   string
	spec string
}

// runEnd is the end of a run.
type runEnd struct {
	at   time.Time
	task string
	run  int
	on   string
	how  string
}

func newWatch(path string) (*watch, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &watch{file: f, begun: time.Now(), running: map[string]map[*worker]time.Time{}}, nil
}

// logf writes a line to the record.
func (w *watch) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked(format, args...)
}

func (w *watch) logLocked(format string, args ...any) {
	fmt.Fprintf(w.file, "%8.3f  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// breakf records that a rule was broken.
func (w *watch) breakf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breakLocked(format, args...)
}

func (w *watch) breakLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.breaks = append(w.breaks, text)
	w.logLocked("BROKEN %s", text)
}

func (w *watch) broken() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.breaks...)
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func (w *watch) runStarted(x *worker, task string, number int, spec string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked("worker %s  start %s run %d", x.id, task, number)
	if w.running[task] == nil {
		w.running[task] = map[*worker]time.Time{}
	}
	for other := range w.running[task] {
		w.breakLocked("TWICE: %s runs on %s and on %s at the same time", task, other.id, x.id)
	}
	w.running[task][x] = time.Now()
	w.starts = append(w.starts, start{time.Now(), jobOf(task), task, number, x.id, spec})
}

func (w *watch) runEnded(x *worker, task string, number int, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked("worker %s  end %s run %d %s", x.id, task, number, how)
	delete(w.running[task], x)
	w.ends = append(w.ends, runEnd{time.Now(), task, number, x.id, how})
}

// startsAfter returns the starts of a job's tasks after a moment.
func (w *watch) startsAfter(job string, after time.Time) []start {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []start
	for _, s := range w.starts {
		if s.job == job && s.at.After(after) {
			out = append(out, s)
		}
	}
	return out
}

// runningOf returns the tasks of a job that run now.
func (w *watch) runningOf(job string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for task, on := range w.running {
		if jobOf(task) != job {
			continue
		}
		for x := range on {
			out = append(out, task+" on "+x.id)
		}
	}
	return out
}

// startsBefore returns the starts of a job's tasks before a moment.
func (w *watch) startsBefore(job string, before time.Time) []start {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []start
	for _, s := range w.starts {
		if s.job == job && s.at.Before(before) {
			out = append(out, s)
		}
	}
	return out
}

// doneOf returns how many tasks of a job have ended done.
func (w *watch) doneOf(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	done := map[string]bool{}
	for _, e := range w.ends {
		if jobOf(e.task) == job && e.how == "done" {
			done[e.task] = true
		}
	}
	return len(done)
}
