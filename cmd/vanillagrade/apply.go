package main

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/oklog/ulid/v2"

	"github.com/vanillagrade/vanillagrade/internal/api"
	"github.com/vanillagrade/vanillagrade/internal/config"
)

// applyCmd applies a declarative file as a whole.
type applyCmd struct {
	operatorFlags
	File     string `arg:"positional,required" placeholder:"FILE" help:"a declarative file, or - for standard input"`
	ChangeID string `arg:"--change-id" help:"id of the change; if the answer of an earlier run was lost, pass its id to learn the outcome"`
	DryRun   bool   `arg:"--dry-run" help:"only print what would change"`
}

func (c *applyCmd) run(ctx context.Context, stdout, stderr io.Writer) int {
	body, err := readFile(c.File)
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	file, err := config.Parse(c.File, body)
	if err != nil {
		printProblems(stderr, err)
		return exitFailed
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	c.printDiff(ctx, stdout, file)
	if c.DryRun {
		return exitOK
	}
	if c.ChangeID == "" {
		c.ChangeID = ulid.Make().String()
	}
	// The id is printed before anything is sent, so that the operator has it if
	// the answer is lost.
	fmt.Fprintf(stderr, "change id %s\n", c.ChangeID)
	header := http.Header{api.HeaderChangeID: {c.ChangeID}}
	answer, err := c.askAny(ctx, http.MethodPut, "/v1/configuration", header, body)
	if err != nil {
		return fail(stderr, exitFailed, fmt.Errorf("no entry answered; the outcome may be unknown: apply again with --change-id %s: %w", c.ChangeID, err))
	}
	if answer.status != http.StatusOK {
		fmt.Fprintf(stderr, "not applied: %s\n", answer.body)
		return exitFailed
	}
	fmt.Fprintf(stdout, "applied: %s\n", answer.body)
	return exitOK
}

// printDiff prints the changes relative to the file in effect on the first entry that
// answers.
func (c *applyCmd) printDiff(ctx context.Context, stdout io.Writer, file *config.File) {
	var old *config.File
	answer, err := c.askAny(ctx, http.MethodGet, "/v1/configuration", nil, nil)
	if err == nil && answer.status == http.StatusOK {
		old, _ = config.Parse("in force", answer.body)
	}
	for _, line := range config.Diff(old, file) {
		fmt.Fprintln(stdout, line)
	}
}
