//go:build reviewcase

// The program starts the system's processes on loopback addresses, with stand-ins of the clients,
// the workers and the operator beside them, and plays one case against them. It exits with 1 if
// the case's rule was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitUnable
)

var (
	begun    = time.Now()
	recordMu sync.Mutex
	record   *os.File
	system   *fleet
	tempDir  string
)

func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(record, "%8.3f  %s\n", time.Since(begun).Seconds(), fmt.Sprintf(format, args...))
}

func leave(code int) {
	if system != nil {
		system.stop()
	}
	if tempDir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(tempDir)
	}
	os.Exit(code)
}

func unable(format string, args ...any) {
	note("could not run: "+format, args...)
	leave(exitUnable)
}

// taskRun is one run of a task, by the words of the worker.
type taskRun struct {
	worker, task string
	number       int
	began, ended time.Time
}

var (
	runsMu sync.Mutex
	runs   []*taskRun
)

func runBegan(worker, task string, number int) {
	runsMu.Lock()
	runs = append(runs, &taskRun{worker: worker, task: task, number: number, began: time.Now()})
	runsMu.Unlock()
	note("worker %s: run %d of %s begins", worker, number, task)
}

func runEnded(worker, task string, number int, how string) {
	runsMu.Lock()
	for _, r := range runs {
		if r.worker == worker && r.task == task && r.number == number && r.ended.IsZero() {
			r.ended = time.Now()
		}
	}
	runsMu.Unlock()
	note("worker %s: run %d of %s ends: %s", worker, number, task, how)
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE PROGRAM FOLDER")
		os.Exit(exitUnable)
	}
	play := cases[os.Args[1]]
	var err error
	if record, err = os.Create(filepath.Join(os.Args[3], "record.txt")); err != nil || play == nil {
		fmt.Fprintln(os.Stderr, "no such case, or its record can't be written:", err)
		os.Exit(exitUnable)
	}
	if tempDir, err = os.MkdirTemp("", "review-case"); err != nil {
		unable("%v", err)
	}
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < 4096 {
		limit.Cur = min(4096, limit.Max)
		_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
	}
	time.AfterFunc(110*time.Second, func() { unable("the case took too long") })
	system = newFleet(os.Args[2], tempDir)
	if play(system, os.Getenv("TROUBLE") != "0") {
		note("the rule was BROKEN")
		leave(exitBroken)
	}
	note("the rule held")
	leave(exitHeld)
}

// cases maps the name of a case to its play, which reports whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) bool{
	"cancel":     playCancel,
	"firststart": playFirstStart,
	"lease":      playLease,
	"firstack":   playFirstAck,
}
