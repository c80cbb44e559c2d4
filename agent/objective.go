package agent

import "github.com/cowslipward/cowslipward/rules"

// excludedReasons are the reasons of refusals that are part of the protocol or of a planned change. The caller
// library retries such requests, so they do not count against the objective of the service.
var excludedReasons = map[string]bool{
	reasonTicketRequired: true,
	reasonDraining:       true,
	reasonDomainOut:      true,
}

// recordOutcome counts a caller's request for or against the objective of the service.
func (a *Agent) recordOutcome(service rules.ServiceID, o outcome) {
	if a.config.RecordOutcome == nil || (o.refused != nil && excludedReasons[o.refused.reason]) {
		return
	}
	a.config.RecordOutcome(service, o.refused == nil && !o.truncated)
}
