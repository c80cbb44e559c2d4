package forward

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cowslipward/cowslipward/internal/logsink"
	"github.com/cowslipward/cowslipward/placement"
)

// overloadLinesPerSecond limits the log lines about services that enter or leave overload.
const overloadLinesPerSecond = 5

var (
	overloadedServices = metrics.NewGauge("cowslip_overloaded_services", nil)
	overloadSeconds    = metrics.NewFloatCounter("cowslip_overload_seconds_total")
)

// countShed counts a new flow that was refused at once because its service is overloaded.
func countShed(priority uint8) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`cowslip_flows_shed_total{priority="%d"}`, priority)).Inc()
}

// overloadWatch holds the services that were overloaded at the last check. It is used by watchAgents only.
type overloadWatch struct {
	sampler       *logsink.Sampler
	current, last []placement.Overload
}

// watchOverload reports which services are overloaded, as far as this balancer knows, and logs changes.
func (b *Balancer) watchOverload() {
	w := &b.overload
	b.mu.Lock()
	now := b.clock.now()
	w.current = b.dispatcher.AppendOverloaded(w.current[:0], now)
	b.mu.Unlock()
	if len(w.current) == 0 && len(w.last) == 0 {
		return
	}
	for i := range w.current {
		if o := &w.current[i]; !containsClass(w.last, o.Class) {
			b.logOverload("overload_began", o, "said", o.Said, "eligible", o.Eligible)
		}
	}
	for i := range w.last {
		if o := &w.last[i]; !containsClass(w.current, o.Class) {
			b.logOverload("overload_ended", o, "lasted", now-o.Since)
		}
	}
	services := countServices(w.current)
	overloadedServices.Set(float64(services))
	overloadSeconds.Add(float64(services) * reachabilityInterval.Seconds())
	w.current, w.last = w.last, w.current
}

func (b *Balancer) logOverload(event string, o *placement.Overload, fields ...any) {
	skipped, ok := b.overload.sampler.Allow()
	if !ok {
		return
	}
	fields = append(fields, "service", o.Service, "priority", o.Priority, "objective", o.Objective, "skipped", skipped)
	b.config.Log.Info(event, fields...)
}

func containsClass(list []placement.Overload, class placement.Class) bool {
	for i := range list {
		if list[i].Class == class {
			return true
		}
	}
	return false
}

// countServices returns the number of different services in the list.
func countServices(list []placement.Overload) int {
	services := make(map[string]struct{}, len(list))
	for i := range list {
		services[list[i].Service] = struct{}{}
	}
	return len(services)
}
