package load

import (
	"cmp"
	"io"
	"math"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// WritePlot draws the stretch at the median, 99th and 99.9th percentile as an
// SVG, with one line for each report and service.
func WritePlot(w io.Writer, reports []Report) error {
	p := plot.New()
	p.Title.Text = "stretch: answer time / the work's own time"
	p.X.Label.Text = "share of the answers that are slower"
	p.Y.Label.Text = "stretch"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.NominalX("half", "1 in 100", "1 in 1,000")
	var lines []any
	for i := range reports {
		for _, g := range reports[i].Services {
			if g.Stretch.Count == 0 {
				continue
			}
			label := cmp.Or(reports[i].Policy, reports[i].Mix) + " " + g.Service
			lines = append(lines, label, plotter.XYs{
				{X: 0, Y: math.Max(g.Stretch.Median, 1)},
				{X: 1, Y: math.Max(g.Stretch.P99, 1)},
				{X: 2, Y: math.Max(g.Stretch.P999, 1)},
			})
		}
	}
	if len(lines) == 0 {
		return errors.NotValidf("a plot without any complete answer")
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Trace(err)
	}
	p.Y.Min = 1
	p.Y.Max = math.Max(p.Y.Max, 2)
	picture, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return errors.Trace(err)
	}
	_, err = picture.WriteTo(w)
	return errors.Trace(err)
}
