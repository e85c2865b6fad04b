package entry

import (
	"context"
	"net"

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

// Announcer takes the announcements of targets.
func (e *Entry) Announcer() api.Announcer { return e.targets }

// ConfirmBody returns the file that a majority of the voters knows as the latest.
func (e *Entry) ConfirmBody(ctx context.Context) ([]byte, register.Accepted, error) {
	return e.register.ConfirmBody(ctx)
}

// HolderHost returns the host of the entry that holds a target, for targets that
// can be told where to announce themselves; empty while it is not known.
func (e *Entry) HolderHost(t *job.Target) string {
	if e.book == nil {
		return ""
	}
	view := e.members.View()
	r, ok := e.book.Get(holderOf(&view, t))
	if !ok {
		return ""
	}
	host, _, err := net.SplitHostPort(r.Address)
	if err != nil {
		return ""
	}
	return host
}
