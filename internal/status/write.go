package status

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// Handler serves GET /v1/status as JSON. The status code is 200 even if the entry is
// unhealthy, since the body says so.
func Handler(read func() Status) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A write fails only if the client has disconnected.
		_ = json.NewEncoder(w).Encode(read())
	})
}

// WriteText writes the status as readable text.
func WriteText(w io.Writer, st *Status) error {
	var out strings.Builder
	health := "healthy"
	if !st.Healthy {
		health = "NOT healthy"
	}
	fmt.Fprintf(&out, "entry %s in %s: %s, version %s, %d submissions at work\n", st.Entry, st.Zone, health, st.Version, st.Running)
	for _, why := range st.Why {
		fmt.Fprintf(&out, "  ! %s\n", why)
	}
	st.writeConfiguration(&out)
	for _, zone := range st.CordonedZones {
		fmt.Fprintf(&out, "zone %s is cordoned: no new work starts there\n", zone)
	}
	tab := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	st.writeMembers(tab)
	st.writePools(tab)
	if err := tab.Flush(); err != nil {
		return errors.Trace(err)
	}
	for _, reason := range slices.Sorted(maps.Keys(st.Refusals)) {
		fmt.Fprintf(&out, "not completed, %s: %d\n", reason, st.Refusals[reason])
	}
	_, err := io.WriteString(w, out.String())
	return errors.Trace(err)
}

func (st *Status) writeConfiguration(out *strings.Builder) {
	c := &st.Configuration
	if c.Number == 0 {
		fmt.Fprintln(out, "configuration: none")
		return
	}
	since := ""
	if !c.Since.IsZero() {
		since = ", in force since " + c.Since.UTC().Format(time.RFC3339)
	}
	fmt.Fprintf(out, "configuration: number %d, digest %.12s%s\n", c.Number, c.Digest, since)
}

func (st *Status) writeMembers(w io.Writer) {
	voters := map[string]bool{}
	for _, v := range st.Voters {
		voters[string(v.Entry)] = true
	}
	if len(st.Members) == 0 {
		return
	}
	fmt.Fprintln(w, "member\tavailability zone\tstate\tvotes")
	for _, m := range st.Members {
		votes := ""
		if voters[string(m.Entry)] {
			votes = "yes"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", m.Entry, m.Zone, m.State, votes)
	}
}

// writePriorities writes a line for each priority of the pools whose services have several.
func (st *Status) writePriorities(w io.Writer) {
	head := "pool\tpriority\twaiting tasks\trunning\texpected wait\tslots wanted\tentitled\treceived\tadmitted\trefused\tabandoned\n"
	for i := range st.Queues {
		for _, p := range st.Queues[i].Priorities {
			fmt.Fprint(w, head)
			head = ""
			fmt.Fprintf(w, "%s\t%s %d\t%d\t%d\t%dms\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\n", st.Queues[i].Pool, p.Urgency, p.Priority,
				p.Queued, p.Running, p.WaitMillis, p.Demand, p.Entitled, p.Received, p.Admitted, p.Refused, p.Abandoned)
		}
	}
}

func (st *Status) writePools(w io.Writer) {
	if len(st.Holders) > 0 {
		fmt.Fprintln(w, "pool\theld by\ttargets\tslots\tfree\twaiting tasks")
	}
	for i := range st.Holders {
		h := &st.Holders[i]
		waiting := 0
		for _, n := range h.Queued {
			waiting += n
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", h.Pool, h.Entry, h.Targets, h.Slots, h.Free, waiting)
	}
	st.writePriorities(w)
	if len(st.Targets) > 0 {
		fmt.Fprintln(w, "target\tpool\tstate\trunning\tslots\tslowness\trun time\tsamples")
	}
	for i := range st.Targets {
		t := &st.Targets[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.1f\t%.2f\t%d\n", t.ID, t.Pool, t.State, t.Running, t.Slots, t.Slowness, t.RelativeRunTime, t.SpeedSamples)
	}
}
