//go:build review3

// Command standin3 plays the scripts of the third review: a small deployment of the project's own
// programs on loopback addresses, with stand-ins of workers, clients and the operator.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a script.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// scenario plays one case; trouble says whether with the disruption.
type scenario func(ctx context.Context, f *fleet, trouble bool) error

var scenarios = map[string]scenario{
	"cancel-thaw": playCancelThaw,
	"timed":       playTimed,
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "the case to play")
	binary := flag.String("binary", "target/vanillagrade", "the system's program")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	logs := flag.String("logs", "", "a folder that keeps the processes' logs")
	flag.Parse()
	scene := scenarios[*name]
	if scene == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return couldNot
	}
	dir := *logs
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "review3-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return couldNot
		}
		defer os.RemoveAll(dir)
	}
	w, err := newWatch(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer w.file.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	f, err := newFleet(w, *binary, dir)
	if f != nil {
		defer f.close()
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
		go func() {
			<-stop
			f.close()
			os.Exit(couldNot)
		}()
	}
	if err == nil {
		err = scene(ctx, f, os.Getenv("TROUBLE") != "0")
	}
	found := w.broken()
	for _, b := range found {
		fmt.Println("BROKEN", b)
	}
	switch {
	case len(found) > 0:
		return broken
	case err != nil:
		w.logf("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return couldNot
	}
	fmt.Println("the rule held")
	return held
}
