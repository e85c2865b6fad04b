package target

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/config"
)

// Limits and timeouts of the client where its options name none.
const (
	// DefaultDialTimeout bounds one connection attempt. A round trip is under
	// 1 ms, so a target that takes longer is down or drops packets; two lost
	// SYN packets (1 s and 2 s until sent again) are not waited for.
	DefaultDialTimeout = 500 * time.Millisecond
	// DefaultIdleTimeout closes an unused connection before the target does.
	// The shortest idle limit of the usual HTTP servers is 5 s. If the target
	// closed first, a task could be written into a connection that is being
	// closed: its fate would be unknown and its job would fail.
	DefaultIdleTimeout = 4 * time.Second
	// DefaultMaxRun bounds the wait for one answer. Tasks last seconds at
	// most; the bound frees a slot that would otherwise be lost for ever.
	DefaultMaxRun = 5 * time.Minute
	// DefaultMaxAnswer bounds one answer, in bytes: the default bound of a
	// whole job's payload.
	DefaultMaxAnswer = config.DefaultMaxJobBytes
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
)

// silentTimeout is how long a peer that says nothing at all, not even a TCP
// acknowledgement, is waited for. A VM that loses power sends no FIN: without
// this, tasks on it would hold their job until DefaultMaxRun. It is the
// default lease, after which the target counts as gone anyway.
const silentTimeout = config.DefaultLease

// keepAlive probes a silent peer so that silentTimeout is met: two seconds of
// silence and two unanswered probes a second apart.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     silentTimeout / 2,
	Interval: silentTimeout / 4,
	Count:    2,
}

// DialFunc opens a connection to a target.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ClientOptions sets the limits of a Client; zero fields take the defaults.
type ClientOptions struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration
	MaxRun      time.Duration
	// MaxAnswer bounds one answer's body, in bytes.
	MaxAnswer int64
	// Dial replaces the dialler.
	Dial DialFunc
}

// Client opens links to targets.
type Client struct {
	opts ClientOptions
}

// NewClient returns a client with the given limits.
func NewClient(opts ClientOptions) *Client {
	if opts.DialTimeout == 0 {
		opts.DialTimeout = DefaultDialTimeout
	}
	if opts.IdleTimeout == 0 {
		opts.IdleTimeout = DefaultIdleTimeout
	}
	if opts.MaxRun == 0 {
		opts.MaxRun = DefaultMaxRun
	}
	if opts.MaxAnswer == 0 {
		opts.MaxAnswer = DefaultMaxAnswer
	}
	if opts.Dial == nil {
		d := &net.Dialer{
			Timeout:         opts.DialTimeout,
			KeepAliveConfig: keepAlive,
			Control:         limitSilence,
		}
		opts.Dial = d.DialContext
	}
	return &Client{opts: opts}
}

// Link is the connections to one target at one address. Each link has a
// transport of its own, so that a target's connection limit is kept exactly,
// the idle connections to a target that leaves can be closed at once, and
// targets share no lock.
type Link struct {
	address   string
	opts      ClientOptions
	transport *http.Transport
}

// Link returns a link to a target that lets all entries together have the
// given number of connections.
func (c *Client) Link(address string, connections int) *Link {
	if connections <= 0 {
		connections = config.DefaultConnections
	}
	return &Link{
		address: address,
		opts:    c.opts,
		transport: &http.Transport{
			// A proxy named in the environment would hide which of them
			// refused the connection, and with it the proof that nothing ran.
			Proxy:                  nil,
			DialContext:            trackedDial(c.opts.Dial, connections),
			DisableCompression:     true,
			MaxConnsPerHost:        connections,
			MaxIdleConnsPerHost:    connections,
			IdleConnTimeout:        c.opts.IdleTimeout,
			ResponseHeaderTimeout:  c.opts.MaxRun,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
	}
}

// Address returns the target's address, "IP:PORT".
func (l *Link) Address() string { return l.address }

// Close closes the idle connections; busy ones close when their task ends.
func (l *Link) Close() { l.transport.CloseIdleConnections() }
