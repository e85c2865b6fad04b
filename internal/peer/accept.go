package peer

import (
	"net/http"

	"github.com/coder/websocket"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Handler returns the HTTP handler that accepts links from peers. Mount it on
// the peer listener.
func (l *Links) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, l.accept)
	if l.opts.Join != nil {
		mux.Handle("POST "+JoinPath, l.opts.Join)
	}
	return mux
}

// Server returns an HTTP server for the peer listener. It limits the size of
// request headers and drops connections that never complete theirs. The
// server's timeouts do not apply to links, whose connections are hijacked; links
// are limited by Options.Silence and writeTimeout.
func (l *Links) Server() *http.Server {
	return &http.Server{
		Handler: l.Handler(), ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout: readHeaderTimeout, WriteTimeout: writeTimeout,
		IdleTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

func (l *Links) accept(w http.ResponseWriter, req *http.Request) {
	if l.isClosed() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	if len(l.opts.Secret) == 0 && !l.opts.TrustNetwork && !isLoopback(req.RemoteAddr) {
		http.Error(w, "a peer secret is needed", http.StatusForbidden)
		return
	}
	if l.handshakes.Add(1) > maxHandshakes {
		l.handshakes.Add(-1)
		http.Error(w, "too many handshakes at once", http.StatusServiceUnavailable)
		return
	}
	theirs, conn, err := l.authenticate(w, req)
	l.handshakes.Add(-1)
	switch {
	case errors.Is(err, errWillDialBack):
		return
	case err != nil:
		l.log.Warn("peer refused", "address", req.RemoteAddr, "cause", err)
		return
	}
	r := l.remote(theirs.Entry)
	if r == nil { // the peer was removed during the handshake and will dial again
		_ = conn.CloseNow()
		return
	}
	_ = l.serve(r, newLink(l, theirs, conn))
}

// authenticate upgrades the request to a WebSocket connection and runs the
// handshake on it.
func (l *Links) authenticate(w http.ResponseWriter, req *http.Request) (job.Owner, *websocket.Conn, error) {
	conn, err := websocket.Accept(w, req, nil)
	if err != nil {
		return job.Owner{}, nil, errors.Trace(err)
	}
	theirs, err := acceptHandshake(req.Context(), conn, l.hello(""), l.opts.Secret, l.checkHello)
	if err != nil {
		_ = conn.CloseNow()
		return job.Owner{}, nil, errors.Trace(err)
	}
	return theirs, conn, nil
}

// checkHello checks the identity that a dialling entry claims. With
// Options.Dynamic it adds entries that were not known before.
func (l *Links) checkHello(h hello) error {
	o := h.Owner
	weDial := o.Entry > l.opts.Self.Entry
	if weDial && !l.sparse() {
		return errors.Annotatef(ErrHandshake, "entry %q must wait to be dialled", o.Entry)
	}
	r := l.remote(o.Entry)
	if r == nil && l.opts.Dynamic && h.Address != "" {
		p := Peer{Entry: o.Entry, Zone: o.Zone, Address: h.Address}
		l.Add(p)
		if l.opts.OnMeet != nil {
			l.opts.OnMeet(p, o.Incarnation)
		}
		r = l.remote(o.Entry)
	}
	if r != nil && weDial {
		r.demand(l.demandPeriod)
		return errors.Trace(errWillDialBack)
	}
	if r == nil {
		return errors.Annotatef(ErrHandshake, "entry %q is not in the settings", o.Entry)
	}
	return r.checkOwner(o)
}
