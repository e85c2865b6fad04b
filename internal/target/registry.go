package target

import (
	"net/netip"
	"sort"
	"sync"
	"time"
	"unicode"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Bounds of what a target may announce. They are well above the machines of
// any rack; a figure beyond them is a mistake of unit or sign, and taking it
// would pile work on one target.
const (
	maxNameBytes    = 128
	maxSlots        = 1024
	maxConnections  = 65536
	maxProcessors   = 4096
	maxMemoryMB     = 64 << 20
	maxAccelerators = 1024
	// milli is how many thousandths make a processor.
	milli = 1000
)

const (
	// Renewals is how many announcements fit into one lease, so that two lost
	// ones in a row don't end it.
	Renewals = 3
	// withdrawnFor is how long a withdrawn target's announcements are refused
	// at the address that it left. An announcement that was on its way through
	// another entry may come after the withdrawal and would bring the target
	// back for a whole lease, to which tasks would be sent in vain. Such a
	// message is at most as old as the timeout of its request.
	withdrawnFor = time.Second
)

// buriedFor is how long the announcements of a target are refused that has ended
// for good and whose name is never used again: longer than a cut may hold one of
// them up.
const buriedFor = time.Minute

// maxBuried bounds the targets that are remembered as ended though they were not
// held: six times as many as the largest fleet planned has, and 2 MB. Without it,
// whoever sends names at random fills the memory.
const maxBuried = 16384

// ErrWithdrawn is returned for an announcement that came too soon after a
// withdrawal.
const ErrWithdrawn = errors.ConstError("the target has just withdrawn; announce again in a second")

// Registry keeps the targets that this entry holds, each under a lease. It
// reads no clock and is safe for concurrent use.
type Registry struct {
	zone   job.Zone
	config config.View

	mu        sync.Mutex
	held      map[job.TargetID]*lease
	byAddress map[string]job.TargetID
	withdrawn map[job.TargetID]departure
	// buried are targets whose names are never used again, and until when they
	// are remembered.
	buried map[grave]time.Time
}

// grave names a target that has ended, at one address or, if that is empty, at any.
type grave struct {
	id      job.TargetID
	address string
}

// lease is one held target.
type lease struct {
	target  job.Target
	expires time.Time
	// former is the address before the last move and until when an
	// announcement from there is refused.
	former departure
}

// departure is an address that a target left.
type departure struct {
	address string
	until   time.Time
}

// NewRegistry returns an empty registry of an entry in the given zone.
func NewRegistry(zone job.Zone, view config.View) *Registry {
	return &Registry{
		zone:      zone,
		config:    view,
		held:      make(map[job.TargetID]*lease),
		byAddress: make(map[string]job.TargetID),
		withdrawn: make(map[job.TargetID]departure),
		buried:    make(map[grave]time.Time),
	}
}

// Bury refuses all further announcements of a target at an address; an empty one
// stands for any.
func (r *Registry) Bury(now time.Time, id job.TargetID, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held[id] == nil && len(r.buried) >= maxBuried {
		return
	}
	r.buried[grave{id, address}] = now.Add(buriedFor)
}

// Buried returns how many targets are remembered as ended.
func (r *Registry) Buried() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.buried)
}

// isBuried reports whether a target has ended; the caller holds the lock.
func (r *Registry) isBuried(now time.Time, t *job.Target) bool {
	return now.Before(r.buried[grave{t.ID, ""}]) || now.Before(r.buried[grave{t.ID, t.Address}])
}

// Get returns a target that is held here.
func (r *Registry) Get(id job.TargetID) (job.Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.held[id]; l != nil {
		return l.target, true
	}
	return job.Target{}, false
}

// Announce takes or renews a target's lease and returns how long it holds and
// when the target should announce again. A refused announcement changes
// nothing.
func (r *Registry) Announce(now time.Time, t job.Target) (lasts, renew time.Duration, err error) {
	if err := Check(t, r.zone); err != nil {
		return 0, 0, errors.Trace(err)
	}
	lasts = r.leaseTime()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.conflict(now, t); err != nil {
		return 0, 0, errors.Trace(err)
	}
	r.put(now, t, lasts)
	return lasts, lasts / Renewals, nil
}

func (r *Registry) leaseTime() time.Duration {
	if f := r.config.Current(); f != nil && f.Targets.Lease > 0 {
		return f.Targets.Lease
	}
	return config.DefaultLease
}

func (r *Registry) conflict(now time.Time, t job.Target) error {
	if r.isBuried(now, &t) {
		return ErrWithdrawn
	}
	if d, ok := r.withdrawn[t.ID]; ok && d.address == t.Address && now.Before(d.until) {
		return ErrWithdrawn
	}
	if l := r.held[t.ID]; l != nil && l.former.address == t.Address && now.Before(l.former.until) {
		return errors.AlreadyExistsf("target %s at %s: two targets announce one id, and it", t.ID, l.target.Address)
	}
	// Also while the other's lease has run out but not been ended yet: taken
	// over here, nobody would tell the holder that the other target is gone.
	if other, ok := r.byAddress[t.Address]; ok && other != t.ID {
		return errors.AlreadyExistsf("target %s at %s", other, t.Address)
	}
	return nil
}

