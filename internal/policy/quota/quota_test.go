package quota

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func quotas(teams ...config.Team) *Quotas {
	q := New()
	q.Configure(&config.File{Teams: teams}, 1)
	return q
}

// A studio's script sends without a break. Its jobs beyond the agreed rate must be
// refused with the exact time after which the job is admitted. If that time were too
// short, the script would retry in vain; if it were too long, the quota would go unused.
func TestRetryAfterIsExact(t *testing.T) {
	q := quotas(config.Team{Name: "hot", TasksPerSecond: 100})
	qt.Assert(t, q.Admit(start, "hot", 100).Allowed, qt.IsTrue)
	v := q.Admit(start, "hot", 30)
	qt.Assert(t, v.Allowed, qt.IsFalse)
	qt.Assert(t, v.Reason, qt.Equals, job.OverQuota)
	qt.Assert(t, v.RetryAfter, qt.Equals, 300*time.Millisecond)
	qt.Assert(t, q.Admit(start.Add(v.RetryAfter-time.Millisecond), "hot", 30).Allowed, qt.IsFalse)
	qt.Assert(t, q.Admit(start.Add(v.RetryAfter), "hot", 30).Allowed, qt.IsTrue)
}

// A job of 1,900 tasks belongs to a team with a lower rate. If the bucket had to hold
// the whole job, the job would be refused permanently. If the job were not charged, the
// team would have no quota.
func TestLargeJobPassesAndLeavesDebt(t *testing.T) {
	q := quotas(config.Team{Name: "big", TasksPerSecond: 100})
	qt.Assert(t, q.Admit(start, "big", 1900).Allowed, qt.IsTrue)
	v := q.Admit(start, "big", 1)
	qt.Assert(t, v.RetryAfter, qt.Equals, 18*time.Second+10*time.Millisecond)
}

func TestRateHoldsOverTime(t *testing.T) {
	q := quotas(config.Team{Name: "hot", TasksPerSecond: 100})
	admitted := 0
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(3 * time.Millisecond) {
		if q.Admit(now, "hot", 7).Allowed {
			admitted += 7
		}
	}
	qt.Assert(t, admitted <= 2100, qt.IsTrue, qt.Commentf("%d", admitted))
	qt.Assert(t, admitted > 2000, qt.IsTrue, qt.Commentf("%d", admitted))
}

func TestQueuedBound(t *testing.T) {
	q := quotas(config.Team{Name: "t", MaxQueuedTasks: 10}, config.Team{Name: "other"})
	qt.Assert(t, q.Admit(start, "t", 8).Allowed, qt.IsTrue)
	v := q.Admit(start, "t", 3)
	qt.Assert(t, v.Allowed, qt.IsFalse)
	qt.Assert(t, v.RetryAfter > 0, qt.IsTrue)
	qt.Assert(t, q.Admit(start, "other", 8).Allowed, qt.IsTrue)
	q.Done(start, "t", 1)
	qt.Assert(t, q.Admit(start, "t", 3).Allowed, qt.IsTrue)
	qt.Assert(t, q.Queued("t"), qt.Equals, 10)
	qt.Assert(t, q.Admit(start, "nobody", 1).Reason, qt.Equals, job.UnknownTeam)
}

// No team is configured, and a caller makes up a new team name for each job to get a new
// limit each time. All names must share one limit.
func TestMadeUpTeamsShareOneBound(t *testing.T) {
	q := New()
	q.Configure(&config.File{Limits: config.Limits{MaxQueuedTasks: 10}}, 1)
	admitted := 0
	for i := range 100 {
		if q.Admit(start, fmt.Sprint("team", i), 1).Allowed {
			admitted++
		}
	}
	qt.Assert(t, admitted, qt.Equals, 10)
	qt.Assert(t, q.teams, qt.HasLen, 1)
	q.Done(start, "any", 10)
	qt.Assert(t, q.Queued("other"), qt.Equals, 0)
}

// A new configuration arrives while a team is over its rate. If it reset the bucket,
// 2,900 configuration changes a day would allow 2,900 further bursts.
func TestConfigureKeepsLevel(t *testing.T) {
	q := quotas(config.Team{Name: "hot", TasksPerSecond: 100})
	q.Admit(start, "hot", 100)
	q.Configure(&config.File{Teams: []config.Team{{Name: "hot", TasksPerSecond: 50}}}, 1)
	qt.Assert(t, q.Admit(start, "hot", 50).RetryAfter, qt.Equals, time.Second)
}
