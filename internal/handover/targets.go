package handover

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
)

// ErrNoHolder means that no live entry of the target's zone can hold it.
const ErrNoHolder = errors.ConstError("no live entry in the target's zone")

// maxForwards bounds how often an announcement is forwarded according to the views of other
// entries. Views differ for one heartbeat after a change. While all targets of a zone announce
// themselves at once, each holder that has enough of them names the next one.
const maxForwards = 6

// Registry stores the targets that this entry holds.
type Registry interface {
	// Announce registers a target, or renews its registration, and returns its lease.
	Announce(t job.Target) (lease time.Duration, err error)
}

// HolderOf returns the entry that holds a target; empty for none.
type HolderOf func(t *job.Target) job.EntryID

// forward is the request of peer.TargetForward.
type forward struct {
	Target job.Target `cbor:"1,keyasint"`
	// Released makes the receiver hold the target, whatever its own view: either the
	// sender has held the target until now, or an entry that remembers the target's
	// holder has named the receiver.
	Released bool `cbor:"2,keyasint,omitempty"`
	// Known are the numbers of targets that the sender knows of the zone's entries, for a
	// target that has no holder yet.
	Known []Count `cbor:"3,keyasint,omitempty"`
}

// Count is the number of targets of a pool that an entry holds.
type Count struct {
	_       struct{} `cbor:",toarray"`
	Entry   job.EntryID
	Targets int
	// AgeMillis is the age of the report that the number is from.
	AgeMillis int64
}

// forwarded is the answer of peer.TargetForward. Holder is set if the answering
// entry considers another entry the holder, and Remembers if the answering entry
// remembers the holders of targets.
type forwarded struct {
	Lease     time.Duration `cbor:"1,keyasint,omitempty"`
	Holder    job.EntryID   `cbor:"2,keyasint,omitempty"`
	Remembers bool          `cbor:"3,keyasint,omitempty"`
	// Held is how many targets of the pool the answering entry holds, if it declines.
	Held int `cbor:"4,keyasint,omitempty"`
}

// Targets forwards the announcements that this entry receives to the holders.
//
// An entry accepts a target only while it considers itself the holder, so that
// two entries fill the slots of one target only while their views of the zone
// differ. A target whose zone has no live entry is refused rather than held from
// another zone: in a network partition, both sides would hold it.
type Targets struct {
	mesh     peer.Mesh
	holderOf HolderOf
	registry Registry
	// Remembers, if set, reports whether this entry remembers the holder of a target. The
	// holder that such an entry names accepts the target whatever its own view: a holder
	// that has just started would itself ask this entry and send the announcement back.
	// Nil on entries that don't remember holders.
	Remembers func(job.TargetID) bool
	// Held returns how many targets of a pool this entry holds, and Known what it knows of the
	// other entries in the zone of a target without a holder. Learn receives the same from
	// others. While all targets of a large zone announce themselves, one holder after the
	// other gets full between two regular reports. All three are optional.
	Held  func(pool string) int
	Known func(t *job.Target) []Count
	Learn func(pool string, counts []Count)
}

// NewTargets returns a forwarder of announcements and handles those that other
// entries forward.
func NewTargets(mesh peer.Mesh, holderOf HolderOf, registry Registry) *Targets {
	t := &Targets{mesh: mesh, holderOf: holderOf, registry: registry}
	mesh.Handle(peer.TargetForward, t.handle)
	return t
}

// ForwardTarget announces a target to its holder and returns the lease that the
// holder granted, and the holder's id.
func (t *Targets) ForwardTarget(ctx context.Context, target job.Target) (time.Duration, job.EntryID, error) {
	to, authoritative := t.holderOf(&target), t.Remembers != nil && t.Remembers(target.ID)
	for range maxForwards {
		if to == t.mesh.Self().Entry && !authoritative {
			// Another entry named this entry as the holder.
			to, authoritative = t.holderOf(&target), t.Remembers != nil
		}
		switch to {
		case "":
			return 0, "", errors.Annotatef(ErrNoHolder, "target %s, zone %s", target.ID, target.Zone)
		case t.mesh.Self().Entry:
			lease, err := t.local(target)
			return lease, to, err
		}
		var answer forwarded
		if err := t.mesh.Call(ctx, to, peer.TargetForward, forward{Target: target, Released: authoritative, Known: t.known(&target)}, &answer); err != nil {
			return 0, "", errors.Annotatef(err, "holder %s of target %s", to, target.ID)
		}
		if answer.Holder == "" {
			return answer.Lease, to, nil
		}
		t.learn(target.Pool, []Count{{Entry: to, Targets: answer.Held}})
		to, authoritative = answer.Holder, answer.Remembers
	}
	return 0, "", errors.Annotatef(ErrNoHolder, "the entries of zone %s currently disagree on the holder of target %s", target.Zone, target.ID)
}

// Release announces a target to the entry that holds it from now on.
func (t *Targets) Release(ctx context.Context, target job.Target, to job.EntryID) error {
	if to == t.mesh.Self().Entry {
		_, err := t.local(target)
		return errors.Trace(err)
	}
	var answer forwarded
	err := t.mesh.Call(ctx, to, peer.TargetForward, forward{Target: target, Released: true}, &answer)
	return errors.Annotatef(err, "holder %s of target %s", to, target.ID)
}

func (t *Targets) learn(pool string, counts []Count) {
	if t.Learn != nil && len(counts) > 0 {
		t.Learn(pool, counts)
	}
}

func (t *Targets) known(target *job.Target) []Count {
	if t.Known == nil {
		return nil
	}
	return t.Known(target)
}

func (t *Targets) local(target job.Target) (time.Duration, error) {
	lease, err := t.registry.Announce(target)
	return lease, errors.Trace(err)
}

func (t *Targets) handle(_ context.Context, _ job.Owner, body cbor.RawMessage) (any, error) {
	var f forward
	if err := cbor.Unmarshal(body, &f); err != nil {
		return nil, errors.Annotate(err, "decoding an announcement")
	}
	t.learn(f.Target.Pool, f.Known)
	if holder := t.holderOf(&f.Target); holder != t.mesh.Self().Entry && !f.Released {
		if holder == "" {
			return nil, errors.Trace(ErrNoHolder)
		}
		answer := forwarded{Holder: holder, Remembers: t.Remembers != nil}
		if t.Held != nil {
			answer.Held = t.Held(f.Target.Pool)
		}
		return answer, nil
	}
	lease, err := t.local(f.Target)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return forwarded{Lease: lease}, nil
}
