// Command cowslip-load runs the demo and the experiments under load on one machine.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/cowslipward/cowslipward/test/load"
	"github.com/cowslipward/cowslipward/test/testbed"
)

// demoLimit bounds the demo in time.
const demoLimit = 60 * time.Second

// flags are what all commands share.
type flags struct {
	deployment string
	bin        string
	seed       uint64
	plots      string
}

func main() {
	f := &flags{}
	root := &cobra.Command{Use: "cowslip-load", Short: "Demo and experiments under load", SilenceUsage: true}
	own, _ := os.Executable()
	persistent := root.PersistentFlags()
	persistent.StringVar(&f.deployment, "deployment", "ballyrath", "ballyrath or guild")
	persistent.StringVar(&f.bin, "bin", filepath.Dir(own), "directory of the programs")
	persistent.Uint64Var(&f.seed, "seed", 1, "seed of the load")
	persistent.StringVar(&f.plots, "plots", ".", "directory for plot files")
	root.AddCommand(demoCommand(f), flowsCommand(f), balanceCommand(f), domainCommand(f), rulesCommand(f), packetsCommand(f), soakCommand(f), deploymentsCommand())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func (f *flags) start(o testbed.Options) (*testbed.Bed, error) {
	deployment, err := testbed.ByName(f.deployment)
	if err != nil {
		return nil, err
	}
	o.Deployment, o.Bin, o.Seed = deployment, f.bin, f.seed
	return testbed.Start(o)
}

func demoCommand(f *flags) *cobra.Command {
	return &cobra.Command{Use: "demo", Short: "Show the system under change", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		ctx, cancel := context.WithTimeout(c.Context(), demoLimit)
		defer cancel()
		bed, err := f.start(testbed.Options{})
		if err != nil {
			return err
		}
		defer bed.Stop()
		_, _ = fmt.Fprintf(c.OutOrStdout(), "deployment %s, seed %d\n", f.deployment, f.seed)
		demo := &load.Demo{Bed: bed, Out: c.OutOrStdout(), Seed: f.seed}
		return demo.Run(ctx)
	}}
}
