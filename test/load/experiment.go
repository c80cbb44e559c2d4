package load

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/cowslipward/cowslipward/internal/wait"
	"github.com/cowslipward/cowslipward/test/testbed"
)

// Experiment measures one aim of the design page on a test bed.
type Experiment struct {
	Bed   *testbed.Bed
	Out   io.Writer
	Plots string // directory for plot files
	Seed  uint64
}

// stopLimit bounds how long a load may take to end.
const stopLimit = 40 * time.Second

func (x *Experiment) printf(format string, args ...any) { _, _ = fmt.Fprintf(x.Out, format, args...) }

func (x *Experiment) plot(name string) string {
	return filepath.Join(x.Plots, fmt.Sprintf("%s-%s-seed%d.svg", name, x.Bed.Deployment.Name, x.Seed))
}

func (x *Experiment) table() *tabwriter.Writer {
	return tabwriter.NewWriter(x.Out, 0, 8, 2, ' ', tabwriter.AlignRight)
}

// Flows opens flows and counts those that break while every balancer is replaced, targets drain and rules change.
func (x *Experiment) Flows(ctx context.Context, flows int) error {
	callers, err := NewCallers(x.Bed)
	if err != nil {
		return err
	}
	run := StartRun(ctx, callers, x.Seed, flowMixes(x.Bed.Deployment, flows)...)
	x.printf("open flows %d of %d, seed %d\n", run.Open(), flows, x.Seed)
	open := run.Open()
	var events []Event
	mark := func(name string) {
		events = append(events, Event{At: time.Since(run.Recorder.Start()), Name: name})
	}
	run.WarmUp(ctx)
	wait.For(ctx, 3*time.Second)
	run.Recorder.Enter(During)
	if err := x.replaceAll(ctx, mark); err != nil {
		return err
	}
	run.Recorder.Enter(After)
	wait.For(ctx, 5*time.Second)
	if err := run.Stop(stopLimit); err != nil {
		return err
	}
	return x.reportFlows(run, open, events)
}

// flowMixes spreads flows over the services by their hosts, with downloads and pastes beside them.
func flowMixes(d testbed.Deployment, flows int) []Mix {
	hosts := 0
	for _, s := range d.Services {
		hosts += s.Hosts
	}
	var mixes []Mix
	for _, s := range d.Services {
		mixes = append(mixes, Mix{
			Service: s.Name, Views: flows * s.Hosts / hosts, Refresh: 8 * time.Second, Work: 5 * time.Millisecond,
			Photos: 1, Over: 3 * time.Second, Pastes: 10, Flows: 5 * s.Hosts,
		})
	}
	return mixes
}

// replaceAll replaces every balancer one by one; before each one a target drains and another returns.
func (x *Experiment) replaceAll(ctx context.Context, mark func(string)) error {
	d := x.Bed.Deployment
	for i := range d.Balancers {
		drained := fmt.Sprintf("%s-%d", d.Services[0].Name, i+1)
		if i > 0 {
			if err := publish(x.Bed.Drain(fmt.Sprintf("%s-%d", d.Services[0].Name, i), false)); err != nil {
				return err
			}
		}
		mark("drain " + drained)
		if err := publish(x.Bed.Drain(drained, true)); err != nil {
			return err
		}
		wait.For(ctx, time.Second)
		old, fresh := fmt.Sprintf("entry-%d", i+1), fmt.Sprintf("entry-%d", d.Balancers+i+1)
		mark("replace " + old)
		if err := replaceBalancer(x.Bed, old, fresh, d.Domains[i%len(d.Domains)]); err != nil {
			return err
		}
		if err := publish(x.Bed.Touch("change " + fresh)); err != nil {
			return err
		}
		wait.For(ctx, 2*time.Second)
	}
	return nil
}

func (x *Experiment) reportFlows(run *Run, open int, events []Event) error {
	verdict, err := Verify(x.Bed, run.Recorder.Issued())
	if err != nil {
		return err
	}
	writeSummary(x.Out, run.Recorder)
	broken := run.Broken()
	for _, name := range sortedKeys(broken)[:min(len(broken), maxExamples)] {
		x.printf("broken flow %s: %s\n", name, broken[name])
	}
	downloads, cut := downloadsOf(run.Recorder.Issued())
	x.printf("RESULT open_flows=%d broken_flows=%d stalled_refreshes=%d unable=%d downloads=%d downloads_cut=%d %s\n", open, len(broken),
		run.Stalls(), len(run.Unable()), downloads, cut, verdict.Broken())
	return PlotLatency(x.plot("flows"), "Open flows while balancers are replaced", run.Recorder.Samples(), events)
}

