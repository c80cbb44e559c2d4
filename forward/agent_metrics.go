package forward

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/targetgate"
)

var (
	answerTime   = metrics.NewHistogram("cowslip_first_answer_seconds")
	requestWait  = metrics.NewHistogram("cowslip_request_wait_seconds")
	droppedToken = metrics.NewCounter(`cowslip_dropped_datagrams_total{cause="unknown_token"}`)
	newFlows     = map[targetgate.Verdict]*metrics.Counter{
		targetgate.Accept: metrics.NewCounter(`cowslip_new_flows_total{verdict="accept"}`),
		targetgate.Refuse: metrics.NewCounter(`cowslip_new_flows_total{verdict="refuse"}`),
		targetgate.Wait:   metrics.NewCounter(`cowslip_new_flows_total{verdict="wait"}`),
	}
	lostRequests = metrics.NewCounter("cowslip_lost_requests_total")
	returned     = newReturnCounters()
	answers      = newAnswerCounters()
)

// answerClasses are the first digits that a status of three digits can have.
const answerClasses = 10

// newAnswerCounters returns a counter for each class of statuses. Class 0 holds answers whose status cannot be read.
func newAnswerCounters() [answerClasses]*metrics.Counter {
	var counters [answerClasses]*metrics.Counter
	for class := range counters {
		counters[class] = metrics.NewCounter(fmt.Sprintf(`cowslip_answers_total{class="%dxx"}`, class))
	}
	return counters
}

func newReturnCounters() map[encap.Reason]*metrics.Counter {
	counters := make(map[encap.Reason]*metrics.Counter)
	for reason := encap.ReasonRefused; reason <= encap.ReasonSilent; reason++ {
		counters[reason] = metrics.NewCounter(fmt.Sprintf("cowslip_returned_packets_total{reason=%q}", reason.String()))
	}
	return counters
}
