// Package report writes the outcomes of services, compared with their objectives, as a text table or an HTML page.
package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cowslipward/cowslipward/burn"
)

// Service holds the outcomes of one service in a report.
type Service struct {
	Name      string
	Objective float64 // in percent
	Summary   burn.Summary
}

// Report holds the outcomes of all services at one time.
type Report struct {
	Title       string
	At          time.Time
	Services    []Service
	Reached     int      // processes that responded
	Unreachable []string // VMs that did not respond; their outcomes are missing
}

// WriteText writes the report as a text table.
func (r *Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tOBJECTIVE\tGOOD 6h\tBAD 6h\tBURN 5m\tBURN 30m\tBURN 1h\tBURN 6h\tBUDGET LEFT\tALERT")
	for _, s := range r.Services {
		a := burn.Assess(s.Objective, s.Summary.Windows)
		longest := s.Summary.Windows[len(s.Summary.Windows)-1]
		fmt.Fprintf(table, "%s\t%g%%\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%s\t%s\n", s.Name, s.Objective,
			longest.Good, longest.Bad, a.Rates[0], a.Rates[1], a.Rates[2], a.Rates[3], a.BudgetLeft(), a.Alert)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w, r.coverage())
	return err
}

// coverage describes how many processes the report includes, and lists the unreachable ones.
func (r *Report) coverage() string {
	if len(r.Unreachable) == 0 {
		return fmt.Sprintf("%d processes reached", r.Reached)
	}
	return fmt.Sprintf("%d processes reached, %d not: %s; their outcomes are missing",
		r.Reached, len(r.Unreachable), strings.Join(r.Unreachable, ", "))
}

//go:embed report.html
var pageHTML string

var pageTemplate = template.Must(template.New("report").Parse(pageHTML))

// WriteHTML writes the report as a self-contained HTML page, without references to other files.
func (r *Report) WriteHTML(w io.Writer) error {
	view := pageView{Title: r.Title, At: r.At.UTC().Format("2006-01-02 15:04 UTC"), Coverage: r.coverage()}
	view.Partial = len(r.Unreachable) > 0
	for _, s := range r.Services {
		view.Services = append(view.Services, newServiceView(s, r.At))
	}
	return pageTemplate.Execute(w, view)
}

// pageView is the template data of the page.
type pageView struct {
	Title    string
	At       string
	Coverage string
	Partial  bool
	Services []serviceView
}

// serviceView is the template data of a service, including coordinates.
type serviceView struct {
	Name      string
	Objective string
	Alert     string
	AlertText string
	Left      string
	LeftWidth float64 // 0 to 100
	Good      string
	Bad       string
	Share     string
	Bars      []barView
	Chart     chartView
}

// barView is the template data of the burn-rate bar of one window. The full width stands for burn.FastBurn.
type barView struct {
	Window string
	Rate   string
	Width  float64 // 0 to 100
	Class  string
	Counts string
}

var alertTexts = map[burn.Alert]string{
	burn.AlertNone: "within budget",
	burn.AlertSlow: "slow loss: 6 h and 30 min burn at 6 or more",
	burn.AlertFast: "fast loss: 1 h and 5 min burn at 14.4 or more",
}

func newServiceView(s Service, at time.Time) serviceView {
	a := burn.Assess(s.Objective, s.Summary.Windows)
	longest := s.Summary.Windows[len(s.Summary.Windows)-1]
	view := serviceView{
		Name:      s.Name,
		Objective: fmt.Sprintf("%g%%", s.Objective),
		Alert:     a.Alert.String(),
		AlertText: alertTexts[a.Alert],
		Left:      a.BudgetLeft(),
		LeftWidth: 100 * min(1, max(0, a.Left)),
		Good:      groupDigits(longest.Good),
		Bad:       groupDigits(longest.Bad),
		Share:     goodShare(longest),
		Chart:     newChart(s.Summary.Series, s.Objective, at),
	}
	for i, window := range burn.Windows {
		view.Bars = append(view.Bars, newBar(window, a.Rates[i], s.Summary.Windows[i]))
	}
	return view
}

func newBar(window time.Duration, rate float64, counts burn.Counts) barView {
	class := "ok"
	switch {
	case rate >= burn.FastBurn:
		class = "fast"
	case rate >= burn.SlowBurn:
		class = "slow"
	case rate >= 1:
		class = "warm"
	}
	return barView{
		Window: windowName(window),
		Rate:   fmt.Sprintf("%.2f", rate),
		Width:  100 * min(1, rate/burn.FastBurn),
		Class:  class,
		Counts: fmt.Sprintf("%s bad of %s", groupDigits(counts.Bad), groupDigits(counts.Total())),
	}
}

func windowName(window time.Duration) string {
	if window < time.Hour {
		return fmt.Sprintf("%d min", int(window.Minutes()))
	}
	return fmt.Sprintf("%d h", int(window.Hours()))
}

func goodShare(counts burn.Counts) string {
	if counts.Total() == 0 {
		return "no requests"
	}
	return fmt.Sprintf("%.3f%%", 100*float64(counts.Good)/float64(counts.Total()))
}

// groupDigits formats n with a comma between groups of three digits.
func groupDigits(n uint64) string {
	text := fmt.Sprint(n)
	for i := len(text) - 3; i > 0; i -= 3 {
		text = text[:i] + "," + text[i:]
	}
	return text
}
