package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/status"
)

// statusCmd prints the status that entries report. Its exit code is 0 only if every
// entry listed in --operator answers and is healthy.
type statusCmd struct {
	operatorFlags
	JSON bool `arg:"--json" help:"print one JSON object per entry"`
}

func (c *statusCmd) run(ctx context.Context, stdout, stderr io.Writer) int {
	code := exitOK
	for _, address := range c.addresses() {
		st, err := c.read(ctx, address)
		if err != nil {
			fmt.Fprintf(stderr, "vanillagrade: entry at %s: %v\n", address, err)
			code = exitFailed
			continue
		}
		if !st.Healthy {
			code = exitFailed
		}
		if c.JSON {
			err = json.NewEncoder(stdout).Encode(st)
		} else {
			err = status.WriteText(stdout, &st)
		}
		if err != nil {
			return fail(stderr, exitFailed, err)
		}
	}
	return code
}

func (c *statusCmd) read(ctx context.Context, address string) (status.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var st status.Status
	answer, err := c.ask(ctx, address, http.MethodGet, "/v1/status", nil, nil)
	if err != nil {
		return st, errors.Trace(err)
	}
	if answer.status != http.StatusOK {
		return st, errors.Errorf("%d: %s", answer.status, answer.body)
	}
	return st, errors.Trace(json.Unmarshal(answer.body, &st))
}
