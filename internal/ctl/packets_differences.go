package ctl

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cowslipward/cowslipward/packetstatus"
)

// missing is the value of a figure that a balancer does not have.
const missing = "-"

// difference is a figure that balancers do not agree on, with its value at each of them.
type difference struct {
	Target string   `json:"target,omitempty"` // empty: the figure does not belong to one target
	Figure string   `json:"figure"`
	Values []string `json:"values"` // in the order of the balancers
}

// figureKey identifies a figure of an explanation.
type figureKey struct{ target, figure string }

// figures are the values by which a balancer decides, as text. Ages are not among them, because they always differ.
type figures struct {
	order  []figureKey
	values map[figureKey]string
}

func (f *figures) add(target, figure string, value any) {
	key := figureKey{target, figure}
	f.order = append(f.order, key)
	f.values[key] = fmt.Sprint(value)
}

// differences returns the figures that differ between the balancers, rounded as printed.
func differences(balancers []addressedExplanation) []difference {
	var all []figures
	var order []figureKey
	seen := map[figureKey]bool{}
	for i := range balancers {
		f := figuresOf(&balancers[i].Explanation)
		all = append(all, f)
		for _, key := range f.order {
			if !seen[key] {
				seen[key] = true
				order = append(order, key)
			}
		}
	}
	list := []difference{}
	for _, key := range order {
		d := difference{Target: key.target, Figure: key.figure}
		for _, f := range all {
			d.Values = append(d.Values, f.valueOf(key))
		}
		if len(slices.Compact(slices.Clone(d.Values))) > 1 {
			list = append(list, d)
		}
	}
	return list
}

func (f *figures) valueOf(key figureKey) string {
	if value, ok := f.values[key]; ok {
		return value
	}
	return missing
}

func figuresOf(e *packetstatus.Explanation) figures {
	f := figures{values: make(map[figureKey]string)}
	f.add("", "failure domain", e.Domain)
	f.add("", "configuration", e.Version)
	f.add("", "revision", revision(e))
	f.add("", "route", orNone(e.Route))
	f.add("", "service", orNone(e.Service))
	f.add("", "known target", orNone(e.KnownTarget))
	f.add("", "first offer", orNone(e.Choice))
	f.add("", "outcome", e.Outcome)
	if a := e.Admission; a != nil {
		f.add("", "no early refusal", orNone(a.Unknown))
		f.add("", "eligible targets", a.Eligible)
		f.add("", "full targets", a.Full)
		f.add("", "overloaded targets", a.Said)
		f.add("", "direct offers", a.Direct)
		f.add("", "overloaded", a.Overloaded)
		f.add("", "lasting shortage", a.Lasting)
	}
	for i := range e.Candidates {
		f.addCandidate(&e.Candidates[i])
	}
	return f
}

func (f *figures) addCandidate(t *packetstatus.Candidate) {
	f.add(t.ID, "state", t.State)
	f.add(t.ID, "new flows", t.Eligible)
	f.add(t.ID, "reason", orNone(t.Reason))
	if t.Cost == nil {
		return
	}
	f.add(t.ID, "passed over", t.PassedOver)
	f.add(t.ID, "cost", costText(t))
	for _, p := range t.Parts {
		f.add(t.ID, "cost: "+p.Name, fmt.Sprintf("%.2f", p.Value))
	}
	f.add(t.ID, "learned capacity", strings.ReplaceAll(capacityColumns(&t.Target), "\t", ", "))
}

func printDifferences(w io.Writer, all *explanations) {
	if len(all.Differences) == 0 {
		fmt.Fprintf(w, "the %d balancers do not differ\n", len(all.Balancers))
		return
	}
	header := []string{"DIFFERS", "TARGET"}
	for i := range all.Balancers {
		header = append(header, all.Balancers[i].name())
	}
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, d := range all.Differences {
		row := append([]string{d.Figure, orMissing(d.Target)}, d.Values...)
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
}

func orMissing(text string) string {
	if text == "" {
		return missing
	}
	return text
}
