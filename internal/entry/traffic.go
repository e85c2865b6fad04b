package entry

import (
	"context"
	"log/slog"
	"time"
)

// trafficLogInterval is how often an entry logs its traffic: rarely enough to cost nothing,
// often enough to show which kind of message grew when a fleet is slow.
const trafficLogInterval = 20 * time.Second

// logTraffic logs the number of messages, links and target calls since the start, until ctx
// ends. The lines show a fleet's internal traffic to readers who have its log but not its
// metrics.
func (e *Entry) logTraffic(ctx context.Context) error {
	return every(ctx, trafficLogInterval, func(time.Time) { e.log.Info("figures", e.trafficAttrs()...) })
}

func (e *Entry) trafficAttrs() []any {
	out := []any{
		"after_s", int(time.Since(e.started).Seconds()),
		"links", e.links.OpenLinks(), "links_opened", e.links.Opened(),
		"target_starts", e.calls.Starts.Load(), "target_looks", e.calls.Polls.Load(), "target_stops", e.calls.Stops.Load(),
	}
	for _, s := range e.links.Stats() {
		if s.MessagesOut+s.MessagesIn == 0 {
			continue
		}
		out = append(out, slog.Group(s.Kind.String(), "out", s.MessagesOut, "in", s.MessagesIn, "bytes_out", s.BytesOut, "bytes_in", s.BytesIn))
	}
	return out
}
