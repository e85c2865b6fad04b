package peer

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Path is the path of the peer listener on which an entry accepts links.
const Path = "/v1/peer"

// JoinPath is the path of the peer listener on which an entry accepts joins.
const JoinPath = "/v1/join"

const (
	// closeTimeout is how long a planned stop waits for peers to read what is
	// queued.
	closeTimeout = 3 * time.Second
	// maxHandshakes bounds the connections that are not yet authenticated, so
	// that strangers can't hold many goroutines and buffers.
	maxHandshakes     = 64
	readHeaderTimeout = 2 * time.Second
	maxHeaderBytes    = 8 << 10
)

// Clock is the hybrid logical clock whose timestamp each frame carries.
type Clock interface {
	Now() uint64
	Observe(uint64)
}

// Peer is another entry, from the settings or discovered later.
type Peer struct {
	Entry   job.EntryID
	Zone    job.Zone
	Address string
}

// Options configures Links.
type Options struct {
	Self  job.Owner
	Peers []Peer
	// Secret is shared by all entries. Without it, only loopback addresses are
	// allowed unless TrustNetwork is set.
	Secret []byte
	// TrustNetwork allows links to other machines without a secret. The operator
	// guarantees that nobody else can reach the peer listeners.
	TrustNetwork bool
	// Address is where this entry accepts links. The handshake carries it, so
	// that an entry which does not know this one yet can dial back.
	Address string
	// Dynamic accepts links from entries that are not in the settings.
	Dynamic bool
	// Silence is how long a link may receive nothing before it counts as broken;
	// zero means DefaultSilence. It must be longer than the heartbeat period.
	Silence time.Duration
	// Expects is used where not all links are kept open. It returns the interval within
	// which an entry should send something, and the time from which that applies. If
	// Expects is nil, the interval is Silence. An interval of zero means that nothing is
	// expected: the link then counts as broken only if a call waits for an answer.
	Expects func(job.EntryID) (since time.Time, within time.Duration)
	// Join, if set, handles the joins of entries that are discovering others.
	Join http.Handler
	// OnMeet, if set, is called when a previously unknown entry dials this one.
	// It must not block.
	OnMeet func(Peer, job.Incarnation)
	Clock  Clock
	Log    *slog.Logger
	// OnLink, if set, is called when the link to an entry comes up or goes down.
	// It must not block.
	OnLink func(to job.EntryID, up bool)
}

// Links implements Mesh over WebSocket and CBOR. In each pair of entries, the one
// with the smaller name dials.
type Links struct {
	opts   Options
	log    *slog.Logger
	stats  counters
	client *http.Client
	// handshakes counts the accepted connections whose handshake is in progress, and
	// opened counts the links that have come up.
	handshakes atomic.Int64
	opened     atomic.Uint64
	// dials holds a token for each link that is being opened.
	dials chan struct{}

	mu       sync.RWMutex
	remotes  map[job.EntryID]*remote
	handlers map[Kind]Handler
	ordered  map[Kind]bool
	closed   bool
	// demandPeriod is how long a link that was opened on demand stays open while it
	// is idle.
	demandPeriod time.Duration
	// startLoop starts the goroutines that maintain a link; nil before Run.
	startLoop func(*remote)
	// persistentIDs are the entries to which links are kept open; nil means all.
	persistentIDs map[job.EntryID]bool
}

var _ Mesh = (*Links)(nil)

