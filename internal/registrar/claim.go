package registrar

import (
	"maps"
	"slices"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/membership"
)

// askState is how far the question to one registrar is.
type askState uint8

const (
	askOpen askState = iota
	askSent
	askGranted
	askHeld
	askFailed
)

type ask struct {
	state    askState
	standing Standing
	held     []Record
}

// claim is the owner's side of asking registrars. It is pure: replies and the
// view of the entries in, questions and a verdict out.
//
// In each zone that matters two live entries, the first by rank that can be
// reached, must record the owner. Two claims of one id then meet at one entry
// at least, unless two ways between entries are broken at once, and one lost
// entry loses no record. A first attempt matters in its own zone only; any
// other may have been started in another zone, so all zones are asked.
type claim struct {
	id      job.ID
	attempt int
	by      Claimant
	asks    map[job.EntryID]*ask
	// given are claimants that gave the submission up.
	given map[Claimant]bool
	// moved names who has the submission of a claimant that gave it up to
	// somebody else, and joined who keeps it.
	moved  map[Claimant]job.Owner
	joined map[Claimant]job.Owner
}

// verdictKind is what the replies so far mean.
type verdictKind uint8

// The verdicts; of those that records of others give, the one that says most
// comes first.
const (
	// verdictAnswered: the submission has ended with answer.
	verdictAnswered verdictKind = iota + 1
	// verdictJoin: owner has the submission.
	verdictJoin
	// verdictRival: by, found in a record, must be asked.
	verdictRival
	// verdictConflict: the id names other content.
	verdictConflict
	// verdictTakeOver: owner had the submission and is lost.
	verdictTakeOver
	// verdictStart: nothing of the submission was started before.
	verdictStart
	// verdictWait: more replies are needed; reason says which, for the case that
	// they never come.
	verdictWait
	// verdictUnknown: no reply can make it certain; reason says why.
	verdictUnknown
)

type claimVerdict struct {
	kind   verdictKind
	by     Claimant
	owner  job.Owner
	answer *job.Answer
	reason job.Reason
}

func newClaim(id job.ID, attempt int, by Claimant) *claim {
	return &claim{
		id: id, attempt: attempt, by: by, asks: map[job.EntryID]*ask{}, given: map[Claimant]bool{},
		moved: map[Claimant]job.Owner{}, joined: map[Claimant]job.Owner{},
	}
}

// zones lists the zones whose registrars matter.
func (c *claim) zones(view *membership.Members) []job.Zone {
	if c.attempt == 1 {
		return []job.Zone{c.by.Owner.Zone}
	}
	return view.Zones()
}

// need is how many entries of a zone must record the claim.
func need(ranked []job.EntryID) int { return min(replicas, len(ranked)) }

// next returns the registrars to ask now and notes them as asked. One that is
// under suspicion is asked together with its stand-in, so that a dead entry
// costs no waiting.
func (c *claim) next(view *membership.Members) []job.EntryID {
	var list []job.EntryID
	for _, zone := range c.zones(view) {
		ranked := view.Ranked(zone, string(c.id))
		counted := 0
		for _, entry := range ranked {
			if counted >= need(ranked) {
				break
			}
			a := c.ask(entry)
			if a.state == askFailed {
				continue
			}
			if a.state == askOpen {
				a.state = askSent
				list = append(list, entry)
			}
			if member, _ := view.Get(entry); member.State != membership.Suspect || a.state == askGranted {
				counted++
			}
		}
	}
	return list
}

func (c *claim) ask(entry job.EntryID) *ask {
	a := c.asks[entry]
	if a == nil {
		a = &ask{}
		c.asks[entry] = a
	}
	return a
}

// request returns the question for one registrar.
func (c *claim) request(entry job.EntryID, digest job.Digest) *claimRequest {
	req := &claimRequest{ID: c.id, Digest: digest, By: c.by}
	for _, held := range c.ask(entry).held {
		if c.given[held.By] {
			req.Replace = append(req.Replace, held.By)
		}
	}
	return req
}

func (c *claim) replied(from job.EntryID, r *claimReply) {
	a := c.ask(from)
	a.standing = r.Standing
	a.held = r.Held
	switch {
	case len(r.Held) == 0:
		a.state = askGranted
	case slices.ContainsFunc(r.Held, func(held Record) bool { return c.given[held.By] }):
		a.state = askOpen
	default:
		a.state = askHeld
	}
}

func (c *claim) failed(from job.EntryID) { c.ask(from).state = askFailed }

// retry opens the questions that failed or that a registrar could not answer
// yet.
func (c *claim) retry() {
	for _, a := range c.asks {
		if a.state == askFailed || a.state == askGranted && a.standing == Unsynced {
			a.state = askOpen
		}
	}
}

// gaveUp notes that a claimant found in records does not have the submission.
func (c *claim) gaveUp(by Claimant) {
	c.given[by] = true
	for _, a := range c.asks {
		if a.state == askHeld && slices.ContainsFunc(a.held, func(held Record) bool { return held.By == by }) {
			a.state = askOpen
		}
	}
}

// rival returns whom to ask about a claimant found in records.
func (c *claim) rival(by Claimant) job.Owner {
	if to, ok := c.moved[by]; ok {
		return to
	}
	return by.Owner
}

