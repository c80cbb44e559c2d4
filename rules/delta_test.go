package rules_test

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipward/cowslipward/rules"
)

// Guards against a delta that does not reproduce the new file, for any two files with common lines.
func TestDeltaReproducesFile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOf(rapid.SampledFrom([]string{"", "a", "b", "c", "d # x", "e"}))
		from := &rules.Set{Revision: 1, Text: strings.Join(lines.Draw(t, "from"), "\n")}
		to := &rules.Set{Revision: 2, Text: strings.Join(lines.Draw(t, "to"), "\n")}
		delta := rules.NewDelta(from, to)
		text, err := delta.Apply(from.Text)
		require.NoError(t, err)
		require.Equal(t, to.Text, text)
	})
}

// Guards against deltas whose size grows with the file: a change to one of 10,000 lines must be small on the
// wire.
func TestDeltaOfOneLineIsSmall(t *testing.T) {
	lines := make([]string, 10_000)
	for i := range lines {
		lines[i] = fmt.Sprintf("drain bench-%d # asked by operations", i)
		if i%7 == 0 {
			lines[i] = ""
		}
	}
	changed := slices.Clone(lines)
	changed[5000] = "drain bench-x # asked by operations"
	delta := rules.NewDelta(&rules.Set{Text: strings.Join(lines, "\n")}, &rules.Set{Text: strings.Join(changed, "\n")})
	require.Less(t, delta.Size(), 200)
}

// Guards against a panic or a wrong file if a delta is forged, truncated or applied to the wrong base.
func TestDeltaRejectsBadInput(t *testing.T) {
	base := "a\nb\nc"
	bad := []rules.Delta{
		{Edits: []rules.Edit{{From: 2, Count: 5}}},
		{Edits: []rules.Edit{{From: -1, Count: 1}}},
		{Edits: []rules.Edit{{From: 9, Count: 1}}},
		{Edits: []rules.Edit{{From: 0, Count: 3}}, Hash: 1},
		{Edits: []rules.Edit{{Lines: []string{strings.Repeat("x", rules.MaxFileBytes+2)}}}},
	}
	for i := range bad {
		_, err := bad[i].Apply(base)
		require.Error(t, err, "delta %d", i)
	}
}

// Guards against retained deltas that keep their source texts in memory: 64 deltas of a 500 KB file took 32 MB.
func TestDeltaDoesNotRetainText(t *testing.T) {
	base := strings.Repeat("drain bench-1 # asked by operations\n", 14_000)
	var deltas []rules.Delta
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range 64 {
		next := fmt.Sprintf("%sdrain other-%d # asked by operations\n", base, i)
		deltas = append(deltas, rules.NewDelta(&rules.Set{Text: base}, &rules.Set{Text: next}))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(1<<20))
	runtime.KeepAlive(deltas)
}
