//go:build review

// Command standin plays the cases of the review: it starts the project's own programs as separate
// processes on loopback addresses, and stands in for clients, workers, the operator and the platform.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// roleCommand is the command of both roles in deploy/system.toml.
const roleCommand = "target/vanillagrade platform"

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitCannotRun)
	}
	play, ok := map[string]func(*recorder, string, bool) int{"hopeless": playHopeless}[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitCannotRun)
	}
	dir, err := os.MkdirTemp("", "review-")
	must(err)
	rec := newRecorder(os.Args[2])
	code := play(rec, dir, os.Getenv("TROUBLE") != "0")
	rec.event("verdict", map[string]any{"exit": code})
	rec.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(filepath.Clean(dir))
	}
	os.Exit(code)
}
