package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
)

// submitCmd sends one job.
type submitCmd struct {
	File    string        `arg:"positional,required" placeholder:"FILE" help:"a JSON job in the format of POST /v1/jobs, or - for standard input"`
	Entries string        `arg:"--entry,env:VANILLAGRADE_ENTRY" default:"127.0.0.1:7001" help:"caller addresses IP:PORT,... tried in turn until a connection succeeds"`
	Timeout time.Duration `arg:"--timeout" default:"60s"`
}

func (c *submitCmd) run(ctx context.Context, stdout, stderr io.Writer) int {
	body, err := readFile(c.File)
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var lastErr error
	for address := range strings.SplitSeq(c.Entries, ",") {
		response, err := postJob(ctx, address, body)
		if err != nil && neverSent(err) {
			lastErr = err
			continue
		}
		if err != nil {
			return fail(stderr, exitFailed, errors.Annotate(err, "no answer: the job may have run"))
		}
		defer response.Body.Close()
		if _, err := io.Copy(stdout, response.Body); err != nil {
			return fail(stderr, exitFailed, errors.Annotate(err, "the answer is incomplete: the job may have run"))
		}
		fmt.Fprintln(stdout)
		if response.StatusCode != http.StatusOK {
			return exitFailed
		}
		return exitOK
	}
	return fail(stderr, exitFailed, lastErr)
}

// postJob sends the job over a new connection. On a reused connection, the HTTP client
// might send it twice.
func postJob(ctx context.Context, address string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	return response, errors.Trace(err)
}

// neverSent reports whether no connection was established. Only then is sending the job to
// the next entry not a resubmission.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func readFile(path string) ([]byte, error) {
	if path == "-" {
		body, err := io.ReadAll(os.Stdin)
		return body, errors.Trace(err)
	}
	body, err := os.ReadFile(path)
	return body, errors.Trace(err)
}
