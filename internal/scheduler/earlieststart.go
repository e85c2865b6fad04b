package scheduler

import "time"

// Load pattern: tasks that run for seconds occupy all slots when a short job arrives. The
// queue is empty, so the queued work suggests an early start. The job would wait until its
// answer is no longer useful, and only then would its caller know to try elsewhere. The
// expected ends of the running tasks allow refusing it on arrival.

const (
	// maxRunningExamined is the number of running tasks above which their expected ends
	// are not examined.
	maxRunningExamined = 512
	// overdueFraction is the least remaining run time that is expected of a running task,
	// as a fraction of its expected run time, also once it has exceeded that time.
	overdueFraction = 0.25
)

// earliestStart returns the time until the last task of a batch can start if no other queued
// task starts before it; zero if too many tasks are running to examine.
func (p *Pool) earliestStart(now time.Time, b *batch) time.Duration {
	if p.running > maxRunningExamined {
		return 0
	}
	return p.startAfter(now, nil, b)
}

// startAfter returns the time until the last task of a batch can start if the queued tasks
// of the batches before it start first and the next kept slots are not available.
func (p *Pool) startAfter(now time.Time, before []*batch, b *batch) time.Duration {
	p.assignBefore(now, before)
	return p.assignQueued(b)
}

// assignBefore determines when slots become free after the queued tasks of some batches.
func (p *Pool) assignBefore(now time.Time, before []*batch) {
	p.freeTimes.reset(int(p.freeCapacity))
	for _, other := range p.batches {
		if other.running == 0 {
			continue
		}
		for i := range other.tasks {
			if t := &other.tasks[i]; t.state == taskRunning {
				p.freeTimes.add(t.remaining(now, p.fleet.RelativeRunTime(&t.target.health)))
			}
		}
	}
	p.freeTimes.init()
	for _, other := range before {
		p.assignQueued(other)
	}
}

// assignQueued gives the slots that are free first to the queued tasks of a batch and
// returns when the last of them starts.
func (p *Pool) assignQueued(b *batch) (last time.Duration) {
	for _, i := range b.requeued {
		last = p.freeTimes.assign(b.tasks[i].expected)
	}
	for _, i := range b.order {
		last = p.freeTimes.assign(b.tasks[i].expected)
	}
	return last
}

// remaining returns the expected remaining run time of a task. pace is the expected run
// time on its target as a multiple of that on the median target.
func (t *task) remaining(now time.Time, pace float64) time.Duration {
	whole := time.Duration(float64(t.expected) * pace)
	left := whole - now.Sub(t.started)
	return max(left, time.Duration(overdueFraction*float64(t.expected)))
}

// slotHeap is a min-heap of the times from now until slots become free.
type slotHeap struct{ freeAt []time.Duration }

// reset empties the heap and adds slots that are free now.
func (h *slotHeap) reset(free int) {
	h.freeAt = h.freeAt[:0]
	for range free {
		h.freeAt = append(h.freeAt, 0)
	}
}

func (h *slotHeap) add(in time.Duration) { h.freeAt = append(h.freeAt, in) }

// init establishes the heap order after all slots were added.
func (h *slotHeap) init() {
	if len(h.freeAt) == 0 {
		h.freeAt = append(h.freeAt, 0)
	}
	for i := len(h.freeAt)/2 - 1; i >= 0; i-- {
		h.siftDown(i)
	}
}

// assign gives the slot that is free first to a task and returns when the task starts.
func (h *slotHeap) assign(run time.Duration) time.Duration {
	freeAt := h.freeAt[0]
	h.freeAt[0] += run
	h.siftDown(0)
	return freeAt
}

func (h *slotHeap) siftDown(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(h.freeAt); c++ {
			if h.freeAt[c] < h.freeAt[least] {
				least = c
			}
		}
		if least == i {
			return
		}
		h.freeAt[i], h.freeAt[least] = h.freeAt[least], h.freeAt[i]
		i = least
	}
}
