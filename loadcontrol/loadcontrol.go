// Package loadcontrol defines which services are under load control: admission that sheds overload, and placement by
// the learned capacity of targets.
package loadcontrol

import "slices"

// MaxSlotsAll is the value of Settings.MaxSlots that selects all services.
const MaxSlotsAll = 255

// Settings holds the settings of load control. The zero value is off.
type Settings struct {
	// MaxSlots selects the services to which the other fields apply: those whose targets have at most this many slots.
	// 0 switches load control off; MaxSlotsAll selects all services. With few slots, the number of requests in progress
	// says little about the speed of a target.
	MaxSlots        int      `json:"max_slots"`
	Services        []string `json:"services"`         // names of services to which it applies; empty: all
	ShedOverload    bool     `json:"shed_overload"`    // refuse flows that could not be answered in time
	LearnedCapacity bool     `json:"learned_capacity"` // place flows by the learned speed and limit of each target
	MinWeight       float64  `json:"min_weight"`       // lower bound of the speed of a target relative to its service
	MaxWeight       float64  `json:"max_weight"`       // upper bound of it
}

// Sheds reports whether overload of a service whose targets have the number of slots is shed.
func (s *Settings) Sheds(service string, slots int) bool {
	return s.ShedOverload && s.appliesTo(service, slots)
}

// Learns reports whether the capacity of the targets of a service, which have the number of slots, is learned.
func (s *Settings) Learns(service string, slots int) bool {
	return s.LearnedCapacity && s.appliesTo(service, slots)
}

func (s *Settings) appliesTo(service string, slots int) bool {
	if s.MaxSlots == 0 || (slots > s.MaxSlots && s.MaxSlots < MaxSlotsAll) {
		return false
	}
	return len(s.Services) == 0 || slices.Contains(s.Services, service)
}
