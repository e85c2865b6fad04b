package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// followInterval is how often --follow polls for new events.
const followInterval = time.Second

// timelineCmd prints the merged events of all entries.
type timelineCmd struct {
	operatorFlags
	Submission string        `arg:"--submission" placeholder:"ID" help:"only the events of one submission"`
	Kinds      string        `arg:"--kind" placeholder:"KIND,..." help:"only events of these kinds"`
	Entry      string        `arg:"--entry" placeholder:"NAME" help:"only the events of one entry"`
	Target     string        `arg:"--target" placeholder:"ID" help:"only events about one target"`
	Last       time.Duration `arg:"--last" help:"only the events of the last period of this length, such as 5m"`
	Limit      int           `arg:"--limit" default:"5000" help:"maximum number of events per entry"`
	Follow     bool          `arg:"--follow,-f" help:"keep printing new events"`
	JSON       bool          `arg:"--json" help:"print one JSON object per line"`
	SVG        string        `arg:"--svg" placeholder:"FILE" help:"draw the submission across processes into FILE"`
}

func (c *timelineCmd) run(ctx context.Context, stdout, stderr io.Writer) int {
	if c.SVG != "" && c.Submission == "" {
		return fail(stderr, exitUsage, errors.New("--svg draws one submission: name it with --submission"))
	}
	var since timeline.Stamp
	if c.Last > 0 {
		since = timeline.StampAt(time.Now().Add(-c.Last))
	}
	line, err := c.read(ctx, since)
	if err != nil {
		return fail(stderr, exitFailed, err)
	}
	if c.SVG != "" {
		return c.draw(line, stderr)
	}
	if err := c.print(stdout, line); err != nil {
		return fail(stderr, exitFailed, err)
	}
	if c.Follow {
		return c.follow(ctx, line, stdout, stderr)
	}
	return exitOK
}

// read queries the entries in turn until one returns the merged events of all entries.
func (c *timelineCmd) read(ctx context.Context, since timeline.Stamp) (timeline.Timeline, error) {
	query := url.Values{"limit": {strconv.Itoa(c.Limit)}}
	if c.Submission != "" {
		query.Set("submission", c.Submission)
	}
	if c.Kinds != "" {
		query.Set("kind", c.Kinds)
	}
	if since > 0 {
		query.Set("since", strconv.FormatUint(uint64(since), 10))
	}
	line, err := readTimeline(ctx, &c.operatorFlags, query)
	if err != nil {
		return line, errors.Trace(err)
	}
	line.Events = c.filtered(line.Events)
	return line, nil
}

func (c *timelineCmd) filtered(events []timeline.Event) []timeline.Event {
	kept := events[:0]
	for _, ev := range events {
		if c.Entry != "" && string(ev.Entry) != c.Entry {
			continue
		}
		if c.Target != "" && string(ev.Target) != c.Target {
			continue
		}
		kept = append(kept, ev)
	}
	return kept
}

func readTimeline(ctx context.Context, f *operatorFlags, query url.Values) (timeline.Timeline, error) {
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	var line timeline.Timeline
	answer, err := f.askAny(ctx, http.MethodGet, "/v1/timeline?"+query.Encode(), nil, nil)
	if err != nil {
		return line, errors.Annotate(err, "no entry answered")
	}
	if answer.status != http.StatusOK {
		return line, errors.Errorf("%d: %s", answer.status, strings.TrimSpace(string(answer.body)))
	}
	return line, errors.Trace(json.Unmarshal(answer.body, &line))
}

func (c *timelineCmd) print(w io.Writer, line timeline.Timeline) error {
	if c.JSON {
		return timeline.WriteJSONLines(w, line)
	}
	return timeline.WriteText(w, line)
}

func (c *timelineCmd) draw(line timeline.Timeline, stderr io.Writer) int {
	file, err := os.Create(c.SVG)
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	err = timeline.WriteSVG(file, line, job.ID(c.Submission))
	if closed := file.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return fail(stderr, exitFailed, err)
	}
	return exitOK
}

// eventKey identifies one event of the fleet.
type eventKey struct {
	entry job.EntryID
	stamp timeline.Stamp
}

// follow prints new events until ctx ends. Successive queries overlap, because an event
// may enter an entry's ring buffer shortly after a later event was read. Events that were
// already printed are recognised by their keys and left out.
func (c *timelineCmd) follow(ctx context.Context, line timeline.Timeline, stdout, stderr io.Writer) int {
	printed := map[eventKey]bool{}
	for {
		for i := range line.Events {
			printed[eventKey{line.Events[i].Entry, line.Events[i].Stamp}] = true
		}
		select {
		case <-ctx.Done():
			return exitOK
		case <-time.After(followInterval):
		}
		next, err := c.read(ctx, line.Next)
		if err != nil {
			// Keep following while an entry restarts.
			fmt.Fprintln(stderr, "vanillagrade:", err)
			continue
		}
		next.Events = unprinted(next.Events, printed)
		if err := c.print(stdout, next); err != nil {
			return fail(stderr, exitFailed, err)
		}
		for k := range printed {
			if k.stamp < line.Next {
				delete(printed, k)
			}
		}
		line = next
	}
}

func unprinted(events []timeline.Event, printed map[eventKey]bool) []timeline.Event {
	fresh := events[:0]
	for _, ev := range events {
		if !printed[eventKey{ev.Entry, ev.Stamp}] {
			fresh = append(fresh, ev)
		}
	}
	return fresh
}
