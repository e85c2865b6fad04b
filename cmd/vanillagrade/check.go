package main

import (
	"context"
	"fmt"
	"io"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/config"
)

// checkCmd checks a declarative file offline.
type checkCmd struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"a declarative file, or - for standard input"`
}

func (c *checkCmd) run(_ context.Context, stdout, stderr io.Writer) int {
	body, err := readFile(c.File)
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	file, err := config.Parse(c.File, body)
	if err != nil {
		printProblems(stderr, err)
		return exitFailed
	}
	fmt.Fprintf(stdout, "%s: number %d, %d services, %d teams, digest %.12s\n", c.File, file.Number, len(file.Services), len(file.Teams), config.Digest(body))
	return exitOK
}

// printProblems prints each error of a file on a line of its own.
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
