package burn_test

import (
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/burn"
	"github.com/cowslipward/cowslipward/burn/report"
)

// fakeClock returns the time that the test has set.
type fakeClock struct{ now time.Time }

func (c *fakeClock) read() time.Time { return c.now }

func newRecorder() (*burn.Recorder[int], *fakeClock) {
	c := &fakeClock{now: time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)}
	return burn.NewRecorder[int](c.read), c
}

// Guards against outcomes that are still counted in a window after they have expired from it, or that are counted
// twice.
func TestOutcomesExpireFromWindows(t *testing.T) {
	r, c := newRecorder()
	for range 10 {
		r.Record(1, false)
	}
	r.Record(2, true)
	want := [4]uint64{10, 10, 10, 10}
	for i, window := range burn.Windows {
		s := r.Summary(1)
		for j := range want {
			require.Equal(t, want[j], s.Windows[j].Bad)
		}
		c.now = time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC).Add(window + 15*time.Second)
		want[i] = 0
	}
	require.Empty(t, r.Summary(1).Series)
	c.now = c.now.Add(48 * time.Hour)
	r.Record(1, true)
	require.Equal(t, uint64(1), r.Summary(1).Windows[3].Total())
}

// Guards against an alert on a loss that has ended or is too short to matter, and against a missing alert on a
// significant one.
func TestAlerts(t *testing.T) {
	counts := func(bad ...uint64) (w [4]burn.Counts) {
		for i := range w {
			w[i] = burn.Counts{Good: 100_000 - bad[i], Bad: bad[i]}
		}
		return w
	}
	cases := []struct {
		name string
		bad  []uint64 // of 100,000; 100 is burn rate 1 at 99.9%
		want burn.Alert
	}{
		{"no loss", []uint64{0, 0, 0, 0}, burn.AlertNone},
		{"fast", []uint64{1500, 1500, 1500, 250}, burn.AlertFast},
		{"fast but over", []uint64{0, 500, 1500, 250}, burn.AlertNone},
		{"fast but short", []uint64{5000, 900, 400, 80}, burn.AlertNone},
		{"slow", []uint64{700, 700, 700, 700}, burn.AlertSlow},
		{"slow but over", []uint64{0, 0, 900, 700}, burn.AlertNone},
	}
	for _, c := range cases {
		require.Equal(t, c.want, burn.Assess(99.9, counts(c.bad...)).Alert, c.name)
	}
	require.InDelta(t, 0.5, burn.Assess(99.9, counts(0, 0, 0, 50)).Left, 1e-9)
	require.Equal(t, 1.0, burn.Assess(99.9, [4]burn.Counts{}).Left)
}

// Guards against a fleet report that loses or duplicates the outcomes of a process, against one that does not list the
// processes that it could not reach, and against an HTML page that does not parse or contains an unescaped name.
func TestReportOfTwoProcesses(t *testing.T) {
	a, clockA := newRecorder()
	b, clockB := newRecorder()
	for minute := range 200 {
		clockA.now = clockA.now.Add(time.Minute)
		clockB.now = clockA.now.Add(20 * time.Second)
		a.Record(1, minute%7 != 0)
		b.Record(1, true)
	}
	clockB.now = clockA.now
	sum := a.Summary(1).Add(b.Summary(1))
	require.Equal(t, uint64(400), sum.Windows[3].Total())
	require.Len(t, sum.Series, 200)
	fleetReport := report.Report{
		Title:       "Ballyrath",
		At:          clockA.now,
		Services:    []report.Service{{Name: "<bench>", Objective: 99.9, Summary: sum}, {Name: "archive", Objective: 99}},
		Reached:     2,
		Unreachable: []string{"bench-3"},
	}
	var text, html strings.Builder
	require.NoError(t, fleetReport.WriteText(&text))
	require.Contains(t, text.String(), "2 processes reached, 1 not: bench-3")
	require.Contains(t, text.String(), "none, spent")
	require.NoError(t, fleetReport.WriteHTML(&html))
	require.NotContains(t, html.String(), "<bench>")
	require.NotContains(t, html.String(), "http")
	decoder := xml.NewDecoder(strings.NewReader(html.String()))
	decoder.Strict = false
	decoder.AutoClose = []string{"meta"}
	for {
		_, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return
		}
		require.NoError(t, err)
	}
}
