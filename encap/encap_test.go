package encap_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipward/cowslipward/encap"
)

func drawHeader(t *rapid.T) encap.Header {
	kinds := []encap.Kind{encap.KindForward, encap.KindReturn, encap.KindFound, encap.KindProbe}
	h := encap.Header{
		Kind:            rapid.SampledFrom(kinds).Draw(t, "kind"),
		Reason:          encap.Reason(rapid.Byte().Draw(t, "reason")),
		MayWait:         rapid.Bool().Draw(t, "may wait"),
		Search:          rapid.Bool().Draw(t, "search"),
		Silent:          rapid.Bool().Draw(t, "silent"),
		Attempt:         rapid.Byte().Draw(t, "attempt"),
		Slots:           rapid.Byte().Draw(t, "slots"),
		Priority:        rapid.Byte().Draw(t, "priority"),
		Load:            rapid.Byte().Draw(t, "load"),
		Waiting:         rapid.Byte().Draw(t, "waiting"),
		FailedPercent:   rapid.Byte().Draw(t, "failed percent"),
		ColdRate:        rapid.Uint16().Draw(t, "cold rate"),
		HoldMillis:      rapid.Uint16().Draw(t, "hold time"),
		ObjectiveMillis: rapid.Uint16().Draw(t, "objective"),
		Service:         rapid.Uint32().Draw(t, "service"),
		Origin:          [4]byte{10, 0, 0, rapid.Byte().Draw(t, "origin")},
		Round:           rapid.Byte().Draw(t, "round"),
	}
	for range rapid.IntRange(0, encap.MaxPathLen).Draw(t, "path") {
		h.Path.Add([4]byte{10, 0, 1, rapid.Byte().Draw(t, "ip")})
	}
	return h
}

func TestHeaderRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHeader(t)
		packet := rapid.SliceOf(rapid.Byte()).Draw(t, "packet")
		got, rest, err := encap.Decode(append(h.Append(nil), packet...))
		require.NoError(t, err)
		require.Equal(t, h, got)
		require.Equal(t, len(packet), len(rest))
	})
}

func TestReportRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := encap.Header{
			Kind: encap.KindReport, Load: rapid.Byte().Draw(t, "load"), Waiting: rapid.Byte().Draw(t, "waiting"),
			Silent: rapid.Bool().Draw(t, "silent"), FailedPercent: rapid.SampledFrom([]uint8{0, 40}).Draw(t, "failed percent"),
		}
		encoded := h.Append(nil)
		if h.FailedPercent == 0 {
			require.Len(t, encoded, encap.ReportBytes)
		}
		got, rest, err := encap.Decode(encoded)
		require.NoError(t, err)
		require.Empty(t, rest)
		h.Waiting = min(h.Waiting, 127)
		require.Equal(t, h, got)
		_, _, err = encap.Decode(encoded[:encap.ReportBytes-1])
		require.ErrorIs(t, err, encap.ErrShort)
	})
}

func TestDecodeRejectsInvalidDatagrams(t *testing.T) {
	h := encap.Header{Kind: encap.KindForward}
	encoded := h.Append(nil)
	_, _, err := encap.Decode(encoded[:encap.HeaderBytes-1])
	require.ErrorIs(t, err, encap.ErrShort)
	otherVersion := append([]byte{}, encoded...)
	otherVersion[1]++ // another version of the format
	_, _, err = encap.Decode(otherVersion)
	require.ErrorIs(t, err, encap.ErrUnknownFormat)
	path := append([]byte{}, encoded...)
	path[23] = 3
	_, _, err = encap.Decode(path)
	require.ErrorIs(t, err, encap.ErrShortPath)
	path[23] = 255
	_, _, err = encap.Decode(append(path, make([]byte, 2000)...))
	require.ErrorIs(t, err, encap.ErrShortPath)
}

func TestPathNextReturnsVMsInOrder(t *testing.T) {
	var p encap.Path
	p.Add([4]byte{1})
	p.Add([4]byte{2})
	first, ok := p.Next()
	require.True(t, ok)
	second, _ := p.Next()
	_, more := p.Next()
	require.Equal(t, [][4]byte{{1}, {2}}, [][4]byte{first, second})
	require.False(t, more)
}

func TestTenthsNeverRoundsALimitToZero(t *testing.T) {
	require.Equal(t, uint16(0), encap.Tenths(0))
	require.Equal(t, uint16(1), encap.Tenths(0.01), "zero would mean no limit")
	require.Equal(t, uint16(45), encap.Tenths(4.5))
	require.Equal(t, uint16(65535), encap.Tenths(1e9))
}

func FuzzDecode(f *testing.F) {
	h := encap.Header{Kind: encap.KindForward}
	h.Path.Add([4]byte{10, 0, 0, 1})
	f.Add(h.Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, rest, err := encap.Decode(b)
		if err == nil {
			require.Equal(t, len(b), len(h.Append(nil))+len(rest))
		}
	})
}

// Guards against reports that balancers of versions without Capacity cannot read, or that lose a field.
func TestReportWithCapacity(t *testing.T) {
	h := encap.Header{Kind: encap.KindReport, Load: 2, Waiting: 3, Silent: true}
	h.Capacity = encap.Capacity{WaitCode: 40, Limit: 2, RouteTag: 9, DurationCode: 118}
	encoded := h.Append(nil)
	require.Len(t, encoded, encap.ReportBytes+5)
	decoded, rest, err := encap.Decode(encoded)
	require.NoError(t, err)
	require.Empty(t, rest)
	require.Equal(t, h, decoded)
	require.Zero(t, encoded[encap.ReportBytes], "the share of failures precedes the capacity, also if it is 0")

	decoded, _, err = encap.Decode(encoded[:len(encoded)-1])
	require.NoError(t, err)
	require.Zero(t, decoded.Capacity, "an incomplete capacity is not used")
}

// Guards against durations and waits that change by more than their resolution on the way.
func TestCodesOfTimes(t *testing.T) {
	for _, d := range []time.Duration{time.Millisecond, 13 * time.Millisecond, 300 * time.Millisecond, 9 * time.Second} {
		require.InEpsilon(t, float64(d), float64(encap.Duration(encap.DurationCode(d))), 0.03, d)
	}
	require.Zero(t, encap.DurationCode(0))
	require.Zero(t, encap.Duration(0))
	require.EqualValues(t, 255, encap.DurationCode(time.Hour))
	require.EqualValues(t, 1, encap.DurationCode(time.Nanosecond))
	require.Equal(t, 120*time.Millisecond, encap.Wait(encap.WaitCode(123*time.Millisecond)))
	require.EqualValues(t, 255, encap.WaitCode(time.Minute))
	require.Zero(t, encap.WaitCode(-time.Second))
}
