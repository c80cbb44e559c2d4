package settings

import (
	"slices"

	"github.com/cowslipward/cowslipward/loadcontrol"
)

// Bounds of the weights of load control.
const (
	lowestMinWeight  = 0.05
	highestMaxWeight = 20
)

func loadControlDefaults() loadcontrol.Settings {
	return loadcontrol.Settings{ShedOverload: true, LearnedCapacity: true, MinWeight: 0.2, MaxWeight: 2}
}

func validateLoadControl(s *loadcontrol.Settings, c *checker) {
	slotsInRange := s.MaxSlots >= 0 && s.MaxSlots <= loadcontrol.MaxSlotsAll
	c.require(slotsInRange, "load_control.max_slots", "a number of slots from 0 (off) to 255 (all)")
	c.require(!slices.Contains(s.Services, ""), "load_control.services", "names of services")
	minInRange := s.MinWeight >= lowestMinWeight && s.MinWeight <= 1
	c.require(minInRange, "load_control.min_weight", "a number from 0.05 to 1")
	maxInRange := s.MaxWeight >= 1 && s.MaxWeight <= highestMaxWeight
	c.require(maxInRange, "load_control.max_weight", "a number from 1 to 20")
}
