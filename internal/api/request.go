package api

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/jsoncount"
)

// Request is a decoded request. Its tasks are created only once their number is allowed
// and their memory is reserved, because a body of a few bytes may describe any number of
// tasks.
type Request struct {
	// Submission has all fields except Tasks and Digest.
	Submission *job.Submission
	// TaskCount is the number of tasks that the request describes.
	TaskCount int
	// PayloadBytes bounds the bytes that the payloads of all tasks take in messages.
	PayloadBytes int64
	// CreateTasks returns the tasks. An error means that the request is malformed.
	CreateTasks func() ([]job.TaskSpec, error)
}

// taskBytes is the memory reserved for one task until its job is answered, besides its
// payload: its specification, its outcome and its part of the messages to holders.
const taskBytes = 1 << 10

// exhaustedRetryAfter is the retry delay of a request for which no memory is free.
const exhaustedRetryAfter = time.Second

// createTasks reserves the memory of the tasks and creates them. It creates none if they
// are more than a configuration allows, and leaves the refusal to the dispatcher, which
// records it. A job that was sent before is an exception: an earlier attempt may have
// been accepted under another configuration, and only the whole job identifies it.
func (c *Caller) createTasks(req *Request, held *reservation) *job.Answer {
	s := req.Submission
	sentBefore := s.CallerID && s.Attempt != 1
	if req.TaskCount > c.limits().MaxJobTasks && !sentBefore {
		s.ExcessTasks = req.TaskCount
		return nil
	}
	bytes := int64(req.TaskCount)*taskBytes + req.PayloadBytes
	if !held.resize(bytes) {
		return c.refuseMemory(s.ID, bytes, !sentBefore)
	}
	tasks, err := req.CreateTasks()
	if err != nil {
		refused := job.Refuse("", job.Malformed, err.Error(), 0)
		return &refused
	}
	s.Tasks = tasks
	s.Digest = s.ContentDigest()
	return nil
}

const (
	// firstBuffer is the size of the first buffer for a body, in bytes. Larger ones are
	// allocated as the body arrives, so that a caller that announces a large body and
	// sends nothing holds little memory.
	firstBuffer = 4 << 10
	// bodyFactor times the buffer of a body is reserved until it is decoded: the decoded
	// strings are held beside it.
	bodyFactor = 2
)

// errMemoryExhausted means that the budget has no room for the rest of a body.
const errMemoryExhausted = errors.ConstError("no memory is free for the body")

// readReserved reads a whole body and reserves the memory of each buffer before it is
// allocated. length is the announced length, or negative.
func readReserved(r io.Reader, length int64, held *reservation) ([]byte, error) {
	size := int64(firstBuffer)
	if length >= 0 && length < size {
		size = length + 1 // the last byte is for reading the end
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			if !held.resize(bodyFactor * size) {
				return nil, errMemoryExhausted
			}
			body = append(make([]byte, 0, size), body...)
			size *= 2
			if length >= int64(cap(body)) {
				size = min(size, length+1)
			}
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// limits returns the limits of the configuration in effect.
func (c *Caller) limits() config.Limits {
	if file := c.Config.Current(); file != nil {
		return file.Limits
	}
	return config.Limits{MaxJobTasks: config.DefaultMaxJobTasks, MaxJobBytes: config.DefaultMaxJobBytes}
}

// refuseMemory refuses a request for which bytes of memory can't be reserved.
func (c *Caller) refuseMemory(id job.ID, bytes int64, notRun bool) *job.Answer {
	a := job.Refuse(id, job.Overloaded, "the memory for submissions is exhausted", exhaustedRetryAfter)
	if bytes > c.Memory.Limit() {
		a = job.Refuse(id, job.TooLarge, fmt.Sprintf("the job takes %d bytes of memory, more than this entry has for all submissions", bytes), 0)
	}
	if !notRun {
		a.Run = job.MayHaveRun
	}
	return &a
}

// jobEnvelope is a JobRequest whose tasks are only counted.
type jobEnvelope struct {
	JobRequest
	Tasks jsoncount.Elements `json:"tasks"`
}

// decodeTasks decodes the tasks of a body that describes at most count of them.
func decodeTasks(body []byte, count int) ([]job.TaskSpec, error) {
	req := JobRequest{Tasks: make([]job.TaskSpec, 0, count)}
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, errors.Annotate(err, "the body is not a job")
	}
	for i := range req.Tasks {
		if err := checkTask(&req.Tasks[i]); err != nil {
			return nil, errors.Annotatef(err, "task %d", i)
		}
	}
	return req.Tasks, nil
}
