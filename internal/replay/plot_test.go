package replay

import (
	"flag"
	"testing"

	qt "github.com/frankban/quicktest"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // the format of the file
)

var plotFile = flag.String("replay.plot", "", "write a plot of the credit against the load to this file")

// go test ./internal/replay -run TestPlot -replay.plot FILE.svg plots the credit at half
// to four times the usual load: with all decisions, without the first four decisions, and
// for the plan that serves all kinds equally.
func TestPlot(t *testing.T) {
	if *plotFile == "" {
		return
	}
	var ours, plain, even plotter.XYs
	for _, x := range []float64{0.5, 0.75, 1, 1.25, 1.5, 2, 2.5, 3, 4} {
		f := mean(t, "ours", defaultSite(), steadyLoad(x))
		s := defaultSite()
		for _, d := range decisions()[:4] {
			d.off(&s)
		}
		g := mean(t, "off", s, steadyLoad(x))
		ours = append(ours, plotter.XY{X: x, Y: f.credit})
		plain = append(plain, plotter.XY{X: x, Y: g.credit})
		even = append(even, plotter.XY{X: x, Y: f.evenPlanMean()})
	}
	p := plot.New()
	p.Title.Text = "Served in time against load"
	p.X.Label.Text = "times the usual load (70% of the capacity)"
	p.Y.Label.Text = "fraction of the value that callers receive"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = true
	qt.Assert(t, plotutil.AddLinePoints(p, "ours", ours, "without the four decisions", plain, "even plan in hindsight", even), qt.IsNil)
	qt.Assert(t, p.Save(18*vg.Centimeter, 11*vg.Centimeter, *plotFile), qt.IsNil)
}
