package ctl

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/cowslipward/cowslipward/packetstatus"
)

func newPacketsFlows() *cobra.Command {
	var out output
	command := &cobra.Command{
		Use:   "flows ADDRESS",
		Short: "Show the flows of a target; ADDRESS is the one under \"metrics\" in the settings of its agent",
		Args:  cobra.ExactArgs(1),
		RunE: withExitCode(func(c *cobra.Command, args []string) error {
			if err := out.validate(); err != nil {
				return err
			}
			var agent packetstatus.Agent
			if err := fetchJSON(c.Context(), args[0], packetstatus.FlowsPath, nil, &agent); err != nil {
				return err
			}
			return out.print(c.OutOrStdout(), agent, func(w io.Writer) { printFlows(w, &agent) })
		}),
	}
	out.addFlags(command)
	return command
}

func printFlows(w io.Writer, a *packetstatus.Agent) {
	fmt.Fprintf(w, "%s: target %s of %s, %d of %d slots in use, %d wait, %d%% fail, silent %t, down %t\n\n", a.VM, a.Target, a.Service,
		a.Load, a.Slots, a.Waiting, a.Failing, a.Silent, a.Down)
	if a.Limit > 0 {
		fmt.Fprintf(w, "learned: %d of %d slots handled well, mean time to an answer %.1f ms\n\n", a.Limit, a.Slots, a.DurationMS)
	}
	fmt.Fprintln(w, "FLOW\tSTATE\tAGE")
	for _, f := range a.Flows {
		fmt.Fprintf(w, "%s\t%s\t%s\n", f.Flow, f.State, time.Duration(f.AgeMS)*time.Millisecond)
	}
}
