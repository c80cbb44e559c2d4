package ctl

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/cowslipward/cowslipward/burn/report"
	"github.com/cowslipward/cowslipward/packetstatus"
)

// defaultObjective is the share of good outcomes that a service is to reach, in percent.
const defaultObjective = 99.9

func newPacketsBurn() *cobra.Command {
	var out output
	var objective float64
	var page, title string
	command := &cobra.Command{
		Use:   "burn ADDRESS...",
		Short: "Show how fast the services of the packet path use up their error budgets",
		Long: `Show good and bad outcomes of each service, the burn rate of its error budget and the alert state. Agents count answers
(a good one is no server error and begins within the latency objective of its route) and requests that got none;
balancers count the new flows that they refuse. An address is under "metrics" in the settings of either.`,
		Args: cobra.MinimumNArgs(1),
		RunE: runs(func(c *cobra.Command, args []string) error {
			if err := out.check(); err != nil {
				return err
			}
			if objective <= 0 || objective >= 100 {
				return usage("--objective: found %g, want a percentage above 0 and below 100", objective)
			}
			result := &report.Report{Title: title, At: time.Now()}
			askAllOutcomes(c.Context(), args, objective, result)
			if err := printReport(c.OutOrStdout(), &out, result); err != nil {
				return err
			}
			if err := writePage(page, result); err != nil {
				return err
			}
			return unreached(result.Unreachable, len(args))
		}),
	}
	out.add(command)
	command.Flags().Float64Var(&objective, "objective", defaultObjective, "share of good outcomes, in percent")
	command.Flags().StringVar(&page, "html", "", "also write a page to this file")
	command.Flags().StringVar(&title, "title", "Error budgets", "title of the page")
	return command
}

// askAllOutcomes adds the outcomes of all processes that answer to the report, in the order in which services first
// occur.
func askAllOutcomes(ctx context.Context, addresses []string, objective float64, r *report.Report) {
	index := make(map[string]int)
	for _, address := range addresses {
		var list []packetstatus.Outcomes
		if err := askProcess(ctx, address, packetstatus.OutcomesPath, nil, &list); err != nil {
			r.Unreachable = append(r.Unreachable, address)
			continue
		}
		r.Reached++
		for _, outcomes := range list {
			at, known := index[outcomes.Service]
			if !known {
				at = len(r.Services)
				index[outcomes.Service] = at
				r.Services = append(r.Services, report.Service{Name: outcomes.Service, Objective: objective})
			}
			r.Services[at].Summary = r.Services[at].Summary.Add(outcomes.Summary)
		}
	}
}
