package register

import (
	"context"
	"fmt"
	mathrand "math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/consensus"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
)

// Summary returns the number and digest of the configuration in effect, which
// heartbeats carry.
func (r *Register) Summary() (number uint64, digest string) {
	s := r.current.Load()
	if s == nil || s.Change.Number == 0 {
		return 0, ""
	}
	return s.Change.Number, s.Change.Digest.String()
}

// Observe processes the configuration summary of another entry's heartbeat, and
// pulls from that entry if its configuration is newer.
func (r *Register) Observe(from job.EntryID, number uint64, digest string) {
	r.recordContact(from)
	ownNumber, ownDigest := r.Summary()
	if number == ownNumber && digest != ownDigest {
		r.log.Error("another entry has a different file with the same number: two fleets share a network",
			"peer", from, "number", number, "digest", digest)
	}
	if number > ownNumber {
		r.startPull(from)
	}
}

// startPull pulls in the background, unless a pull from that entry is in progress.
// An unresponsive entry must not delay pulls from the others.
func (r *Register) startPull(from job.EntryID) {
	ctx := r.runCtx.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pulling[from] || ctx == nil {
		return
	}
	r.pulling[from] = true
	go func() {
		r.pull(*ctx, from)
		r.mu.Lock()
		delete(r.pulling, from)
		r.mu.Unlock()
	}()
}

// pull requests a newer snapshot from one entry.
func (r *Register) pull(ctx context.Context, from job.EntryID) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var answer pullResponse
	req := pullRequest{Version: r.durableVersion(), Disk: r.diskIdentity(), KeepsCordons: true}
	if err := r.mesh.Call(ctx, from, peer.ConfigPull, req, &answer); err != nil {
		return
	}
	r.recordContact(from)
	r.recordDisk(consensus.Voter{Entry: from, Identity: answer.Self.Identity}, answer.KeepsCordons)
	if answer.Newer == nil || r.belongsToOtherFleet(from, answer.Newer) {
		return
	}
	if r.diskUsable() && answer.Self.Identity != "" {
		// The complete value follows in a message and takes effect when it is
		// synced, so that a crash can't bring back the old one.
		r.step(consensus.PeerAhead{Peer: from})
		return
	}
	r.installAndAnnounce(answer.Newer)
}

// belongsToOtherFleet reports whether a snapshot belongs to another fleet, and has
// State report that: otherwise an entry with the data folder of another fleet would
// serve with an old file forever and appear healthy.
func (r *Register) belongsToOtherFleet(from job.EntryID, s *snapshot) bool {
	own := r.current.Load()
	foreignFleet := ""
	if own != nil && own.Lineage != s.Lineage {
		foreignFleet = fmt.Sprintf("entry %s belongs to another fleet than this data folder or configuration", from)
	}
	r.mu.Lock()
	changed := foreignFleet != r.foreignFleet
	r.foreignFleet = foreignFleet
	r.mu.Unlock()
	if changed && foreignFleet != "" {
		r.log.Error("two fleets share a network", "peer", from, "lineage", s.Lineage)
	}
	return foreignFleet != ""
}

// diskIdentity returns the identity of this entry's disk; empty without a usable one.
func (r *Register) diskIdentity() consensus.Identity {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.node == nil {
		return ""
	}
	return r.node.Self.Identity
}

// recordDisk records the disk that an entry has reported and whether the entry keeps cordons.
func (r *Register) recordDisk(disk consensus.Voter, keepsCordons bool) {
	if disk.Identity == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setDisk(disk)
	r.cordonKeepers[disk] = keepsCordons
}

// setDisk records which disk an entry has. The caller holds mu.
func (r *Register) setDisk(disk consensus.Voter) {
	if former := r.disks[disk.Entry]; former != disk.Identity {
		delete(r.cordonKeepers, consensus.Voter{Entry: disk.Entry, Identity: former})
	}
	r.disks[disk.Entry] = disk.Identity
}

func (r *Register) diskUsable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasDisk && r.problem == ""
}

// durableVersion returns the version up to which this entry needs no updates: the
// version in effect, or that on its disk if the disk is behind.
func (r *Register) durableVersion() uint64 {
	version := r.currentVersion()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hasDisk && r.problem == "" {
		version = min(version, r.node.Chosen.Version)
	}
	return version
}

// currentVersion returns the version in effect.
func (r *Register) currentVersion() uint64 {
	if s := r.current.Load(); s != nil {
		return s.Version
	}
	return 0
}

