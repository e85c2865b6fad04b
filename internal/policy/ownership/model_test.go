package ownership

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/explore"
)

var modelStates = flag.Int("ownership.states", 1_000_000, "number of states to explore in each scenario of the model")

// summarize formats a report with its trace, in which consecutive steps of time are
// combined.
func summarize(r explore.Report) string {
	trace := r.Trace
	r.Trace = nil
	lines := []string{fmt.Sprintf("%s; trace of %d steps", r, len(trace))}
	passed := time.Duration(0)
	for _, action := range append(trace, "") {
		if action == timePasses {
			passed += step
			continue
		}
		if passed > 0 {
			lines = append(lines, fmt.Sprintf("  %d ms pass", passed.Milliseconds()))
			passed = 0
		}
		lines = append(lines, "  "+action)
	}
	return strings.TrimSpace(strings.Join(lines, "\n"))
}

// exploreWithin explores a scenario and logs the result.
func exploreWithin(t *testing.T, b bounds, m mutation) explore.Report {
	t.Helper()
	begun := time.Now()
	r := explore.Run[world](system{b, m}, *modelStates/raceDivisor)
	if r.Violation == nil {
		t.Logf("%s in %d ms", r, time.Since(begun).Milliseconds())
	}
	return r
}

// Entries pause, or the link is partitioned, at any step and for any time, and the caller
// loses the owner at any step. An entry that acts on outdated state runs the job
// concurrently with its second run, and the studio is billed twice for one frame.
func TestSingleFaultRunsNoJobTwice(t *testing.T) {
	for name, b := range map[string]bounds{
		"the holder pauses":                            {holderPauses: 1},
		"the holder pauses twice":                      {holderPauses: 2},
		"the owner pauses":                             {ownerPauses: 1},
		"the link is partitioned and delays messages":  {partitions: 1},
		"the stop of a run is lost":                    {lostStops: true},
		"a request lies unread while the owner pauses": {unread: true, ownerPauses: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := exploreWithin(t, b, noMutation)
			qt.Assert(t, r.Violation, qt.IsNil, qt.Commentf("%s", summarize(r)))
			qt.Assert(t, r.Complete || raceDivisor > 1, qt.IsTrue)
		})
	}
}

// An entry is unresponsive for less than a term and then responds again. That renews all
// leases, although the entry has not yet read what arrived meanwhile: that its caller
// hung up, or that a job was cancelled. Then a second fault follows within some tens of
// milliseconds, as on a VM that resumes in short slices. What was renewed lasts for
// another second, and the caller, who waits for 1.3 s after the hang-up, pays for two
// concurrent runs.
func TestTwoFaultsRunNoJobTwice(t *testing.T) {
	for name, b := range map[string]bounds{
		"the owner pauses twice":                             {ownerPauses: 2},
		"owner and holder pause":                             {ownerPauses: 1, holderPauses: 1},
		"the link is partitioned twice":                      {partitions: 2},
		"the link is partitioned and the owner pauses":       {partitions: 1, ownerPauses: 1},
		"the link is partitioned and the holder pauses":      {partitions: 1, holderPauses: 1},
		"a stop is lost and the owner pauses":                {lostStops: true, ownerPauses: 1},
		"a stop is lost and the holder pauses":               {lostStops: true, holderPauses: 1},
		"a stop is lost and the link is partitioned":         {lostStops: true, partitions: 1},
		"a request lies unread while the owner pauses twice": {unread: true, ownerPauses: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := exploreWithin(t, b, noMutation)
			qt.Assert(t, r.Violation, qt.IsNil, qt.Commentf("%s", summarize(r)))
		})
	}
}

// Each rule is needed: without it a job runs twice, and the model finds the sequence of
// events. Three rules are a second line of defence: they matter only where the rules
// about when an owner sends proofs are broken too.
func TestEachLeaseRuleIsNeeded(t *testing.T) {
	for name, seeded := range map[string]struct {
		bounds
		mutation
	}{
		"a start relies on the previous lease check":               {bounds{ownerPauses: 1}, noCheckAfterPause | proofBeforeRead},
		"a proof counts from when it is read":                      {bounds{holderPauses: 1}, proofByArrival},
		"an expired lease is revived":                              {bounds{holderPauses: 1}, leaseRevival},
		"a target's lease outlasts the owner's lease":              {bounds{ownerPauses: 1}, unboundedTargetLease},
		"a holder is abandoned too early":                          {bounds{holderPauses: 1}, earlyHolderTimeout},
		"an unread request counts as new":                          {bounds{unread: true, ownerPauses: 1}, unreadCountsAsNew | proofBeforeRead},
		"a proof of any age counts while a lease is in effect":     {bounds{holderPauses: 1}, anyProofAge},
		"a cancellation lost with its link is not retried":         {bounds{partitions: 1}, noCancelRetry | proofBeforeConfirm},
		"an offer is repeated after the job was cancelled":         {bounds{partitions: 1}, offerAfterCancel},
		"an owner sends proofs as soon as it resumes":              {bounds{lostStops: true, ownerPauses: 1}, proofBeforeRead},
		"an owner sends proofs before a cancellation is confirmed": {bounds{lostStops: true, partitions: 1}, proofBeforeConfirm},
		"later proofs extend a cancelled run":                      {bounds{lostStops: true, holderPauses: 1}, movingStopBound},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := exploreWithin(t, seeded.bounds, seeded.mutation)
			qt.Assert(t, r.Violation, qt.IsNotNil)
			t.Log(summarize(r))
		})
	}
}

// The time limits of the model are no more generous than those of the code: rounded to
// the unsafe side they keep their order.
func TestStepsPreserveOrderOfTimes(t *testing.T) {
	qt.Assert(t, atMost(MaxWorkAfterProof)+hangUpSteps < resubmitSteps, qt.IsTrue)
	qt.Assert(t, atMost(MaxWorkAfterProof) < holderTimeoutSteps, qt.IsTrue)
	qt.Assert(t, termSteps < atMost(MaxWorkAfterProof), qt.IsTrue)
	qt.Assert(t, readSteps < int8(LongPauseReadTime/step), qt.IsTrue)
	qt.Assert(t, Term%step, qt.Equals, time.Duration(0))
}
