package load

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
)

// maxReasons bounds the reasons that a report names.
const maxReasons = 10

// phases are the parts of a run in their order.
var phases = []Phase{Opening, Before, During, After}

// writeSummary prints a table of the phases and the most frequent reasons for requests that were not answered.
func writeSummary(out io.Writer, r *Recorder) {
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "phase\trequests\tanswered\tnot run\tunknown\tgiven up\tlate\tin time %\tp50 ms\tp99 ms\tp99.9 ms\t")
	for _, phase := range phases {
		s := r.Summary(phase)
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.1f\t%.1f\t%.1f\t\n", phase, s.Total(),
			s.Outcomes[Answered], s.Outcomes[NotRun], s.Outcomes[Unknown], s.Outcomes[GivenUp], s.Late, s.InTime()*100,
			millis(s, 50), millis(s, 99), millis(s, 99.9))
	}
	_ = table.Flush()
	for _, phase := range phases {
		for _, line := range r.Summary(phase).TopReasons() {
			_, _ = fmt.Fprintf(out, "%s: %s\n", phase, line)
		}
	}
}

// TopReasons returns the most frequent reasons why requests were not answered.
func (s *Summary) TopReasons() []string {
	reasons := s.Reasons
	names := sortedKeys(reasons)
	sort.SliceStable(names, func(i, j int) bool { return reasons[names[i]] > reasons[names[j]] })
	var lines []string
	for _, name := range names[:min(len(names), maxReasons)] {
		lines = append(lines, fmt.Sprintf("%d x %s", reasons[name], name))
	}
	return lines
}
