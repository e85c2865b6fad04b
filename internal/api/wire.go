// Package api implements the HTTP interface for callers, targets and operators:
// the JSON formats, the status codes and the limits of each listener.
package api

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Names of the HTTP headers.
const (
	HeaderID       = "Vanillagrade-Id"
	HeaderTeam     = "Vanillagrade-Team"
	HeaderDeadline = "Vanillagrade-Deadline-Ms"
	HeaderAttempt  = "Vanillagrade-Attempt"
	HeaderRun      = "Vanillagrade-Run"
	HeaderLate     = "Vanillagrade-Late"
	HeaderChangeID = "Vanillagrade-Change-Id"
)

// JobRequest is the body of POST /v1/jobs.
type JobRequest struct {
	ID         string         `json:"id,omitempty"`
	Team       string         `json:"team,omitempty"`
	Service    string         `json:"service"`
	Attempt    int            `json:"attempt,omitempty"`
	DeadlineMS int64          `json:"deadline_ms,omitempty"`
	Tasks      []job.TaskSpec `json:"tasks"`
}

// TaskResult is one result within a complete answer.
type TaskResult struct {
	Task    int             `json:"task"`
	Payload json.RawMessage `json:"payload"`
}

// CompleteAnswer is the body of a 200 response, with the results in task order.
type CompleteAnswer struct {
	ID      job.ID       `json:"id"`
	Outcome job.Outcome  `json:"outcome"`
	Late    bool         `json:"late"`
	Results []TaskResult `json:"results"`
}

// IncompleteAnswer is the body of every answer whose outcome is not job.Complete.
type IncompleteAnswer struct {
	ID           job.ID      `json:"id,omitempty"`
	Outcome      job.Outcome `json:"outcome"`
	Run          string      `json:"run"`
	Reason       job.Reason  `json:"reason"`
	Detail       string      `json:"detail,omitempty"`
	RetryAfterMS int64       `json:"retry_after_ms,omitempty"`
}

// StatusCode returns the HTTP status of an answer.
func StatusCode(a *job.Answer) int {
	if a.Outcome == job.Complete {
		return http.StatusOK
	}
	if a.Outcome == job.Refused && a.Reason == job.OwnerLost {
		// The entry that continues the submission has the answer later.
		return http.StatusServiceUnavailable
	}
	if a.Outcome == job.Failed && a.Reason == job.Paused {
		return http.StatusBadGateway // some of its tasks may have run
	}
	if code, ok := statusByReason[a.Reason]; ok {
		return code
	}
	return http.StatusInternalServerError
}

var statusByReason = map[job.Reason]int{
	job.Malformed:       http.StatusBadRequest,
	job.Unsupported:     http.StatusBadRequest,
	job.UnknownService:  http.StatusNotFound,
	job.UnknownTeam:     http.StatusForbidden,
	job.IDReused:        http.StatusConflict,
	job.TooLarge:        http.StatusRequestEntityTooLarge,
	job.TooManyTasks:    http.StatusRequestEntityTooLarge,
	job.Infeasible:      http.StatusUnprocessableEntity,
	job.OverQuota:       http.StatusTooManyRequests,
	job.Overloaded:      http.StatusTooManyRequests,
	job.QueueFull:       http.StatusTooManyRequests,
	job.TaskFailed:      http.StatusBadGateway,
	job.TaskCrashes:     http.StatusBadGateway,
	job.SiblingFailed:   http.StatusBadGateway,
	job.TargetLost:      http.StatusBadGateway,
	job.TargetRefused:   http.StatusServiceUnavailable,
	job.HolderLost:      http.StatusBadGateway,
	job.OwnerLost:       http.StatusBadGateway,
	job.Paused:          http.StatusServiceUnavailable,
	job.NoTarget:        http.StatusServiceUnavailable,
	job.ZoneCordoned:    http.StatusServiceUnavailable,
	job.Draining:        http.StatusServiceUnavailable,
	job.NotConfigured:   http.StatusServiceUnavailable,
	job.NotDue:          http.StatusServiceUnavailable,
	job.ZoneUnreachable: http.StatusServiceUnavailable,
	job.NoRegistrar:     http.StatusServiceUnavailable,
	job.NotKept:         http.StatusServiceUnavailable,
	job.DeadlinePassed:  http.StatusGatewayTimeout,
	job.DeadlineTooNear: http.StatusGatewayTimeout,
	job.CancelledByCall: http.StatusConflict,
	job.CallerGone:      statusClientClosedRequest,
}

// statusClientClosedRequest is the customary code for a caller that hung up.
// Nobody receives it; it appears in logs and counters.
const statusClientClosedRequest = 499

// writeAnswer writes the answer of a job.
func writeAnswer(w http.ResponseWriter, a *job.Answer) {
	if a.Outcome != job.Complete {
		writeOther(w, a)
		return
	}
	body := CompleteAnswer{ID: a.ID, Outcome: a.Outcome, Late: a.Late, Results: make([]TaskResult, len(a.Results))}
	for i, payload := range a.Results {
		body.Results[i] = TaskResult{Task: i, Payload: payload}
	}
	writeJSON(w, http.StatusOK, body)
}

// writeOther writes a refusal, failure or cancellation.
func writeOther(w http.ResponseWriter, a *job.Answer) {
	w.Header().Set(HeaderRun, a.Run.Header())
	setRetryAfter(w, a.RetryAfter)
	writeJSON(w, StatusCode(a), IncompleteAnswer{
		ID:           a.ID,
		Outcome:      a.Outcome,
		Run:          a.Run.String(),
		Reason:       a.Reason,
		Detail:       a.Detail,
		RetryAfterMS: a.RetryAfter.Milliseconds(),
	})
}

// writeSingle writes the answer of a single opaque request: the result's bytes as
// they are.
func writeSingle(w http.ResponseWriter, a *job.Answer) {
	if a.ID != "" {
		w.Header().Set(HeaderID, string(a.ID))
	}
	if a.Outcome != job.Complete {
		writeOther(w, a)
		return
	}
	if a.Late {
		w.Header().Set(HeaderLate, "true")
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(a.Results[0])
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, "the answer could not be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(encoded)
}

// retryAfterUnit is the unit of the Retry-After header, which holds whole seconds.
const retryAfterUnit = time.Second
