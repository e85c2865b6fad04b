// Package fleet runs a whole fleet in one process on loopback: entries in
// several availability zones and stand-in targets. All messages use real
// sockets. The demo, the golden sessions and the load tool are built on it.
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
	// Pool is the service that the stand-in targets announce.
	Pool string
	// TargetsPerRack groups a zone's targets into racks; zero is one rack.
	TargetsPerRack int
	// Target is the template for every stand-in target: slots, sizes, speed.
	Target standin.Options
	// ModifyTarget, if set, may modify the options of each stand-in target.
	ModifyTarget func(index int, o *standin.Options)
	// Scheduler can switch off single scheduling decisions, for measurements.
	Scheduler scheduler.Options
	// Events bounds each entry's time line; see entry.Options.
	Events int
	// File is a declarative configuration file that is applied at the start. The
	// first entries of up to three zones vote on it.
	File []byte
	// Config, if set, is used instead of File, without a vote.
	Config config.View
	// Partitionable connects every two entries through links that can be partitioned.
	Partitionable bool
	// Discover makes the entries discover each other through seeds, as on a
	// platform that provides only some addresses.
	Discover bool
	// Dir is the folder for the voters' data. By default it is a temporary folder
	// that Stop removes.
	Dir string
	Log *slog.Logger
	// LogEvents writes decisions to Log; see entry.Options.
	LogEvents bool
}

// Fleet is a running fleet.
type Fleet struct {
	opts      Options
	removeDir bool
	// Starts records the task starts at all targets.
	Starts  *standin.StartTracker
	links   map[linkEnds]*link
	entries []*member
	targets []*runningTarget
}

// member is one entry with its listeners, across all its incarnations.
type member struct {
	name   job.EntryID
	zone   job.Zone
	listen entry.Listeners
	entry  *entry.Entry
	// stopped is set while no incarnation of the entry runs.
	stopped bool
	runner
}

type runningTarget struct {
	*standin.Target
	runner
}

// linkEnds names the dialling and the accepting entry of a link.
type linkEnds struct{ from, to job.EntryID }

// runner runs a function in a goroutine until it is stopped.
type runner struct {
	stop context.CancelFunc
	done chan struct{}
	err  error
}

// start runs f until stop is called.
func (l *runner) start(f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	l.done = make(chan struct{})
	go func() {
		defer close(l.done)
		l.err = f(ctx)
	}()
}

// Start starts all entries and then all targets. If Options.File is set, Start
// waits until every entry has applied it; WaitReady waits for the targets.
func Start(o Options) (*Fleet, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	f := &Fleet{opts: o, Starts: standin.NewStartTracker()}
	if err := f.makeDir(); err != nil {
		return nil, errors.Trace(err)
	}
	if err := f.startEntries(); err != nil {
		return nil, errors.Trace(err)
	}
	if o.File != nil {
		if err := f.applyInitialFile(); err != nil {
			return nil, errors.Trace(err)
		}
	}
	if err := f.startTargets(); err != nil {
		return nil, errors.Trace(err)
	}
	return f, nil
}

// makeDir creates a temporary folder for the voters' data unless Options.Dir is
// set.
func (f *Fleet) makeDir() error {
	if f.opts.Dir != "" {
		return nil
	}
	dir, err := os.MkdirTemp("", "vanillagrade-fleet-")
	f.opts.Dir = dir
	f.removeDir = true
	return errors.Trace(err)
}

// firstApplyTimeout bounds the first vote: three synced writes and a few retries
// while connections are established.
const firstApplyTimeout = 20 * time.Second

// applyRetryDelay is the delay between two attempts to apply the first file.
const applyRetryDelay = 50 * time.Millisecond

// applyInitialFile applies the first file and waits until it is in effect at all
// entries.
func (f *Fleet) applyInitialFile() error {
	ctx, cancel := context.WithTimeout(context.Background(), firstApplyTimeout)
	defer cancel()
	// During discovery, entries that know no majority yet fail at once.
	for {
		_, err := f.entries[0].entry.Apply(ctx, "first", f.opts.File)
		if err == nil {
			break
		}
		if !f.opts.Discover || !errors.Is(err, register.ErrUnavailable) || ctx.Err() != nil {
			return errors.Annotate(err, "applying the first file")
		}
		time.Sleep(applyRetryDelay)
	}
	for _, m := range f.entries {
		if err := wait(ctx, func() bool { return m.entry.Configuration() > 0 }); err != nil {
			return errors.Annotatef(err, "entry %s has no configuration", m.name)
		}
	}
	return nil
}

// wait polls until done returns true or ctx ends.
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
	if f.opts.Partitionable {
		if err := f.openLinks(); err != nil {
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

func (f *Fleet) openLinks() error {
	f.links = map[linkEnds]*link{}
	for _, from := range f.entries {
		for _, to := range f.entries {
			if from == to {
				continue
			}
			l, err := newLink(to.listen.Peer.Addr().String())
			if err != nil {
				return errors.Trace(err)
			}
			f.links[linkEnds{from.name, to.name}] = l
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
		Settings:     f.settings(m),
		Listeners:    m.listen,
		Log:          f.opts.Log,
		Scheduler:    f.opts.Scheduler,
		Events:       f.opts.Events,
		Config:       f.opts.Config,
		LingerPeriod: linger,
		LogEvents:    f.opts.LogEvents,
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
		if l := f.links[linkEnds{m.name, p.name}]; l != nil {
			address = l.address()
		}
		s.Peers = append(s.Peers, settings.Peer{Entry: p.name, Zone: p.zone, Address: address})
	}
	s.Voters = f.voters()
	if slices.Contains(s.Voters, m.name) {
		s.DataDir = filepath.Join(f.opts.Dir, string(m.name))
	}
	return s
}

// discover configures only the voters' addresses, as seeds.
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

// linger is shorter than on real VMs because the whole fleet runs on one machine.
const linger = 300 * time.Millisecond

// maxVoters limits the number of voters; three tolerate the loss of one.
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
	o.Starts = f.Starts
	o.Log = f.opts.Log
	if f.opts.ModifyTarget != nil {
		f.opts.ModifyTarget(index, &o)
	}
	t, err := standin.New(o)
	if err != nil {
		return errors.Trace(err)
	}
	rt := &runningTarget{Target: t}
	rt.start(t.Run)
	f.targets = append(f.targets, rt)
	return nil
}

// CallerAddresses returns the addresses for callers at a zone's entries, or at
// all entries if zone is empty.
func (f *Fleet) CallerAddresses(zone job.Zone) []string {
	var out []string
	for _, m := range f.entries {
		if zone == "" || m.zone == zone {
			out = append(out, m.listen.Caller.Addr().String())
		}
	}
	return out
}

// OperatorAddresses returns the addresses for operators at all entries.
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

// WaitReady waits until every running entry knows the given number of slots of
// the pool, or until ctx ends.
func (f *Fleet) WaitReady(ctx context.Context, slots int) error {
	var least int
	err := wait(ctx, func() bool {
		least = slots
		for _, m := range f.entries {
			if !m.stopped {
				least = min(least, m.entry.Slots(f.opts.Pool))
			}
		}
		return least >= slots
	})
	return errors.Annotatef(err, "an entry knows %d of %d slots", least, slots)
}

// Stop performs a planned stop of all entries in parallel, and then stops the
// targets.
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
	for _, l := range f.links {
		l.close()
	}
	if f.removeDir {
		_ = os.RemoveAll(f.opts.Dir)
	}
	for _, m := range f.entries {
		if m.err != nil && !m.stopped {
			return errors.Annotatef(m.err, "entry %s", m.name)
		}
	}
	return nil
}
