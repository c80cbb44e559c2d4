package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/cowslipward/cowslipward/internal/wait"
	"github.com/cowslipward/cowslipward/test/testbed"
)

// Times of the demo. It ends within 60 s.
const (
	demoSteady     = 5 * time.Second
	demoChange     = 5 * time.Second
	demoDomainOut  = 6 * time.Second
	demoDomainBack = 6 * time.Second
	demoStop       = 10 * time.Second
)

// Demo is a run of the demo.
type Demo struct {
	Bed     *testbed.Bed
	Out     io.Writer
	Seed    uint64
	callers *Callers
	run     *Run
	events  []Event
	balance Balance
}

// demoMixes loads each service to about the share of its slots.
func demoMixes(d testbed.Deployment, share float64) []Mix {
	const work = 20 * time.Millisecond
	var mixes []Mix
	for _, s := range d.Services {
		rate := share * float64(s.Hosts*s.Slots) / work.Seconds()
		mix := Mix{
			Service: s.Name, Views: 30 * s.Hosts, Refresh: time.Second, Work: work, Pages: rate / 4, Pastes: rate / 20,
			Photos: 1, Over: 3 * time.Second, Flows: 10 * s.Hosts, Deadline: 5 * time.Second,
		}
		mixes = append(mixes, mix)
	}
	return mixes
}

// Run drives the demo and reports whether an invariant broke.
func (d *Demo) Run(ctx context.Context) error {
	callers, err := NewCallers(d.Bed)
	if err != nil {
		return err
	}
	d.callers = callers
	d.run = StartRun(ctx, callers, d.Seed, demoMixes(d.Bed.Deployment, 0.5)...)
	if unable := d.run.Unable(); len(unable) > 0 {
		return fmt.Errorf("%d views could not be opened: %s", len(unable), unable[0])
	}
	d.mark("targets warm up")
	d.run.WarmUp(ctx)
	d.mark("steady")
	d.measureBalance(ctx)
	d.run.Recorder.Enter(During)
	if err := d.changes(ctx); err != nil {
		return err
	}
	d.run.Recorder.Enter(After)
	d.mark("steady again")
	wait.For(ctx, demoSteady)
	if err := d.run.Stop(demoStop); err != nil {
		return err
	}
	return d.report()
}

func (d *Demo) mark(name string) {
	at := time.Since(d.run.Recorder.Start())
	d.events = append(d.events, Event{At: at, Name: name})
	_, _ = fmt.Fprintf(d.Out, "%5.1fs %s\n", at.Seconds(), name)
}

func (d *Demo) measureBalance(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, demoSteady)
	defer cancel()
	first := d.Bed.Deployment.Services[0]
	d.balance = MeasureBalance(ctx, d.Bed, vmsOf(first))
}

func vmsOf(s testbed.Service) []string {
	var names []string
	for i := range s.Hosts {
		names = append(names, fmt.Sprintf("%s-%d", s.Name, i+1))
	}
	return names
}

// changes replaces a balancer, drains a target, and takes a failure domain out and back.
func (d *Demo) changes(ctx context.Context) error {
	domains := d.Bed.Deployment.Domains
	drained := d.Bed.Deployment.Services[0].Name + "-1"
	d.mark("replace balancer entry-1 by entry-4")
	if err := replaceBalancer(d.Bed, "entry-1", "entry-4", domains[0]); err != nil {
		return err
	}
	d.mark("drain " + drained)
	if err := publish(d.Bed.Drain(drained, true)); err != nil {
		return err
	}
	wait.For(ctx, demoChange)
	d.run.MayGiveUp(true)
	d.mark("take " + domains[1] + " out")
	if err := publish(d.Bed.Out(domains[1], true)); err != nil {
		return err
	}
	wait.For(ctx, demoDomainOut)
	d.mark("bring " + domains[1] + " and " + drained + " back")
	if err := publish(d.Bed.Out(domains[1], false)); err != nil {
		return err
	}
	if err := publish(d.Bed.Drain(drained, false)); err != nil {
		return err
	}
	wait.For(ctx, demoDomainBack)
	d.run.MayGiveUp(false)
	return nil
}

func publish(_ uint64, err error) error { return err }

// replaceBalancer starts a new balancer and shuts the old one down gracefully once the new one is ready.
func replaceBalancer(bed *testbed.Bed, old, fresh, domain string) error {
	const limit = 10 * time.Second
	if err := bed.AddBalancer(fresh, domain); err != nil {
		return err
	}
	if err := bed.AwaitVM(fresh, limit); err != nil {
		return err
	}
	if err := bed.Signal(old, syscall.SIGTERM); err != nil {
		return err
	}
	if err := bed.AwaitExit(old, limit); err != nil {
		return fmt.Errorf("balancer %s: %w", old, err)
	}
	return bed.RemoveVM(old)
}

// report prints the table and the result, and returns an error where an invariant broke.
func (d *Demo) report() error {
	verdict, err := Verify(d.Bed, d.run.Recorder.Issued())
	if err != nil {
		return err
	}
	writeSummary(d.Out, d.run.Recorder)
	broken := d.run.Broken()
	for _, name := range sortedKeys(broken) {
		_, _ = fmt.Fprintf(d.Out, "broken flow %s: %s\n", name, broken[name])
	}
	for _, example := range verdict.Examples {
		_, _ = fmt.Fprintln(d.Out, example)
	}
	all := d.run.Recorder.All()
	before, during := d.run.Recorder.Summary(Before), d.run.Recorder.Summary(During)
	_, _ = fmt.Fprintf(d.Out, "RESULT broken_flows=%d given_up=%d wrong_service=%d duplicated=%d lost=%d imbalance=%.2f "+
		"p50_ms=%.1f p99_ms=%.1f p99_change_ms=%.1f\n", len(broken), all.Outcomes[GivenUp], verdict.WrongService,
		verdict.Duplicated, verdict.Lost, d.balance.Ratio(), millis(before, 50), millis(before, 99), millis(during, 99))
	return d.judge(verdict, len(broken))
}

func millis(s *Summary, q float64) float64 {
	return float64(s.Quantile(q)) / float64(time.Millisecond)
}

// judge returns an error that names the invariants that broke.
func (d *Demo) judge(verdict Verdict, broken int) error {
	var errs []error
	if names := verdict.Broken(); names != "" {
		errs = append(errs, fmt.Errorf("invariants broken: %s", names))
	}
	if broken > 0 {
		errs = append(errs, fmt.Errorf("invariant broken: P1 broken flows=%d", broken))
	}
	if len(d.run.Unable()) > 0 {
		errs = append(errs, fmt.Errorf("%d flows could not be opened: %s", len(d.run.Unable()), d.run.Unable()[0]))
	}
	return errors.Join(errs...)
}
