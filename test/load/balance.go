package load

import (
	"context"
	"time"
)

// samplePeriod is how often the work in progress of the targets is read.
const samplePeriod = 100 * time.Millisecond

// Balance is the distribution of work over the healthy targets of a service.
type Balance struct {
	Targets int
	Mean    float64 // work in progress of a target, averaged over time and targets
	Highest float64 // work in progress of the busiest target, averaged over time
	Moment  float64 // highest over mean at one moment, averaged over the moments
}

// Ratio returns the highest time-averaged work in progress over the mean.
func (b Balance) Ratio() float64 {
	if b.Mean == 0 {
		return 1
	}
	return b.Highest / b.Mean
}

// MeasureBalance reads the targets until the context ends. Targets that are cold or do not answer are not counted.
func MeasureBalance(ctx context.Context, source Source, vms []string) Balance {
	first := make(map[string]float64)
	last := make(map[string]float64)
	began := time.Now()
	for _, vm := range vms {
		if stats, err := source.Stats(vm); err == nil && !stats.Cold {
			first[vm] = stats.Busy
			last[vm] = stats.Busy
		}
	}
	moments, sum := 0, 0.0
	ticker := time.NewTicker(samplePeriod)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if ratio, ok := sampleMoment(source, first, last); ok {
			moments++
			sum += ratio
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	balance := average(first, last, time.Since(began))
	if moments > 0 {
		balance.Moment = sum / float64(moments)
	}
	return balance
}

func sampleMoment(source Source, first, last map[string]float64) (float64, bool) {
	total, highest := 0, 0
	for vm := range first {
		stats, err := source.Stats(vm)
		if err != nil || stats.Cold {
			delete(first, vm)
			continue
		}
		last[vm] = stats.Busy
		total += stats.InProgress
		highest = max(highest, stats.InProgress)
	}
	if total == 0 {
		return 0, false
	}
	return float64(highest) * float64(len(first)) / float64(total), true
}

func average(first, last map[string]float64, took time.Duration) Balance {
	balance := Balance{Targets: len(first)}
	sum := 0.0
	for vm, before := range first {
		load := (last[vm] - before) / took.Seconds()
		sum += load
		balance.Highest = max(balance.Highest, load)
	}
	if len(first) > 0 {
		balance.Mean = sum / float64(len(first))
	}
	return balance
}
