package capacity

import (
	"fmt"
	"io"
	"strings"

	"github.com/juju/errors"
)

// WritePoints writes the measured points as a Markdown table.
func WritePoints(w io.Writer, m *Slopes) error {
	var out strings.Builder
	out.WriteString("| measured | at | value | unit |\n|---|---|---|---|\n")
	for _, p := range m.Points {
		fmt.Fprintf(&out, "| %s | %s | %.4g | %s |\n", p.What, p.At, p.Value, p.Unit)
	}
	_, err := io.WriteString(w, out.String())
	return errors.Trace(err)
}

// WriteSize writes the costs at the size, computed from the slopes, as Markdown
// tables.
func WriteSize(w io.Writer, s *Size, m *Slopes) error {
	var out strings.Builder
	fmt.Fprintf(&out, "\nAt %d targets, %d entries in %d availability zones, %.0f task starts a second in jobs of %.0f tasks, %.0f changes a day, an announcement each %s:\n\n",
		s.Targets, s.Entries, s.Zones, s.Starts, s.TasksPerJob, s.Changes, s.Renew)
	out.WriteString("| control, each entry | % of a core | bytes a second | MB | carried by |\n|---|---|---|---|---|\n")
	costs := Control(s, m)
	for _, c := range append(costs, Sum(costs)) {
		c.writeRow(&out)
	}
	Cost{What: "budget", Cores: BudgetCore, Bytes: BudgetBytes, Memory: BudgetMemory}.writeRow(&out)
	out.WriteString("\n| work, each entry at the peak | % of a core | bytes a second | MB | carried by |\n|---|---|---|---|---|\n")
	for _, c := range Work(s, m) {
		c.writeRow(&out)
	}
	_, err := io.WriteString(w, out.String())
	return errors.Trace(err)
}

func (c Cost) writeRow(out *strings.Builder) {
	fmt.Fprintf(out, "| %s | %.2f | %.0f | %.1f | %s |\n", c.What, 100*c.Cores, c.Bytes, c.Memory/(1<<20), c.Mechanism)
}
