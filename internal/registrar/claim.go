package registrar

import (
	"maps"
	"slices"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/membership"
)

// queryState is the state of a query.
type queryState uint8

const (
	queryUnsent queryState = iota
	querySent
	queryGranted
	queryRefused
	queryFailed
)

// query is the state and the latest reply of the query to one registrar.
type query struct {
	state     queryState
	certainty Certainty
	held      []Record
}

// claim is the state of one claim on the claimant's side. It performs no I/O: from
// the replies and the view of the entries it determines the registrars to ask and
// the result.
//
// In each relevant zone, the two highest ranked live entries that can be reached
// must record the claimant. Two claims of one id then meet at one entry at least,
// unless two links between entries are broken at once, and the loss of one entry
// loses no record. A first attempt concerns its own zone only. Any other attempt
// may have been started in another zone, so all zones are asked.
type claim struct {
	id      job.ID
	attempt int
	by      Claimant
	queries map[job.EntryID]*query
	// withdrawn contains the claimants known not to have the submission.
	withdrawn map[Claimant]bool
	// redirected maps a claimant that yielded its claim to the entry to which it
	// yielded. confirmed maps a claimant to the entry that confirmed that it owns
	// the submission.
	redirected map[Claimant]job.Owner
	confirmed  map[Claimant]job.Owner
}

// resultKind is the kind of a claimResult.
type resultKind uint8

// The results. Those derived from records of other claimants are ordered by how
// conclusive they are, the most conclusive first.
const (
	// resultAnswered: the submission has ended with answer.
	resultAnswered resultKind = iota + 1
	// resultJoin: owner has the submission.
	resultJoin
	// resultAskRival: the claimant by was found in a record and must be asked.
	resultAskRival
	// resultConflict: the id belongs to a submission with different content.
	resultConflict
	// resultTakeOver: owner had the submission and is lost.
	resultTakeOver
	// resultStart: no task of the submission was started before.
	resultStart
	// resultWait: more replies are needed; reason is the reason to report if they
	// never arrive.
	resultWait
	// resultUnknown: no further reply can decide the claim; reason says why.
	resultUnknown
)

// claimResult is the result of the replies to a claim so far.
type claimResult struct {
	kind   resultKind
	by     Claimant
	owner  job.Owner
	answer *job.Answer
	reason job.Reason
}

func newClaim(id job.ID, attempt int, by Claimant) *claim {
	return &claim{
		id: id, attempt: attempt, by: by, queries: map[job.EntryID]*query{}, withdrawn: map[Claimant]bool{},
		redirected: map[Claimant]job.Owner{}, confirmed: map[Claimant]job.Owner{},
	}
}

// zonesToAsk lists the zones whose registrars must be asked.
func (c *claim) zonesToAsk(view *membership.Members) []job.Zone {
	if c.attempt == 1 {
		return []job.Zone{c.by.Owner.Zone}
	}
	return view.Zones()
}

// requiredGrants returns how many entries of a zone must record the claim.
func requiredGrants(ranked []job.EntryID) int { return min(replicas, len(ranked)) }

// nextRegistrars returns the registrars to ask now and marks them as asked. A
// suspected registrar is asked together with the next one by rank, so that a dead
// entry causes no delay.
func (c *claim) nextRegistrars(view *membership.Members) []job.EntryID {
	var list []job.EntryID
	for _, zone := range c.zonesToAsk(view) {
		ranked := view.Ranked(zone, string(c.id))
		counted := 0
		for _, entry := range ranked {
			if counted >= requiredGrants(ranked) {
				break
			}
			q := c.query(entry)
			if q.state == queryFailed {
				continue
			}
			if q.state == queryUnsent {
				q.state = querySent
				list = append(list, entry)
			}
			if member, _ := view.Get(entry); member.State != membership.Suspect || q.state == queryGranted {
				counted++
			}
		}
	}
	return list
}

