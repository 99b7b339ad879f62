// Package chart draws the time series of a scenario report (lab/scenario) as a PNG image.
package chart

import (
	"fmt"
	"image/color"
	"maps"
	"os"
	"slices"

	"dillroute/lab/scenario"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// colors are the line colors of a panel, in the order of its lines.
var colors = []color.Color{
	color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff},
	color.RGBA{R: 0xd1, G: 0x49, B: 0x3f, A: 0xff},
	color.RGBA{R: 0x3f, G: 0x8f, B: 0x4f, A: 0xff},
	color.RGBA{R: 0x7a, G: 0x5a, B: 0x9c, A: 0xff},
}

// Dimensions of the image.
const (
	width       = 24 * vg.Centimeter
	height      = 26 * vg.Centimeter
	padding     = vg.Length(4)  // points
	rightMargin = vg.Length(10) // points; the last label of the x axis extends beyond the axis
	gap         = vg.Length(8)  // points, between panels
	lineWidth   = vg.Length(1.5)
)

// panel is one of the plots in the image.
type panel struct {
	title, axis string
	lines       []line
}

// line is one curve of a panel.
type line struct {
	name  string
	value func(scenario.Point) float64
}

// Draw writes a PNG image of requests, running nodes, fairness and the use of slow-start budgets over time to a file. It returns an error
// if the series has fewer than two points.
func Draw(report *scenario.Report, path string) error {
	if len(report.Series) < 2 {
		return fmt.Errorf("chart: a run of %d points is too short to draw", len(report.Series))
	}
	picture, err := drawPanels(report)
	if err != nil {
		return err
	}
	return write(picture, path)
}

// panelsOf returns the panels of a report, from top to bottom.
func panelsOf(report *scenario.Report) []panel {
	var fairness []line
	for _, kind := range slices.Sorted(maps.Keys(report.Series[0].Fairness)) {
		fairness = append(fairness, line{kind, func(p scenario.Point) float64 { return p.Fairness[kind] }})
	}
	return []panel{
		{title: report.Name, axis: "requests", lines: []line{
			{"asked", func(p scenario.Point) float64 { return float64(p.Sent) }},
			{"served", func(p scenario.Point) float64 { return float64(p.Served) }},
		}},
		{axis: "nodes up", lines: []line{{"up", func(p scenario.Point) float64 { return float64(p.NodesUp) }}}},
		{axis: "Jain's index over engines", lines: fairness},
		{axis: "slow-start budget used, maximum so far", lines: []line{
			{"share", func(p scenario.Point) float64 { return p.SlowStartUse }},
		}},
	}
}

// drawPanels draws the panels one below the other.
func drawPanels(report *scenario.Report) (*vgimg.Canvas, error) {
	panels := panelsOf(report)
	plots := make([][]*plot.Plot, len(panels))
	for i, panel := range panels {
		p, err := panel.plot(report.Series)
		if err != nil {
			return nil, err
		}
		plots[i] = []*plot.Plot{p}
	}
	picture := vgimg.New(width, height)
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadTop: padding, PadBottom: padding, PadLeft: padding, PadRight: rightMargin, PadY: gap}
	for i, row := range plot.Align(plots, tiles, draw.New(picture)) {
		plots[i][0].Draw(row[0])
	}
	return picture, nil
}

// write writes an image to a file as PNG.
func write(picture *vgimg.Canvas, path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := (vgimg.PngCanvas{Canvas: picture}).WriteTo(file); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}

// plot returns the plot of a panel. It omits the last point of the series, which is incomplete.
func (p panel) plot(series []scenario.Point) (*plot.Plot, error) {
	result := plot.New()
	result.Title.Text = p.title
	result.Y.Label.Text = p.axis
	result.X.Label.Text = "s"
	result.Y.Min = 0
	result.Legend.Top = false
	result.Add(plotter.NewGrid())
	for i, l := range p.lines {
		points := make(plotter.XYs, 0, len(series))
		for _, point := range series[:len(series)-1] {
			points = append(points, plotter.XY{X: point.T, Y: l.value(point)})
		}
		curve, err := plotter.NewLine(points)
		if err != nil {
			return nil, fmt.Errorf("chart: %s: %w", l.name, err)
		}
		curve.Color = colors[i%len(colors)]
		curve.Width = lineWidth
		result.Add(curve)
		if len(p.lines) > 1 {
			result.Legend.Add(l.name, curve)
		}
	}
	result.Y.Max = max(result.Y.Max*1.05, 0.01)
	return result, nil
}
