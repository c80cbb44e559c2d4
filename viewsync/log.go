package viewsync

import (
	"log/slog"

	"github.com/cowslipward/cowslipward/directory"
)

// logRecord writes one line for a change of what the process believes. The configuration is the one in force since.
func logRecord(log *slog.Logger, r *directory.Record, config *directory.Config) {
	switch {
	case r.DecodeError != "":
		log.Warn("record_unreadable", "name", r.Name, "revision", r.Revision, "error", r.DecodeError)
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
