package decay_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/internal/decay"
)

func TestValueHalvesWithEachHalfLife(t *testing.T) {
	var v decay.Value
	require.Zero(t, v.At(time.Hour, time.Second), "the zero Value stays zero")
	v.Set(0.8, 10*time.Second)
	require.InDelta(t, 0.8, v.At(10*time.Second, time.Second), 1e-9)
	require.InDelta(t, 0.4, v.At(11*time.Second, time.Second), 1e-9)
	require.InDelta(t, 0.1, v.At(13*time.Second, time.Second), 1e-9)
}
