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

// Kill ends an entry at once, as the loss of its VM does: sockets close, work
// in progress is gone.
func (f *Fleet) Kill(name job.EntryID) {
	m := f.member(name)
	m.entry.Kill()
	<-m.done
	m.dead = true
}

// Restart starts a new life of an entry that was killed or stopped, at its
// former addresses and with its former data folder.
func (f *Fleet) Restart(name job.EntryID) error {
	m := f.member(name)
	for _, l := range []*net.Listener{&m.listen.Caller, &m.listen.Peer, &m.listen.Operator} {
		opened, err := net.Listen("tcp", (*l).Addr().String())
		if err != nil {
			return errors.Trace(err)
		}
		*l = opened
	}
	m.dead = false
	return f.run(m)
}

// StopEntry stops one entry as planned and waits for its end.
func (f *Fleet) StopEntry(name job.EntryID) error {
	m := f.member(name)
	m.stop()
	<-m.done
	m.dead = true
	return m.err
}

// CutZone cuts an availability zone's entries off from those of all others, or
// joins them again. The fleet needs Wires.
func (f *Fleet) CutZone(zone job.Zone, cut bool) {
	for p, w := range f.wires {
		if (f.member(p.from).zone == zone) != (f.member(p.to).zone == zone) {
			w.set(cut)
		}
	}
}
