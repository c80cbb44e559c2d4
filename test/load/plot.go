package load

import (
	"fmt"
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot file.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Event is a moment that a plot marks.
type Event struct {
	At   time.Duration // since the start of the recorder
	Name string
}

// PlotLatency writes the latency of each request over time, with the events marked.
func PlotLatency(path, title string, samples []Sample, events []Event) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "time, s"
	p.Y.Label.Text = "latency, ms"
	var answered, failed plotter.XYs
	highest := 1.0
	for _, s := range samples {
		point := plotter.XY{X: s.At.Seconds(), Y: s.Took.Seconds() * 1000}
		highest = max(highest, point.Y)
		if s.Outcome == Answered {
			answered = append(answered, point)
		} else {
			failed = append(failed, point)
		}
	}
	if err := addPoints(p, answered, color.RGBA{B: 160, A: 255}, "answered"); err != nil {
		return err
	}
	if err := addPoints(p, failed, color.RGBA{R: 200, A: 255}, "not answered"); err != nil {
		return err
	}
	for _, e := range events {
		line, err := plotter.NewLine(plotter.XYs{{X: e.At.Seconds(), Y: 0}, {X: e.At.Seconds(), Y: highest}})
		if err != nil {
			return err
		}
		line.Color = color.Gray{Y: 140}
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: e.At.Seconds(), Y: highest}}, Labels: []string{e.Name}})
		if err != nil {
			return err
		}
		p.Add(line, label)
	}
	return save(p, path)
}

func addPoints(p *plot.Plot, points plotter.XYs, c color.Color, name string) error {
	if len(points) == 0 {
		return nil
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	scatter.Color = c
	scatter.Radius = vg.Points(1)
	p.Add(scatter)
	p.Legend.Add(name, scatter)
	return nil
}

// PlotSeries writes named series of values over an index, such as times of rule changes.
func PlotSeries(path, title, x, y string, series map[string][]float64) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	shade := uint8(0)
	for _, name := range sortedKeys(series) {
		points := make(plotter.XYs, len(series[name]))
		for i, value := range series[name] {
			points[i] = plotter.XY{X: float64(i + 1), Y: value}
		}
		if err := addPoints(p, points, color.RGBA{R: shade, B: 200 - shade, A: 255}, name); err != nil {
			return err
		}
		shade += 80
	}
	return save(p, path)
}

func save(p *plot.Plot, path string) error {
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}
