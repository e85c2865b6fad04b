// Package fleet runs a whole fleet in one process on loopback: entries in
// several availability zones and stand-in targets. The demo, the golden
// sessions and the load tool use it; every message goes through real sockets.
package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/entry"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/register"
	"github.com/vanillagrade/vanillagrade/internal/scheduler"
	"github.com/vanillagrade/vanillagrade/internal/settings"
	"github.com/vanillagrade/vanillagrade/internal/standin"
)

// Options describes a fleet.
type Options struct {
	// Zones names the availability zones; each gets EntriesPerZone entries and
	// TargetsPerZone stand-in targets.
	Zones          []job.Zone
	EntriesPerZone int
	TargetsPerZone int
	// Pool is what the stand-in targets announce as their service.
	Pool string
	// TargetsPerRack groups a zone's targets into racks; zero is one rack.
	TargetsPerRack int
	// Target is the pattern of every stand-in: slots, sizes, speed.
	Target standin.Options
	// Change, when set, may alter one stand-in's options.
	Change func(index int, o *standin.Options)
	// Scheduler switches single decisions off, for measurements.
	Scheduler scheduler.Options
	// Events bounds each entry's time line, as entry.Options says.
	Events int
	// File is a declarative file that is applied at the start; the first
	// entries of up to three zones vote on it.
	File []byte
	// Config, when set, is in force in place of File, without agreement.
	Config config.View
	// Wires puts a wire that can be cut between each two entries.
	Wires bool
	// Discover has the entries find each other through seeds, as on a platform that
	// names only some addresses.
	Discover bool
	// Dir is where voters keep their data; by default a temporary folder that
	// Stop removes.
	Dir string
	Log *slog.Logger
	// LogEvents writes decisions to Log, as entry.Options says.
	LogEvents bool
}

// Fleet is a running fleet.
type Fleet struct {
	opts Options
	temp bool
	// Ledger sees the starts at all targets together.
	Ledger  *standin.Ledger
	wires   map[pair]*wire
	entries []*member
	targets []*standTarget
}

// member is one entry's process-like life.
type member struct {
	name   job.EntryID
	zone   job.Zone
	listen entry.Listeners
	entry  *entry.Entry
	// dead is set while no life of the entry runs.
	dead bool
	life
}

type standTarget struct {
	*standin.Target
	life
}

// pair names the two ends of a wire, the dialling one first.
type pair struct{ from, to job.EntryID }

// life is something that runs until it is stopped.
type life struct {
	stop context.CancelFunc
	done chan struct{}
	err  error
}

// start runs f until stop is called.
func (l *life) start(f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	l.done = make(chan struct{})
	go func() {
		defer close(l.done)
		l.err = f(ctx)
	}()
}

// Start starts all entries and then all targets, and returns once each entry
// is ready.
func Start(o Options) (*Fleet, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	f := &Fleet{opts: o, Ledger: standin.NewLedger()}
	if err := f.makeDir(); err != nil {
		return nil, errors.Trace(err)
	}
	if err := f.startEntries(); err != nil {
		return nil, errors.Trace(err)
	}
	if o.File != nil {
		if err := f.applyFirst(); err != nil {
			return nil, errors.Trace(err)
		}
	}
	if err := f.startTargets(); err != nil {
		return nil, errors.Trace(err)
	}
	return f, nil
}

// makeDir makes the folder of the voters' data.
func (f *Fleet) makeDir() error {
	if f.opts.Dir != "" {
		return nil
	}
	dir, err := os.MkdirTemp("", "vanillagrade-fleet-")
	f.opts.Dir = dir
	f.temp = true
	return errors.Trace(err)
}

// firstApply bounds the first agreement: three synced writes and a few tries
// while the links come up.
const firstApply = 20 * time.Second

// applyPause is the wait between two tries of the first agreement.
const applyPause = 50 * time.Millisecond

