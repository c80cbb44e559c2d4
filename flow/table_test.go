package flow_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/flow"
)

// Load: 20,000 random operations on 40 flows in a table of 30 entries. Guards against an inspection that keeps a flow in
// the table, drops one, or sees another state than the next packet.
func TestPeekReturnsWhatGetWouldAndChangesNothing(t *testing.T) {
	peeked, plain := flow.NewTable[int](time.Second, 30), flow.NewTable[int](time.Second, 30)
	random, now, found := rand.New(rand.NewPCG(1, 2)), time.Duration(0), 0
	for n := range 20_000 {
		now += time.Duration(random.IntN(100)) * time.Millisecond
		key := flow.Key{Caller: flow.Endpoint{Port: uint16(random.IntN(40))}}
		value, ok := peeked.Peek(key, now)
		if random.IntN(3) == 0 {
			peeked.Put(key, n, now)
			plain.Put(key, n, now)
			continue
		}
		if random.IntN(2) == 0 {
			continue // without a use
		}
		want, wantOK := plain.Get(key, now)
		require.Equal(t, wantOK, ok)
		require.Equal(t, want, value)
		peeked.Get(key, now)
		require.Equal(t, plain.Len(), peeked.Len())
		if ok {
			found++
		}
	}
	require.Positive(t, found)
}
