package main

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/cowslipward/cowslipward/test/load"
	"github.com/cowslipward/cowslipward/test/testbed"
)

// experimentLimit bounds each experiment in time.
const experimentLimit = 5 * time.Minute

// experiment returns a command that starts a deployment, runs one experiment and stops.
func experiment(f *flags, use, short string, run func(context.Context, *load.Experiment) error) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		ctx, cancel := context.WithTimeout(c.Context(), experimentLimit)
		defer cancel()
		bed, err := f.start(testbed.Options{})
		if err != nil {
			return err
		}
		defer bed.Stop()
		return run(ctx, &load.Experiment{Bed: bed, Out: c.OutOrStdout(), Plots: f.plots, Seed: f.seed})
	}}
}

func flowsCommand(f *flags) *cobra.Command {
	var flows int
	c := experiment(f, "flows", "Broken flows while every balancer is replaced", func(ctx context.Context, x *load.Experiment) error {
		return x.Flows(ctx, flows)
	})
	c.Flags().IntVar(&flows, "flows", 2000, "flows to open")
	return c
}

func balanceCommand(f *flags) *cobra.Command {
	var length time.Duration
	c := experiment(f, "balance", "Imbalance at 50, 70 and 90% load", func(ctx context.Context, x *load.Experiment) error {
		return x.Balance(ctx, []float64{0.5, 0.7, 0.9}, length)
	})
	c.Flags().DurationVar(&length, "length", 15*time.Second, "length of a measurement")
	return c
}

func domainCommand(f *flags) *cobra.Command {
	var share float64
	var inTime time.Duration
	c := experiment(f, "domain", "Service while a failure domain leaves and returns", func(ctx context.Context, x *load.Experiment) error {
		return x.Domain(ctx, share, inTime)
	})
	c.Flags().Float64Var(&share, "share", 0.5, "load as a share of all slots")
	c.Flags().DurationVar(&inTime, "in-time", time.Second, "an answer that takes longer is late")
	return c
}

func rulesCommand(f *flags) *cobra.Command {
	var changes int
	c := experiment(f, "rules", "Time until a rule is in force at the last process", func(ctx context.Context, x *load.Experiment) error {
		return x.Rules(ctx, changes)
	})
	c.Flags().IntVar(&changes, "changes", 50, "rule changes")
	return c
}