// downloadsOf counts the downloads that began and those that were cut. One that was refused has not begun.
func downloadsOf(issued map[string]Issued) (total, cut int) {
	for _, i := range issued {
		if i.Kind != Photo || i.Outcome == NotRun {
			continue
		}
		total++
		if i.Outcome != Answered {
			cut++
		}
	}
	return total, cut
}

// Balance measures the imbalance across the targets of the first service at shares of the pool's slots.
func (x *Experiment) Balance(ctx context.Context, shares []float64, length time.Duration) error {
	const work = 50 * time.Millisecond
	service := x.Bed.Deployment.Services[0]
	table := x.table()
	_, _ = fmt.Fprintln(table, "load\tanswered\tnot run\tmean in progress\thighest\thighest/mean\tmoment\tp50 ms\tp99 ms\t")
	series := make(map[string][]float64)
	for _, share := range shares {
		callers, err := NewCallers(x.Bed)
		if err != nil {
			return err
		}
		// Exponential service times are capped at four times the mean, which lowers their mean to 0.982 of it.
		rate := share * float64(service.Hosts*service.Slots) / (work.Seconds() * 0.982)
		run := StartRun(ctx, callers, x.Seed, Mix{Service: service.Name, Pages: rate, Work: work, Flows: 40 * service.Hosts})
		run.WarmUp(ctx)
		run.Recorder.Enter(During)
		measure, cancel := context.WithTimeout(ctx, length)
		balance := MeasureBalance(measure, x.Bed, vmsOf(service))
		cancel()
		err = run.Stop(stopLimit)
		if err != nil {
			return err
		}
		s := run.Recorder.Summary(During)
		_, _ = fmt.Fprintf(table, "%.0f%%\t%d\t%d\t%.2f\t%.2f\t%.3f\t%.3f\t%.1f\t%.1f\t\n", share*100, s.Outcomes[Answered],
			s.Total()-s.Outcomes[Answered], balance.Mean, balance.Highest, balance.Ratio(), balance.Moment, millis(s, 50), millis(s, 99))
		series["highest over mean"] = append(series["highest over mean"], balance.Ratio())
		series["moment"] = append(series["moment"], balance.Moment)
	}
	_ = table.Flush()
	return PlotSeries(x.plot("balance"), "Imbalance at rising load", "load step", "highest over mean", series)
}

// Domain measures the service while a failure domain leaves and returns. Requests are in time within inTime.
func (x *Experiment) Domain(ctx context.Context, share float64, inTime time.Duration) error {
	callers, err := NewCallers(x.Bed)
	if err != nil {
		return err
	}
	mixes := demoMixes(x.Bed.Deployment, share)
	for i := range mixes {
		mixes[i].InTime = inTime
	}
	run := StartRun(ctx, callers, x.Seed, mixes...)
	var events []Event
	mark := func(name string) {
		events = append(events, Event{At: time.Since(run.Recorder.Start()), Name: name})
	}
	run.WarmUp(ctx)
	wait.For(ctx, 15*time.Second)
	run.Recorder.Enter(During)
	run.MayGiveUp(true)
	domain := x.Bed.Deployment.Domains[1]
	mark("out " + domain)
	if err := publish(x.Bed.Out(domain, true)); err != nil {
		return err
	}
	wait.For(ctx, 10*time.Second)
	mark("in " + domain)
	if err := publish(x.Bed.Out(domain, false)); err != nil {
		return err
	}
	wait.For(ctx, 10*time.Second)
	run.Recorder.Enter(After)
	wait.For(ctx, 15*time.Second)
	if err := run.Stop(stopLimit); err != nil {
		return err
	}
	return x.reportDomain(run, events)
}

func (x *Experiment) reportDomain(run *Run, events []Event) error {
	verdict, err := Verify(x.Bed, run.Recorder.Issued())
	if err != nil {
		return err
	}
	writeSummary(x.Out, run.Recorder)
	before, during := run.Recorder.Summary(Before), run.Recorder.Summary(During)
	x.printf("RESULT in_time_pct=%.3f p99_ratio=%.2f broken_flows=%d over_limit=%d falls=%d %s\n", during.InTime()*100,
		millis(during, 99)/max(millis(before, 99), 0.001), len(run.Broken()), verdict.OverLimit, verdict.Falls, verdict.Broken())
	return PlotLatency(x.plot("domain"), "A failure domain leaves and returns", run.Recorder.Samples(), events)
}

// steadyTime is how long the control traffic without rule changes is measured.
const steadyTime = 10 * time.Second

// changePause is the time between two rule changes.
const changePause = 200 * time.Millisecond

// ruleLimit bounds the wait for one change; the bound of the design page is 4 s.
const ruleLimit = 10 * time.Second
