package api

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Limits of every listener. None is left to the library's default of "none".
const (
	// headerTime ends connections that send their request line and headers
	// byte by byte; a round trip to a caller takes a few milliseconds.
	headerTime = 5 * time.Second
	// idleTime keeps a caller's connection for reuse. It is above the idle
	// time of common HTTP clients (90 s), so that the client closes first and
	// does not write a request into a connection being closed.
	idleTime = 100 * time.Second
	// headerBytes bounds the headers of one request.
	headerBytes = 32 << 10
	// serverWriteTime is not set: an answer is written when the job ends, and
	// its deadline bounds that.
)

// Server returns an HTTP server with every limit set on purpose.
func Server(h http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    headerBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

// Serve serves on l until ctx ends. Then it refuses new connections, answers what
// callers have sent, and waits for requests in progress. A request is never cut;
// bound is only for callers that do not read their answer.
func Serve(ctx context.Context, s *http.Server, l net.Listener, bound time.Duration) error {
	listener := newStopListener(l, s)
	s.Handler = Closing(s.Handler, listener.stopping.Load)
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(listener) }()
	select {
	case err := <-failed:
		return errors.Annotatef(err, "serving on %s", l.Addr())
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), bound)
	defer cancel()
	listener.stop()
	<-failed
	listener.endAll(stop)
	return errors.Trace(s.Shutdown(stop))
}
