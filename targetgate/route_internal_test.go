package targetgate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const usual = 4 * time.Second

func TestAgeOfARequestIsWhatItsCallerLacksToTheUsualTime(t *testing.T) {
	var u usualBudget
	for range 10 {
		u.note(usual)
	}
	require.Zero(t, u.age(usual))
	require.Equal(t, 1400*time.Millisecond, u.age(usual-1400*time.Millisecond))
	require.Zero(t, u.age(usual+10*time.Millisecond))
}

// Pattern: a process that starts after a loss of power sees requests that are asked again first, and as many of them as
// of others.
func TestUsualTimeIsFoundAmongRequestsAskedAgain(t *testing.T) {
	var u usualBudget
	wrong := 0
	for i := range 200 {
		u.note(usual - time.Duration(600+37*(i%50))*time.Millisecond)
		u.note(usual)
		if u.value != usual {
			wrong++
		}
	}
	require.LessOrEqual(t, wrong, 2)
}

// A few callers with far more time than others do not make all others look late.
func TestUnusualCallersDoNotChangeTheUsualTime(t *testing.T) {
	var u usualBudget
	for range 100 {
		u.note(usual)
	}
	wrong := 0
	for i := range 1000 {
		left := usual
		if i%25 == 0 {
			left = 3 * usual
		}
		u.note(left)
		if u.value != usual {
			wrong++
		}
	}
	require.Zero(t, wrong)
}

func TestUsualTimeFollowsAChange(t *testing.T) {
	var u usualBudget
	for range 1000 {
		u.note(usual)
	}
	for range 2 * maxVotes {
		u.note(usual / 2)
	}
	require.Zero(t, u.age(usual/2))
}

func TestRoutesAreBounded(t *testing.T) {
	g := New()
	for i := range 10 * maxRoutes {
		o := Offer{Slots: 1, Priority: 1, LatencyObjective: time.Second}
		o.Key.Service.Port = uint16(i + 1)
		g.Offer(&o, time.Second)
	}
	require.LessOrEqual(t, len(g.routes), maxRoutes)
}
