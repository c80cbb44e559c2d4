package placement

import (
	"slices"

	"github.com/cowslipward/cowslipward/directory"
)

// TargetKey is the short form in which a flow remembers the targets that refused it.
func TargetKey(t *directory.Target) uint64 { return rank(t, 0) }

func wasTried(tried []uint64, t *directory.Target) bool {
	return slices.Contains(tried, TargetKey(t))
}
