package viewsync

import (
	"fmt"
	"log/slog"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cowslipward/cowslipward/directory"
)

// refusedRecords counts the records of the store that became refused, by reason.
var refusedRecords = newRefusalCounters()

func newRefusalCounters() map[directory.RefusalReason]*metrics.Counter {
	counters := make(map[directory.RefusalReason]*metrics.Counter, len(directory.RefusalReasons))
	for _, reason := range directory.RefusalReasons {
		counters[reason] = metrics.NewCounter(fmt.Sprintf("cowslip_records_refused_total{reason=%q}", string(reason)))
	}
	return counters
}

// logRecord logs a record that changed the view. config is the configuration in force after the change.
func logRecord(log *slog.Logger, r *directory.Record, config *directory.Config) {
	switch {
	case r.Refusal != nil:
		if counter := refusedRecords[r.Refusal.Reason]; counter != nil { // peers of later versions may know other reasons
			counter.Inc()
		}
		log.Warn("record_refused", "kind", r.Kind.String(), "name", r.Name, "revision", r.Revision, "reason", string(r.Refusal.Reason),
			"detail", r.Refusal.Detail)
	case r.Kind == directory.KindConfig:
		log.Info("config_in_force", "version", config.Version, "routes", len(config.Routes), "by_change", r.Change != nil, "revision", r.Revision)
	case r.Kind == directory.KindDomainOut:
		log.Info("failure_domain", "domain", r.Name, "out", !r.Removed, "revision", r.Revision)
	case r.Expired:
		log.Info("target_lapses", "target", r.Name, "revision", r.Revision)
	case r.Removed:
		log.Info("target_removed", "target", r.Name, "revision", r.Revision)
	case r.Target != nil:
		t := r.Target
		log.Info("target_changed", "target", r.Name, "service", t.Service, "address", t.Address.String(),
			"state", t.State.String(), "slots", t.Slots, "cold_left", t.ColdLeft, "revision", r.Revision)
	}
}
