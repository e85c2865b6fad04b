package fleet

import (
	"net"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

func (f *Fleet) member(name job.EntryID) *member {
	for _, m := range f.entries {
		if m.name == name {
			return m
		}
	}
	return nil
}

// Kill ends an entry at once, like the loss of its VM: its sockets close and
// work in progress is lost.
func (f *Fleet) Kill(name job.EntryID) {
	m := f.member(name)
	m.entry.Kill()
	<-m.done
	m.stopped = true
}

// Restart starts a new incarnation of a killed or stopped entry with the same
// addresses and data folder.
func (f *Fleet) Restart(name job.EntryID) error {
	m := f.member(name)
	for _, l := range []*net.Listener{&m.listen.Caller, &m.listen.Peer, &m.listen.Operator} {
		opened, err := net.Listen("tcp", (*l).Addr().String())
		if err != nil {
			return errors.Trace(err)
		}
		*l = opened
	}
	m.stopped = false
	return f.run(m)
}

// StopEntry performs a planned stop of one entry and waits until it has ended.
func (f *Fleet) StopEntry(name job.EntryID) error {
	m := f.member(name)
	m.stop()
	<-m.done
	m.stopped = true
	return m.err
}

// SetZonePartitioned partitions an availability zone from all others, or restores its
// links. It requires Options.Partitionable.
func (f *Fleet) SetZonePartitioned(zone job.Zone, cut bool) {
	for p, l := range f.links {
		if (f.member(p.from).zone == zone) != (f.member(p.to).zone == zone) {
			l.setCut(cut)
		}
	}
}
