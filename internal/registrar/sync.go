package registrar

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
)

const (
	// syncTimeout bounds the call for one part of an entry's records, which is a few
	// megabytes at most.
	syncTimeout = 2 * time.Second
	// minSyncPartRecords is the number of records, about 100 KB, at which a part is
	// full. Parts consist of whole shards. A zone without records, where jobs are
	// transient or young, then needs one call per pair of entries instead of one per
	// shard: in a rolling restart of eleven entries, 16 calls took a twelfth of a
	// second of processor time per change on the smallest VMs.
	minSyncPartRecords = 512
	syncRetryDelay     = 50 * time.Millisecond
	// housekeepingInterval is the interval at which old records are removed and a
	// completed sync is announced again until all entries have synced.
	housekeepingInterval = time.Second
	// settleInterval is the interval at which the ends of submissions are sent to
	// registrars in batches. Sending one message per submission accounted for a third
	// of the messages of a short job. The delay matters only if the owner dies within
	// it.
	settleInterval = 50 * time.Millisecond
)

// Run collects records whenever the zone's live entries change, expires old records
// and sends settle messages, until ctx ends.
func (r *Registrar) Run(ctx context.Context) error {
	tick := time.NewTicker(housekeepingInterval)
	defer tick.Stop()
	go r.flushLoop(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.syncNeeded:
			r.sync(ctx)
		case <-tick.C:
			r.expire(time.Now())
			r.announceSynced()
		}
	}
}

// flushLoop sends pending settle messages until ctx ends, and the remaining ones
// then.
func (r *Registrar) flushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			r.Flush()
			return
		case <-r.flushNeeded:
		}
		select {
		case <-ctx.Done():
		case <-time.After(settleInterval):
		}
		r.Flush()
	}
}

// expire removes records and answers that are older than the retention time or that
// exceed the memory limits.
func (r *Registrar) expire(now time.Time) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		incompleteUntil := s.table.expire(now, r.opts.Retain, r.opts.RecordBytes/shardCount)
		s.ownerTable.expire(now, r.opts.Retain, r.opts.AnswerBytes/shardCount)
		s.mu.Unlock()
		r.mu.Lock()
		if incompleteUntil.After(r.completeness.coldUntil) {
			// Records were removed early, so a missing record proves less.
			r.completeness.coldUntil = incompleteUntil
		}
		r.mu.Unlock()
	}
}

// sync collects from all other live entries of the zone the records of which this
// entry is now a registrar. It ends early when the set of live entries changes,
// because the next round asks again.
func (r *Registrar) sync(ctx context.Context) {
	r.mu.Lock()
	base := r.completeness.liveSets[len(r.completeness.liveSets)-1]
	setDigest := r.completeness.setDigest()
	r.mu.Unlock()
	others := slices.DeleteFunc(slices.Clone(base), func(id job.EntryID) bool { return id == r.self.Entry })
	replies := make([]syncReply, len(others))
	var wg sync.WaitGroup
	var complete sync.Map
	for i, entry := range others {
		wg.Go(func() {
			if r.pull(ctx, entry, base, setDigest, &replies[i]) {
				complete.Store(entry, true)
			}
		})
	}
	wg.Wait()
	for _, entry := range others {
		if _, ok := complete.Load(entry); !ok {
			return
		}
	}
	r.mu.Lock()
	if r.completeness.setDigest() == setDigest {
		r.completeness.complete(time.Now(), replies)
	}
	r.mu.Unlock()
	r.announceSynced()
}

// pull collects all records from one entry. It retries until the set of live entries
// changes and reports whether it succeeded.
func (r *Registrar) pull(ctx context.Context, from job.EntryID, base []job.EntryID, setDigest uint64, out *syncReply) bool {
	route := syncRoute{to: from}
	for _, entry := range base {
		if entry != from && entry != r.self.Entry {
			route.relays = append(route.relays, entry)
		}
	}
	for i := 0; i < shardCount; {
		if ctx.Err() != nil || !r.isCurrent(setDigest) {
			return false
		}
		var part syncReply
		call, cancel := context.WithTimeout(ctx, syncTimeout)
		err := route.call(call, r.opts.Mesh, syncRequest{For: r.self.Entry, Base: base, Shard: i, Claimed: r.claimsActiveFor()}, &part)
		cancel()
		if err != nil {
			route.next()
			select {
			case <-time.After(syncRetryDelay):
			case <-ctx.Done():
			}
			continue
		}
		r.merge(part.Records)
		out.Cold, out.Losses = part.Cold, part.Losses
		i = max(part.Next, i+1)
	}
	return true
}

func (r *Registrar) isCurrent(setDigest uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.completeness.setDigest() == setDigest
}

func (r *Registrar) merge(records []Record) {
	now := time.Now()
	for _, record := range records {
		s := r.shard(record.ID)
		s.mu.Lock()
		s.table.merge(now, record)
		s.mu.Unlock()
	}
}

