package api

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Limits of every listener. The defaults of net/http are unlimited.
const (
	// headerTimeout closes connections that send their request line and headers
	// byte by byte; a round trip to a caller takes a few milliseconds.
	headerTimeout = 5 * time.Second
	// idleTimeout keeps a caller's connection open for reuse. It exceeds the idle
	// timeout of common HTTP clients (90 s), so that the client closes first and
	// does not write a request to a connection that is being closed.
	idleTimeout = 100 * time.Second
	// maxHeaderBytes bounds the headers of one request.
	maxHeaderBytes = 32 << 10
	// There is no write timeout: an answer is written when the job ends, and the
	// job's deadline bounds that.
)

// Server returns an HTTP server with explicit limits.
func Server(h http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

// Serve serves on l until ctx ends. Then it refuses new connections, answers the
// requests that callers have sent, and waits for the requests in progress. No
// request is interrupted; drainTimeout only ends the wait for callers that do not
// read their answer.
func Serve(ctx context.Context, s *http.Server, l net.Listener, drainTimeout time.Duration) error {
	listener := newStopListener(l, s)
	s.Handler = CloseWhileDraining(s.Handler, listener.stopping.Load)
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(listener) }()
	select {
	case err := <-failed:
		return errors.Annotatef(err, "serving on %s", l.Addr())
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	listener.stop()
	<-failed
	listener.closeAll(drainCtx)
	return errors.Trace(s.Shutdown(drainCtx))
}
