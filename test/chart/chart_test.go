package chart_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/test/chart"
)

func TestPageHoldsAllChartsItself(t *testing.T) {
	page := chart.Page{
		Title:  "Run <1>",
		Result: "RESULT ok=1",
		Events: []string{"1.00s fault kill entry-1"},
		Charts: []chart.Chart{
			{Title: "Open flows", Y: "flows", Legend: true, Series: []chart.Series{
				{Name: "entry-1", Points: []chart.Point{{At: 0, Value: 1}, {At: time.Second, Value: 40}}},
				{Name: "entry-2"},
			}, Spans: []chart.Span{{From: time.Second, To: 2 * time.Second}}},
			{Title: "Without values"},
		},
	}
	var out bytes.Buffer
	require.NoError(t, page.Write(&out))
	text := out.String()
	require.Equal(t, 2, strings.Count(text, "<svg"))
	require.Contains(t, text, "Run &lt;1&gt;")
	require.Contains(t, text, "fault kill entry-1")
	require.NotContains(t, text, "<?xml")
	require.NotContains(t, text, "src=")
	require.NotContains(t, text, "href=")
}