// yielded takes in what the asked entry said about a claimant.
func (c *claim) yielded(by Claimant, asked job.Owner, r *yieldReply) {
	switch r.Verdict {
	case yieldMine:
		c.joined[by] = asked
	case yieldMoved:
		c.moved[by] = r.To
	default:
		c.gaveUp(by)
	}
}

// granted lists the registrars that recorded the claim.
func (c *claim) granted() []job.EntryID {
	var list []job.EntryID
	for _, entry := range c.order() {
		if c.asks[entry].state == askGranted {
			list = append(list, entry)
		}
	}
	return list
}

// verdict says what the replies so far mean for a submission of that content,
// of which this entry may have yielded its claim.
func (c *claim) verdict(view *membership.Members, digest job.Digest, yielded job.Owner) claimVerdict {
	if !yielded.IsZero() {
		return claimVerdict{kind: verdictJoin, owner: yielded}
	}
	if v, found := c.rivals(view, digest); found {
		return v
	}
	if view.Isolated {
		return claimVerdict{kind: verdictUnknown, reason: job.NoRegistrar}
	}
	v := claimVerdict{kind: verdictStart}
	for _, zone := range c.zones(view) {
		z := c.zone(view, zone)
		// While any zone may still name an owner, that one's failure to tell
		// decides nothing; this entry's own zone is waited for longest.
		if z.kind == verdictWait && (v.kind != verdictWait || zone == c.by.Owner.Zone) || z.kind == verdictUnknown && v.kind == verdictStart {
			v = z
		}
	}
	return v
}

// order lists the asked entries by name, so that equal replies give equal
// verdicts.
func (c *claim) order() []job.EntryID { return slices.Sorted(maps.Keys(c.asks)) }

// rivals says what the records of other claimants mean together. A lost
// claimant's record may be of a claim that never started beside one of a job
// that runs, so it decides only when all have answered and none says more.
func (c *claim) rivals(view *membership.Members, digest job.Digest) (best claimVerdict, found bool) {
	open := false
	for _, entry := range c.order() {
		a := c.asks[entry]
		member, _ := view.Get(entry)
		open = open || a.state == askSent && member.State != membership.Suspect
		if a.state != askHeld {
			continue
		}
		for i := range a.held {
			if v := c.rivalVerdict(view, digest, &a.held[i]); !found || v.kind < best.kind {
				best, found = v, true
			}
		}
	}
	if found && open && (best.kind == verdictTakeOver || best.kind == verdictConflict) {
		best.kind = verdictWait
	}
	return best, found
}

// rivalVerdict says what a record of another owner means.
func (c *claim) rivalVerdict(view *membership.Members, digest job.Digest, held *Record) claimVerdict {
	v := claimVerdict{owner: held.By.Owner, by: held.By, reason: job.OwnerLost}
	keeper, joined := c.joined[held.By]
	gone := view.Gone(held.By.Owner.Entry, held.By.Owner.Incarnation)
	switch {
	case held.Digest != digest && (held.Answer != nil || joined || gone):
		v.kind = verdictConflict
	case held.Digest != digest:
		// Its claim may have been refused, with the news of that on its way
		// here; then the record names nothing that exists.
		v.kind = verdictRival
	case held.Answer != nil && !held.Answer.Run.Proven():
		v.kind, v.answer = verdictAnswered, held.Answer
	case joined:
		v.kind, v.owner = verdictJoin, keeper
	case gone:
		v.kind = verdictTakeOver
	default:
		v.kind = verdictRival
	}
	return v
}

// zone says whether one zone's registrars have said enough.
func (c *claim) zone(view *membership.Members, zone job.Zone) claimVerdict {
	reason, far := job.NoRegistrar, zone != c.by.Owner.Zone
	if far {
		reason = job.ZoneUnreachable
	}
	ranked := view.Ranked(zone, string(c.id))
	enough := need(ranked)
	if far && !c.outstanding(view, ranked) {
		// One is enough where the others can't be reached: an owner in that zone
		// needs two, so it meets this claim at the one.
		enough = min(1, enough)
	}
	if len(ranked) == 0 {
		return claimVerdict{kind: verdictUnknown, reason: reason}
	}
	granted := 0
	said := map[Standing]bool{}
	for _, entry := range ranked {
		if a := c.asks[entry]; a != nil && a.state == askGranted {
			granted++
			said[a.standing] = true
		}
	}
	switch {
	case granted < enough:
		return claimVerdict{kind: verdictWait, reason: reason}
	case c.attempt == 1:
		return claimVerdict{kind: verdictStart}
	case said[Lost]:
		return claimVerdict{kind: verdictUnknown, reason: job.NoRegistrar}
	case said[Authoritative]:
		return claimVerdict{kind: verdictStart}
	case said[Cold] && c.attempt == job.AttemptUnsaid:
		return claimVerdict{kind: verdictStart}
	case said[Cold]:
		return claimVerdict{kind: verdictUnknown, reason: job.NoRegistrar}
	}
	return claimVerdict{kind: verdictWait, reason: job.NoRegistrar}
}

// outstanding reports whether an entry that seems to be up has not replied.
func (c *claim) outstanding(view *membership.Members, ranked []job.EntryID) bool {
	for _, entry := range ranked {
		member, _ := view.Get(entry)
		if a := c.asks[entry]; a != nil && a.state == askSent && member.State != membership.Suspect {
			return true
		}
	}
	return false
}
