package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// WriteJSON writes the reports as JSON.
func WriteJSON(w io.Writer, reports []Report) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Trace(enc.Encode(reports))
}

// WriteText writes one report as readable text.
func WriteText(w io.Writer, r *Report) error {
	var out strings.Builder
	fmt.Fprintf(&out, "%s\n", r.Summary)
	if r.Policy != "" {
		fmt.Fprintf(&out, "policy: %s\n", r.Policy)
	}
	tab := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "service\tteam\tjobs\tcomplete\tlate\tstretch median\t99th\t99.9th\tanswer 99th\tgoodput/offered slots\trefused, failed")
	groups := append([]Group{r.Total}, r.Services...)
	for _, g := range append(groups, r.Teams...) {
		fmt.Fprintf(tab, "%s\t%s\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%s\t%.1f/%.1f\t%s\n",
			cmp.Or(g.Service, "all"), g.Team, g.Jobs, g.Complete, g.Late,
			g.Stretch.Median, g.Stretch.P99, g.Stretch.P999,
			toDuration(g.Answer.P99), g.Goodput, g.Offered, g.refusedAndFailed())
	}
	if err := tab.Flush(); err != nil {
		return errors.Trace(err)
	}
	r.writeHindsight(&out)
	r.writeChecks(&out)
	r.writeMessages(&out)
	fmt.Fprintf(&out, "load tool's own lag: 99th %s, most %s\n", r.Lag99, r.MaxLag)
	_, err := io.WriteString(w, out.String())
	return errors.Trace(err)
}

func (r *Report) writeHindsight(out *strings.Builder) {
	h := &r.Hindsight
	if !h.Known {
		fmt.Fprintln(out, "in hindsight: not planned, since the slots are not known or there are too many tasks")
		return
	}
	fmt.Fprintf(out, "in hindsight: a plan serves %.1f slots in time (ours %.2f of it), none more than %.1f\n", h.Plan, r.Total.Goodput/max(h.Plan, 1e-9), h.UpperBound)
}

func (r *Report) writeChecks(out *strings.Builder) {
	c := &r.Checks
	fmt.Fprintf(out, "checks over %d jobs, %d tasks: crossed %d, partial %d, unreadable %d, unanswered %d, not sent %d\n",
		c.Jobs, c.Tasks, c.Misdelivered, c.Partial, c.Unreadable, c.Unanswered, c.NotSent)
	if c.TargetsCounted {
		fmt.Fprintf(out, "targets: %d starts, %d doubled, %d of jobs reported as not run\n", c.Starts, c.DoubledStarts, c.UnexplainedStarts)
	} else {
		fmt.Fprintln(out, "targets: not counted, so doubled starts are NOT checked")
	}
	for _, e := range c.Examples {
		fmt.Fprintf(out, "  %s\n", e)
	}
	if !c.Passed() {
		fmt.Fprintln(out, "WRONG: a check of the answers or starts failed")
	}
}

func (r *Report) writeMessages(out *strings.Builder) {
	m := &r.Messages
	if !m.Counted {
		fmt.Fprintln(out, "messages between entries: not counted")
		return
	}
	fmt.Fprintf(out, "messages between entries: %d useful, %d wasted (%.1f%% useful), %d and %d bytes\n",
		m.Useful, m.Wasted, 100*m.UsefulShare(), m.UsefulBytes, m.WastedBytes)
	for _, kind := range slices.Sorted(maps.Keys(m.ByKind)) {
		if n := m.ByKind[kind]; n != 0 {
			fmt.Fprintf(out, "  %s %d\n", kind, n)
		}
	}
}

// toDuration converts seconds to a duration, rounded for printing.
func toDuration(s float64) time.Duration {
	return time.Duration(s * float64(time.Second)).Round(100 * time.Microsecond)
}

// refusedAndFailed describes the jobs without a complete answer, by reason.
func (g *Group) refusedAndFailed() string {
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(g.Refused)) {
		parts = append(parts, fmt.Sprintf("refused %s %d", reason, g.Refused[reason]))
	}
	for _, reason := range slices.Sorted(maps.Keys(g.Failed)) {
		parts = append(parts, fmt.Sprintf("failed %s %d", reason, g.Failed[reason]))
	}
	if g.Cancelled > 0 {
		parts = append(parts, fmt.Sprintf("cancelled %d", g.Cancelled))
	}
	return strings.Join(parts, ", ")
}

// WriteRatios compares the first report with each other report, service by
// service: it writes the other report's values and their ratio to the first's.
func WriteRatios(w io.Writer, reports []Report) error {
	if len(reports) < 2 {
		return nil
	}
	ours := &reports[0]
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tab, "%s against %s\tservice\tstretch median\t99th\t99.9th\tgoodput\tuseful messages\n", ours.Mix, ours.Policy)
	for i := range reports {
		other := &reports[i]
		for _, g := range append([]Group{other.Total}, other.Services...) {
			base := ours.groupOf(g.Service)
			fmt.Fprintf(tab, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", other.Policy, cmp.Or(g.Service, "all"),
				ratio(g.Stretch.Median, base.Stretch.Median), ratio(g.Stretch.P99, base.Stretch.P99),
				ratio(g.Stretch.P999, base.Stretch.P999), ratio(g.Goodput, base.Goodput), other.Messages.usefulShareText())
		}
	}
	return errors.Trace(tab.Flush())
}

func (m *Messages) usefulShareText() string {
	if !m.Counted {
		return "not counted"
	}
	return fmt.Sprintf("%.1f%%", 100*m.UsefulShare())
}

// groupOf returns the group of the service, or the total if there is none.
func (r *Report) groupOf(service string) *Group {
	for i := range r.Services {
		if r.Services[i].Service == service {
			return &r.Services[i]
		}
	}
	return &r.Total
}

func ratio(other, ours float64) string {
	if ours == 0 || other == 0 {
		return fmt.Sprintf("%.2f (no ratio)", other)
	}
	return fmt.Sprintf("%.2f (%.2fx)", other, other/ours)
}
