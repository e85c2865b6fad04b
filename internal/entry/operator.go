package entry

import (
	"context"
	"expvar"
	"runtime/debug"

	"github.com/vanillagrade/vanillagrade/internal/api"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/status"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// operator returns the operators' routes.
func (e *Entry) operator() *api.Operator {
	read := timeline.FleetReader(e.links, e.ring, e.peerNames)
	sources := e.sources()
	return &api.Operator{
		Token:        e.opts.Settings.OperatorToken,
		Configurator: e.register,
		Cordoner:     e,
		Timeline:     timeline.Handler(read),
		Status:       status.Handler(sources.Read),
		Drain:        e.Drain,
		Vars:         e.vars(),
	}
}

func (e *Entry) peerNames() []job.EntryID {
	var names []job.EntryID
	for _, p := range e.opts.Settings.Others() {
		names = append(names, p.Entry)
	}
	return append(names, e.discoveredNames()...)
}

// Drain begins a planned stop, as SIGTERM does.
func (e *Entry) Drain() {
	e.stopOnce.Do(func() { close(e.stopping) })
}

// version is the module version that the binary was built from.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}

// sources returns the sources of this entry's status.
func (e *Entry) sources() *status.Sources {
	return &status.Sources{
		Self:            e.self,
		Version:         version(),
		Draining:        e.check.Draining,
		Running:         e.join.RunningCount,
		Pools:           e.holder.Pools,
		Members:         e.memberStates,
		Holders:         e.members.Loads,
		Voters:          e.voters,
		Configuration:   e.configurationState,
		Outcomes:        e.record.Counts,
		Wanted:          e.wantedPools,
		ClockRejections: e.clock.Rejected,
		CordonedZones:   e.register.CordonedZones,
	}
}

func (e *Entry) voters() []job.EntryID {
	state := e.register.State()
	if len(state.Voters) == 0 {
		return e.opts.Settings.Voters
	}
	return state.VoterEntries()
}

func (e *Entry) configurationState() status.Configuration {
	if e.opts.Config != nil {
		return status.Configuration{Number: e.config.Current().Number}
	}
	s := e.register.State()
	return status.Configuration{Number: s.Number, Digest: s.Digest, Since: s.Since, Stale: s.Stale, StaleSince: s.StaleSince, Problem: s.Problem}
}

func (e *Entry) wantedPools() []string {
	file := e.config.Current()
	if file == nil {
		return nil
	}
	seen := map[string]bool{}
	var pools []string
	for i := range file.Services {
		if pool := file.Services[i].Pool; !seen[pool] {
			seen[pool] = true
			pools = append(pools, pool)
		}
	}
	return pools
}

// vars returns the counters of /debug/vars. They are not published in the
// process-wide set, since several entries share a process in tests.
func (e *Entry) vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("entry", expvar.Func(func() any { return e.self.Entry }))
	m.Set("running_submissions", expvar.Func(func() any { return e.join.RunningCount() }))
	m.Set("body_bytes", expvar.Func(func() any { return e.memory.Used() }))
	m.Set("holder", expvar.Func(func() any { return e.holder.Stats() }))
	m.Set("outcomes", expvar.Func(func() any { outcomes, _ := e.record.Counts(); return outcomes }))
	m.Set("reasons", expvar.Func(func() any { _, reasons := e.record.Counts(); return reasons }))
	status.MessageVars(m, e.traffic)
	return m
}

// traffic returns the messages and bytes that this entry sent to others, by kind.
func (e *Entry) traffic() []status.Traffic {
	var sent []status.Traffic
	for _, k := range e.links.Stats() {
		sent = append(sent, status.Traffic{Kind: k.Kind, Messages: k.MessagesOut, Bytes: k.BytesOut})
	}
	return sent
}

// stopContext returns a context that ends with ctx or when a drain is requested.
func (e *Entry) stopContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-e.stopping:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
