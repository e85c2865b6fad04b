package main

import (
	"context"
	"encoding/json"
	"io"
	"net/url"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// explainCmd explains what happened to one submission.
type explainCmd struct {
	operatorFlags
	ID   string `arg:"positional,required" placeholder:"ID" help:"the submission's id"`
	JSON bool   `arg:"--json" help:"print the explanation as JSON"`
}

func (c *explainCmd) run(ctx context.Context, stdout, stderr io.Writer) int {
	own, err := readTimeline(ctx, &c.operatorFlags, url.Values{"submission": {c.ID}})
	if err != nil {
		return fail(stderr, exitFailed, err)
	}
	fleet, err := readTimeline(ctx, &c.operatorFlags, contextEventsQuery())
	if err != nil {
		return fail(stderr, exitFailed, err)
	}
	own.Events = append(own.Events, fleet.Events...)
	own.Sort()
	story := timeline.Explain(own, job.ID(c.ID))
	if c.JSON {
		err = json.NewEncoder(stdout).Encode(story)
	} else {
		err = timeline.WriteStory(stdout, story)
	}
	if err != nil {
		return fail(stderr, exitFailed, err)
	}
	if !story.Found {
		return exitFailed
	}
	return exitOK
}

// contextEventsQuery selects the events to which the explanation of a submission may
// refer in addition to the submission's own events.
func contextEventsQuery() url.Values {
	q := url.Values{}
	for _, kind := range timeline.ContextKinds() {
		q.Add("kind", string(kind))
	}
	return q
}
