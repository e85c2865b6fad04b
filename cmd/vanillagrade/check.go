package main

import (
	"context"
	"fmt"
	"io"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/platform"
)

// checkCmd checks a file without contacting any entry.
type checkCmd struct {
	File     string `arg:"positional,required" placeholder:"FILE" help:"a declarative file, or - for standard input"`
	Platform bool   `arg:"--platform" help:"the file is the configuration of the users' platform"`
	Settings bool   `arg:"--settings" help:"the file is a process's settings on the users' platform"`
}

func (c *checkCmd) run(_ context.Context, stdout, stderr io.Writer) int {
	body, err := readFile(c.File)
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	if c.Settings {
		return c.checkSettings(body, stdout, stderr)
	}
	parse := config.Parse
	if c.Platform {
		parse = platform.ParseConfiguration
	}
	file, err := parse(c.File, body)
	if err != nil {
		printProblems(stderr, err)
		return exitFailed
	}
	fmt.Fprintf(stdout, "%s: number %d, %d services, %d teams, digest %.12s\n", c.File, file.Number, len(file.Services), len(file.Teams), config.Digest(body))
	return exitOK
}

func (c *checkCmd) checkSettings(body []byte, stdout, stderr io.Writer) int {
	s, err := platform.ParseSettings(c.File, body)
	if err != nil {
		printProblems(stderr, err)
		return exitFailed
	}
	e := s.Entry()
	if err := e.Check(); err != nil {
		printProblems(stderr, err)
		return exitFailed
	}
	fmt.Fprintf(stdout, "%s: entry %s in %s, peers at %s, %d seeds, %d voters wanted\n", c.File, e.Name, e.Zone, e.PeerAddr, len(e.Seeds), e.WantVoters)
	return exitOK
}

// printProblems prints each problem of a file on its own line.
func printProblems(stderr io.Writer, err error) {
	var problems config.Problems
	if !errors.As(err, &problems) {
		fmt.Fprintln(stderr, "vanillagrade:", err)
		return
	}
	for _, p := range problems {
		fmt.Fprintln(stderr, p)
	}
}
