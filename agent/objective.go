package agent

import "github.com/cowslipward/cowslipward/rules"

// plannedReasons are refusals that belong to the protocol or to a planned change. The caller library sends such requests
// again, so that they do not count against the objective of the service.
var plannedReasons = map[string]bool{
	reasonNoTicket:  true,
	reasonDraining:  true,
	reasonDomainOut: true,
}

// recordOutcome counts a caller's request for or against the objective of the service.
func (a *Agent) recordOutcome(service rules.ServiceID, o outcome) {
	if a.config.RecordOutcome == nil || (o.refused != nil && plannedReasons[o.refused.reason]) {
		return
	}
	a.config.RecordOutcome(service, o.refused == nil && !o.cut)
}
