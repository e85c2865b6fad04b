package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
)

// replaceVoterCmd replaces a lost voter with an entry that has an empty data folder.
type replaceVoterCmd struct {
	operatorFlags
	Old string `arg:"positional,required" placeholder:"OLD" help:"the voter whose VM or disk is lost"`
	New string `arg:"positional,required" placeholder:"NEW" help:"a running entry with an empty data folder; may be OLD itself"`
}

func (c *replaceVoterCmd) run(ctx context.Context, stdout, stderr io.Writer) int {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	path := "/v1/voters/" + url.PathEscape(c.Old) + "/replace/" + url.PathEscape(c.New)
	answer, err := c.askAny(ctx, http.MethodPost, path, nil, nil)
	if err != nil {
		return fail(stderr, exitFailed, fmt.Errorf("no entry answered; it is safe to run the command again: %w", err))
	}
	if answer.status != http.StatusNoContent {
		fmt.Fprintf(stderr, "not replaced: %s\n", answer.body)
		return exitFailed
	}
	fmt.Fprintf(stdout, "replaced: %s votes in the place of %s, and a majority of the voters has the whole state\n", c.New, c.Old)
	return exitOK
}
