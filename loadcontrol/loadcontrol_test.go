package loadcontrol_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/loadcontrol"
)

// Guards against load control that reaches services which were to be served as before.
func TestLoadControlAppliesToSelectedServices(t *testing.T) {
	s := loadcontrol.Settings{ShedOverload: true}
	require.False(t, s.Sheds("bench", 1), "off by default")
	s.MaxSlots = 2
	require.True(t, s.Sheds("bench", 2))
	require.False(t, s.Learns("bench", 2), "each part has its own switch")
	require.False(t, s.Sheds("bench", 3))
	s.Services = []string{"archive"}
	require.False(t, s.Sheds("bench", 2))
	s.MaxSlots = loadcontrol.MaxSlotsAll
	require.True(t, s.Sheds("archive", 1000))
}
