package timeline

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

func clockText(s Stamp) string {
	return s.Time().UTC().Format("15:04:05.000")
}

// WriteText writes one readable line for each event, then what is missing.
func WriteText(w io.Writer, t Timeline) error {
	for i := range t.Events {
		ev := &t.Events[i]
		subject := ""
		if ev.Submission != "" {
			subject = " " + string(ev.Submission)
		}
		if _, err := fmt.Fprintf(w, "%s %-10s %s%s: %s\n", clockText(ev.Stamp), ev.Entry, ev.Kind, subject, sentence(ev)); err != nil {
			return errors.Trace(err)
		}
	}
	return writeMissing(w, t)
}

func writeMissing(w io.Writer, t Timeline) error {
	var story Story
	t.addMissing(&story, 0)
	for _, m := range story.Missing {
		if _, err := fmt.Fprintf(w, "missing: %s\n", m); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// Missing is the last JSON line of an incomplete time line.
type Missing struct {
	Unreachable []job.EntryID `json:"unreachable,omitempty"`
	Gaps        []Gap         `json:"gaps,omitempty"`
	Skewed      []Skew        `json:"skewed,omitempty"`
}

// jsonEvent adds the wall-clock time to an event, for programs that do not decode
// stamps.
type jsonEvent struct {
	Time time.Time `json:"time"`
	Event
}

// WriteJSONLines writes one JSON object for each event and, if something is missing,
// one Missing object.
func WriteJSONLines(w io.Writer, t Timeline) error {
	enc := json.NewEncoder(w)
	for i := range t.Events {
		if err := enc.Encode(jsonEvent{t.Events[i].Stamp.Time().UTC(), t.Events[i]}); err != nil {
			return errors.Trace(err)
		}
	}
	if len(t.Unreachable) == 0 && len(t.Gaps) == 0 && len(t.Skewed) == 0 {
		return nil
	}
	return errors.Trace(enc.Encode(Missing{t.Unreachable, t.Gaps, t.Skewed}))
}

// WriteStory writes the story of one submission as readable text.
func WriteStory(w io.Writer, s Story) error {
	if !s.Found {
		if _, err := fmt.Fprintf(w, "submission %s: no reached entry holds an event of it\n", s.Submission); err != nil {
			return errors.Trace(err)
		}
	} else if _, err := fmt.Fprintf(w, "submission %s\n", s.Submission); err != nil {
		return errors.Trace(err)
	}
	for _, line := range s.Sentences {
		if _, err := fmt.Fprintf(w, "  +%-8s %-10s %s\n", line.At, line.Entry, line.Text); err != nil {
			return errors.Trace(err)
		}
	}
	for _, m := range s.Missing {
		if _, err := fmt.Fprintf(w, "missing: %s\n", m); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
