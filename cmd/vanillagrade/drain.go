package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
)

// drainCmd starts a planned stop of one entry.
type drainCmd struct {
	operatorFlags
}

func (c *drainCmd) run(ctx context.Context, stdout, stderr io.Writer) int {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	if len(c.addresses()) != 1 {
		return fail(stderr, exitUsage, fmt.Errorf("--operator must have exactly one address: that of the entry to drain"))
	}
	answer, err := c.ask(ctx, c.addresses()[0], http.MethodPost, "/v1/drain", nil, nil)
	if err != nil {
		return fail(stderr, exitFailed, err)
	}
	if answer.status != http.StatusAccepted {
		return fail(stderr, exitFailed, fmt.Errorf("%d: %s", answer.status, answer.body))
	}
	fmt.Fprintln(stdout, "draining: the process ends once no request is in progress")
	return exitOK
}
