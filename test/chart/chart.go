// Package chart draws series over time and writes them as one page without references to other files.
package chart

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a chart.
const (
	width  = 24 * vg.Centimeter
	height = 8 * vg.Centimeter
)

// Point is a value at a time.
type Point struct {
	At    time.Duration // since the start of the run
	Value float64
}

// Series is a named line.
type Series struct {
	Name   string
	Points []Point
}

// Span is a stretch of time that a chart marks, such as a fault.
type Span struct {
	From, To time.Duration
}

// Chart shows series over time.
type Chart struct {
	Title  string
	Y      string // what the values are, with their unit
	Series []Series
	Spans  []Span
	Legend bool // names the series; for few of them
}

// svg draws the chart.
func (c *Chart) svg() (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "time, s"
	p.Y.Label.Text = c.Y
	p.Y.Min = 0
	highest := c.highest()
	for _, span := range c.Spans {
		if err := addSpan(p, span, highest); err != nil {
			return "", err
		}
	}
	for i, series := range c.Series {
		if err := c.addLine(p, i, series); err != nil {
			return "", err
		}
	}
	writer, err := p.WriterTo(width, height, "svg")
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if _, err := writer.WriteTo(&b); err != nil {
		return "", err
	}
	return template.HTML(withoutProlog(b.Bytes())), nil
}

// withoutProlog cuts what stands before the svg element, which has no place inside a page.
func withoutProlog(svg []byte) []byte {
	if at := bytes.Index(svg, []byte("<svg")); at > 0 {
		return svg[at:]
	}
	return svg
}

func (c *Chart) highest() float64 {
	highest := 1.0
	for _, series := range c.Series {
		for _, point := range series.Points {
			highest = max(highest, point.Value)
		}
	}
	return highest
}

func (c *Chart) addLine(p *plot.Plot, n int, series Series) error {
	if len(series.Points) == 0 {
		return nil
	}
	points := make(plotter.XYs, len(series.Points))
	for i, point := range series.Points {
		points[i] = plotter.XY{X: point.At.Seconds(), Y: point.Value}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("chart %s: %w", c.Title, err)
	}
	line.Color = plotutil.Color(n)
	p.Add(line)
	if c.Legend {
		p.Legend.Add(series.Name, line)
		p.Legend.Top = true
	}
	return nil
}

func addSpan(p *plot.Plot, span Span, highest float64) error {
	from, to := span.From.Seconds(), span.To.Seconds()
	area, err := plotter.NewPolygon(plotter.XYs{{X: from}, {X: to}, {X: to, Y: highest}, {X: from, Y: highest}})
	if err != nil {
		return err
	}
	area.Color = color.NRGBA{R: 220, G: 60, B: 40, A: 24}
	area.LineStyle.Width = 0
	p.Add(area)
	return nil
}

// Page is a set of charts with what led to them.
type Page struct {
	Title  string
	Result string // one line
	Charts []Chart
	Events []string // in the order of time
}

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// Write writes the page.
func (p *Page) Write(w io.Writer) error {
	type drawn struct {
		Title string
		SVG   template.HTML
	}
	view := struct {
		*Page
		Drawn []drawn
	}{Page: p}
	for i := range p.Charts {
		svg, err := p.Charts[i].svg()
		if err != nil {
			return fmt.Errorf("draw %s: %w", p.Charts[i].Title, err)
		}
		view.Drawn = append(view.Drawn, drawn{Title: p.Charts[i].Title, SVG: svg})
	}
	return pageTemplate.Execute(w, view)
}
