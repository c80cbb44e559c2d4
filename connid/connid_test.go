package connid_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipward/cowslipward/connid"
	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/rules"
)

func key(id uint8, fill byte) keys.Key {
	k := keys.Key{ID: id}
	for i := range k.Secret {
		k.Secret[i] = fill
	}
	return k
}

func codec(t require.TestingT, live ...keys.Key) *connid.Codec {
	ring, err := keys.NewRing(live...)
	require.NoError(t, err)
	c, err := connid.NewCodec(ring)
	require.NoError(t, err)
	return c
}

// Guards against a field that is lost or mixed up with another, and against IDs that become invalid while their key is
// still in the ring.
func TestRoundTripAndRotation(t *testing.T) {
	old := codec(t, key(1, 1))
	both := codec(t, key(2, 2), key(1, 1))
	fresh := codec(t, key(2, 2))
	rapid.Check(t, func(t *rapid.T) {
		id := connid.ID{
			Agent:       netip.AddrPortFrom(netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip"))), rapid.Uint16().Draw(t, "port")),
			Service:     rules.ServiceID(rapid.Uint16().Draw(t, "service")),
			Domain:      rules.DomainID(rapid.Uint8().Draw(t, "domain")),
			Incarnation: rapid.Uint16().Draw(t, "incarnation"),
			Counter:     rapid.Uint32Max(connid.MaxCounter).Draw(t, "counter"),
		}
		var buf [connid.Len]byte
		old.Encode(buf[:], id)
		got, ok := both.Decode(buf[:])
		require.True(t, ok)
		require.Equal(t, id, got)
		_, ok = fresh.Decode(buf[:])
		require.False(t, ok, "an ID of a key that is no longer in the ring must not decode")
	})
}

// Guards against forwarding packets to addresses that cannot belong to an agent.
func TestPlausible(t *testing.T) {
	for address, want := range map[string]bool{
		"10.1.2.3:7400": true, "127.0.0.1:1": true, "0.0.0.0:7400": false, "224.0.0.1:7400": false,
		"255.255.255.255:7400": false, "10.1.2.3:0": false, "[::1]:7400": false,
	} {
		id := connid.ID{Agent: netip.MustParseAddrPort(address), Service: 1, Domain: 1}
		require.Equal(t, want, id.Plausible(), address)
		id.Domain = 0
		require.False(t, id.Plausible(), address)
	}
}

// Guards against a decoder that panics or accepts an altered ID as that of another agent.
func FuzzDecode(f *testing.F) {
	c := codec(f, key(1, 1))
	var buf [connid.Len]byte
	c.Encode(buf[:], connid.ID{Agent: netip.MustParseAddrPort("10.1.2.3:7400"), Service: 1, Domain: 1})
	f.Add(buf[:])
	f.Add([]byte{})
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, b []byte) {
		id, ok := c.Decode(b)
		if !ok {
			return
		}
		var encoded [connid.Len]byte
		c.Encode(encoded[:], id)
		require.Equal(t, b[:connid.Len], encoded[:], "a decoded ID must encode to the same bytes")
	})
}

func BenchmarkDecode(b *testing.B) {
	c := codec(b, key(1, 1))
	var buf [connid.Len]byte
	c.Encode(buf[:], connid.ID{Agent: netip.MustParseAddrPort("10.1.2.3:7400"), Service: 1, Domain: 1})
	b.ReportAllocs()
	for b.Loop() {
		c.Decode(buf[:])
	}
}
