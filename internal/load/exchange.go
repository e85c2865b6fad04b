package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/api"
	"github.com/vanillagrade/vanillagrade/internal/job"
)

// maxAnswerBytes bounds the body of one answer.
const maxAnswerBytes = 256 << 20

// payload is the task payload for a stand-in target, which echoes the nonce.
type payload struct {
	SleepMillis int64  `json:"sleep_ms"`
	Nonce       string `json:"nonce"`
	Size        int    `json:"size,omitempty"`
	Filling     string `json:"filling,omitempty"`
}

// echo is the part of a stand-in's answer that the load tool checks.
type echo struct {
	Nonce string `json:"nonce"`
}

func (r *runner) jobID(a *Arrival) string { return fmt.Sprintf("%s-%d", r.prefix, a.Number) }

// nonce identifies one task of the run. A result with another nonce belongs to
// another task.
func (r *runner) nonce(a *Arrival, task int) string {
	return fmt.Sprintf("%s/%d", r.jobID(a), task)
}

func (r *runner) payload(a *Arrival, task int) json.RawMessage {
	// Encoding can't fail: the payload holds only numbers and plain text.
	body, _ := json.Marshal(payload{
		SleepMillis: a.Tasks[task].Run.Milliseconds(),
		Nonce:       r.nonce(a, task),
		Size:        a.Stream.AnswerBytes,
		Filling:     strings.Repeat("x", a.Stream.PayloadBytes),
	})
	return body
}

// sendJob sends the job to the entry and checks the answer.
func (r *runner) sendJob(ctx context.Context, entry string, a *Arrival) jobResult {
	var req *http.Request
	var err error
	if a.Stream.Single {
		req, err = r.singleRequest(ctx, entry, a)
	} else {
		req, err = r.jobRequest(ctx, entry, a)
	}
	if err != nil {
		return r.unreadable(a, err)
	}
	status, header, body, err := r.do(req)
	if err != nil {
		r.collector.recordFault(&r.collector.checks.Unanswered, fmt.Sprintf("job %s: %v", r.jobID(a), err))
		return jobResult{reason: reasonNoAnswer}
	}
	if status != http.StatusOK {
		return r.checkOtherAnswer(a, status, body)
	}
	if a.Stream.Single {
		return r.checkSingleAnswer(a, header, body)
	}
	return r.checkJobAnswer(a, body)
}

func (r *runner) jobRequest(ctx context.Context, entry string, a *Arrival) (*http.Request, error) {
	st := a.Stream
	body := api.JobRequest{
		ID: r.jobID(a), Team: a.Team, Service: st.Service, Attempt: 1,
		DeadlineMS: st.Deadline.Milliseconds(), Tasks: make([]job.TaskSpec, len(a.Tasks)),
	}
	for i := range a.Tasks {
		body.Tasks[i] = job.TaskSpec{
			Kind: st.Kind, Payload: r.payload(a, i), RunMillis: a.Tasks[i].Declared.Milliseconds(),
			Processors: st.Processors, MemoryMB: st.MemoryMB, Accelerators: st.Accelerators,
		}
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/jobs", bytes.NewReader(encoded))
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func (r *runner) singleRequest(ctx context.Context, entry string, a *Arrival) (*http.Request, error) {
	path := "http://" + entry + "/v1/services/" + url.PathEscape(a.Stream.Service)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewReader(r.payload(a, 0)))
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.Header.Set(api.HeaderID, r.jobID(a))
	req.Header.Set(api.HeaderAttempt, "1")
	if a.Team != "" {
		req.Header.Set(api.HeaderTeam, a.Team)
	}
	if d := a.Stream.Deadline; d > 0 {
		req.Header.Set(api.HeaderDeadline, strconv.FormatInt(d.Milliseconds(), 10))
	}
	return req, nil
}

func (r *runner) do(req *http.Request) (int, http.Header, []byte, error) {
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, nil, nil, errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, nil, errors.Annotate(err, "half an answer")
	}
	return resp.StatusCode, resp.Header, body, nil
}

// cancel asks the entry to cancel the job. If the request fails, the job runs
// to its end.
func (r *runner) cancel(ctx context.Context, entry string, a *Arrival) {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+entry+"/v1/jobs/"+url.PathEscape(r.jobID(a)), nil)
	if err == nil {
		_, _, _, _ = r.do(req)
	}
}

// unreadable records an answer that the load tool could not decode.
func (r *runner) unreadable(a *Arrival, err error) jobResult {
	r.collector.recordFault(&r.collector.checks.Unreadable, fmt.Sprintf("job %s: %v", r.jobID(a), err))
	return jobResult{reason: reasonUnreadable}
}

// checkJobAnswer checks that a complete answer holds the result of each task
// once, in order and with the task's nonce.
func (r *runner) checkJobAnswer(a *Arrival, body []byte) jobResult {
	var answer api.CompleteAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return r.unreadable(a, err)
	}
	if answer.Outcome != job.Complete || string(answer.ID) != r.jobID(a) {
		return r.unreadable(a, errors.Errorf("status 200 with id %q and outcome %q", answer.ID, answer.Outcome))
	}
	if len(answer.Results) != len(a.Tasks) {
		r.collector.recordFault(&r.collector.checks.Partial, fmt.Sprintf("job %s: %d results of %d tasks", r.jobID(a), len(answer.Results), len(a.Tasks)))
	}
	for i, result := range answer.Results {
		if result.Task != i {
			r.collector.recordFault(&r.collector.checks.Misdelivered, fmt.Sprintf("job %s: result %d is at position %d", r.jobID(a), result.Task, i))
		}
		r.checkEcho(a, result.Task, result.Payload)
	}
	return jobResult{outcome: outcomeComplete, late: answer.Late}
}

func (r *runner) checkSingleAnswer(a *Arrival, header http.Header, body []byte) jobResult {
	if got := header.Get(api.HeaderID); got != r.jobID(a) {
		r.collector.recordFault(&r.collector.checks.Misdelivered, fmt.Sprintf("request %s: the answer's id is %q", r.jobID(a), got))
	}
	r.checkEcho(a, 0, body)
	return jobResult{outcome: outcomeComplete, late: header.Get(api.HeaderLate) == "true"}
}

func (r *runner) checkEcho(a *Arrival, task int, result []byte) {
	var got echo
	err := json.Unmarshal(result, &got)
	if want := r.nonce(a, task); err != nil || got.Nonce != want {
		r.collector.recordFault(&r.collector.checks.Misdelivered, fmt.Sprintf("task %s: its result carries nonce %q", want, got.Nonce))
	}
}

// checkOtherAnswer checks an answer other than a complete one.
func (r *runner) checkOtherAnswer(a *Arrival, status int, body []byte) jobResult {
	var answer api.IncompleteAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return r.unreadable(a, errors.Annotatef(err, "status %d", status))
	}
	switch answer.Outcome {
	case job.Refused, job.Failed, job.Cancelled:
	default:
		return r.unreadable(a, errors.Errorf("status %d with outcome %q", status, answer.Outcome))
	}
	if answer.ID != "" && string(answer.ID) != r.jobID(a) {
		r.collector.recordFault(&r.collector.checks.Misdelivered, fmt.Sprintf("job %s: the answer's id is %q", r.jobID(a), answer.ID))
	}
	return jobResult{
		outcome: string(answer.Outcome),
		reason:  string(answer.Reason),
		notRun:  answer.Run == job.NotRun().String(),
	}
}
