package agent

import "github.com/cowslipward/cowslipward/admission"

// PeerLoads returns the load that each agent of the service last reported, by VM name, for the admin service.
func (a *Agent) PeerLoads() map[string]admission.Snapshot {
	slots := 0
	if service := a.service(); service != nil {
		slots = service.Slots
	}
	loads := make(map[string]admission.Snapshot)
	for name, load := range a.pool.Loads() {
		loads[name] = admission.Snapshot{
			Slots:       slots,
			Limit:       int(load.Limit),
			InProgress:  int(load.InProgress),
			Queued:      int(load.Queued),
			Connections: int(load.Connections),
		}
	}
	return loads
}
