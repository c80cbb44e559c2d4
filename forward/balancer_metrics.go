package forward

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cowslipward/cowslipward/dispatch"
)

var (
	decisions         = newDecisionCounters()
	decisionTime      = metrics.NewHistogram("cowslip_decision_seconds")
	decisionViewAge   = metrics.NewHistogram("cowslip_decision_view_age_seconds")
	searchesFound     = metrics.NewHistogram(`cowslip_search_seconds{result="found"}`)
	searchesNotFound  = metrics.NewHistogram(`cowslip_search_seconds{result="in_vain"}`)
	searchesAbandoned = metrics.NewCounter("cowslip_searches_given_up_total")
	droppedUnreadable = metrics.NewCounter(`cowslip_dropped_datagrams_total{cause="unreadable_packet"}`)
	droppedForeign    = metrics.NewCounter(`cowslip_dropped_datagrams_total{cause="foreign_header"}`)
)

// newDecisionCounters returns a counter for each cause. The map is not modified afterwards and needs no lock.
func newDecisionCounters() map[dispatch.Cause]*metrics.Counter {
	counters := make(map[dispatch.Cause]*metrics.Counter, len(dispatch.Causes))
	for _, cause := range dispatch.Causes {
		counters[cause] = metrics.NewCounter(fmt.Sprintf("cowslip_packets_total{cause=%q}", string(cause)))
	}
	return counters
}
