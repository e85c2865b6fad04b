package eventlog

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Limit returns a handler that writes at most beliefLines lines of each message in a
// second, failureLines of warnings and errors, and says what it left out.
//
// Parts of a process log by themselves what concerns no request: members that come and
// go, links, targets that fall silent. Each is rare, and all of them come together when
// a zone is cut off or a fleet of hundreds starts; their lines must not crowd out those
// of requests then.
func Limit(next slog.Handler) slog.Handler {
	return &limited{next: next, shared: &limit{written: map[string]int{}, left: map[string]int{}}}
}

// limited is one handler with its attributes; all that descend from one share a budget.
type limited struct {
	next   slog.Handler
	shared *limit
}

type limit struct {
	mu      sync.Mutex
	began   time.Time
	written map[string]int
	left    map[string]int
	total   uint64
}

// Enabled implements slog.Handler.
func (l *limited) Enabled(ctx context.Context, level slog.Level) bool {
	return l.next.Enabled(ctx, level)
}

// WithAttrs implements slog.Handler.
func (l *limited) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limited{next: l.next.WithAttrs(attrs), shared: l.shared}
}

// WithGroup implements slog.Handler.
func (l *limited) WithGroup(name string) slog.Handler {
	return &limited{next: l.next.WithGroup(name), shared: l.shared}
}

// Handle implements slog.Handler.
func (l *limited) Handle(ctx context.Context, line slog.Record) error {
	if !l.shared.allow(line.Message, line.Level, l.next) {
		return nil
	}
	return l.next.Handle(ctx, line)
}

// allow reports whether a line is within its message's budget. What is left out is told
// through the handler that met it first.
func (l *limit) allow(message string, level slog.Level, next slog.Handler) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.began) >= window {
		l.began = now
		clear(l.written)
	}
	most := beliefLines
	if level >= slog.LevelWarn {
		most = failureLines
	}
	if l.written[message] < most {
		l.written[message]++
		return true
	}
	if len(l.left) == 0 {
		time.AfterFunc(window, func() { l.tell(next) })
	}
	l.left[message]++
	l.total++
	return false
}

func (l *limit) tell(next slog.Handler) {
	l.mu.Lock()
	left := l.left
	l.left = map[string]int{}
	l.mu.Unlock()
	slog.New(next).Info("log lines left out", "by_message", left)
}

func (l *limit) leftOut() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}
