package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"github.com/juju/errors"
)

const (
	dialTimeout = 2 * time.Second
	// The delay between dials starts short, since most broken links are caused
	// by restarts, and grows to a value that costs almost nothing while a peer is
	// down for days. Jitter keeps the entries of a zone from all dialling a
	// returning peer at the same moment.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = time.Second
	// probePeriod is how often an entry that waits to be dialled probes whether
	// the processes of its peers are running, and maxProbes is the number of
	// randomly chosen peers per period. When a large fleet starts, each entry
	// waits for hundreds of others. Probing all of them four times a second would
	// leave no processor time for the links themselves.
	probePeriod = 250 * time.Millisecond
	maxProbes   = 16
	// maxDials bounds the links that one entry opens concurrently. Hundreds of
	// entries may start together and each opens that many at once. An entry
	// rejects handshakes beyond maxHandshakes, which then have to be retried.
	maxDials = 32
)

// dialLoop keeps the link to a peer open while it is needed, until ctx ends.
func (l *Links) dialLoop(ctx context.Context, r *remote) {
	delay := minRedialDelay
	for r.waitUntilNeeded(ctx) {
		start := time.Now()
		err := l.dial(ctx, r)
		if time.Since(start) > maxRedialDelay {
			delay = minRedialDelay
		}
		if delay == minRedialDelay && ctx.Err() == nil && r.needed() {
			l.log.Warn("peer link not up", "peer", r.Entry, "address", r.address(), "cause", err)
		}
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-time.After(delay/2 + rand.N(delay)):
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// dialsTo reports whether this entry is the one that opens the link to r.
func (l *Links) dialsTo(r *remote) bool { return l.opts.Self.Entry < r.Entry }

// monitorLinks closes links that are unresponsive or no longer needed, until ctx
// ends. It also probes peers that should dial this entry but have no link: a plain
// TCP connection shows whether their process is running.
func (l *Links) monitorLinks(ctx context.Context) {
	var probes sync.WaitGroup
	defer probes.Wait()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(probePeriod):
		}
		now := time.Now()
		for _, r := range l.all() {
			if k := r.current(); k != nil {
				l.checkLink(ctx, now, r, k)
			}
		}
		l.probe(ctx, &probes)
	}
}

// checkLink closes a link that is unresponsive or no longer needed. Only the dialling
// side closes unneeded links. Frames on the link show it that the other side still needs
// the link.
func (l *Links) checkLink(ctx context.Context, now time.Time, r *remote, k *link) {
	switch {
	case k.unresponsive(now, l.opts.Silence):
		l.log.Warn("peer link silent", "peer", r.Entry, "for_ms", now.Sub(time.Unix(0, k.lastReceived.Load())).Milliseconds())
		k.abort()
	case l.sparse() && l.dialsTo(r) && !r.needed() && k.idleTime() > l.demandPeriod:
		go k.closeGracefully(ctx)
	}
}

// probe checks whether the processes of some unlinked peers are running.
func (l *Links) probe(ctx context.Context, probes *sync.WaitGroup) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	for _, r := range l.pickProbes() {
		probes.Go(func() {
			defer r.probing.Store(false)
			conn, err := dialer.DialContext(ctx, "tcp", r.address())
			r.refused.Store(errors.Is(err, syscall.ECONNREFUSED))
			if err == nil {
				conn.Close()
			}
		})
	}
}

// pickProbes randomly picks the peers to probe now and marks them as being probed.
func (l *Links) pickProbes() []*remote {
	var missing []*remote
	for _, r := range l.all() {
		switch {
		case l.dialsTo(r), !r.persistent.Load():
		case r.current() != nil:
			r.refused.Store(false)
		case !r.probing.Load():
			missing = append(missing, r)
		}
	}
	rand.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	missing = missing[:min(len(missing), maxProbes)]
	for _, r := range missing {
		r.probing.Store(true)
	}
	return missing
}

// dial opens one link and serves it until it breaks.
func (l *Links) dial(ctx context.Context, r *remote) error {
	k, err := l.open(ctx, r)
	if err != nil {
		return errors.Trace(err)
	}
	return l.serve(r, k)
}

// open opens one link. It waits first while maxDials other links are being opened.
func (l *Links) open(ctx context.Context, r *remote) (*link, error) {
	select {
	case l.dials <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	}
	defer func() { <-l.dials }()
	if ctx.Err() != nil { // select may pick the token although ctx has ended
		return nil, errors.Trace(ctx.Err())
	}
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(dialing, "ws://"+r.address()+Path, &websocket.DialOptions{HTTPClient: l.client})
	r.refused.Store(errors.Is(err, syscall.ECONNREFUSED))
	if err != nil {
		r.lastFailure.Store(time.Now().UnixNano())
		return nil, errors.Trace(err)
	}
	theirs, err := dialHandshake(ctx, conn, l.hello(r.Entry), l.opts.Secret, r.checkOwner)
	if err != nil {
		_ = conn.CloseNow()
		return nil, errors.Trace(err)
	}
	return newLink(l, theirs, conn), nil
}