// New returns Links without open links. Set the handlers, mount Handler, then call
// Run.
func New(opts Options) *Links {
	l := &Links{
		opts: opts, log: opts.Log, stats: counters{kinds: map[Kind]*KindStats{}},
		remotes: map[job.EntryID]*remote{}, handlers: map[Kind]Handler{}, ordered: map[Kind]bool{},
		dials: make(chan struct{}, maxDials), demandPeriod: demandPeriod,
	}
	if l.log == nil {
		l.log = slog.New(slog.DiscardHandler)
	}
	if l.opts.Silence == 0 {
		l.opts.Silence = DefaultSilence
	}
	for _, p := range opts.Peers {
		l.Add(p)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	l.client = &http.Client{Transport: &http.Transport{
		DialContext:           dialer.DialContext,
		ResponseHeaderTimeout: dialTimeout,
		DisableKeepAlives:     true,
	}}
	return l
}

// Self returns this entry's identity, including its incarnation.
func (l *Links) Self() job.Owner { return l.opts.Self }

// Stats returns the message and byte counts, ordered by kind.
func (l *Links) Stats() []KindStats { return l.stats.list() }

// Opened returns how many links have come up since the process started.
func (l *Links) Opened() uint64 { return l.opened.Load() }

// OpenLinks returns the number of open links.
func (l *Links) OpenLinks() int {
	n := 0
	for _, r := range l.all() {
		if r.current() != nil {
			n++
		}
	}
	return n
}

// Up reports whether the link to an entry is open, as far as this side knows.
func (l *Links) Up(to job.EntryID) bool { return l.current(to) != nil }

// Refused reports whether the machine of an entry refused the last connection:
// the machine is up, but no process listens there. A missing reply proves less,
// since a network partition looks the same.
func (l *Links) Refused(to job.EntryID) bool {
	r := l.remote(to)
	return r != nil && r.refused.Load()
}

// Handle sets the handler of a kind.
func (l *Links) Handle(kind Kind, h Handler) { l.setHandler(kind, h, false) }

// HandleInOrder sets a handler that receives the messages of each peer in order.
func (l *Links) HandleInOrder(kind Kind, h Handler) { l.setHandler(kind, h, true) }

func (l *Links) setHandler(kind Kind, h Handler, ordered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handlers[kind], l.ordered[kind] = h, ordered
}

func (l *Links) handler(kind Kind) (Handler, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.handlers[kind], l.ordered[kind]
}

func (l *Links) now() uint64 {
	if l.opts.Clock == nil {
		return 0
	}
	return l.opts.Clock.Now()
}

func (l *Links) observe(stamp uint64) {
	if l.opts.Clock != nil && stamp != 0 {
		l.opts.Clock.Observe(stamp)
	}
}

// Call sends a request and waits for its answer. If the link is down, Call has it
// opened where links are opened on demand, and otherwise fails immediately.
func (l *Links) Call(ctx context.Context, to job.EntryID, kind Kind, req, resp any) error {
	body, err := cbor.Marshal(req)
	if err != nil {
		return errors.Annotatef(ErrNotSent, "encoding: %v", err)
	}
	k := l.linkTo(ctx, to)
	if k == nil {
		return errors.Annotatef(ErrNotSent, "no link to %s", to)
	}
	answer, err := k.call(ctx, kind, body)
	if err != nil || resp == nil {
		return err
	}
	if err := cbor.Unmarshal(answer, resp); err != nil {
		return errors.Annotatef(ErrNoAnswer, "decoding the answer of %s: %v", to, err)
	}
	return nil
}

// Send sends a message that expects no answer. It never waits for the network.
func (l *Links) Send(to job.EntryID, kind Kind, msg any) error {
	body, err := cbor.Marshal(msg)
	if err != nil {
		return errors.Annotatef(ErrNotSent, "encoding: %v", err)
	}
	k := l.current(to)
	if k == nil {
		return errors.Annotatef(ErrNotSent, "no link to %s", to)
	}
	_, err = k.enqueue(&frame{Kind: kind, Body: body}, nil)
	return err
}

// expects returns the interval within which an entry should send something, and the time
// from which that applies. An interval of zero means that nothing is expected.
func (l *Links) expects(of job.EntryID) (since time.Time, within time.Duration) {
	if l.opts.Expects == nil || !l.sparse() {
		return time.Time{}, l.opts.Silence
	}
	return l.opts.Expects(of)
}

func (l *Links) current(to job.EntryID) *link {
	r := l.remote(to)
	if r == nil {
		return nil
	}
	return r.current()
}

// Run dials the peers with a larger name and maintains the links until ctx ends.
// Then it sends what is queued and closes all links.
func (l *Links) Run(ctx context.Context) error {
	if err := l.checkLoopback(); err != nil {
		return errors.Trace(err)
	}
	var wg sync.WaitGroup
	startLoop := func(r *remote) {
		ctx, cancel := context.WithCancel(ctx)
		wg.Go(func() {
			defer cancel()
			select {
			case <-r.removed:
			case <-ctx.Done():
			}
		})
		if l.dialsTo(r) {
			wg.Go(func() { l.dialLoop(ctx, r) })
		} else {
			wg.Go(func() { l.dialRequestLoop(ctx, r) })
		}
	}
	wg.Go(func() { l.monitorLinks(ctx) })
	l.mu.Lock()
	l.startLoop = startLoop
	for _, r := range l.remotes {
		startLoop(r)
	}
	l.mu.Unlock()
	<-ctx.Done()
	l.close()
	wg.Wait()
	return nil
}

func (l *Links) checkLoopback() error {
	if len(l.opts.Secret) > 0 || l.opts.TrustNetwork {
		return nil
	}
	for _, r := range l.all() {
		if !isLoopback(r.Address) {
			return errors.NotValidf("peer %s at %s without a peer secret (only loopback addresses may do without)", r.Entry, r.Address)
		}
	}
	return nil
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

func (l *Links) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, r := range l.all() {
		if k := l.current(r.Entry); k != nil {
			wg.Go(func() { k.closeGracefully(ctx) })
		}
	}
	wg.Wait()
}

func (l *Links) isClosed() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.closed
}

// serve makes k the link to r and serves it until it breaks. A link of an earlier
// incarnation of the peer never replaces one of a later incarnation.
func (l *Links) serve(r *remote, k *link) error {
	r.replaceMu.Lock()
	if old := l.current(r.Entry); old != nil {
		if old.peer.Incarnation > k.peer.Incarnation {
			r.replaceMu.Unlock()
			_ = k.conn.CloseNow()
			return errors.Annotate(ErrHandshake, "the link is from an earlier incarnation of the peer")
		}
		old.abort()
		<-old.finished
	}
	r.setLink(k)
	l.opened.Add(1)
	r.replaceMu.Unlock()
	if l.isClosed() {
		k.abort()
	}
	l.log.Info("peer link up", "peer", r.Entry, "zone", r.Zone, "incarnation", k.peer.Incarnation)
	l.notifyLink(r.Entry, true)
	err := k.run()
	if r.clearLink(k) {
		l.notifyLink(r.Entry, false)
	}
	return err
}

// hello returns the hello of this entry to another one.
func (l *Links) hello(to job.EntryID) hello {
	return hello{Version: protocolVersion, Owner: l.opts.Self, To: to, Address: l.opts.Address}
}

func (l *Links) notifyLink(to job.EntryID, up bool) {
	if l.opts.OnLink != nil {
		l.opts.OnLink(to, up)
	}
}
