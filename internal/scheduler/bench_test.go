package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
)

// BenchmarkTask measures the cost of one task from its offer to its end while the
// pool is full and tasks wait: for a pool of 50 targets, and for one holder's
// part of 2,700 workers in 7 zones with 3 holders each, for 63 teams.
func BenchmarkTask(b *testing.B) {
	for _, size := range []struct{ targets, teams, tasks int }{{50, 8, 1}, {50, 8, 10}, {130, 63, 1}, {130, 63, 10}, {130, 63, 1900}, {2700, 63, 10}} {
		b.Run(fmt.Sprintf("targets=%d/teams=%d/job=%d", size.targets, size.teams, size.tasks), func(b *testing.B) {
			benchTasks(b, size.targets, size.teams, size.tasks)
		})
	}
}

func benchTasks(b *testing.B, targets, teams, tasks int) {
	p := smallPool(targets, 8)
	f := testFile()
	f.Limits.MaxQueuedTasks = 1 << 20
	f.Teams = nil
	for i := range teams {
		f.Teams = append(f.Teams, config.Team{Name: fmt.Sprint("t", i), Weight: 1 + i%3})
	}
	p.Configure(epoch, f)
	now := epoch
	var live []Key
	next := 0
	offer := func() {
		m := batchOf(fmt.Sprint("j", next), "proxy", tasks)
		m.Team = fmt.Sprint("t", next%teams)
		next++
		if v := p.Offer(now, m); !v.Accepted {
			b.Fatal(v)
		}
	}
	started := func() {
		for _, s := range p.Next(now).Starts {
			live = append(live, s.Key)
		}
	}
	for p.queued < 2*targets*8 {
		offer()
		started()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		if i%tasks == 0 {
			offer()
		}
		k := i % len(live)
		key := live[k]
		live[k] = live[len(live)-1]
		live = live[:len(live)-1]
		p.Finished(now, key, Result{Ran: 300 * time.Millisecond, Status: job.TaskDone})
		started()
	}
}

// BenchmarkCancel measures the cost for each task when many jobs are cancelled at once.
func BenchmarkCancel(b *testing.B) {
	p := smallPool(50, 8, Options{NoAdmission: true})
	f := testFile()
	f.Limits.MaxQueuedTasks = 1 << 30
	p.Configure(epoch, f)
	const tasks = 100
	for i := 0; i*tasks < b.N; i++ {
		p.Offer(epoch, batchOf(fmt.Sprint("j", i), "proxy", tasks))
	}
	b.ResetTimer()
	for i := 0; i*tasks < b.N; i++ {
		p.Cancel(epoch, owner, job.ID(fmt.Sprint("j", i)))
	}
}
