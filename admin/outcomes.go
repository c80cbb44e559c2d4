package admin

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/cowslipward/cowslipward/burn"
	adminv1 "github.com/cowslipward/cowslipward/gen/cowslipward/admin/v1"
)

// Outcomes implements AdminService.
func (s *service) Outcomes(context.Context, *connect.Request[adminv1.OutcomesRequest]) (*connect.Response[adminv1.OutcomesResponse], error) {
	response := &adminv1.OutcomesResponse{}
	if s.config.Burn == nil {
		return connect.NewResponse(response), nil
	}
	set := s.config.Source.View().Rules()
	for _, id := range s.config.Burn.Services() {
		svc := set.Service(id)
		if svc == nil {
			continue
		}
		response.Services = append(response.Services, outcomesOf(svc.Name, svc.Objective, s.config.Burn.Summary(id)))
	}
	return connect.NewResponse(response), nil
}

func outcomesOf(name string, objective float64, summary burn.Summary) *adminv1.ServiceOutcomes {
	assessment := burn.Assess(objective, summary.Windows)
	outcomes := &adminv1.ServiceOutcomes{
		Service:          name,
		ObjectivePercent: objective,
		BudgetLeft:       assessment.Left,
		Alert:            assessment.Alert.String(),
	}
	for i, window := range burn.Windows {
		outcomes.Windows = append(outcomes.Windows, &adminv1.WindowOutcomes{
			Seconds:  uint32(window / time.Second),
			Good:     summary.Windows[i].Good,
			Bad:      summary.Windows[i].Bad,
			BurnRate: assessment.Rates[i],
		})
	}
	for _, point := range summary.Series {
		outcomes.Series = append(outcomes.Series, &adminv1.OutcomePoint{
			StartUnix: point.Start.Unix(), Good: point.Good, Bad: point.Bad,
		})
	}
	return outcomes
}

// SummaryOf converts the outcomes of a service in a response to a summary, so that the summaries of several processes
// can be merged.
func SummaryOf(outcomes *adminv1.ServiceOutcomes) burn.Summary {
	var summary burn.Summary
	for _, window := range outcomes.GetWindows() {
		for i := range burn.Windows {
			if burn.Windows[i] == time.Duration(window.GetSeconds())*time.Second {
				summary.Windows[i] = burn.Counts{Good: window.GetGood(), Bad: window.GetBad()}
			}
		}
	}
	for _, point := range outcomes.GetSeries() {
		summary.Series = append(summary.Series, burn.Point{
			Start:  time.Unix(point.GetStartUnix(), 0).UTC(),
			Counts: burn.Counts{Good: point.GetGood(), Bad: point.GetBad()},
		})
	}
	return summary
}
