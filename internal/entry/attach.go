package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/api"
	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/malformed"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/register"
	"github.com/vanillagrade/vanillagrade/internal/scheduler"
)

// Caller returns the handler of submissions, for servers that offer callers other
// protocols.
func (e *Entry) Caller() *api.Caller {
	return &api.Caller{Dispatcher: e, Config: e.config, Memory: e.memory, Refused: e.RecordRefusal}
}

// RecordRefusal records a refusal by another server of this entry.
func (e *Entry) RecordRefusal(a job.Answer) { e.record.RecordRefusal(a) }

// Config returns the view of the configuration in effect.
func (e *Entry) Config() config.View { return e.config }

// ConfirmBody returns the configuration file that a majority of the voters confirms as the
// latest.
func (e *Entry) ConfirmBody(ctx context.Context) ([]byte, register.Accepted, error) {
	return e.register.ConfirmBody(ctx)
}

// Announce handles the announcement of a target and returns the host of the entry that
// holds the target, to which it may send later announcements; empty while unknown.
func (e *Entry) Announce(ctx context.Context, t job.Target) (holderHost string, err error) {
	_, holder, err := e.targets.announce(ctx, t)
	if err != nil || e.discovered == nil {
		return "", errors.Trace(err)
	}
	r, ok := e.discovered.Get(holder)
	if !ok {
		return "", nil
	}
	host, _, err := net.SplitHostPort(r.Address)
	return host, errors.Trace(err)
}

// AnnounceStop announces that a target accepts no more work. It returns nil only if each entry
// that may hold the target has been notified.
func (e *Entry) AnnounceStop(ctx context.Context, t job.Target) error {
	return e.targets.AnnounceStop(ctx, &t)
}

// Withdraw announces that a target has ended.
func (e *Entry) Withdraw(ctx context.Context, id job.TargetID) error {
	return e.targets.Withdraw(ctx, id)
}

// Metrics returns the handler of the metrics address; nil unless the entry logs its
// events. droppedLines returns the number of log lines dropped for want of a reader.
func (e *Entry) Metrics(droppedLines func() uint64) http.Handler {
	if e.metrics == nil {
		return nil
	}
	m := e.metrics
	m.Gauge("vanillagrade_log_lines_left_out", func() float64 { return float64(e.eventLog.LeftOut()) })
	m.Gauge("vanillagrade_log_lines_dropped", func() float64 { return float64(droppedLines()) })
	m.Gauge("vanillagrade_submissions_running", func() float64 { return float64(e.join.RunningCount()) })
	m.Gauge("vanillagrade_configuration_number", func() float64 { return float64(e.Configuration()) })
	m.Gauge("vanillagrade_zones_cordoned", func() float64 { return float64(len(e.CordonedZones())) })
	m.Gauge("vanillagrade_body_bytes", func() float64 { return float64(e.memory.Used()) })
	m.Gauge("vanillagrade_body_bytes_limit", func() float64 { return float64(e.memory.Limit()) })
	m.Gauge("vanillagrade_targets_held", func() float64 { return float64(len(e.targets.registry.Held())) })
	m.Gauge("vanillagrade_targets_remembered", func() float64 { return float64(e.inventory.count()) })
	if e.inventory != nil {
		m.Gauge("vanillagrade_speed_records", func() float64 { return float64(e.inventory.speeds.count()) })
	}
	for _, kind := range malformed.Kinds {
		m.Gauge(fmt.Sprintf("vanillagrade_malformed_total{kind=%q}", kind), func() float64 { return float64(e.opts.Malformed.Total(kind)) })
	}
	m.Gauge("vanillagrade_tasks_suspected", func() float64 { return float64(e.crashes.tracker.Len()) })
	m.Gauge("vanillagrade_links", func() float64 { return float64(e.links.OpenLinks()) })
	m.Gauge("vanillagrade_links_opened", func() float64 { return float64(e.links.Opened()) })
	m.Gauge(`vanillagrade_target_calls{kind="start"}`, func() float64 { return float64(e.calls.Starts.Load()) })
	m.Gauge(`vanillagrade_target_calls{kind="look"}`, func() float64 { return float64(e.calls.Polls.Load()) })
	m.Gauge(`vanillagrade_target_calls{kind="stop"}`, func() float64 { return float64(e.calls.Stops.Load()) })
	for priority := range config.MaxPriority + 1 {
		count := func(result string, read func(scheduler.LevelCounts) uint64) {
			name := fmt.Sprintf("vanillagrade_priority_jobs_total{priority=\"%d\",result=%q}", priority, result)
			m.Gauge(name, func() float64 { return float64(read(e.holder.PriorityCounts(priority))) })
		}
		count("admitted", func(n scheduler.LevelCounts) uint64 { return n.Admitted })
		count("refused", func(n scheduler.LevelCounts) uint64 { return n.Refused })
		count("abandoned", func(n scheduler.LevelCounts) uint64 { return n.Abandoned })
	}
	m.Gauge("vanillagrade_runs_preempted", func() float64 { return float64(e.holder.Stats().Preempted) })
	m.Gauge("vanillagrade_preempted_seconds", func() float64 { return float64(e.holder.Stats().PreemptedMillis) / 1000 })
	m.Gauge("vanillagrade_slots_known", func() float64 { return float64(e.totalSlots()) })
	m.Gauge("vanillagrade_agreement_rounds", func() float64 { return float64(e.register.Round()) })
	m.Gauge("vanillagrade_voters_heard", func() float64 { return float64(e.register.VoterMetrics().Reachable) })
	m.Gauge("vanillagrade_voter_losses_left", func() float64 { return float64(e.register.VoterMetrics().LossesLeft) })
	m.Gauge("vanillagrade_spare_disks", func() float64 { return float64(e.register.VoterMetrics().Spares) })
	for _, kind := range peer.Kinds() {
		for name, read := range messageCounters {
			m.Gauge(fmt.Sprintf("%s{kind=%q}", name, kind), func() float64 { return float64(read(e.messageStats(kind))) })
		}
	}
	return m.Handler()
}

func (e *Entry) totalSlots() int {
	sum := 0
	for _, pool := range e.wantedPools() {
		sum += e.Slots(pool)
	}
	return sum
}

// messageCounters are the metrics of the messages exchanged with other entries.
var messageCounters = map[string]func(peer.KindStats) uint64{
	"vanillagrade_peer_bytes_sent":        func(s peer.KindStats) uint64 { return s.BytesOut },
	"vanillagrade_peer_bytes_received":    func(s peer.KindStats) uint64 { return s.BytesIn },
	"vanillagrade_peer_messages_sent":     func(s peer.KindStats) uint64 { return s.MessagesOut },
	"vanillagrade_peer_messages_received": func(s peer.KindStats) uint64 { return s.MessagesIn },
}

// messageStats returns the counts of one kind of message.
func (e *Entry) messageStats(kind peer.Kind) peer.KindStats {
	for _, s := range e.links.Stats() {
		if s.Kind == kind {
			return s
		}
	}
	return peer.KindStats{Kind: kind}
}
