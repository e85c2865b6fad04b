package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

const (
	// maxStaleRetries bounds how many dead idle connections one start may try.
	// Each attempt closes one. A target that restarted leaves as many dead
	// connections as it has slots, but the transport detects most of them.
	maxStaleRetries = 4
	// maxDetailBytes bounds how much of a failure answer is quoted.
	maxDetailBytes = 200
	// maxPreallocBytes bounds the memory that is allocated for an answer because
	// of its Content-Length alone. More is allocated only as data arrives.
	// Otherwise, targets that declare large answers and send nothing could
	// exhaust the memory.
	maxPreallocBytes = 64 << 10
	// stopTimeout bounds a request to stop a task.
	stopTimeout = 2 * time.Second
)

// errMaxRun ends the wait for a task that exceeds ClientOptions.MaxRun.
const errMaxRun = errors.ConstError("no answer from the target within the maximum run time")

// Refusal is the reason why a task was not started. Each reason is handled
// differently.
type Refusal uint8

// The kinds of refusal.
const (
	// NoRefusal is set on tasks that may have started.
	NoRefusal Refusal = iota
	// Unreachable means that nothing could be sent to the target.
	Unreachable
	// Busy means that the target has no free slot (429).
	Busy
	// Draining means that the target is draining and accepts no more work (503).
	Draining
	// Unanswered means that the target responds, but never received a start
	// request that was sent to it.
	Unanswered
	// Abandoned means that the dispatcher cancelled the start before it sent
	// anything.
	Abandoned
	// NoCapacity means that the target has too little free capacity for the task.
	NoCapacity
)

// Task is a task to start.
type Task struct {
	Submission job.ID
	Index      int
	Payload    []byte
	// Single means that payload and answer are opaque bytes instead of JSON.
	Single bool
	// Run numbers the starts of the task from 1, for targets that accept start
	// requests.
	Run int
	// Expected is the expected duration of the run; zero if unknown.
	Expected time.Duration
	// Wanted is called right before the start request is sent and reports whether
	// the task is still wanted; nil means always. Without it, a start could reach
	// the target after the stop of the same task, and the task would run to its
	// end for nobody.
	Wanted func() bool
	// Left returns how much longer the run may go on unless the owner extends that
	// time; nil means no limit.
	Left func() time.Duration
}

// Unwanted reports whether nobody waits for the task any more.
func (t *Task) Unwanted() bool { return t.Wanted != nil && !t.Wanted() }

// CancelledBeforeSend returns the result of a task that was cancelled before anything was sent.
func CancelledBeforeSend() Result {
	return Result{Status: job.TaskNotStarted, Reason: job.CancelledByCall, Refusal: Abandoned, Detail: "cancelled before the start request was sent"}
}

// Result is the outcome of a task on its target.
type Result struct {
	Status  job.TaskStatus
	Reason  job.Reason
	Detail  string
	Payload []byte
	// Refusal is set only with job.TaskNotStarted.
	Refusal Refusal
	Ran     time.Duration
	// Over is set with job.TaskErred if the run has provably ended. The task can
	// then run again without two runs overlapping.
	Over bool
	// TargetEnded is set with Over if the target is known to have ended while it ran the
	// task. TargetSilent is set if the target was unresponsive until the run had ended, or
	// ended before it had answered the start.
	TargetEnded, TargetSilent bool
}

// Start runs a task on the target and waits for its end. The request is written at
// most once. Start returns TaskNotStarted only if no byte of the request was written
// or the target states that the task did not start.
func (l *Link) Start(ctx context.Context, t Task) Result {
	begun := time.Now()
	bounded, cancel := context.WithTimeoutCause(ctx, l.opts.MaxRun, errMaxRun)
	defer cancel()
	res := l.startWithRetry(bounded, t)
	res.Ran = time.Since(begun)
	return res
}

// startWithRetry sends the request again only if the attempt used a dead idle
// connection and wrote nothing.
func (l *Link) startWithRetry(ctx context.Context, t Task) Result {
	for attempt := 1; ; attempt++ {
		tracker := &requestTracker{isUnwanted: t.Unwanted}
		resp, err := l.transport.RoundTrip(l.startRequest(httptrace.WithClientTrace(ctx, tracker.trace()), t))
		if err == nil {
			return l.readResponse(resp, t)
		}
		unsent := tracker.unsent()
		if unsent && tracker.cancelled() {
			return CancelledBeforeSend()
		}
		if unsent && tracker.reusedConn() && attempt <= maxStaleRetries && ctx.Err() == nil {
			continue
		}
		return failedResult(ctx, err, unsent)
	}
}

// startRequest returns the request that starts a task. It must be passed to the
// transport and not to http.Client, which would follow a 307 and post the task a
// second time. The request has neither GetBody nor an idempotency key, because
// either would let the transport replay it.
func (l *Link) startRequest(ctx context.Context, t Task) *http.Request {
	req := l.newRequest(ctx, http.MethodPost, t.Submission, t.Index)
	req.Header.Set("Content-Type", contentType(t.Single))
	req.Body = io.NopCloser(bytes.NewReader(t.Payload))
	req.ContentLength = int64(len(t.Payload))
	if len(t.Payload) == 0 {
		req.Body = http.NoBody
	}
	return req
}

