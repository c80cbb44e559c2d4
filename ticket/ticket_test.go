package ticket_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/ticket"
)

var control = netip.MustParseAddrPort("127.0.0.21:7401")

func newRing(t testing.TB, ids ...uint8) keys.Ring {
	t.Helper()
	live := make([]keys.Key, len(ids))
	for i, id := range ids {
		live[i] = keys.Key{ID: id, Secret: [keys.SecretBytes]byte{id, 1, 2}}
	}
	r, err := keys.NewRing(live...)
	require.NoError(t, err)
	return r
}

// Guards against tickets that become invalid during a key rotation, and against forged tickets.
func TestParseUnderTwoKeys(t *testing.T) {
	old, both, next := newRing(t, 1), newRing(t, 2, 1), newRing(t, 2)
	issuer := ticket.NewIssuer(ticket.Config{Control: control, Started: 9, Ring: func() keys.Ring { return old }})
	text := issuer.Issue()
	parsed, err := ticket.Parse(both, text)
	require.NoError(t, err)
	require.Equal(t, control, parsed.Control)
	require.Equal(t, uint64(9), parsed.Started)
	require.Equal(t, uint64(1), parsed.Sequence)
	_, err = ticket.Parse(next, text)
	require.ErrorIs(t, err, ticket.ErrForged)
	for i := range text {
		flipped := []byte(text)
		flipped[i] ^= 1
		_, err := ticket.Parse(both, string(flipped))
		require.Error(t, err)
	}
}

// Guards against a panic on arbitrary header values, and against more than one valid encoding of a ticket.
func FuzzParse(f *testing.F) {
	r := newRing(f, 1, 2)
	issuer := ticket.NewIssuer(ticket.Config{Control: control, Started: 9, Ring: func() keys.Ring { return r }})
	f.Add(issuer.Issue())
	f.Add("")
	f.Add("AAAA====")
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := ticket.Parse(r, text)
		if err == nil {
			require.Equal(t, text, parsed.Encode(r))
		}
	})
}
