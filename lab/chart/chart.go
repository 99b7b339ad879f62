// Package chart draws how a fleet fared over time, as a PNG.
package chart

import (
	"fmt"
	"image/color"
	"os"
	"slices"

	"dillroute/lab/scenario"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

var colors = []color.Color{color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff}, color.RGBA{R: 0xd1, G: 0x49, B: 0x3f, A: 0xff},
	color.RGBA{R: 0x3f, G: 0x8f, B: 0x4f, A: 0xff}, color.RGBA{R: 0x7a, G: 0x5a, B: 0x9c, A: 0xff}}

// line is one curve of a panel.
type line struct {
	name string
	of   func(scenario.Point) float64
}

// Draw writes service, nodes up, fairness and the use of cold budgets over time to a file.
func Draw(r *scenario.Report, path string) error {
	if len(r.Series) < 2 {
		return fmt.Errorf("chart: a run of %d points is too short to draw", len(r.Series))
	}
	kinds := []string{}
	for kind := range r.Series[0].Fairness {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	var fair []line
	for _, kind := range kinds {
		fair = append(fair, line{kind, func(p scenario.Point) float64 { return p.Fairness[kind] }})
	}
	panels := []struct {
		title, axis string
		lines       []line
	}{
		{r.Name, "requests", []line{{"asked", func(p scenario.Point) float64 { return float64(p.Asked) }},
			{"served", func(p scenario.Point) float64 { return float64(p.Served) }}}},
		{"", "nodes up", []line{{"up", func(p scenario.Point) float64 { return float64(p.Up) }}}},
		{"", "Jain's index over engines", fair},
		{"", "cold budget used, at most so far", []line{{"share", func(p scenario.Point) float64 { return p.SlowStartUse }}}},
	}
	img := vgimg.New(24*vg.Centimeter, 26*vg.Centimeter)
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadTop: vg.Points(4), PadBottom: vg.Points(4), PadLeft: vg.Points(4),
		PadRight: vg.Points(10), PadY: vg.Points(8)}
	plots := make([][]*plot.Plot, len(panels))
	for i, panel := range panels {
		p, err := panelPlot(r, panel.title, panel.axis, panel.lines)
		if err != nil {
			return err
		}
		plots[i] = []*plot.Plot{p}
	}
	for i, row := range plot.Align(plots, tiles, draw.New(img)) {
		plots[i][0].Draw(row[0])
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := (vgimg.PngCanvas{Canvas: img}).WriteTo(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

func panelPlot(r *scenario.Report, title, axis string, lines []line) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text, p.X.Label.Text = title, axis, "s"
	p.Y.Min = 0
	p.Legend.Top = false
	p.Add(plotter.NewGrid())
	for i, l := range lines {
		xy := make(plotter.XYs, 0, len(r.Series))
		for _, point := range r.Series[:len(r.Series)-1] { // the last one is not whole
			xy = append(xy, plotter.XY{X: point.T, Y: l.of(point)})
		}
		curve, err := plotter.NewLine(xy)
		if err != nil {
			return nil, fmt.Errorf("chart: %s: %w", l.name, err)
		}
		curve.Color, curve.Width = colors[i%len(colors)], vg.Points(1.5)
		p.Add(curve)
		if len(lines) > 1 {
			p.Legend.Add(l.name, curve)
		}
	}
	p.Y.Max = max(p.Y.Max*1.05, 0.01)
	return p, nil
}