func contentType(single bool) string {
	if single {
		return "application/octet-stream"
	}
	return "application/json"
}

func (l *Link) newRequest(ctx context.Context, method string, submission job.ID, index int) *http.Request {
	number := strconv.Itoa(index)
	req := &http.Request{
		Method: method,
		URL: &url.URL{
			Scheme:  "http",
			Host:    l.address,
			Path:    TasksPath + string(submission) + "/" + number,
			RawPath: TaskPath(submission, index),
		},
		Header:     http.Header{"User-Agent": {"vanillagrade"}, HeaderTask: {TaskName(submission, index)}},
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Host:       l.address,
	}
	return req.WithContext(ctx)
}

func failedResult(ctx context.Context, err error, unsent bool) Result {
	res := Result{Status: job.TaskErred, Reason: job.TargetLost, Detail: err.Error()}
	switch {
	case unsent && ctx.Err() != nil && !errors.Is(context.Cause(ctx), errMaxRun):
		res.Status, res.Refusal = job.TaskNotStarted, Abandoned
	case unsent:
		res.Status, res.Refusal = job.TaskNotStarted, Unreachable
	}
	if cause := context.Cause(ctx); cause != nil {
		res.Detail = cause.Error()
	}
	return res
}

// readResponse converts an answer to a result. After any unexpected answer, the task
// counts as one that may have run. The connection is then closed, so that the rest of
// the answer can't be mistaken for the next one.
func (l *Link) readResponse(resp *http.Response, t Task) Result {
	defer func() { _ = resp.Body.Close() }()
	if refusal := refusalOf(resp); refusal != NoRefusal {
		detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetailBytes))
		return Result{Status: job.TaskNotStarted, Reason: job.TargetRefused, Refusal: refusal, Detail: string(detail)}
	}
	if echo := resp.Header.Get(HeaderTask); echo != "" && echo != TaskName(t.Submission, t.Index) {
		return erredResult(job.TargetLost, "the target answered for task "+echo)
	}
	if resp.StatusCode/100 != 2 {
		detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetailBytes))
		return erredResult(job.TaskFailed, "the target answered "+resp.Status+": "+string(detail))
	}
	body, err := l.readBody(resp)
	if err != nil {
		return erredResult(job.TargetLost, err.Error())
	}
	if t.Single {
		return Result{Status: job.TaskDone, Payload: body}
	}
	if len(body) == 0 {
		body = []byte("null")
	}
	if !json.Valid(body) {
		return erredResult(job.TaskFailed, "the target's answer is not JSON")
	}
	return Result{Status: job.TaskDone, Payload: body}
}

func refusalOf(resp *http.Response) Refusal {
	if resp.Header.Get(HeaderRun) != RunNotRun {
		return NoRefusal
	}
	switch resp.StatusCode {
	case http.StatusTooManyRequests:
		return Busy
	case http.StatusServiceUnavailable:
		return Draining
	}
	return NoRefusal
}

func erredResult(reason job.Reason, detail string) Result {
	return Result{Status: job.TaskErred, Reason: reason, Detail: detail}
}

// readBody reads a whole answer. An answer that is delimited only by the end of its
// connection is rejected, because a truncated one would look complete.
func (l *Link) readBody(resp *http.Response) ([]byte, error) {
	switch n := resp.ContentLength; {
	case n > l.opts.MaxAnswer:
		return nil, errors.Errorf("the answer of %d bytes exceeds the limit of %d", n, l.opts.MaxAnswer)
	case n >= 0 && n <= maxPreallocBytes:
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, errors.Annotate(err, "the answer broke off")
	case n >= 0:
		body := &bytes.Buffer{}
		_, err := io.CopyN(body, resp.Body, n)
		return body.Bytes(), errors.Annotate(err, "the answer broke off")
	case len(resp.TransferEncoding) == 0:
		return nil, errors.New("the answer has neither a content length nor chunked encoding")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, l.opts.MaxAnswer+1))
	if err != nil {
		return nil, errors.Annotate(err, "the answer broke off")
	}
	if int64(len(body)) > l.opts.MaxAnswer {
		return nil, errors.Errorf("the answer exceeds the limit of %d bytes", l.opts.MaxAnswer)
	}
	return body, nil
}

// Stop asks the target to stop a task. Nothing depends on its success: a task
// that keeps running keeps its slot until it ends.
func (l *Link) Stop(ctx context.Context, submission job.ID, index int) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	resp, err := l.transport.RoundTrip(l.newRequest(ctx, http.MethodDelete, submission, index))
	if err != nil {
		return errors.Annotatef(err, "stop of %s", TaskName(submission, index))
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDetailBytes))
	return errors.Trace(resp.Body.Close())
}
