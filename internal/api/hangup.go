package api

import (
	"context"
	"net"
	"net/http"
)

// A caller may have hung up right behind its request: both were held up on the way, or lay
// unread while the entry stood still. The server notices the hang-up by itself, but some
// moments after the request is taken, and in these a job could be started whose caller has
// long sent it elsewhere. So whoever starts something for a request looks at its
// connection first.

type connKey struct{}

// WithConnection has a server keep each connection with the contexts of its requests, for
// HungUp.
func WithConnection(s *http.Server) *http.Server {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	return s
}

// HungUp reports whether the caller of a request has ended its connection. Where that
// can't be told it reports false, and the server notices later.
func HungUp(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	c, ok := r.Context().Value(connKey{}).(net.Conn)
	return ok && ended(c)
}
