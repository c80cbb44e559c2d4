package report

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/cowslipward/cowslipward/burn"
)

// Size of a chart in SVG units, and the number of hours that it covers.
const (
	chartWidth  = 720.0
	chartHeight = 150.0
	chartTop    = 10.0
	windowHours = 6
)

// chartView is the template data of a chart of the requests per minute and the share of bad ones over the longest
// window.
type chartView struct {
	Width, Height float64
	Traffic       string // SVG path of all requests
	Bad           string // SVG path of the share of bad requests
	Marks         []markView
	MostTraffic   string
	MostBad       string
	Empty         bool
}

// markView is the template data of a mark on the time axis.
type markView struct {
	X    float64
	Text string
}

func newChart(series []burn.Point, objective float64, at time.Time) chartView {
	c := chartView{Width: chartWidth, Height: chartHeight, Empty: len(series) == 0}
	start := at.Add(-burn.Window6h)
	maxRequests, maxBadShare := 1.0, 2*(100-objective)/100
	for _, point := range series {
		maxRequests = math.Max(maxRequests, float64(point.Total()))
		maxBadShare = math.Max(maxBadShare, failedFraction(point.Counts))
	}
	c.Traffic = areaPath(series, start, func(p burn.Point) float64 { return float64(p.Total()) / maxRequests })
	c.Bad = areaPath(series, start, func(p burn.Point) float64 { return failedFraction(p.Counts) / maxBadShare })
	c.MostTraffic = groupDigits(uint64(maxRequests)) + " per minute"
	c.MostBad = fmt.Sprintf("%.2f%% bad", 100*maxBadShare)
	for hour := 1; hour < windowHours; hour++ {
		mark := start.Add(time.Duration(hour) * time.Hour)
		c.Marks = append(c.Marks, markView{X: xAt(mark, start), Text: mark.UTC().Format("15:04")})
	}
	return c
}

func failedFraction(c burn.Counts) float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total())
}

func xAt(at, start time.Time) float64 {
	return math.Round(chartWidth*float64(at.Sub(start))/float64(burn.Window6h)*10) / 10
}

// areaPath returns the SVG path of the area between the base line and the heights of the points. Minutes without a
// point are on the base line.
func areaPath(series []burn.Point, start time.Time, height func(burn.Point) float64) string {
	var b strings.Builder
	step := xAt(start.Add(burn.PointPeriod), start)
	base := chartHeight
	last := -step
	for _, point := range series {
		x := math.Max(0, xAt(point.Start, start))
		y := math.Round((base-height(point)*(chartHeight-chartTop))*10) / 10
		if x-last > step*1.5 {
			closePath(&b, last+step, base)
			fmt.Fprintf(&b, "M%g %g", x, base)
		}
		fmt.Fprintf(&b, "L%g %gL%g %g", x, y, math.Min(chartWidth, x+step), y)
		last = x
	}
	closePath(&b, last+step, base)
	return b.String()
}

func closePath(b *strings.Builder, x, base float64) {
	if b.Len() > 0 {
		fmt.Fprintf(b, "L%g %gZ", math.Min(chartWidth, x), base)
	}
}
