package entry

import (
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/membership"
	"github.com/vanillagrade/vanillagrade/internal/policy/assign"
	"github.com/vanillagrade/vanillagrade/internal/status"
)

// lastIncarnations records the last incarnation seen of each entry, so that the end
// of an incarnation is noticed even if the next one has already started.
type lastIncarnations map[job.EntryID]job.Owner

// assembleMembership creates the membership and connects it to the data that heartbeats carry.
func (e *Entry) assembleMembership() {
	var peers []membership.Peer
	for _, p := range e.opts.Settings.Others() {
		peers = append(peers, membership.Peer{Entry: p.Entry, Zone: p.Zone})
	}
	e.lastIncarnations = lastIncarnations{}
	var across membership.Timings
	if e.opts.Settings.Discover {
		across = crossZoneTimings
	}
	defer func() {
		if e.opts.Settings.Discover {
			s := &e.opts.Settings
			e.members.Add(membership.Peer{
				Entry: e.self.Entry, Zone: e.self.Zone, Reserve: s.DataDir != "",
				Carries: assign.TargetCapacity(s.Processors, s.LinkMbps), Capacity: assign.FullCapacity(s.Processors, s.LinkMbps),
			})
		}
	}()
	var recordProof func(job.Owner, time.Time)
	var mayProve func(job.EntryID) bool
	var exchange func(job.EntryID)
	if e.opts.Settings.Discover {
		e.rights = newRights(e)
		recordProof, mayProve = e.rights.recordProof, e.mayProve
		exchange = e.exchangeRecords
	}
	e.members = membership.New(membership.Options{
		Now:       e.vmClock.Now,
		Proved:    recordProof,
		MayProve:  mayProve,
		Mesh:      e.links,
		Peers:     peers,
		Across:    across,
		Log:       e.log,
		Events:    e.events,
		Config:    e.register,
		Loads:     e.holder.Loads,
		Refused:   e.links.Refused,
		Busy:      e.sharesWorkWith,
		KeepLinks: e.links.SetPersistent,
		Loaded:    e.recordLoads,
		Compare:   exchange,
	})
}

// recordLoads records the loads that another entry has reported.
func (e *Entry) recordLoads(loads []membership.Load) {
	if e.holders != nil {
		e.holders.recordLoads(time.Now(), loads)
	}
}

// sharesWorkWith lists the entries that hold work of this one, and those whose work
// this one holds.
func (e *Entry) sharesWorkWith() []job.EntryID {
	if e.remote == nil {
		return nil // the entry is still being assembled
	}
	out := e.remote.Holders()
	for _, owner := range e.holder.Owners() {
		out = append(out, owner.Entry)
	}
	return out
}

// setView reacts to a new view of the entries. Membership calls it from one
// goroutine.
func (e *Entry) setView(view membership.Members) {
	e.holders.setView(view)
	e.targets.setView(view)
	e.dropEndedOwners(view)
	if file := e.config.Current(); file != nil {
		e.admit.Configure(file, e.quotaShare())
	}
}

// dropEndedOwners drops the queued tasks of owners whose incarnation has ended: nobody
// can receive their results, so they would only take slots from others. Running tasks
// continue, since an entry that takes the submission over may fetch their results.
func (e *Entry) dropEndedOwners(view membership.Members) {
	for _, m := range view.List {
		last, known := e.lastIncarnations[m.Entry]
		if known && view.Gone(m.Entry, last.Incarnation) {
			e.holder.Drop(last)
			delete(e.lastIncarnations, m.Entry)
		}
		if m.Live() && m.Incarnation != 0 && m.Entry != e.self.Entry {
			e.lastIncarnations[m.Entry] = m.Owner()
		}
	}
}

// quotaShare is the fraction of each team's quota that this entry grants: the
// balancer spreads callers over all serving entries.
func (e *Entry) quotaShare() float64 {
	view := e.members.View()
	serving := 0
	for _, m := range view.List {
		if m.Serving() {
			serving++
		}
	}
	return 1 / float64(max(1, serving))
}

// memberStates returns the entries for the status.
func (e *Entry) memberStates() []status.Member {
	view := e.members.View()
	var out []status.Member
	for _, m := range view.List {
		out = append(out, status.Member{Entry: m.Entry, Zone: m.Zone, State: stateOf(m.State)})
	}
	return out
}

func stateOf(s membership.State) status.MemberState {
	switch s {
	case membership.Alive, membership.Draining:
		return status.Alive
	case membership.Suspect:
		return status.Suspect
	case membership.Left:
		return status.Left
	case membership.Dead:
	}
	return status.Dead
}
