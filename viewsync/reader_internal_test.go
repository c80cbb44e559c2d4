package viewsync

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// After a power loss or a network partition, two processes may act as reader for a while. Confirmation
// requests must go to the one that remains the reader, which has the lowest address, whichever sent the last
// update.
func TestConfirmationsGoToLowestReader(t *testing.T) {
	lowest := netip.MustParseAddrPort("10.0.0.1:1")
	other := netip.MustParseAddrPort("10.0.0.2:1")
	s := &Syncer{readerTimeout: readerTimeout}
	s.updateReader(other, 0, time.Second)
	require.Equal(t, other, s.reader)
	s.updateReader(lowest, 0, time.Second)
	s.updateReader(other, 0, time.Second+100*time.Millisecond)
	require.Equal(t, lowest, s.reader)
	s.updateReader(other, 0, time.Second+readerTimeout)
	require.Equal(t, other, s.reader, "updates from the lowest reader have stopped")
}
