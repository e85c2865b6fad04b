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

var modelStates = flag.Int("ownership.states", 1_000_000, "states of each scenario of the model")

// inShort words a report with its trace, in which time that passes is told once.
func inShort(r explore.Report) string {
	trace := r.Trace
	r.Trace = nil
	lines := []string{fmt.Sprintf("%s; a trace of %d steps", r, len(trace))}
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

// exploreWithin explores a scenario and tells what was seen.
func exploreWithin(t *testing.T, b bounds, m mutation) explore.Report {
	t.Helper()
	begun := time.Now()
	r := explore.Run[world](system{b, m}, *modelStates/raceDivisor)
	if r.Violation == nil {
		t.Logf("%s in %d ms", r, time.Since(begun).Milliseconds())
	}
	return r
}

// An entry stands still, or the link is cut, at any step and for any time, and the caller
// loses the owner at any step. Whoever acts by what was true before runs the job beside
// its second run, and its studio is billed twice for one frame.
func TestNoFaultRunsAJobTwice(t *testing.T) {
	for name, b := range map[string]bounds{
		"the holder stands still":                             {holderPauses: 1},
		"the holder stands still twice":                       {holderPauses: 2},
		"the owner stands still":                              {ownerPauses: 1},
		"the link is cut and holds messages up":               {cuts: 1},
		"the stop of a run gets lost":                         {lostStops: true},
		"a request lies unread in an owner that stands still": {unread: true, ownerPauses: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := exploreWithin(t, b, sound)
			qt.Assert(t, r.Violation, qt.IsNil, qt.Commentf("%s", inShort(r)))
			qt.Assert(t, r.Complete || raceDivisor > 1, qt.IsTrue)
		})
	}
}

// An entry was silent for less than a term when it is heard again. That renews all rights,
// though it has not read yet what came meanwhile: that its caller hung up, or that a job
// was taken back. Then a second fault follows within some tens of milliseconds, such as a
// VM that goes on in slices has them. What was renewed lasts for a second more, and the
// caller, who waits for 1.3 s since the hang-up, pays for two runs at a time.
func TestNoTwoFaultsRunAJobTwice(t *testing.T) {
	for name, b := range map[string]bounds{
		"the owner stands still twice":                              {ownerPauses: 2},
		"owner and holder stand still":                              {ownerPauses: 1, holderPauses: 1},
		"the link is cut twice":                                     {cuts: 2},
		"the link is cut and the owner stands still":                {cuts: 1, ownerPauses: 1},
		"the link is cut and the holder stands still":               {cuts: 1, holderPauses: 1},
		"a stop gets lost and the owner stands still":               {lostStops: true, ownerPauses: 1},
		"a stop gets lost and the holder stands still":              {lostStops: true, holderPauses: 1},
		"a stop gets lost and the link is cut":                      {lostStops: true, cuts: 1},
		"a request lies unread in an owner that stands still twice": {unread: true, ownerPauses: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := exploreWithin(t, b, sound)
			qt.Assert(t, r.Violation, qt.IsNil, qt.Commentf("%s", inShort(r)))
		})
	}
}

// Each rule is needed: without it a job runs twice, and the model finds how. Three are
// second bounds: they matter where the rules of what an owner says are broken too.
func TestEachRuleOfTheRightIsNeeded(t *testing.T) {
	for name, seeded := range map[string]struct {
		bounds
		mutation
	}{
		"a start relies on the last look":                 {bounds{ownerPauses: 1}, noCheckAfterPause | spokenAtOnce},
		"a proof counts from when it is read":             {bounds{holderPauses: 1}, proofByArrival},
		"a right that ran out comes back":                 {bounds{holderPauses: 1}, revived},
		"a target's lease outlasts the right":             {bounds{ownerPauses: 1}, unbounded},
		"a holder is given up too soon":                   {bounds{holderPauses: 1}, hasty},
		"an unread request is taken for a new one":        {bounds{unread: true, ownerPauses: 1}, unreadIsNew | spokenAtOnce},
		"a proof of any age counts beside another lease":  {bounds{holderPauses: 1}, anyAge},
		"a cancellation is lost with its link":            {bounds{cuts: 1}, cancelledOnce | spokenBeside},
		"an offer is sent again though it was taken back": {bounds{cuts: 1}, offeredAgain},
		"an owner gives proofs as soon as it goes on":     {bounds{lostStops: true, ownerPauses: 1}, spokenAtOnce},
		"an owner gives proofs beside a cancellation":     {bounds{lostStops: true, cuts: 1}, spokenBeside},
		"later proofs lengthen a run that was taken back": {bounds{lostStops: true, holderPauses: 1}, movingBound},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := exploreWithin(t, seeded.bounds, seeded.mutation)
			qt.Assert(t, r.Violation, qt.IsNotNil)
			t.Log(inShort(r))
		})
	}
}

// The bounds of the model leave no more room than the ones of the code: rounded to the
// unsafe side they keep their order.
func TestStepsKeepTheOrderOfTimes(t *testing.T) {
	qt.Assert(t, atMost(Over)+waySteps < turnSteps, qt.IsTrue)
	qt.Assert(t, atMost(Over) < giveUpSteps, qt.IsTrue)
	qt.Assert(t, termSteps < atMost(Over), qt.IsTrue)
	qt.Assert(t, readSteps < int8(Backlog/step), qt.IsTrue)
	qt.Assert(t, Term%step, qt.Equals, time.Duration(0))
}
