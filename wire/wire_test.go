package wire_test

import (
	"bytes"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/wire"
)

func codec(t require.TestingT, ids ...uint8) *wire.Codec {
	var live []keys.Key
	for _, id := range ids {
		live = append(live, keys.Key{ID: id, Secret: [keys.SecretBytes]byte{id, 1, 2}})
	}
	ring, err := keys.NewRing(live...)
	require.NoError(t, err)
	return wire.NewCodec(ring)
}

func header(kind wire.Kind) wire.Header {
	return wire.Header{
		Kind: kind, Hops: 1, Service: 2, Revision: 1 << 40, Sender: netip.MustParseAddrPort("10.0.0.1:7400"),
		Caller: netip.MustParseAddrPort("192.0.2.7:5000"), Incarnation: 9, Sequence: 1 << 50,
	}
}

func packet(c *wire.Codec, h wire.Header, body []byte) []byte {
	return append(c.Append(nil, &h, body), body...)
}

// Guards against lost fields, a MAC that covers the wrong bytes, and truncated packets that are accepted.
func TestHeader(t *testing.T) {
	c := codec(t, 1)
	body := []byte("a body of some bytes")
	for kind := wire.Forward; kind < wire.NumKinds; kind++ {
		sent := header(kind)
		p := packet(c, sent, body)
		require.Len(t, p, wire.HeaderLenIPv4+len(body))
		var got wire.Header
		rest, err := c.Parse(p, &got)
		require.NoError(t, err)
		require.Equal(t, sent, got)
		require.Equal(t, body, rest)
		for n := range wire.HeaderLenIPv4 {
			_, err := c.Parse(p[:n], &got)
			require.Error(t, err, "truncated to %d bytes", n)
		}
		for i := range wire.HeaderLenIPv4 {
			bad := bytes.Clone(p)
			bad[i] ^= 1
			_, err := c.Parse(bad, &got)
			require.Error(t, err, "byte %d changed", i)
		}
		p[len(p)-1] ^= 1
		_, err = c.Parse(p, &got)
		require.Equal(t, kind.IsData(), err == nil, "the MAC must cover the body of control packets only")
	}
}

// Guards against caller addresses that the header cannot carry, and against a key rotation that drops packets.
func TestCallersAndKeys(t *testing.T) {
	for _, caller := range []netip.AddrPort{{}, netip.MustParseAddrPort("[2001:db8::1]:443")} {
		h := header(wire.Reply)
		h.Caller = caller
		var got wire.Header
		_, err := codec(t, 2, 1).Parse(packet(codec(t, 1), h, nil), &got)
		require.NoError(t, err)
		require.Equal(t, caller, got.Caller)
		_, err = codec(t, 2).Parse(packet(codec(t, 1), h, nil), &got)
		require.ErrorIs(t, err, wire.ErrUnknownKey)
	}
	var got wire.Header
	p := packet(codec(t, 1), header(wire.Probe), nil)
	p[0]++
	_, err := codec(t, 1).Parse(p, &got)
	require.ErrorIs(t, err, wire.ErrVersion)
}

// Guards against a parser that panics or accepts a header that the codec would not encode.
func FuzzParse(f *testing.F) {
	c := codec(f, 1)
	f.Add(packet(c, header(wire.Forward), []byte("datagram")))
	f.Add(packet(c, header(wire.Probe), nil))
	f.Add([]byte{wire.Version, 1, 1})
	f.Fuzz(func(t *testing.T, p []byte) {
		var h wire.Header
		body, err := c.Parse(p, &h)
		if err != nil {
			return
		}
		require.Equal(t, p, packet(c, h, body))
	})
}

func BenchmarkAppendParse(b *testing.B) {
	c := codec(b, 1)
	h := header(wire.Forward)
	body := make([]byte, 1200)
	buf := make([]byte, 0, wire.MaxPacket)
	b.ReportAllocs()
	for b.Loop() {
		p := append(c.Append(buf, &h, body), body...)
		if _, err := c.Parse(p, &h); err != nil {
			b.Fatal(err)
		}
	}
}
