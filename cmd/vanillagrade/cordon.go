package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
)

// cordonFlags are the arguments of cordon and uncordon.
type cordonFlags struct {
	operatorFlags
	Zone string `arg:"positional,required" placeholder:"ZONE" help:"an availability zone"`
}

// cordonCmd stops new work in one availability zone.
type cordonCmd struct{ cordonFlags }

// uncordonCmd allows new work in one availability zone again.
type uncordonCmd struct{ cordonFlags }

func (c *cordonCmd) run(ctx context.Context, stdout, stderr io.Writer) int {
	return c.send(ctx, http.MethodPut, "cordoned: no new work starts in "+c.Zone, stdout, stderr)
}

func (c *uncordonCmd) run(ctx context.Context, stdout, stderr io.Writer) int {
	return c.send(ctx, http.MethodDelete, "uncordoned: work may start in "+c.Zone, stdout, stderr)
}

func (c *cordonFlags) send(ctx context.Context, method, done string, stdout, stderr io.Writer) int {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	answer, err := c.askAny(ctx, method, "/v1/cordons/"+url.PathEscape(c.Zone), nil, nil)
	if err != nil {
		return fail(stderr, exitFailed, fmt.Errorf("no entry answered; it is safe to run the command again: %w", err))
	}
	if answer.status != http.StatusNoContent {
		fmt.Fprintf(stderr, "not changed: %s\n", answer.body)
		return exitFailed
	}
	fmt.Fprintln(stdout, done)
	return exitOK
}
