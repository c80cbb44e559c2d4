package burn

import (
	"fmt"
	"time"
)

// Alert says how urgent the loss of error budget is.
type Alert uint8

// Alerts. Each needs a long window, which shows that the loss is real, and a short one, which shows that it goes on.
const (
	AlertNone Alert = iota
	// AlertSlow is a loss that uses up the budget of a month in five days: burn rate 6 over 6 h and 30 min.
	AlertSlow
	// AlertFast is a loss that uses up 2% of the budget of a month in an hour: burn rate 14.4 over 1 h and 5 min.
	AlertFast
)

// Burn rates of the alerts. At burn rate 1 the error budget of the objective lasts exactly its period.
const (
	FastBurn = 14.4
	SlowBurn = 6.0
)

// String returns the alert as tables show it.
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

// Assessment is how a service stands against its objective.
type Assessment struct {
	Objective float64    // in percent
	Rates     [4]float64 // burn rates in the order of Windows
	Left      float64    // share of the error budget of the longest window that is left; negative when overspent
	Alert     Alert
}

// Assess compares counts with an objective in percent.
func Assess(objective float64, windows [4]Counts) Assessment {
	a := Assessment{Objective: objective, Left: 1}
	for i, counts := range windows {
		a.Rates[i] = rate(objective, counts)
	}
	longest := len(windows) - 1
	a.Left = 1 - a.Rates[longest]
	a.Alert = a.alert()
	return a
}

// rate is the share of bad outcomes over the share that the objective allows.
func rate(objective float64, counts Counts) float64 {
	if counts.Total() == 0 {
		return 0
	}
	allowed := 1 - objective/100
	return float64(counts.Bad) / float64(counts.Total()) / allowed
}

// BudgetLeft writes the budget that is left, or how many times it was spent when that is more than once.
func (a *Assessment) BudgetLeft() string {
	if a.Left < 0 {
		return fmt.Sprintf("none, spent %.1f times", 1-a.Left)
	}
	return fmt.Sprintf("%.1f%%", 100*a.Left)
}

func (a *Assessment) alert() Alert {
	switch {
	case a.over(Window5m, FastBurn) && a.over(Window1h, FastBurn):
		return AlertFast
	case a.over(Window30m, SlowBurn) && a.over(Window6h, SlowBurn):
		return AlertSlow
	default:
		return AlertNone
	}
}

func (a *Assessment) over(window time.Duration, burn float64) bool {
	for i := range Windows {
		if Windows[i] == window {
			return a.Rates[i] >= burn
		}
	}
	return false
}
