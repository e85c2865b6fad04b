package target

import (
	"cmp"
	"net/netip"
	"sort"
	"sync"
	"time"
	"unicode"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Limits of announced values. They are well above the size of any machine. A larger
// value is a mistake of unit or sign, and accepting it would overload one target.
const (
	maxNameBytes    = 128
	maxSlots        = 1024
	maxConnections  = 65536
	maxProcessors   = 4096
	maxMemoryMB     = 64 << 20
	maxAccelerators = 1024
	// milliPerProcessor is the number of thousandths in a processor.
	milliPerProcessor = 1000
)

const (
	// RenewalsPerLease is the number of announcements per lease. Two consecutive lost
	// ones don't end the lease.
	RenewalsPerLease = 3
	// withdrawnPeriod is how long the announcements of a withdrawn target are
	// refused for its former address. An announcement that is in transit through
	// another entry may arrive after the withdrawal. It would restore the target
	// for a whole lease, and tasks would be sent to it in vain. Such a message is
	// at most as old as the timeout of its request.
	withdrawnPeriod = time.Second
)

// endedPeriod is how long announcements are refused from a target that has ended. It is longer than a partition can delay an announcement.
const endedPeriod = time.Minute

// maxEnded bounds the targets that are recorded as ended although they were not
// held: six times the targets of the largest planned fleet, and 2 MB. Without a
// limit, a client that sends random names could fill the memory.
const maxEnded = 16384

// ErrWithdrawn is returned for an announcement that arrives too soon after the
// target's withdrawal or end.
const ErrWithdrawn = errors.ConstError("the target has just withdrawn; announce again in a second")

// Registry tracks the targets that this entry holds, each under a lease. It reads no
// clock itself and is safe for concurrent use.
type Registry struct {
	zone   job.Zone
	config config.View

	mu        sync.Mutex
	held      map[job.TargetID]*lease
	byAddress map[string]job.TargetID
	withdrawn map[job.TargetID]formerAddress
	// ended holds the targets that have ended.
	ended map[endedKey]endedRecord
}

// endedKey identifies a target that has ended. An empty address means any address.
type endedKey struct {
	id      job.TargetID
	address string
}

// endedRecord refuses the announcements of a target that has ended, until it expires. A
// process that started after startedAt is a later one under the same id; its announcements
// are accepted.
type endedRecord struct {
	expires   time.Time
	startedAt int64
}

// lease is one held target.
type lease struct {
	target  job.Target
	expires time.Time
	// former is the address before the last change of address.
	former formerAddress
}

// formerAddress is an address that a target no longer uses, and the time until which
// announcements from it are refused.
type formerAddress struct {
	address string
	until   time.Time
	// startedAt is the start of the process that used the address.
	startedAt int64
}

// NewRegistry returns an empty registry for an entry in the given zone.
func NewRegistry(zone job.Zone, view config.View) *Registry {
	return &Registry{
		zone:      zone,
		config:    view,
		held:      make(map[job.TargetID]*lease),
		byAddress: make(map[string]job.TargetID),
		withdrawn: make(map[job.TargetID]formerAddress),
		ended:     make(map[endedKey]endedRecord),
	}
}

// RecordEnded records that a target at an address has ended, so that its further
// announcements are refused. An empty address means any address. startedAt is when the
// process that has ended started; zero, if it is unknown, means any process that has
// started by now.
func (r *Registry) RecordEnded(now time.Time, id job.TargetID, address string, startedAt int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held[id] == nil && len(r.ended) >= maxEnded {
		return
	}
	r.ended[endedKey{id, address}] = endedRecord{now.Add(endedPeriod), cmp.Or(startedAt, now.UnixMilli())}
}

// EndedCount returns the number of targets that are recorded as ended.
func (r *Registry) EndedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ended)
}

// hasEnded reports whether a target is recorded as ended. The caller holds the lock.
func (r *Registry) hasEnded(now time.Time, t *job.Target) bool {
	return r.ended[endedKey{t.ID, ""}].refuses(now, t) || r.ended[endedKey{t.ID, t.Address}].refuses(now, t)
}

func (e endedRecord) refuses(now time.Time, t *job.Target) bool {
	return now.Before(e.expires) && t.StartedAt <= e.startedAt
}

// Get returns a held target.
func (r *Registry) Get(id job.TargetID) (job.Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.held[id]; l != nil {
		return l.target, true
	}
	return job.Target{}, false
}

// Announce grants or renews a target's lease. It returns the duration of the lease
// and the time after which the target should announce itself again. A refused
// announcement changes nothing.
func (r *Registry) Announce(now time.Time, t job.Target) (duration, renew time.Duration, err error) {
	if err := Check(t, r.zone); err != nil {
		return 0, 0, errors.Trace(err)
	}
	duration = r.leaseTime()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.conflict(now, t); err != nil {
		return 0, 0, errors.Trace(err)
	}
	r.store(now, t, duration)
	return duration, duration / RenewalsPerLease, nil
}

