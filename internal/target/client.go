package target

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/config"
)

// Default limits and timeouts of the client.
const (
	// DefaultDialTimeout bounds one connection attempt. A round trip takes less
	// than 1 ms, so a target that takes longer is down or drops packets. The
	// timeout does not allow for lost SYN packets, which are retransmitted
	// after 1 s and 2 s.
	DefaultDialTimeout = 500 * time.Millisecond
	// DefaultIdleTimeout closes an unused connection before the target does.
	// The shortest idle timeout of common HTTP servers is 5 s. If the target
	// closed first, a task could be written to a connection that is being
	// closed: its outcome would be unknown and its job would fail.
	DefaultIdleTimeout = 4 * time.Second
	// DefaultMaxRun bounds the wait for one answer. Tasks take seconds at most;
	// the limit frees a slot that would otherwise be lost forever.
	DefaultMaxRun = 5 * time.Minute
	// DefaultMaxAnswer is the size limit of an answer, in bytes. It equals the
	// default limit of a whole job's payload.
	DefaultMaxAnswer = config.DefaultMaxJobBytes
	// maxHeaderBytes is the size limit of an answer's header.
	maxHeaderBytes = 64 << 10
)

// unresponsiveTimeout is how long a target may send nothing at all, not even a TCP
// acknowledgement. A VM that loses power sends no FIN. Without this timeout, tasks on
// it would delay their job until DefaultMaxRun. The timeout equals the default lease,
// after which the target counts as lost anyway.
const unresponsiveTimeout = config.DefaultLease

// keepAlive configures TCP keepalive to detect an unresponsive target within
// unresponsiveTimeout: two idle seconds, then two unanswered probes one second apart.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     unresponsiveTimeout / 2,
	Interval: unresponsiveTimeout / 4,
	Count:    2,
}

// DialFunc opens a connection to a target.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ClientOptions sets the limits of a Client. Zero fields mean the defaults.
type ClientOptions struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration
	MaxRun      time.Duration
	// MaxAnswer is the size limit of an answer's body, in bytes.
	MaxAnswer int64
	// Dial replaces the default dialler.
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
			Control:         setUserTimeout,
		}
		opts.Dial = d.DialContext
	}
	return &Client{opts: opts}
}

// Link manages the connections to one target at one address. Each link has its own
// transport, so that the target's connection limit is kept exactly, the idle
// connections to a target that stops can be closed immediately, and targets share
// no lock.
type Link struct {
	address   string
	opts      ClientOptions
	transport *http.Transport
}

// Link returns a link to a target that allows the given number of connections for
// all entries together.
func (c *Client) Link(address string, connections int) *Link {
	if connections <= 0 {
		connections = config.DefaultConnections
	}
	return &Link{
		address: address,
		opts:    c.opts,
		transport: &http.Transport{
			// With a proxy from the environment, it would be unclear whether the
			// proxy or the target refused a connection, and a refusal would no
			// longer prove that nothing ran.
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

// Close closes the idle connections. Busy ones close when their task ends.
func (l *Link) Close() { l.transport.CloseIdleConnections() }
