// Package target is the dispatcher's side of a target: its announcements, the
// lease under which it is registered, and the HTTP client that starts tasks on it.
//
// The at-most-once guarantee relies on the client to distinguish a task that was
// provably not started from one that may have run.
package target

import (
	"net/url"
	"strconv"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// HTTP headers between entries and targets.
const (
	// HeaderRun carries the target's statement whether the task started.
	HeaderRun = "Vanillagrade-Run"
	// HeaderTask names the task to which a request or an answer belongs.
	HeaderTask = "Vanillagrade-Task"
)

// RunNotRun is the value of HeaderRun that proves that the task did not start.
const RunNotRun = "not-run"

// TargetsPath is the path prefix under which targets announce themselves to an
// entry. The target's id follows.
const TargetsPath = "/v1/targets/"

// TasksPath is the path prefix under which a target accepts tasks. Submission and
// index follow.
const TasksPath = "/v1/tasks/"

// Grant is the answer to an announcement.
type Grant struct {
	// LeaseMillis is the duration of the lease, in milliseconds.
	LeaseMillis int64 `json:"lease_ms"`
	// RenewMillis is the time after which the target should announce itself
	// again, in milliseconds.
	RenewMillis int64 `json:"renew_ms"`
}

// TaskPath returns the path of a task on its target.
func TaskPath(submission job.ID, index int) string {
	return TasksPath + url.PathEscape(string(submission)) + "/" + strconv.Itoa(index)
}

// TaskName returns the value of HeaderTask for a task. It is escaped, so that a
// submission's id can't break the header.
func TaskName(submission job.ID, index int) string {
	return url.PathEscape(string(submission)) + "/" + strconv.Itoa(index)
}
