package standin

import (
	"sync"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// maxGenerationTasks bounds the tasks in one generation of a tracker. Two
// generations at about 100 bytes per task keep a stand-in that runs for days
// under about 100 MB. A second start is detected among the last half million
// tasks.
const maxGenerationTasks = 500_000

type taskKey struct {
	submission job.ID
	index      int
}

// StartTracker records the starts of tasks and detects a task that is started twice.
type StartTracker struct {
	mu            sync.Mutex
	starts        uint64
	doubledStarts uint64
	current       map[taskKey]struct{}
	previous      map[taskKey]struct{}
}

// NewStartTracker returns an empty tracker.
func NewStartTracker() *StartTracker { return &StartTracker{current: make(map[taskKey]struct{})} }

func (l *StartTracker) recordStart(key taskKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	if l.contains(key) {
		l.doubledStarts++
		return
	}
	if len(l.current) >= maxGenerationTasks {
		l.previous = l.current
		l.current = make(map[taskKey]struct{})
	}
	l.current[key] = struct{}{}
}

// Starts returns the number of task starts.
func (l *StartTracker) Starts() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts
}

// DoubledStarts returns the number of repeated starts of a task.
func (l *StartTracker) DoubledStarts() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.doubledStarts
}

// Started reports whether a task was started, within the tasks that the tracker
// remembers.
func (l *StartTracker) Started(submission job.ID, index int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.contains(taskKey{submission, index})
}

func (l *StartTracker) contains(key taskKey) bool {
	_, inRecent := l.current[key]
	_, inOlder := l.previous[key]
	return inRecent || inOlder
}
