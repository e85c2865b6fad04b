package eventlog

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// NewLimitHandler returns a handler that writes at most fleetLines lines of each message per
// second, or failureLines for warnings and errors, and logs how many it left out.
//
// Some parts of a process log directly what concerns no request: members that join and
// leave, links, unresponsive targets. Each of these is rare, but they come all at once
// when a zone is partitioned or a fleet of hundreds starts. Then they must not crowd
// out the lines about requests.
func NewLimitHandler(next slog.Handler) slog.Handler {
	return &limitedHandler{next: next, budget: &messageBudget{written: map[string]int{}, leftOutByMessage: map[string]int{}}}
}

// limitedHandler is a handler with its attributes. It shares its budget with all
// handlers derived from it.
type limitedHandler struct {
	next   slog.Handler
	budget *messageBudget
}

// messageBudget counts the lines that were written and left out, by message.
type messageBudget struct {
	mu               sync.Mutex
	began            time.Time
	written          map[string]int
	leftOutByMessage map[string]int
	total            uint64
}

// Enabled implements slog.Handler.
func (l *limitedHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return l.next.Enabled(ctx, level)
}

// WithAttrs implements slog.Handler.
func (l *limitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limitedHandler{next: l.next.WithAttrs(attrs), budget: l.budget}
}

// WithGroup implements slog.Handler.
func (l *limitedHandler) WithGroup(name string) slog.Handler {
	return &limitedHandler{next: l.next.WithGroup(name), budget: l.budget}
}

// Handle implements slog.Handler.
func (l *limitedHandler) Handle(ctx context.Context, line slog.Record) error {
	if !l.budget.allow(line.Message, line.Level, l.next) {
		return nil
	}
	return l.next.Handle(ctx, line)
}

// allow reports whether a line is within the budget of its message. The summary of the
// left-out lines is written through the handler of the first of them.
func (l *messageBudget) allow(message string, level slog.Level, next slog.Handler) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.began) >= window {
		l.began = now
		clear(l.written)
	}
	limit := fleetLines
	if level >= slog.LevelWarn {
		limit = failureLines
	}
	if l.written[message] < limit {
		l.written[message]++
		return true
	}
	if len(l.leftOutByMessage) == 0 {
		time.AfterFunc(window, func() { l.logLeftOut(next) })
	}
	l.leftOutByMessage[message]++
	l.total++
	return false
}

func (l *messageBudget) logLeftOut(next slog.Handler) {
	l.mu.Lock()
	leftOutByMessage := l.leftOutByMessage
	l.leftOutByMessage = map[string]int{}
	l.mu.Unlock()
	slog.New(next).Info("log lines left out", "by_message", leftOutByMessage)
}

func (l *messageBudget) leftOut() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}
