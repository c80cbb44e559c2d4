package viewsync

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Pattern: two processes read the store for a while, after a loss of power or a cut. Confirmations are asked of the one that
// goes on, the lowest, whichever was heard last.
func TestLowestReaderIsAsked(t *testing.T) {
	lowest := netip.MustParseAddrPort("10.0.0.1:1")
	other := netip.MustParseAddrPort("10.0.0.2:1")
	s := &Syncer{patience: patience}
	s.noteReader(other, time.Second)
	require.Equal(t, other, s.reader)
	s.noteReader(lowest, time.Second)
	s.noteReader(other, time.Second+100*time.Millisecond)
	require.Equal(t, lowest, s.reader)
	s.noteReader(other, time.Second+patience)
	require.Equal(t, other, s.reader, "the lowest one is not heard any more")
}