// installAndAnnounce puts a snapshot into effect. If this entry votes, it announces
// the version to the entries that don't, so that they need not wait for a heartbeat.
// Every voter does so: the few bytes cost less than a delay when one voter dies.
func (r *Register) installAndAnnounce(s *snapshot) {
	previous := r.currentVersion()
	r.install(s)
	if r.currentVersion() == previous || !r.isVoting() {
		return
	}
	voters := r.voters()
	for _, to := range r.others() {
		if !slices.Contains(voters, to) {
			_ = r.mesh.Send(to, peer.ConfigPull, pullRequest{Version: s.Version, Hint: true, Disk: r.diskIdentity(), KeepsCordons: true})
		}
	}
}

// isVoting reports whether this entry votes.
func (r *Register) isVoting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node != nil && r.node.Voting()
}

func (r *Register) onPull(_ context.Context, from job.Owner, body cbor.RawMessage) (any, error) {
	var req pullRequest
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, errors.Annotate(err, "decoding a pull")
	}
	r.recordContact(from.Entry)
	r.recordDisk(consensus.Voter{Entry: from.Entry, Identity: req.Disk}, req.KeepsCordons)
	if req.Version > r.durableVersion() {
		r.startPull(from.Entry)
	}
	if req.Hint {
		return nil, nil
	}
	answer := pullResponse{KeepsCordons: true}
	r.mu.Lock()
	if r.node != nil {
		answer.Self = r.node.Self
	}
	r.mu.Unlock()
	if s := r.current.Load(); s != nil && s.Version > req.Version {
		answer.Newer = s
	}
	return answer, nil
}

// probeLoop requests updates that no message has delivered: from voters without
// recent contact, from one random voter each time, and, while there is no
// configuration, from all entries in turn. While this entry's disk has to become a
// voter again, each request also tells the voters its identity.
func (r *Register) probeLoop(ctx context.Context) {
	for {
		r.updateStaleness()
		wait := probeInterval
		switch {
		case r.lostVote():
			wait = rejoinInterval
			r.probeAllVoters(ctx)
		case r.Current() == nil:
			wait = bootstrapInterval
			r.probeNextEntry(ctx)
		default:
			r.probeVoters(ctx)
		}
		if !sleep(ctx, jitter(wait)) {
			return
		}
	}
}

func (r *Register) probeNextEntry(ctx context.Context) {
	others := r.others()
	if len(others) == 0 {
		return
	}
	r.probeCount++
	r.startProbe(ctx, others[r.probeCount%len(others)])
}

// lostVote reports whether the register lists another disk as this entry's vote, and the
// voters repair that without an operator. The other voters can't tell an emptied disk from
// the listed one until this entry reports it.
func (r *Register) lostVote() bool {
	return r.opts.Repair != nil && r.diskUsable() && slices.Contains(r.voters(), r.self) && !r.isVoting()
}

// otherVoters returns the voters other than this entry.
func (r *Register) otherVoters() []job.EntryID {
	return slices.DeleteFunc(slices.Clone(r.voters()), func(v job.EntryID) bool { return v == r.self })
}

func (r *Register) probeAllVoters(ctx context.Context) {
	for _, v := range r.otherVoters() {
		r.startProbe(ctx, v)
	}
}

func (r *Register) probeVoters(ctx context.Context) {
	voters := r.otherVoters()
	if len(voters) == 0 {
		return
	}
	if r.opts.SparseHeartbeats != nil && r.opts.SparseHeartbeats() {
		r.probeRoundRobin(ctx, voters)
		return
	}
	picked := voters[mathrand.N(len(voters))]
	now := time.Now()
	for _, v := range voters {
		r.mu.Lock()
		unresponsive := now.Sub(r.lastContact[v]) >= unresponsiveAfter
		r.mu.Unlock()
		if unresponsive || v == picked {
			r.startProbe(ctx, v)
		}
	}
}

// probesPerRound is how many voters an entry of a large fleet probes in one round: all
// voters of a set of five within staleAfter.
const probesPerRound = 2

// probeRoundRobin probes some voters in turn. It is used where voters send this entry
// no heartbeats.
func (r *Register) probeRoundRobin(ctx context.Context, voters []job.EntryID) {
	for range min(probesPerRound, len(voters)) {
		r.probeCount++
		r.startProbe(ctx, voters[r.probeCount%len(voters)])
	}
}

// startProbe probes in the background: an unreachable voter must not delay the others.
func (r *Register) startProbe(ctx context.Context, to job.EntryID) {
	go r.pull(ctx, to)
}
