package child_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/test/child"
)

// Guards against a paused child that ends by SIGHUP: the kernel sends it to a group with a stopped process when the shell
// that led the group ends.
func TestChildLeadsAProcessGroupOfItsOwn(t *testing.T) {
	p, err := child.Start(t.TempDir(), "sleeper", "sleep", "60")
	require.NoError(t, err)
	defer p.Kill()
	group, err := syscall.Getpgid(p.ID())
	require.NoError(t, err)
	require.Equal(t, p.ID(), group)
	require.NotEqual(t, syscall.Getpgrp(), group)
	require.False(t, p.HasEnded())
	require.Error(t, p.Await(time.Millisecond))
}
