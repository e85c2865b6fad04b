package entry

import (
	"net"

	"github.com/juju/errors"
)

// Listeners are sockets that are already open; nil ones are opened from the
// settings. Tests and the demo open them first to know their ports.
type Listeners struct {
	Caller, Peer, Operator net.Listener
}

func openListeners(o *Options) error {
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{
		{&o.Listeners.Caller, o.Settings.CallerAddr},
		{&o.Listeners.Peer, o.Settings.PeerAddr},
		{&o.Listeners.Operator, o.Settings.OperatorAddr},
	} {
		if *l.listener != nil || l.address == "" {
			continue
		}
		opened, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.Trace(err)
		}
		*l.listener = opened
	}
	return nil
}