func (c *claim) query(entry job.EntryID) *query {
	q := c.queries[entry]
	if q == nil {
		q = &query{}
		c.queries[entry] = q
	}
	return q
}

// request returns the request for one registrar.
func (c *claim) request(entry job.EntryID, digest job.Digest) *claimRequest {
	req := &claimRequest{ID: c.id, Digest: digest, By: c.by}
	for _, held := range c.query(entry).held {
		if c.withdrawn[held.By] {
			req.Replace = append(req.Replace, held.By)
		}
	}
	return req
}

func (c *claim) recordReply(from job.EntryID, r *claimReply) {
	q := c.query(from)
	q.certainty = r.Certainty
	q.held = r.Held
	switch {
	case len(r.Held) == 0:
		q.state = queryGranted
	case slices.ContainsFunc(r.Held, func(held Record) bool { return c.withdrawn[held.By] }):
		q.state = queryUnsent
	default:
		q.state = queryRefused
	}
}

func (c *claim) recordFailure(from job.EntryID) { c.query(from).state = queryFailed }

// retry resets the queries that failed and those granted by registrars that had
// not yet synced, so that they are sent again.
func (c *claim) retry() {
	for _, q := range c.queries {
		if q.state == queryFailed || q.state == queryGranted && q.certainty == Unsynced {
			q.state = queryUnsent
		}
	}
}

// recordWithdrawal records that a claimant found in records does not have the
// submission, and resets the queries refused because of it.
func (c *claim) recordWithdrawal(by Claimant) {
	c.withdrawn[by] = true
	for _, q := range c.queries {
		if q.state == queryRefused && slices.ContainsFunc(q.held, func(held Record) bool { return held.By == by }) {
			q.state = queryUnsent
		}
	}
}

// rival returns the entry to ask about a claimant found in records.
func (c *claim) rival(by Claimant) job.Owner {
	if to, ok := c.redirected[by]; ok {
		return to
	}
	return by.Owner
}

// yielded records the asked entry's reply to a yield request about a claimant.
func (c *claim) yielded(by Claimant, asked job.Owner, r *yieldReply) {
	switch r.Result {
	case yieldRefused:
		c.confirmed[by] = asked
	case yieldRedirected:
		c.redirected[by] = r.To
	default:
		c.recordWithdrawal(by)
	}
}

// grantedBy lists the registrars that recorded the claim.
func (c *claim) grantedBy() []job.EntryID {
	var list []job.EntryID
	for _, entry := range c.askedRegistrars() {
		if c.queries[entry].state == queryGranted {
			list = append(list, entry)
		}
	}
	return list
}

// evaluate returns the result of the replies so far for a submission with the
// given digest. yielded is the entry to which this entry yielded its claim, if any.
func (c *claim) evaluate(view *membership.Members, digest job.Digest, yielded job.Owner) claimResult {
	if !yielded.IsZero() {
		return claimResult{kind: resultJoin, owner: yielded}
	}
	if result, found := c.evaluateRecords(view, digest); found {
		return result
	}
	if view.Isolated {
		return claimResult{kind: resultUnknown, reason: job.NoRegistrar}
	}
	result := claimResult{kind: resultStart}
	for _, zone := range c.zonesToAsk(view) {
		zoneResult := c.zone(view, zone)
		// While replies of any zone are missing, an inconclusive result of another
		// zone decides nothing, because the missing replies may name an owner. A
		// pending local zone takes precedence, because its timeout is the longest.
		if zoneResult.kind == resultWait && (result.kind != resultWait || zone == c.by.Owner.Zone) || zoneResult.kind == resultUnknown && result.kind == resultStart {
			result = zoneResult
		}
	}
	return result
}

// askedRegistrars lists the asked entries sorted by name, so that equal replies
// give equal results.
func (c *claim) askedRegistrars() []job.EntryID { return slices.Sorted(maps.Keys(c.queries)) }

