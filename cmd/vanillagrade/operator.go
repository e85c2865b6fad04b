package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/settings"
)

// operatorFlags holds the flags with which operators' commands reach entries.
type operatorFlags struct {
	Operator  string        `arg:"--operator,env:VANILLAGRADE_OPERATOR" default:"127.0.0.1:7201" placeholder:"IP:PORT,..." help:"operators' addresses of entries, tried in turn"`
	TokenFile string        `arg:"--token-file" help:"file with the bearer token; if not given, the token is read from VANILLAGRADE_OPERATOR_TOKEN"`
	Timeout   time.Duration `arg:"--timeout" default:"15s"`
}

// token returns the bearer token, which may be empty on loopback.
func (f *operatorFlags) token() (string, error) {
	if f.TokenFile == "" {
		return settings.Secret("VANILLAGRADE_OPERATOR_TOKEN")
	}
	content, err := readFile(f.TokenFile)
	return strings.TrimSpace(string(content)), err
}

// addresses returns the operators' addresses of the entries in the given order.
func (f *operatorFlags) addresses() []string { return strings.Split(f.Operator, ",") }

// operatorAnswer is the complete answer of one entry.
type operatorAnswer struct {
	status int
	body   []byte
}

// ask sends one request to one entry. All requests to operators' addresses are
// idempotent, since each change carries an id.
func (f *operatorFlags) ask(ctx context.Context, address, method, path string, header http.Header, body []byte) (operatorAnswer, error) {
	token, err := f.token()
	if err != nil {
		return operatorAnswer{}, errors.Trace(err)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return operatorAnswer{}, errors.Trace(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return operatorAnswer{}, errors.Trace(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return operatorAnswer{status: response.StatusCode, body: answer}, errors.Trace(err)
}

// askAny sends the request to one entry after the other until one answers.
func (f *operatorFlags) askAny(ctx context.Context, method, path string, header http.Header, body []byte) (operatorAnswer, error) {
	var lastErr error
	for _, address := range f.addresses() {
		answer, err := f.ask(ctx, address, method, path, header, body)
		if err == nil {
			return answer, nil
		}
		lastErr = err
	}
	return operatorAnswer{}, lastErr
}