// announceSynced announces to the zone that this entry has synced for the current
// set, once per set and again while other entries have not synced.
func (r *Registrar) announceSynced() {
	r.mu.Lock()
	last := len(r.completeness.liveSets) - 1
	setDigest, base := r.completeness.setDigest(), r.completeness.liveSets[last]
	claimsActive := r.claimsActive(time.Now())
	due := r.completeness.synced && last == 0 && !r.completeness.allSynced()
	due = due || r.completeness.synced && last == 0 && r.completeness.announcedSet != setDigest
	due = due && claimsActive
	if due {
		r.completeness.announcedSet = setDigest
	}
	r.mu.Unlock()
	if !due {
		return
	}
	for _, to := range base {
		if to != r.self.Entry {
			_ = r.opts.Mesh.Send(to, peer.RegistrarSync, syncRequest{For: r.self.Entry, Done: true, Set: setDigest})
		}
	}
}

// syncRoute is the way to an entry whose records are collected: directly, or through another
// entry of the zone. Otherwise a broken link between two entries that both count as alive would
// leave the records incomplete, and kept submissions refused, for as long as it lasts.
type syncRoute struct {
	to     job.EntryID
	relays []job.EntryID
	// failures counts the failed calls; it determines the next way.
	failures int
}

// next chooses another way after a failed call: the direct one and one relay in turns.
func (w *syncRoute) next() { w.failures++ }

func (w *syncRoute) call(ctx context.Context, mesh peer.Mesh, req syncRequest, part *syncReply) error {
	if w.failures%2 == 0 || len(w.relays) == 0 {
		return mesh.Call(ctx, w.to, peer.RegistrarSync, req, part)
	}
	req.Of = w.to
	relay := w.relays[w.failures/2%len(w.relays)]
	if err := mesh.Call(ctx, relay, peer.RegistrarSync, req, part); err != nil {
		return errors.Trace(err)
	}
	if part.From != w.to {
		return errors.NotSupportedf("relaying by entry %s", relay)
	}
	return nil
}

// relaySync passes a request for the records of another entry on to that entry.
func (r *Registrar) relaySync(ctx context.Context, req *syncRequest) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	to := req.Of
	req.Of = ""
	var part syncReply
	if err := r.opts.Mesh.Call(ctx, to, peer.RegistrarSync, *req, &part); err != nil {
		return nil, errors.Annotatef(err, "relaying a sync to %s", to)
	}
	return part, nil
}

func (r *Registrar) handleSync(ctx context.Context, from job.Owner, body cbor.RawMessage) (any, error) {
	var req syncRequest
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, errors.Annotate(err, "decoding a sync")
	}
	if req.Of != "" && req.Of != r.self.Entry {
		return r.relaySync(ctx, &req)
	}
	r.markClaimsActive(req.Claimed)
	now := time.Now()
	answer := syncReply{From: r.self.Entry}
	r.mu.Lock()
	if req.Done {
		r.completeness.recordSynced(from.Entry, req.Set)
		r.mu.Unlock()
		return nil, nil
	}
	r.completeness.fillSyncReply(now, &answer)
	r.mu.Unlock()
	if req.Shard < 0 || req.Shard >= shardCount {
		return nil, errors.NotValidf("shard %d", req.Shard)
	}
	for answer.Next = req.Shard; answer.Next < shardCount && len(answer.Records) < minSyncPartRecords; answer.Next++ {
		answer.Records = append(answer.Records, r.export(answer.Next, now, req.For, req.Base)...)
	}
	if answer.Next < shardCount {
		answer.Losses = nil
	}
	return answer, nil
}

// export returns the records of one shard that entry to keeps when the live entries
// are base.
func (r *Registrar) export(shard int, now time.Time, to job.EntryID, base []job.EntryID) []Record {
	s := &r.shards[shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(s.table.export(now, to, base), s.ownerTable.export(to, base)...)
}

// handleJoin waits for the answer of a submission that this entry owns and returns
// it to an entry whose caller resent the submission.
func (r *Registrar) handleJoin(ctx context.Context, _ job.Owner, body cbor.RawMessage) (any, error) {
	var req joinRequest
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, errors.Annotate(err, "decoding a join")
	}
	answer, err := r.localAnswer(ctx, req.ID)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return joinReply{Answer: answer}, nil
}

// localAnswer returns the answer of a submission of this entry. It waits if the
// submission is still running.
func (r *Registrar) localAnswer(ctx context.Context, id job.ID) (job.Answer, error) {
	if a, ok := r.Retained(id); ok {
		return a, nil
	}
	if r.opts.Wait != nil {
		if a, ok := r.opts.Wait(ctx, id); ok {
			return a, nil
		}
	}
	// The submission may have ended between the two checks above.
	if a, ok := r.Retained(id); ok {
		return a, nil
	}
	return job.Answer{}, errors.NotFoundf("submission %q", id)
}

// Retained returns the answer of an ended submission that this entry owned.
func (r *Registrar) Retained(id job.ID) (job.Answer, bool) {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	owned := s.ownerTable.submissions[id]
	if owned == nil || owned.state != ownerSettled {
		return job.Answer{}, false
	}
	if owned.answer == nil {
		return job.Fail(id, job.OwnerLost, "the submission ended, but its answer is no longer kept"), true
	}
	return *owned.answer, true
}
