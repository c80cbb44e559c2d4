package burn

import (
	"fmt"
	"time"
)

// Alert is the urgency of a loss of error budget.
type Alert uint8

// Alerts. Each requires a high burn rate over a long window, which shows that the loss is significant, and over a short
// one, which shows that it continues.
const (
	AlertNone Alert = iota
	// AlertSlow is a loss that consumes the budget of a month in five days: a burn rate of 6 over 6 h and 30 min.
	AlertSlow
	// AlertFast is a loss that consumes 2% of the budget of a month in an hour: a burn rate of 14.4 over 1 h and 5 min.
	AlertFast
)

// Burn rates at which the alerts are raised. At burn rate 1 the error budget lasts exactly the period of the objective.
const (
	FastBurn = 14.4
	SlowBurn = 6.0
)

// String returns the name of the alert as shown in reports.
func (a Alert) String() string {
	switch a {
	case AlertFast:
		return "fast"
	case AlertSlow:
		return "slow"
	default:
		return "none"
	}
}

// Assessment compares the outcomes of a service with its objective.
type Assessment struct {
	Objective float64    // in percent
	Rates     [4]float64 // burn rates in the order of Windows
	Left      float64    // remaining share of the error budget of the longest window; negative if overspent
	Alert     Alert
}

// Assess compares the counts of the windows, in the order of Windows, with an objective in percent.
func Assess(objective float64, windows [4]Counts) Assessment {
	a := Assessment{Objective: objective, Left: 1}
	for i, counts := range windows {
		a.Rates[i] = burnRate(objective, counts)
	}
	longest := len(windows) - 1
	a.Left = 1 - a.Rates[longest]
	a.Alert = a.alert()
	return a
}

// burnRate returns the share of bad outcomes divided by the share that the objective allows.
func burnRate(objective float64, counts Counts) float64 {
	if counts.Total() == 0 {
		return 0
	}
	allowed := 1 - objective/100
	return float64(counts.Bad) / float64(counts.Total()) / allowed
}

// BudgetLeft formats the remaining budget, or, if it is overspent, how many times it has been spent.
func (a *Assessment) BudgetLeft() string {
	if a.Left < 0 {
		return fmt.Sprintf("none, spent %.1f times", 1-a.Left)
	}
	return fmt.Sprintf("%.1f%%", 100*a.Left)
}

func (a *Assessment) alert() Alert {
	switch {
	case a.reaches(Window5m, FastBurn) && a.reaches(Window1h, FastBurn):
		return AlertFast
	case a.reaches(Window30m, SlowBurn) && a.reaches(Window6h, SlowBurn):
		return AlertSlow
	default:
		return AlertNone
	}
}

// reaches reports whether the burn rate over the window is at or above the threshold.
func (a *Assessment) reaches(window time.Duration, threshold float64) bool {
	for i := range Windows {
		if Windows[i] == window {
			return a.Rates[i] >= threshold
		}
	}
	return false
}
