package forward

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/targetgate"
)

var (
	firstResponseTime   = metrics.NewHistogram("cowslip_first_answer_seconds")
	requestQueueTime    = metrics.NewHistogram("cowslip_request_wait_seconds")
	droppedUnknownToken = metrics.NewCounter(`cowslip_dropped_datagrams_total{cause="unknown_token"}`)
	newFlowVerdicts     = map[targetgate.Verdict]*metrics.Counter{
		targetgate.Accept: metrics.NewCounter(`cowslip_new_flows_total{verdict="accept"}`),
		targetgate.Refuse: metrics.NewCounter(`cowslip_new_flows_total{verdict="refuse"}`),
		targetgate.Wait:   metrics.NewCounter(`cowslip_new_flows_total{verdict="wait"}`),
	}
	refusedFlows = map[encap.Reason]*metrics.Counter{
		encap.ReasonRefused:    metrics.NewCounter(`cowslip_refused_flows_total{reason="refused"}`),
		encap.ReasonBusy:       metrics.NewCounter(`cowslip_refused_flows_total{reason="busy"}`),
		encap.ReasonCold:       metrics.NewCounter(`cowslip_refused_flows_total{reason="cold"}`),
		encap.ReasonSilent:     metrics.NewCounter(`cowslip_refused_flows_total{reason="silent"}`),
		encap.ReasonOverloaded: metrics.NewCounter(`cowslip_refused_flows_total{reason="overloaded"}`),
	}
	shedFlows             = newShedCounters()
	targetOverloadSeconds = metrics.NewFloatCounter("cowslip_target_overload_seconds_total")
	startedRequests       = metrics.NewCounter("cowslip_started_requests_total")
	startedRetries        = metrics.NewCounter("cowslip_started_retries_total")
	lostRequests          = metrics.NewCounter("cowslip_lost_requests_total")
	returnedPackets       = newReturnCounters()
	responses             = newResponseCounters()
)

// statusClasses is the number of possible first digits of a three-digit status.
const statusClasses = 10

// newResponseCounters returns a counter for each status class. Class 0 counts responses whose status cannot
// be parsed.
func newResponseCounters() [statusClasses]*metrics.Counter {
	var counters [statusClasses]*metrics.Counter
	for class := range counters {
		counters[class] = metrics.NewCounter(fmt.Sprintf(`cowslip_answers_total{class="%dxx"}`, class))
	}
	return counters
}

func newReturnCounters() map[encap.Reason]*metrics.Counter {
	counters := make(map[encap.Reason]*metrics.Counter)
	for reason := encap.ReasonRefused; reason <= encap.ReasonOverloaded; reason++ {
		counters[reason] = metrics.NewCounter(fmt.Sprintf("cowslip_returned_packets_total{reason=%q}", reason.String()))
	}
	return counters
}

// newShedCounters returns a counter of shed flows for each priority level. Lower priorities count in the last one.
func newShedCounters() [targetgate.PriorityLevels]*metrics.Counter {
	var counters [targetgate.PriorityLevels]*metrics.Counter
	for level := range counters {
		counters[level] = metrics.NewCounter(fmt.Sprintf(`cowslip_target_shed_flows_total{priority="%d"}`, level))
	}
	return counters
}
