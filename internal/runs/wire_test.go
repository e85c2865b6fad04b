package runs

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

// wire transports requests to a worker. Each direction has its own transit time, sometimes
// seconds, and answers get lost.
type wire struct {
	w           *worker
	mu          sync.Mutex
	r           *rand.Rand
	harmPercent int // percentage of messages that are slow, and of answers lost
}

func (x *wire) times() (there, back time.Duration, lost bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	d := func() time.Duration {
		if x.r.IntN(100) >= x.harmPercent {
			return time.Duration(1+x.r.IntN(3)) * time.Millisecond
		}
		switch x.r.IntN(3) {
		case 0:
			return time.Duration(x.r.IntN(60)) * time.Millisecond
		case 1:
			return time.Duration(x.r.IntN(500)) * time.Millisecond
		}
		return time.Duration(x.r.IntN(5000)) * time.Millisecond
	}
	return d(), d(), x.r.IntN(100) < x.harmPercent
}

func (x *wire) call(ctx context.Context, do func()) error {
	there, back, lost := x.times()
	done := make(chan struct{})
	go func() {
		time.Sleep(there)
		do()
		time.Sleep(back)
		if !lost {
			close(done)
		}
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errLost
	}
}

func (x *wire) Start(ctx context.Context, o StartRequest) (r Reply, err error) {
	var got Reply
	if err = x.call(ctx, func() { got, _ = x.w.Start(context.Background(), o) }); err == nil {
		r = got
	}
	return r, err
}

func (x *wire) Stop(ctx context.Context, o StopRequest) (r Reply, err error) {
	var got Reply
	if err = x.call(ctx, func() { got, _ = x.w.Stop(context.Background(), o) }); err == nil {
		r = got
	}
	return r, err
}

func (x *wire) Renew(ctx context.Context, o PollRequest) (l PollReply, err error) {
	var got PollReply
	if err = x.call(ctx, func() { got, _ = x.w.Renew(context.Background(), o) }); err == nil {
		l = got
	}
	return l, err
}

func (x *wire) Close() {}

// Requests and answers are slow, overtake each other or get lost, the owner of a task sometimes
// becomes unreachable, and targets pass from one holder to the next while tasks run. A task that
// is reported as not started or over is run elsewhere at once. No task may ever run on two targets
// at the same time.
func TestNoTaskRunsTwiceWhileHoldersChange(t *testing.T) {
	const takeovers, owners = true, true
	n := 130
	if raceDetector {
		n /= 10
	}
	for seed := range uint64(n) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 7))
			harmPercent := []int{5, 20, 50}[r.IntN(3)]
			var mu sync.Mutex
			intN := func(n int) int { mu.Lock(); defer mu.Unlock(); return r.IntN(n) }
			const targetCount = 3
			workers := make([]*worker, targetCount)
			sessions := make([]*Session, targetCount)
			open := func(i int) *Session {
				return NewSession(Options{Client: &wire{w: workers[i], r: rand.New(rand.NewPCG(seed, uint64(intN(1<<30)))), harmPercent: harmPercent}, Salt: uint16(intN(256))})
			}
			for i := range workers {
				workers[i] = newWorker()
				workers[i].runTime = []time.Duration{30 * time.Millisecond, 200 * time.Millisecond, 700 * time.Millisecond}[intN(3)]
				sessions[i] = open(i)
			}
			get := func(i int) *Session { mu.Lock(); defer mu.Unlock(); return sessions[i] }
			time.Sleep(time.Second)
			begun := time.Now()
			var stop atomic.Bool
			var done, all atomic.Int64
			const length = 20 * time.Second
			var g sync.WaitGroup
			for c := range 5 {
				g.Go(func() {
					for k := 0; time.Since(begun) < length; k++ {
						ref := Ref{job.ID(rune('a' + c)), k}
						all.Add(1)
						for run := 1; run < 12 && time.Since(begun) < length; run++ {
							time.Sleep(5 * time.Millisecond)
							at := intN(targetCount)
							s := get(at)
							task := target.Task{Submission: ref.Submission, Index: ref.Index, Run: run}
							if !owners || intN(10) != 0 {
								res := s.Start(context.Background(), task)
								if res.Status == job.TaskDone {
									done.Add(1)
									break
								}
								if res.Status == job.TaskErred && !res.Over {
									break
								}
								continue
							}
							// The owner's proof expires at some moment; its caller has the task
							// run again 1.3 s later.
							proof := time.Now().Add(time.Duration(intN(600)) * time.Millisecond)
							last := func() time.Time {
								n := time.Now()
								if n.Before(proof) {
									return n
								}
								return proof
							}
							task.Left = func() time.Duration { return time.Until(last().Add(1200 * time.Millisecond)) }
							task.Wanted = func() bool { return time.Since(last()) <= 950*time.Millisecond }
							out := make(chan target.Result, 1)
							go func() { out <- s.Start(context.Background(), task) }()
							select {
							case res := <-out:
								if res.Status == job.TaskDone {
									done.Add(1)
									run = 99
								}
								continue
							case <-time.After(time.Until(proof.Add(950 * time.Millisecond))):
							}
							s.NotifyStop(ref.Submission, ref.Index)
							go s.Stop(context.Background(), ref.Submission, ref.Index)
							time.Sleep(350 * time.Millisecond)
							// A later owner runs the task on another target.
							for o := range targetCount {
								if o != at {
									if res := get(o).Start(context.Background(), target.Task{Submission: ref.Submission, Index: ref.Index, Run: 1}); res.Status == job.TaskDone {
										done.Add(1)
										break
									}
								}
							}
							break
						}
					}
				})
			}
			if takeovers {
				g.Go(func() {
					for time.Since(begun) < length {
						time.Sleep(time.Duration(200+intN(2000)) * time.Millisecond)
						i := intN(targetCount)
						s := open(i)
						mu.Lock()
						old := sessions[i]
						sessions[i] = s
						mu.Unlock()
						old.Close()
					}
				})
			}
			seen := map[Ref]bool{}
			go func() {
				for !stop.Load() {
					time.Sleep(time.Millisecond)
					n := map[Ref]int{}
					for _, w := range workers {
						w.set(func() {
							for ref := range w.running {
								n[ref]++
							}
						})
					}
					for ref, c := range n {
						if c > 1 && !seen[ref] {
							seen[ref] = true
							t.Errorf("seed %d p %d: %v twice at %v", seed, harmPercent, ref, time.Since(begun))
						}
					}
				}
			}()
			g.Wait()
			stop.Store(true)
			for _, s := range sessions {
				s.Close()
			}
			drain()
			t.Logf("seed %d p %d: %d of %d done", seed, harmPercent, done.Load(), all.Load())
		})
	}
}