func (r *Registry) put(now time.Time, t job.Target, lasts time.Duration) {
	delete(r.withdrawn, t.ID)
	l := r.held[t.ID]
	if l == nil {
		l = &lease{}
		r.held[t.ID] = l
	}
	if l.target.Address != "" && l.target.Address != t.Address {
		l.former = departure{address: l.target.Address, until: l.expires}
		delete(r.byAddress, l.target.Address)
	}
	l.target = t
	l.expires = now.Add(lasts)
	r.byAddress[t.Address] = t.ID
}

func (r *Registry) drop(id job.TargetID) {
	l := r.held[id]
	if l == nil {
		return
	}
	delete(r.held, id)
	if r.byAddress[l.target.Address] == id {
		delete(r.byAddress, l.target.Address)
	}
}

// Displaced returns the target that is held at the address of another one which
// announces itself, and which has not ended itself: it is a former life there.
func (r *Registry) Displaced(now time.Time, t *job.Target) (job.TargetID, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	former, held := r.byAddress[t.Address]
	if r.isBuried(now, t) {
		return "", false
	}
	return former, held && former != t.ID
}

// Holds reports whether the target is held here.
func (r *Registry) Holds(id job.TargetID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held[id] != nil
}

// Withdraw ends a target's lease at its own word and reports whether it was
// held.
func (r *Registry) Withdraw(now time.Time, id job.TargetID) (job.Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.held[id]
	if l == nil {
		return job.Target{}, false
	}
	r.withdrawn[id] = departure{address: l.target.Address, until: now.Add(withdrawnFor)}
	r.drop(id)
	return l.target, true
}

// Expire ends the leases that have run out and returns their targets.
func (r *Registry) Expire(now time.Time) []job.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, d := range r.withdrawn {
		if !now.Before(d.until) {
			delete(r.withdrawn, id)
		}
	}
	for id, until := range r.buried {
		if !now.Before(until) {
			delete(r.buried, id)
		}
	}
	return r.take(func(l *lease) bool { return !now.Before(l.expires) })
}

// Release gives up the targets for which keep is false, since another entry
// now holds them, and returns them, so that they can be passed on.
func (r *Registry) Release(keep func(*job.Target) bool) []job.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.take(func(l *lease) bool { return !keep(&l.target) })
}

// take drops and returns the leases that match, ordered by id.
func (r *Registry) take(match func(*lease) bool) []job.Target {
	var out []job.Target
	for id, l := range r.held {
		if match(l) {
			out = append(out, l.target)
			r.drop(id)
		}
	}
	return ordered(out)
}

// Held returns the targets under a lease, ordered by id.
func (r *Registry) Held() []job.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]job.Target, 0, len(r.held))
	for _, l := range r.held {
		out = append(out, l.target)
	}
	return ordered(out)
}

func ordered(ts []job.Target) []job.Target {
	sort.Slice(ts, func(i, j int) bool { return ts[i].ID < ts[j].ID })
	return ts
}

// Check reports what is wrong with an announcement to an entry of the zone.
func Check(t job.Target, zone job.Zone) error {
	if err := CheckID(t.ID); err != nil {
		return err
	}
	if err := checkName("service", t.Pool); err != nil {
		return err
	}
	if err := checkAddress(t.Address); err != nil {
		return err
	}
	if t.Zone != zone {
		return errors.NotValidf("availability_zone %q: this entry is in %q, and it", t.Zone, zone)
	}
	if err := checkName("availability_zone", string(t.Zone)); err != nil {
		return err
	}
	if t.Rack != "" {
		if err := checkName("rack", t.Rack); err != nil {
			return err
		}
	}
	return checkAmounts(t)
}

// CheckID reports what is wrong with the name of a target.
func CheckID(id job.TargetID) error { return checkName("id", string(id)) }

func checkName(what, name string) error {
	if name == "" {
		return errors.NotValidf("announcement without %s", what)
	}
	if len(name) > maxNameBytes {
		return errors.NotValidf("%s of %d bytes (at most %d)", what, len(name), maxNameBytes)
	}
	for _, c := range name {
		if unicode.IsControl(c) || c == unicode.ReplacementChar {
			return errors.NotValidf("%s %q", what, name)
		}
	}
	return nil
}

func checkAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return errors.NotValidf("address %q (IP:PORT that entries can reach)", address)
	}
	return nil
}

func checkAmounts(t job.Target) error {
	amounts := []struct {
		name       string
		value, top int
	}{
		{"slots", t.Slots, maxSlots},
		{"connections", t.Connections, maxConnections},
		{"processors", t.Processors, maxProcessors},
		{"milli_processors", t.MilliProcessors, milli * maxProcessors},
		{"memory_mb", t.MemoryMB, maxMemoryMB},
		{"accelerators", t.Accelerators, maxAccelerators},
		{"running", t.Running, maxSlots},
	}
	for _, a := range amounts {
		if a.value < 0 || a.value > a.top {
			return errors.NotValidf("%s %d (0 to %d)", a.name, a.value, a.top)
		}
	}
	return nil
}