func (r *Registry) leaseTime() time.Duration {
	if f := r.config.Current(); f != nil && f.Targets.Lease > 0 {
		return f.Targets.Lease
	}
	return config.DefaultLease
}

func (r *Registry) conflict(now time.Time, t job.Target) error {
	if r.hasEnded(now, &t) {
		return ErrWithdrawn
	}
	if d, ok := r.withdrawn[t.ID]; ok && d.address == t.Address && now.Before(d.until) && t.StartedAt <= d.startedAt {
		return ErrWithdrawn
	}
	if l := r.held[t.ID]; l != nil && t.StartedAt < l.target.StartedAt {
		return errors.AlreadyExistsf("a later process of target %s", t.ID)
	}
	if l := r.held[t.ID]; l != nil && l.former.address == t.Address && now.Before(l.former.until) {
		return errors.AlreadyExistsf("target %s at %s (two targets announce one id)", t.ID, l.target.Address)
	}
	// This also applies if the other target's lease has expired but Expire has
	// not removed it yet. If its address were reassigned here, nobody would
	// notify the holder that the other target is gone.
	if other, ok := r.byAddress[t.Address]; ok && other != t.ID {
		return errors.AlreadyExistsf("target %s at %s", other, t.Address)
	}
	return nil
}

func (r *Registry) store(now time.Time, t job.Target, duration time.Duration) {
	delete(r.withdrawn, t.ID)
	l := r.held[t.ID]
	if l == nil {
		l = &lease{}
		r.held[t.ID] = l
	}
	if l.target.Address != "" && l.target.Address != t.Address {
		l.former = formerAddress{address: l.target.Address, until: l.expires}
		delete(r.byAddress, l.target.Address)
	}
	l.target = t
	l.expires = now.Add(duration)
	r.byAddress[t.Address] = t.ID
}

func (r *Registry) remove(id job.TargetID) {
	l := r.held[id]
	if l == nil {
		return
	}
	delete(r.held, id)
	if r.byAddress[l.target.Address] == id {
		delete(r.byAddress, l.target.Address)
	}
}

// Displaced returns the held target whose address t now announces, unless t itself
// is recorded as ended. The held target is an earlier incarnation at that address.
func (r *Registry) Displaced(now time.Time, t *job.Target) (job.TargetID, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	former, held := r.byAddress[t.Address]
	if r.hasEnded(now, t) {
		return "", false
	}
	return former, held && former != t.ID
}

// Holds reports whether the target is held.
func (r *Registry) Holds(id job.TargetID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held[id] != nil
}

// Withdraw ends a target's lease at the target's request. It returns the target and
// reports whether it was held.
func (r *Registry) Withdraw(now time.Time, id job.TargetID) (job.Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.held[id]
	if l == nil {
		return job.Target{}, false
	}
	r.withdrawn[id] = formerAddress{l.target.Address, now.Add(withdrawnPeriod), l.target.StartedAt}
	r.remove(id)
	return l.target, true
}

// Expire removes the targets whose leases have expired and returns them.
func (r *Registry) Expire(now time.Time) []job.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, d := range r.withdrawn {
		if !now.Before(d.until) {
			delete(r.withdrawn, id)
		}
	}
	for key, e := range r.ended {
		if !now.Before(e.expires) {
			delete(r.ended, key)
		}
	}
	return r.removeMatching(func(l *lease) bool { return !now.Before(l.expires) })
}

// Release removes the targets for which keep returns false, since another entry now
// holds them. It returns them so that they can be passed on.
func (r *Registry) Release(keep func(*job.Target) bool) []job.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.removeMatching(func(l *lease) bool { return !keep(&l.target) })
}

// removeMatching removes the leases that match and returns their targets, ordered by
// id.
func (r *Registry) removeMatching(match func(*lease) bool) []job.Target {
	var out []job.Target
	for id, l := range r.held {
		if match(l) {
			out = append(out, l.target)
			r.remove(id)
		}
	}
	return sortByID(out)
}

// Held returns the held targets, ordered by id.
func (r *Registry) Held() []job.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]job.Target, 0, len(r.held))
	for _, l := range r.held {
		out = append(out, l.target)
	}
	return sortByID(out)
}

func sortByID(ts []job.Target) []job.Target {
	sort.Slice(ts, func(i, j int) bool { return ts[i].ID < ts[j].ID })
	return ts
}

// Check validates an announcement to an entry in the given zone.
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
		return errors.NotValidf("availability_zone %q (this entry is in %q)", t.Zone, zone)
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

// CheckID validates the id of a target.
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
		{"milli_processors", t.MilliProcessors, milliPerProcessor * maxProcessors},
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
