package targetgate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// commonBudget is the budget of most requests in these tests.
const commonBudget = 4 * time.Second

func TestAgeIsDifferenceToTypicalBudget(t *testing.T) {
	var b typicalBudget
	for range 10 {
		b.observe(commonBudget)
	}
	require.Zero(t, b.age(commonBudget))
	require.Equal(t, 1400*time.Millisecond, b.age(commonBudget-1400*time.Millisecond))
	require.Zero(t, b.age(commonBudget+10*time.Millisecond))
}

// A process that starts after a power failure sees retries first, and as many of them as of other requests.
func TestTypicalBudgetIsFoundAmongRetries(t *testing.T) {
	var b typicalBudget
	wrong := 0
	for i := range 200 {
		b.observe(commonBudget - time.Duration(600+37*(i%50))*time.Millisecond)
		b.observe(commonBudget)
		if b.value != commonBudget {
			wrong++
		}
	}
	require.LessOrEqual(t, wrong, 2)
}

// A few callers that allow far more time than others must not make all others look late.
func TestUnusualBudgetsDoNotChangeTypicalBudget(t *testing.T) {
	var b typicalBudget
	for range 100 {
		b.observe(commonBudget)
	}
	wrong := 0
	for i := range 1000 {
		left := commonBudget
		if i%25 == 0 {
			left = 3 * commonBudget
		}
		b.observe(left)
		if b.value != commonBudget {
			wrong++
		}
	}
	require.Zero(t, wrong)
}

func TestTypicalBudgetFollowsChange(t *testing.T) {
	var b typicalBudget
	for range 1000 {
		b.observe(commonBudget)
	}
	for range 2 * maxVotes {
		b.observe(commonBudget / 2)
	}
	require.Zero(t, b.age(commonBudget/2))
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
