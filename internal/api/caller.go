package api

import (
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/oklog/ulid/v2"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Limits on a caller's request that do not depend on the configuration.
const (
	// maxEnvelopeBytes is allowed in addition to the payloads of a job, for JSON
	// keys, task kinds and punctuation.
	maxEnvelopeBytes = 1 << 20
	// bodyReadTimeout bounds the time for reading one body. Without it, a caller
	// that trickles bytes holds memory and a connection forever.
	bodyReadTimeout = 20 * time.Second
	// answerWriteTimeout bounds the time for writing one answer. Without it, a
	// caller that reads nothing holds the memory of its answer forever and blocks
	// a planned stop.
	answerWriteTimeout = 20 * time.Second
	// maxDeadline is the longest deadline that a caller may request.
	maxDeadline = 24 * time.Hour
)

// Dispatcher runs submissions. Package entry implements it with the pipeline.
type Dispatcher interface {
	// Submit runs s and returns its answer. ctx ends when the caller hangs up.
	Submit(ctx context.Context, s *job.Submission) job.Answer
	// Status returns the status of a submission.
	Status(ctx context.Context, id job.ID) (JobStatus, bool)
	// Cancel cancels a submission and reports whether it was running.
	Cancel(ctx context.Context, id job.ID) bool
	// Ready returns an error if the load balancer should not send callers here.
	Ready() error
}

// JobStatus is the body of GET /v1/jobs/{id}.
type JobStatus struct {
	ID    job.ID      `json:"id"`
	State string      `json:"state"`
	Owner job.EntryID `json:"owner,omitempty"`
	// Outcome, Run and Reason are set once the submission has ended.
	Outcome job.Outcome `json:"outcome,omitempty"`
	Run     string      `json:"run,omitempty"`
	Reason  job.Reason  `json:"reason,omitempty"`
}

// States of a submission in a JobStatus.
const (
	StateRunning  = "running"
	StateFinished = "finished"
)

// Caller handles the requests of callers, and those of targets if Targets is set.
type Caller struct {
	Dispatcher Dispatcher
	Config     config.View
	Targets    http.Handler
	// Memory bounds the bytes of the bodies being read and of the submissions in
	// progress.
	Memory *ByteBudget
	// Refused is called for each submission that is refused before the dispatcher
	// receives it; nil is allowed.
	Refused func(job.Answer)
}

// Handler returns the routes for callers and targets.
func (c *Caller) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs", c.postJob)
	mux.HandleFunc("GET /v1/jobs/{id}", c.getJob)
	mux.HandleFunc("DELETE /v1/jobs/{id}", c.deleteJob)
	mux.HandleFunc("POST /v1/services/{service}", c.postService)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", c.ready)
	if c.Targets != nil {
		mux.Handle("/v1/targets/", c.Targets)
	}
	return mux
}

