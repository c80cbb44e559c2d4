package placement

import (
	"slices"

	"github.com/cowslipward/cowslipward/directory"
)

// TargetKey returns the compact key by which a flow records the targets that refused it.
func TargetKey(t *directory.Target) uint64 { return rendezvousHash(t, 0) }

func isTried(tried []uint64, t *directory.Target) bool {
	return slices.Contains(tried, TargetKey(t))
}