// evaluateRecords returns the result of the records of all other claimants. The
// record of a lost claimant may belong to a claim that never started, while
// another record belongs to a running job. The record of a lost claimant therefore
// decides only when all asked registrars that are not suspected have answered and
// no other record is more conclusive.
func (c *claim) evaluateRecords(view *membership.Members, digest job.Digest) (best claimResult, found bool) {
	outstanding := false
	for _, entry := range c.askedRegistrars() {
		q := c.queries[entry]
		member, _ := view.Get(entry)
		outstanding = outstanding || q.state == querySent && member.State != membership.Suspect
		if q.state != queryRefused {
			continue
		}
		for i := range q.held {
			if result := c.evaluateRecord(view, digest, &q.held[i]); !found || result.kind < best.kind {
				best, found = result, true
			}
		}
	}
	if found && outstanding && (best.kind == resultTakeOver || best.kind == resultConflict) {
		best.kind = resultWait
	}
	return best, found
}

// evaluateRecord returns the result of one record of another claimant.
func (c *claim) evaluateRecord(view *membership.Members, digest job.Digest, held *Record) claimResult {
	result := claimResult{owner: held.By.Owner, by: held.By, reason: job.OwnerLost}
	confirmedOwner, confirmed := c.confirmed[held.By]
	gone := view.Gone(held.By.Owner.Entry, held.By.Owner.Incarnation)
	switch {
	case held.Digest != digest && (held.Answer != nil || confirmed || gone):
		result.kind = resultConflict
	case held.Digest != digest:
		// The claim may have been refused, and the message that removes its
		// record may still be in transit. The record is then obsolete.
		result.kind = resultAskRival
	case held.Answer != nil && !held.Answer.Run.Proven():
		result.kind, result.answer = resultAnswered, held.Answer
	case confirmed:
		result.kind, result.owner = resultJoin, confirmedOwner
	case gone:
		result.kind = resultTakeOver
	default:
		result.kind = resultAskRival
	}
	return result
}

// zone returns the result of one zone: whether its registrars gave enough replies
// and what these prove.
func (c *claim) zone(view *membership.Members, zone job.Zone) claimResult {
	reason, remote := job.NoRegistrar, zone != c.by.Owner.Zone
	if remote {
		reason = job.ZoneUnreachable
	}
	ranked := view.Ranked(zone, string(c.id))
	required := requiredGrants(ranked)
	if remote && !c.hasOutstanding(view, ranked) {
		// One grant is enough if the other registrars can't be reached: an owner in
		// that zone needs two grants, so one of them is at the same registrar.
		required = min(1, required)
	}
	if len(ranked) == 0 {
		return claimResult{kind: resultUnknown, reason: reason}
	}
	granted := 0
	certainties := map[Certainty]bool{}
	for _, entry := range ranked {
		if q := c.queries[entry]; q != nil && q.state == queryGranted {
			granted++
			certainties[q.certainty] = true
		}
	}
	switch {
	case granted < required:
		return claimResult{kind: resultWait, reason: reason}
	case c.attempt == 1:
		return claimResult{kind: resultStart}
	case certainties[Lost]:
		return claimResult{kind: resultUnknown, reason: job.NoRegistrar}
	case certainties[Authoritative]:
		return claimResult{kind: resultStart}
	case certainties[Cold] && c.attempt == job.AttemptUnknown:
		return claimResult{kind: resultStart}
	case certainties[Cold]:
		return claimResult{kind: resultUnknown, reason: job.NoRegistrar}
	}
	return claimResult{kind: resultWait, reason: job.NoRegistrar}
}

// hasOutstanding reports whether the reply of an entry that is not suspected is
// missing.
func (c *claim) hasOutstanding(view *membership.Members, ranked []job.EntryID) bool {
	for _, entry := range ranked {
		member, _ := view.Get(entry)
		if q := c.queries[entry]; q != nil && q.state == querySent && member.State != membership.Suspect {
			return true
		}
	}
	return false
}
