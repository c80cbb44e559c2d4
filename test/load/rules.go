package load

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/cowslipward/cowslipward/internal/wait"
)

// Rules measures the time until a changed rule is in force at the last process, and the control traffic without changes
// and meanwhile.
func (x *Experiment) Rules(ctx context.Context, changes int) error {
	steady, err := x.controlRates(func() error {
		wait.For(ctx, steadyTime)
		return nil
	})
	if err != nil {
		return err
	}
	vm := x.Bed.Deployment.Services[0].Name + "-1"
	var times []float64
	changing, err := x.controlRates(func() error {
		for i := range changes {
			took, err := x.changeRule(vm, i%2 == 0)
			if err != nil {
				return err
			}
			times = append(times, float64(took)/float64(time.Millisecond))
			wait.For(ctx, changePause)
		}
		return ctx.Err()
	})
	if err != nil {
		return err
	}
	x.reportRules(times, steady, changing)
	return PlotSeries(x.plot("rules"), "Time until a rule is in force at the last process", "change", "ms",
		map[string][]float64{"last process": times})
}

func (x *Experiment) changeRule(vm string, drained bool) (time.Duration, error) {
	start := time.Now()
	revision, err := x.Bed.Drain(vm, drained)
	if err != nil {
		return 0, err
	}
	return x.awaitRevision(revision, start)
}

// awaitRevision waits until every process has the revision and returns when the last one put it in force.
func (x *Experiment) awaitRevision(revision uint64, start time.Time) (time.Duration, error) {
	var last time.Duration
	for _, vm := range x.Bed.Running() {
		for {
			status, err := x.Bed.Status(vm)
			if err == nil && status.Revision >= revision {
				last = max(last, time.UnixMilli(status.Since).Sub(start))
				break
			}
			if time.Since(start) > ruleLimit {
				return 0, fmt.Errorf("%s has not taken revision %d within %s: %v", vm, revision, ruleLimit, err)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return last, nil
}

// rates are control bytes per second over the VMs.
type rates struct {
	mean, highestIn, highestOut float64
}

// controlRates measures the control traffic of each VM while a function runs. The mean counts both ways.
func (x *Experiment) controlRates(do func() error) (rates, error) {
	var r rates
	before, err := x.Bed.Fabric()
	if err != nil {
		return r, err
	}
	began := time.Now()
	if err := do(); err != nil {
		return r, err
	}
	after, err := x.Bed.Fabric()
	if err != nil {
		return r, err
	}
	took := time.Since(began).Seconds()
	vms := x.Bed.Running()
	for _, vm := range vms {
		in := float64(after.Control[vm].In-before.Control[vm].In) / took
		out := float64(after.Control[vm].Out-before.Control[vm].Out) / took
		r.mean += (in + out) / float64(len(vms))
		r.highestIn, r.highestOut = max(r.highestIn, in), max(r.highestOut, out)
	}
	return r, nil
}

func (x *Experiment) reportRules(times []float64, steady, changing rates) {
	sorted := append([]float64(nil), times...)
	sort.Float64s(sorted)
	table := x.table()
	_, _ = fmt.Fprintln(table, "control bytes/s\tmean, both ways\thighest in\thighest out\t")
	_, _ = fmt.Fprintf(table, "no change\t%.0f\t%.0f\t%.0f\t\n", steady.mean, steady.highestIn, steady.highestOut)
	_, _ = fmt.Fprintf(table, "changes\t%.0f\t%.0f\t%.0f\t\n", changing.mean, changing.highestIn, changing.highestOut)
	_ = table.Flush()
	x.printf("RESULT changes=%d p50_ms=%.0f p100_ms=%.0f steady_bytes_per_s=%.0f\n", len(times), sorted[len(sorted)/2],
		sorted[len(sorted)-1], steady.mean)
}
