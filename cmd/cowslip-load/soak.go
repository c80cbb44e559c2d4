package main

import (
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"github.com/cowslipward/cowslipward/test/soak"
)

// demoPacketsLength is how long the demo of the packet path makes changes.
const demoPacketsLength = 25 * time.Second

func packetsCommand(f *flags) *cobra.Command {
	return &cobra.Command{
		Use:   "packets",
		Short: "Show the packet path under planned changes",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return f.soak(c, func(r *soak.Run) { r.Planned, r.Length = true, demoPacketsLength })
		},
	}
}

func soakCommand(f *flags) *cobra.Command {
	var length time.Duration
	var net uint8
	var scale int
	var report string
	var planned, drills bool
	command := &cobra.Command{
		Use:   "soak",
		Short: "Run the packet path as real processes under random faults",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return f.soak(c, func(r *soak.Run) {
				r.Length, r.Net, r.Report, r.Planned = length, net, report, planned
				if drills {
					r.UseDrills()
				}
				r.Scale(max(1, scale))
			})
		},
	}
	command.Flags().DurationVar(&length, "length", 20*time.Second, "how long faults are injected")
	command.Flags().Uint8Var(&net, "net", 2, "second byte of the loopback addresses, for runs beside each other")
	command.Flags().IntVar(&scale, "scale", 1, "how many times the usual deployment of 13 processes is started")
	command.Flags().BoolVar(&planned, "planned", false, "inject only what operators do, such as restarts and configurations")
	command.Flags().BoolVar(&drills, "drills", false, "as --planned, and restore the store from backups while its reader is killed")
	command.Flags().StringVar(&report, "report", "", "also write a page with charts to this file")
	return command
}

// soak runs a deployment of the packet path in a directory of its own, which stays where the run fails.
func (f *flags) soak(c *cobra.Command, change func(*soak.Run)) error {
	dir, err := os.MkdirTemp("", "cowslip-soak-")
	if err != nil {
		return err
	}
	run := soak.Default(filepath.Join(f.bin, "cowslip-l4"), dir, f.seed, c.OutOrStdout())
	change(&run)
	if err := run.Do(c.Context()); err != nil {
		c.PrintErrln("logs and settings:", dir)
		return err
	}
	return os.RemoveAll(dir)
}
