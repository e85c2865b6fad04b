package api

import (
	"context"
	"net"
	"net/http"
)

// A caller may hang up right after sending its request. Both can reach the entry together,
// delayed by the network or unread while the entry was paused. The server detects the
// hang-up by itself, but only some time after it has read the request. In between, a job
// could be started although its caller has already sent it elsewhere. Code that starts work
// for a request therefore checks its connection with HungUp first.

type connKey struct{}

// WithConnection makes a server store each connection in the contexts of its requests,
// where HungUp finds it.
func WithConnection(s *http.Server) *http.Server {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	return s
}

// HungUp reports whether the caller of a request has closed its connection. It reports
// false where this can't be determined; the server then detects the hang-up later.
func HungUp(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	c, ok := r.Context().Value(connKey{}).(net.Conn)
	return ok && closedByPeer(c)
}
