package ctl

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/cowslipward/cowslipward/burn/report"
	"github.com/cowslipward/cowslipward/packetstatus"
)

// defaultObjective is the default objective for the share of good outcomes, in percent.
const defaultObjective = 99.9

func newPacketsBurn() *cobra.Command {
	var out output
	var objective float64
	var htmlFile, title string
	command := &cobra.Command{
		Use:   "burn ADDRESS...",
		Short: "Show how fast the services of the packet path consume their error budgets",
		Long: `Show good and bad outcomes of each service, the burn rate of its error budget and the alert state. Agents count
responses (good ones are not server errors and begin within the latency objective of their route) and requests without a
response; balancers count the new flows that they refuse. ADDRESS is the one under "metrics" in the settings of an agent
or a balancer.`,
		Args: cobra.MinimumNArgs(1),
		RunE: withExitCode(func(c *cobra.Command, args []string) error {
			if err := out.validate(); err != nil {
				return err
			}
			if objective <= 0 || objective >= 100 {
				return usageError("--objective: found %g, want a percentage above 0 and below 100", objective)
			}
			result := &report.Report{Title: title, At: time.Now()}
			collectOutcomes(c.Context(), args, objective, result)
			if err := printReport(c.OutOrStdout(), &out, result); err != nil {
				return err
			}
			if err := writeHTMLFile(htmlFile, result); err != nil {
				return err
			}
			return unreachableError(result.Unreachable, len(args))
		}),
	}
	out.addFlags(command)
	command.Flags().Float64Var(&objective, "objective", defaultObjective, "objective for the share of good outcomes, in percent")
	command.Flags().StringVar(&htmlFile, "html", "", "also write the report as an HTML page to this file")
	command.Flags().StringVar(&title, "title", "Error budgets", "title of the report")
	return command
}

// collectOutcomes fetches the outcomes of all processes and sums them by service into r, in the order in which the
// services first occur. Processes that do not answer are added to r.Unreachable.
func collectOutcomes(ctx context.Context, addresses []string, objective float64, r *report.Report) {
	index := make(map[string]int)
	for _, address := range addresses {
		var list []packetstatus.Outcomes
		if err := fetchJSON(ctx, address, packetstatus.OutcomesPath, nil, &list); err != nil {
			r.Unreachable = append(r.Unreachable, address)
			continue
		}
		r.Reached++
		for _, outcomes := range list {
			i, ok := index[outcomes.Service]
			if !ok {
				i = len(r.Services)
				index[outcomes.Service] = i
				r.Services = append(r.Services, report.Service{Name: outcomes.Service, Objective: objective})
			}
			r.Services[i].Summary = r.Services[i].Summary.Add(outcomes.Summary)
		}
	}
}