func (c *Caller) ready(w http.ResponseWriter, _ *http.Request) {
	if err := c.Dispatcher.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (c *Caller) postJob(w http.ResponseWriter, r *http.Request) {
	c.Serve(w, r, "", decodeJob, writeAnswer)
}

func (c *Caller) postService(w http.ResponseWriter, r *http.Request) {
	c.Serve(w, r, "", decodeSingle, writeSingle)
}

// Serve reads a submission, dispatches it and writes its answer. decode and write
// define the request and response formats, so other packages can serve formats
// of their own. id is the id of the submission if it is known before the body is read.
func (c *Caller) Serve(
	w http.ResponseWriter,
	r *http.Request,
	id job.ID,
	decode func(*http.Request, []byte, time.Time) (*Request, error),
	write func(http.ResponseWriter, *job.Answer),
) {
	held := &reservation{budget: c.Memory}
	defer held.release()
	s, refusal := c.readSubmission(w, r, held, decode)
	if refusal == nil && s.Transient && HungUp(r) {
		// Nobody reads this answer, but it is recorded.
		gone := job.Refuse("", job.CallerGone, "the caller hung up before its request was read", 0)
		refusal = &gone
	}
	if refusal != nil {
		if refusal.ID == "" {
			refusal.ID = id.Truncated()
		}
		if c.Refused != nil {
			c.Refused(*refusal)
		}
		write(w, refusal)
		return
	}
	answer := c.Dispatcher.Submit(r.Context(), s)
	conn := http.NewResponseController(w)
	_ = conn.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
	write(w, &answer)
	_ = conn.SetWriteDeadline(time.Time{})
}

func (c *Caller) getJob(w http.ResponseWriter, r *http.Request) {
	id := job.ID(r.PathValue("id"))
	status, ok := c.Dispatcher.Status(r.Context(), id)
	if !ok {
		writeJSON(w, http.StatusNotFound, JobStatus{ID: id, State: "unknown"})
		return
	}
	writeJSON(w, http.StatusOK, status)
}

func (c *Caller) deleteJob(w http.ResponseWriter, r *http.Request) {
	id := job.ID(r.PathValue("id"))
	if !c.Dispatcher.Cancel(r.Context(), id) {
		writeJSON(w, http.StatusNotFound, JobStatus{ID: id, State: "unknown"})
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// readSubmission reads and decodes a submission within the limits of size, memory and
// time. held keeps the memory that the submission takes.
func (c *Caller) readSubmission(
	w http.ResponseWriter,
	r *http.Request,
	held *reservation,
	decode func(*http.Request, []byte, time.Time) (*Request, error),
) (*job.Submission, *job.Answer) {
	body, refusal := c.readBody(w, r, held)
	if refusal != nil {
		return nil, refusal
	}
	req, err := decode(r, body, time.Now())
	if err == nil {
		err = req.Submission.ID.Check()
	}
	if err != nil {
		reason := job.Malformed
		if errors.Is(err, errors.NotSupported) {
			reason = job.Unsupported
		}
		refused := job.Refuse("", reason, err.Error(), 0)
		return nil, &refused
	}
	return req.Submission, c.createTasks(req, held)
}

// readBody reads a whole body within the limits of size, memory and time, and reserves
// its memory.
func (c *Caller) readBody(w http.ResponseWriter, r *http.Request, held *reservation) ([]byte, *job.Answer) {
	limit := c.limits().MaxJobBytes + maxEnvelopeBytes
	refuse := func(reason job.Reason, detail string) *job.Answer {
		a := job.Refuse("", reason, detail, 0)
		return &a
	}
	if r.ContentLength > limit {
		return nil, refuse(job.TooLarge, "the body is larger than the configuration allows")
	}
	body, err := readBodyInTime(w, r, limit, held)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errMemoryExhausted):
		return nil, c.refuseMemory("", bodyFactor*max(0, r.ContentLength), true)
	case errors.As(err, &tooLarge):
		return nil, refuse(job.TooLarge, "the body is larger than the configuration allows")
	case err != nil:
		return nil, refuse(job.Malformed, "the body could not be read completely: "+err.Error())
	}
	return body, nil
}

// readBodyInTime reads the body within bodyReadTimeout. It clears the read deadline
// only after a complete body. After an incomplete one, the server goes on reading
// in order to reuse the connection, and without a deadline it would wait forever
// for a caller that sends nothing more.
func readBodyInTime(w http.ResponseWriter, r *http.Request, limit int64, held *reservation) ([]byte, error) {
	conn := http.NewResponseController(w)
	_ = conn.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	body, err := readReserved(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, held)
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadDeadline(time.Time{})
	return body, nil
}

func decodeJob(_ *http.Request, body []byte, now time.Time) (*Request, error) {
	var req jobEnvelope
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, errors.Annotate(err, "the body is not a job")
	}
	if req.Service == "" {
		return nil, errors.New("service is missing")
	}
	if req.Tasks == 0 {
		return nil, errors.New("tasks is missing or empty")
	}
	s := &job.Submission{
		ID:       job.ID(req.ID),
		Team:     req.Team,
		Service:  req.Service,
		Attempt:  req.Attempt,
		Received: now,
	}
	if err := completeSubmission(s, req.DeadlineMS); err != nil {
		return nil, err
	}
	return &Request{
		Submission:   s,
		TaskCount:    int(req.Tasks),
		PayloadBytes: int64(len(body)),
		CreateTasks:  func() ([]job.TaskSpec, error) { return decodeTasks(body, int(req.Tasks)) },
	}, nil
}

func checkTask(t *job.TaskSpec) error {
	if err := t.CheckSizes(); err != nil {
		return err
	}
	if err := t.CheckKind(); err != nil {
		return err
	}
	if len(t.Payload) == 0 {
		t.Payload = json.RawMessage("null")
	}
	return nil
}

func decodeSingle(r *http.Request, body []byte, now time.Time) (*Request, error) {
	s := &job.Submission{
		ID:       job.ID(r.Header.Get(HeaderID)),
		Team:     r.Header.Get(HeaderTeam),
		Service:  r.PathValue("service"),
		Received: now,
		Single:   true,
	}
	attempt, err := headerInt(r, HeaderAttempt)
	if err != nil {
		return nil, err
	}
	s.Attempt = int(attempt)
	deadline, err := headerInt(r, HeaderDeadline)
	if err != nil {
		return nil, err
	}
	if err := completeSubmission(s, deadline); err != nil {
		return nil, err
	}
	task := job.TaskSpec{Kind: mediaKind(r), Payload: body}
	if err := task.CheckKind(); err != nil {
		return nil, err
	}
	return &Request{
		Submission:   s,
		TaskCount:    1,
		PayloadBytes: int64(len(body)),
		CreateTasks:  func() ([]job.TaskSpec, error) { return []job.TaskSpec{task}, nil },
	}, nil
}

// mediaKind returns the media type of an opaque request. It serves as the task's
// kind, by which run times are estimated.
func mediaKind(r *http.Request) string {
	kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return kind
}

func headerInt(r *http.Request, name string) (int64, error) {
	value := r.Header.Get(name)
	if value == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 {
		return 0, errors.NotValidf("header %s: %q", name, value)
	}
	return n, nil
}

// completeSubmission validates the fields that jobs and single requests share and
// sets the deadline, and the id if the caller gave none.
func completeSubmission(s *job.Submission, deadlineMS int64) error {
	if s.Attempt < 0 {
		return errors.New("attempt is negative")
	}
	if deadlineMS < 0 || deadlineMS > maxDeadline.Milliseconds() {
		return errors.New("deadline_ms is negative or above one day")
	}
	if deadlineMS > 0 {
		s.Deadline = s.Received.Add(time.Duration(deadlineMS) * time.Millisecond)
	}
	if err := s.ID.Check(); err != nil {
		return err
	}
	s.CallerID = s.ID != ""
	if !s.CallerID {
		s.ID = job.ID(ulid.Make().String())
	}
	return nil
}

// setRetryAfter sets the Retry-After header, rounded up to whole seconds: a caller
// that retries too early is refused again.
func setRetryAfter(w http.ResponseWriter, after time.Duration) {
	if after <= 0 {
		return
	}
	seconds := (after + retryAfterUnit - 1) / retryAfterUnit
	w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
}
