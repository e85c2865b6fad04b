package entry

import (
	"context"
	"net"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/api"
	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/register"
)

// Caller returns the handling of submissions, for servers that speak to callers
// in other forms.
func (e *Entry) Caller() *api.Caller {
	return &api.Caller{Dispatcher: e, Config: e.config, Memory: e.memory}
}

// Config returns the view of the configuration in force.
func (e *Entry) Config() config.View { return e.config }

// ConfirmBody returns the file that a majority of the voters knows as the latest.
func (e *Entry) ConfirmBody(ctx context.Context) ([]byte, register.Accepted, error) {
	return e.register.ConfirmBody(ctx)
}

// Announce takes the announcement of a target and returns the host of the entry
// that holds it, where later ones may go; empty while that is not known.
func (e *Entry) Announce(ctx context.Context, t job.Target) (holderHost string, err error) {
	_, holder, err := e.targets.announce(ctx, t)
	if err != nil || e.book == nil {
		return "", errors.Trace(err)
	}
	r, ok := e.book.Get(holder)
	if !ok {
		return "", nil
	}
	host, _, err := net.SplitHostPort(r.Address)
	return host, errors.Trace(err)
}

// Leaving says that a target takes no more work. Without an error each entry that
// may hold it knows.
func (e *Entry) Leaving(ctx context.Context, t job.Target) error {
	return e.targets.Leaving(ctx, &t)
}

// Withdraw says that a target has ended.
func (e *Entry) Withdraw(ctx context.Context, id job.TargetID) error {
	return e.targets.Withdraw(ctx, id)
}
