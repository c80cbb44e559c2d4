package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"github.com/cowslipward/cowslipward/admin"
	"github.com/cowslipward/cowslipward/burn"
	"github.com/cowslipward/cowslipward/burn/report"
	adminv1 "github.com/cowslipward/cowslipward/gen/cowslipward/admin/v1"
	"github.com/cowslipward/cowslipward/gen/cowslipward/admin/v1/adminv1connect"
)

func newReport() *cobra.Command {
	return newCommandGroup("report", "Report on the fleet", newReportBurn())
}

func newReportBurn() *cobra.Command {
	var f fleetClient
	var o output
	var htmlFile, title string
	command := &cobra.Command{
		Use:   "burn",
		Short: "Show how fast the services consume their error budgets",
		Long: `Show good and bad outcomes of each service over 5 min, 30 min, 1 h and 6 h, the burn rate of its error budget and the
alert state. The outcomes are collected from all processes that the process at --admin lists. Processes that do not
answer are counted and named, their outcomes are missing, and the exit code is 3.`,
		Example: "  cowslipctl report burn --admin 127.0.2.1:7402 --html burn.html",
		Args:    cobra.NoArgs,
		RunE: withExitCode(func(command *cobra.Command, _ []string) error {
			if err := validateFlags(&f, &o); err != nil {
				return err
			}
			return reportBurn(command, &f, &o, title, htmlFile)
		}),
	}
	f.addFlags(command)
	o.addFlags(command)
	command.Flags().StringVar(&htmlFile, "html", "", "also write the report as an HTML page to this file")
	command.Flags().StringVar(&title, "title", "Error budgets", "title of the report")
	return command
}

func fetchOutcomes(ctx context.Context, c adminv1connect.AdminServiceClient) (*adminv1.OutcomesResponse, error) {
	return unwrap(c.Outcomes(ctx, connect.NewRequest(&adminv1.OutcomesRequest{})))
}

func reportBurn(command *cobra.Command, f *fleetClient, o *output, title, htmlFile string) error {
	members, err := f.members(command.Context())
	if err != nil {
		return err
	}
	outcomes := callAll(command.Context(), f, members, fetchOutcomes)
	result := &report.Report{Title: title, At: time.Now(), Reached: len(outcomes.responses), Unreachable: outcomes.unreachable}
	result.Services = sumOutcomes(outcomes.responses)
	if err := printReport(command.OutOrStdout(), o, result); err != nil {
		return err
	}
	if err := writeHTMLFile(htmlFile, result); err != nil {
		return err
	}
	return unreachableError(outcomes.unreachable, len(members))
}

// sumOutcomes sums the outcomes of all processes by service, in the order in which the services first occur.
func sumOutcomes(responses []*adminv1.OutcomesResponse) []report.Service {
	var services []report.Service
	index := make(map[string]int)
	for _, response := range responses {
		for _, outcomes := range response.GetServices() {
			i, ok := index[outcomes.GetService()]
			if !ok {
				i = len(services)
				index[outcomes.GetService()] = i
				services = append(services, report.Service{Name: outcomes.GetService(), Objective: outcomes.GetObjectivePercent()})
			}
			services[i].Summary = services[i].Summary.Add(admin.SummaryOf(outcomes))
		}
	}
	return services
}

// burnData is the JSON output of a report.
type burnData struct {
	At          time.Time     `json:"at"`
	Reached     int           `json:"reached"`
	Unreachable []string      `json:"unreachable"`
	Services    []serviceData `json:"services"`
}

type serviceData struct {
	Name       string       `json:"name"`
	Objective  float64      `json:"objective_percent"`
	BudgetLeft float64      `json:"budget_left"`
	Alert      string       `json:"alert"`
	Windows    []windowData `json:"windows"`
}

type windowData struct {
	Seconds  int     `json:"seconds"`
	Good     uint64  `json:"good"`
	Bad      uint64  `json:"bad"`
	BurnRate float64 `json:"burn_rate"`
}

func printReport(w io.Writer, o *output, r *report.Report) error {
	if o.format != "json" {
		return r.WriteText(w)
	}
	data := burnData{At: r.At.UTC(), Reached: r.Reached, Unreachable: r.Unreachable}
	for _, entry := range r.Services {
		assessment := burn.Assess(entry.Objective, entry.Summary.Windows)
		service := serviceData{
			Name: entry.Name, Objective: entry.Objective, BudgetLeft: assessment.Left, Alert: assessment.Alert.String(),
		}
		for i, window := range burn.Windows {
			counts := entry.Summary.Windows[i]
			service.Windows = append(service.Windows, windowData{
				Seconds: int(window.Seconds()), Good: counts.Good, Bad: counts.Bad, BurnRate: assessment.Rates[i],
			})
		}
		data.Services = append(data.Services, service)
	}
	return printJSON(w, data)
}

// writeHTMLFile writes the report as an HTML page to path. An empty path writes nothing.
func writeHTMLFile(path string, r *report.Report) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := r.WriteHTML(file); err != nil {
		_ = file.Close()
		return fmt.Errorf("write %s: %w", path, err)
	}
	return file.Close()
}
