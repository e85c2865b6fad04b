package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

const ms = time.Millisecond

func TestDecide(t *testing.T) {
	one := Request{Urgency: job.UrgencyInteractive, Tasks: 1, Work: 0.3, Longest: 300 * ms}
	within := func(remaining time.Duration) Request { r := one; r.Remaining = remaining; return r }
	cases := []struct {
		name    string
		backlog Backlog
		request Request
		admit   bool
		reason  job.Reason
	}{
		{"idle pool", Backlog{Slots: 400, Free: 400, Share: 1}, within(400 * ms), true, ""},
		{"deadline too near on an idle pool", Backlog{Slots: 400, Free: 400, Share: 1}, within(200 * ms), false, job.DeadlineTooNear},
		{"the wait leaves most of the slack", Backlog{Slots: 400, Class: 60, Team: 60, Share: 1}, within(time.Second), true, ""},
		{"the wait would use all the slack", Backlog{Slots: 400, Class: 240, Team: 240, Share: 1}, within(time.Second), false, job.Overloaded},
		{"a standing queue may be an eighth as long", Backlog{Slots: 400, Class: 60, Team: 60, Share: 1, QueuedFor: 10 * time.Second}, within(time.Second), false, job.Overloaded},
		{"a shorter standing queue", Backlog{Slots: 400, Class: 7, Team: 7, Share: 1, QueuedFor: 10 * time.Second}, within(time.Second), true, ""},
		{"a standing queue, without a deadline", Backlog{Slots: 400, Class: 180, Team: 180, Share: 1, QueuedFor: 10 * time.Second}, one, false, job.Overloaded},
		{"long wait without a deadline", Backlog{Slots: 400, Class: 400, Team: 400, Share: 1}, one, false, job.Overloaded},
		{"only other teams wait", Backlog{Slots: 400, Class: 4000, Team: 0, Share: 0.5}, one, true, ""},
		{"own work of a team with a small share", Backlog{Slots: 400, Class: 4000, Team: 100, Share: 0.1}, one, false, job.Overloaded},
		{"more urgent work goes first", Backlog{Slots: 400, Higher: 400, Share: 1}, one, false, job.Overloaded},
		{"no slot but the class's own share", Backlog{Slots: 0, Higher: 400, Share: 1, MinSlots: 25, MinSlotsAfter: 500 * ms}, one, true, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := Decide(c.backlog, c.request)
			qt.Assert(t, v.Admit, qt.Equals, c.admit, qt.Commentf("%+v", v))
			qt.Assert(t, v.Reason, qt.Equals, c.reason)
			qt.Assert(t, v.RetryAfter > 0, qt.Equals, c.reason == job.Overloaded)
		})
	}
}

// A refusal reports when the caller can retry. If that time were too short, the caller
// would be refused again. The backlog drains by one second per second, so the same job
// must be admitted after the reported time.
func TestRetryAfterIsLongEnough(t *testing.T) {
	for _, remaining := range []time.Duration{0, time.Second} {
		b := Backlog{Slots: 400, Class: 900, Team: 900, Share: 1}
		r := Request{Urgency: job.UrgencyInteractive, Tasks: 1, Work: 0.3, Longest: 300 * ms, Remaining: remaining}
		v := Decide(b, r)
		qt.Assert(t, v.Admit, qt.IsFalse)
		b.Class -= v.RetryAfter.Seconds() * 400
		b.Team = b.Class
		qt.Assert(t, Decide(b, r).Admit, qt.IsTrue)
		b.Class += 0.1 * 400
		b.Team = b.Class
		qt.Assert(t, Decide(b, r).Admit, qt.IsFalse)
	}
}