// applyFirst applies the first file and waits until it is in force everywhere.
func (f *Fleet) applyFirst() error {
	ctx, cancel := context.WithTimeout(context.Background(), firstApply)
	defer cancel()
	// Entries that find each other answer at once while they know no majority.
	for {
		_, err := f.entries[0].entry.Apply(ctx, "first", f.opts.File)
		if err == nil {
			break
		}
		if !f.opts.Discover || !errors.Is(err, register.ErrUnavailable) || ctx.Err() != nil {
			return errors.Annotate(err, "applying the first file")
		}
		time.Sleep(applyPause)
	}
	for _, m := range f.entries {
		if err := wait(ctx, func() bool { return m.entry.Configuration() > 0 }); err != nil {
			return errors.Annotatef(err, "entry %s has no configuration", m.name)
		}
	}
	return nil
}

// wait polls until done or until ctx ends.
func wait(ctx context.Context, done func() bool) error {
	const poll = 10 * time.Millisecond
	for !done() {
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-time.After(poll):
		}
	}
	return nil
}

func (f *Fleet) startEntries() error {
	for _, zone := range f.opts.Zones {
		for i := range f.opts.EntriesPerZone {
			m := &member{name: entryName(zone, i), zone: zone}
			if err := m.open(); err != nil {
				return errors.Trace(err)
			}
			f.entries = append(f.entries, m)
		}
	}
	if f.opts.Wires {
		if err := f.layWires(); err != nil {
			return errors.Trace(err)
		}
	}
	for _, m := range f.entries {
		if err := f.run(m); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (f *Fleet) layWires() error {
	f.wires = map[pair]*wire{}
	for _, from := range f.entries {
		for _, to := range f.entries {
			if from == to {
				continue
			}
			w, err := newWire(to.listen.Peer.Addr().String())
			if err != nil {
				return errors.Trace(err)
			}
			f.wires[pair{from.name, to.name}] = w
		}
	}
	return nil
}

func (m *member) open() error {
	for _, l := range []*net.Listener{&m.listen.Caller, &m.listen.Peer, &m.listen.Operator} {
		opened, err := Listen()
		if err != nil {
			return errors.Trace(err)
		}
		*l = opened
	}
	return nil
}

func (f *Fleet) run(m *member) error {
	e, err := entry.New(entry.Options{
		Settings:  f.settings(m),
		Listeners: m.listen,
		Log:       f.opts.Log,
		Scheduler: f.opts.Scheduler,
		Events:    f.opts.Events,
		Config:    f.opts.Config,
		Linger:    linger,
		LogEvents: f.opts.LogEvents,
	})
	if err != nil {
		return errors.Trace(err)
	}
	m.entry = e
	m.start(e.Run)
	return nil
}

func (f *Fleet) settings(m *member) settings.Entry {
	s := settings.Entry{
		Name:         m.name,
		Zone:         m.zone,
		CallerAddr:   m.listen.Caller.Addr().String(),
		PeerAddr:     m.listen.Peer.Addr().String(),
		OperatorAddr: m.listen.Operator.Addr().String(),
	}
	if f.opts.Discover {
		f.discover(m, &s)
		return s
	}
	for _, p := range f.entries {
		address := p.listen.Peer.Addr().String()
		if w := f.wires[pair{m.name, p.name}]; w != nil {
			address = w.address()
		}
		s.Peers = append(s.Peers, settings.Peer{Entry: p.name, Zone: p.zone, Address: address})
	}
	s.Voters = f.voters()
	if slices.Contains(s.Voters, m.name) {
		s.DataDir = filepath.Join(f.opts.Dir, string(m.name))
	}
	return s
}

// discover names only the voters' addresses, as seeds.
func (f *Fleet) discover(m *member, s *settings.Entry) {
	s.Discover, s.TrustNetwork = true, true
	voters := f.voters()
	s.WantVoters = len(voters)
	for _, p := range f.entries {
		if slices.Contains(voters, p.name) {
			s.Seeds = append(s.Seeds, p.listen.Peer.Addr().String())
		}
	}
	s.Founders = s.Seeds
	if slices.Contains(voters, m.name) {
		s.DataDir = filepath.Join(f.opts.Dir, string(m.name))
	}
}

// linger is shorter than on real VMs: everything here is on one machine.
const linger = 300 * time.Millisecond

// maxVoters is how many entries vote: three bear the loss of one.
const maxVoters = 3

// voters returns the first entry of each of an odd number of zones.
func (f *Fleet) voters() []job.EntryID {
	var names []job.EntryID
	for _, zone := range f.opts.Zones[:min(maxVoters, len(f.opts.Zones)-1+len(f.opts.Zones)%2)] {
		names = append(names, entryName(zone, 0))
	}
	return names
}

func entryName(zone job.Zone, i int) job.EntryID {
	return job.EntryID(fmt.Sprintf("%s-%d", zone, i+1))
}

func (f *Fleet) startTargets() error {
	index := 0
	for _, zone := range f.opts.Zones {
		for i := range f.opts.TargetsPerZone {
			if err := f.startTarget(zone, index, i); err != nil {
				return errors.Trace(err)
			}
			index++
		}
	}
	return nil
}

func (f *Fleet) startTarget(zone job.Zone, index, i int) error {
	o := f.opts.Target
	o.ID = job.TargetID(fmt.Sprintf("%s-t%d", zone, i+1))
	o.Service = f.opts.Pool
	o.Zone = zone
	o.Rack = fmt.Sprintf("%s-r%d", zone, i/max(1, f.opts.TargetsPerRack))
	o.Entries = f.CallerAddresses(zone)
	o.Ledger = f.Ledger
	o.Log = f.opts.Log
	if f.opts.Change != nil {
		f.opts.Change(index, &o)
	}
	t, err := standin.New(o)
	if err != nil {
		return errors.Trace(err)
	}
	st := &standTarget{Target: t}
	st.start(t.Run)
	f.targets = append(f.targets, st)
	return nil
}

// CallerAddresses returns the callers' addresses of a zone's entries, or of
// all entries for an empty zone.
func (f *Fleet) CallerAddresses(zone job.Zone) []string {
	var out []string
	for _, m := range f.entries {
		if zone == "" || m.zone == zone {
			out = append(out, m.listen.Caller.Addr().String())
		}
	}
	return out
}

// OperatorAddresses returns the operators' addresses of all entries.
func (f *Fleet) OperatorAddresses() []string {
	var out []string
	for _, m := range f.entries {
		out = append(out, m.listen.Operator.Addr().String())
	}
	return out
}

// TargetAddresses returns the addresses of all stand-in targets.
func (f *Fleet) TargetAddresses() []string {
	var out []string
	for _, t := range f.targets {
		out = append(out, t.Addr())
	}
	return out
}

// Names returns the names of all entries.
func (f *Fleet) Names() []job.EntryID {
	var out []job.EntryID
	for _, m := range f.entries {
		out = append(out, m.name)
	}
	return out
}

// WaitReady waits until every live entry knows that many slots of the pool, or
// ctx ends.
func (f *Fleet) WaitReady(ctx context.Context, slots int) error {
	var least int
	err := wait(ctx, func() bool {
		least = slots
		for _, m := range f.entries {
			if !m.dead {
				least = min(least, m.entry.Slots(f.opts.Pool))
			}
		}
		return least >= slots
	})
	return errors.Annotatef(err, "an entry knows %d of %d slots", least, slots)
}

// Stop stops all entries as planned, side by side, and then the targets.
func (f *Fleet) Stop() error {
	var wg sync.WaitGroup
	for _, m := range f.entries {
		m.stop()
		wg.Go(func() { <-m.done })
	}
	wg.Wait()
	for _, t := range f.targets {
		t.stop()
	}
	for _, t := range f.targets {
		<-t.done
	}
	for _, w := range f.wires {
		w.close()
	}
	if f.temp {
		_ = os.RemoveAll(f.opts.Dir)
	}
	for _, m := range f.entries {
		if m.err != nil && !m.dead {
			return errors.Annotatef(m.err, "entry %s", m.name)
		}
	}
	return nil
}
