// Package target is the dispatcher's side of a target: what it announces, the
// lease under which it is known, and the HTTP client that starts tasks on it.
//
// The client answers one question exactly, since at most once rests on it: was
// the task provably not started, or may it have run?
package target

import (
	"net/url"
	"strconv"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// The headers between entries and targets.
const (
	// HeaderRun carries the target's statement on whether the task started.
	HeaderRun = "Vanillagrade-Run"
	// HeaderTask names the task that a request or an answer belongs to.
	HeaderTask = "Vanillagrade-Task"
)

// RunNotRun is the value of HeaderRun that proves that nothing started.
const RunNotRun = "not-run"

// TargetsPath is where targets announce themselves to an entry; the target's
// id follows it.
const TargetsPath = "/v1/targets/"

// TasksPath is where a target takes tasks; submission and index follow it.
const TasksPath = "/v1/tasks/"

// Grant is the answer to an announcement.
type Grant struct {
	// LeaseMillis is how long the announcement holds, in milliseconds.
	LeaseMillis int64 `json:"lease_ms"`
	// RenewMillis is when the target should announce again, in milliseconds.
	RenewMillis int64 `json:"renew_ms"`
}

// TaskPath returns the path of one task on its target.
func TaskPath(submission job.ID, index int) string {
	return TasksPath + url.PathEscape(string(submission)) + "/" + strconv.Itoa(index)
}

// TaskName returns the value of HeaderTask for one task. It is escaped, so
// that a submission's id can't break the header.
func TaskName(submission job.ID, index int) string {
	return url.PathEscape(string(submission)) + "/" + strconv.Itoa(index)
}
