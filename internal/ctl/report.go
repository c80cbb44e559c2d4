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
	return group("report", "Report on the fleet", newReportBurn())
}

func newReportBurn() *cobra.Command {
	var f fleet
	var o output
	var page, title string
	command := &cobra.Command{
		Use:   "burn",
		Short: "Show how fast the services use up their error budgets",
		Long: `Show good and bad outcomes of each service over 5 min, 30 min, 1 h and 6 h, the burn rate of its error budget and the
alert state. The outcomes are gathered from all processes that the asked one knows. Those that do not answer are
counted and named, their outcomes are missing, and the exit code is 3.`,
		Example: "  cowslipctl report burn --admin 127.0.2.1:7402 --html burn.html",
		Args:    cobra.NoArgs,
		RunE: runs(func(command *cobra.Command, _ []string) error {
			if err := checkAll(&f, &o); err != nil {
				return err
			}
			return reportBurn(command, &f, &o, title, page)
		}),
	}
	f.add(command)
	o.add(command)
	command.Flags().StringVar(&page, "html", "", "also write a page to this file")
	command.Flags().StringVar(&title, "title", "Error budgets", "title of the page")
	return command
}

func askOutcomes(ctx context.Context, c adminv1connect.AdminServiceClient) (*adminv1.OutcomesResponse, error) {
	return unwrap(c.Outcomes(ctx, connect.NewRequest(&adminv1.OutcomesRequest{})))
}

func reportBurn(command *cobra.Command, f *fleet, o *output, title, page string) error {
	members, err := f.members(command.Context())
	if err != nil {
		return err
	}
	all := gather(command.Context(), f, members, askOutcomes)
	result := &report.Report{Title: title, At: time.Now(), Reached: len(all.answers), Unreachable: all.unreachable}
	result.Services = addOutcomes(all.answers)
	if err := printReport(command.OutOrStdout(), o, result); err != nil {
		return err
	}
	if err := writePage(page, result); err != nil {
		return err
	}
	return unreached(all.unreachable, len(members))
}

// addOutcomes adds the outcomes of the processes by service, in the order in which the services first occur.
func addOutcomes(answers []*adminv1.OutcomesResponse) []report.Service {
	var services []report.Service
	index := make(map[string]int)
	for _, answer := range answers {
		for _, outcomes := range answer.GetServices() {
			at, ok := index[outcomes.GetService()]
			if !ok {
				at = len(services)
				index[outcomes.GetService()] = at
				services = append(services, report.Service{Name: outcomes.GetService(), Objective: outcomes.GetObjectivePercent()})
			}
			services[at].Summary = services[at].Summary.Add(admin.SummaryOf(outcomes))
		}
	}
	return services
}

// burnData is the JSON form of a report.
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
	for _, one := range r.Services {
		assessment := burn.Assess(one.Objective, one.Summary.Windows)
		service := serviceData{
			Name: one.Name, Objective: one.Objective, BudgetLeft: assessment.Left, Alert: assessment.Alert.String(),
		}
		for i, window := range burn.Windows {
			counts := one.Summary.Windows[i]
			service.Windows = append(service.Windows, windowData{
				Seconds: int(window.Seconds()), Good: counts.Good, Bad: counts.Bad, BurnRate: assessment.Rates[i],
			})
		}
		data.Services = append(data.Services, service)
	}
	return printJSON(w, data)
}

// writePage writes the report as a page, unless no file is named.
func writePage(name string, r *report.Report) error {
	if name == "" {
		return nil
	}
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := r.WriteHTML(file); err != nil {
		_ = file.Close()
		return fmt.Errorf("write %s: %w", name, err)
	}
	return file.Close()
}
