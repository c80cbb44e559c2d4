package ctl

import (
	"fmt"
	"io"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/cowslipward/cowslipward/packetstatus"
)

// addressedExplanation is the explanation of the balancer at an address.
type addressedExplanation struct {
	Address string `json:"address"`
	packetstatus.Explanation
}

// explanations are those of several balancers, and where they differ.
type explanations struct {
	Balancers   []addressedExplanation `json:"balancers"`
	Differences []difference           `json:"differences"`
}

func newPacketsExplain() *cobra.Command {
	var out output
	var balancers []string
	command := &cobra.Command{
		Use:   "explain [ADDRESS] CALLER SERVICE",
		Short: "Show where balancers send the flow from CALLER to SERVICE, both IP:PORT, and why",
		Long: "Show where balancers send the flow from CALLER to SERVICE, both IP:PORT, and why. Nothing is sent to targets, and " +
			"the balancers' later decisions do not change. With --balancer, the differences between the balancers are listed.",
		Args: cobra.RangeArgs(2, 3),
		RunE: withExitCode(func(c *cobra.Command, args []string) error {
			if err := out.validate(); err != nil {
				return err
			}
			addresses := append(args[:len(args)-2:len(args)-2], balancers...)
			if len(addresses) == 0 {
				return usageError("want ADDRESS or --balancer")
			}
			query := url.Values{"caller": {args[len(args)-2]}, "service": {args[len(args)-1]}}
			if len(balancers) == 0 {
				return explainOne(c, &out, addresses[0], query)
			}
			return explainSeveral(c, &out, addresses, query)
		}),
	}
	out.addFlags(command)
	command.Flags().StringArrayVar(&balancers, "balancer", nil,
		"ask the balancer at this address too; may be repeated, and ADDRESS may then be omitted")
	return command
}

func explainOne(c *cobra.Command, out *output, address string, query url.Values) error {
	e := addressedExplanation{Address: address}
	if err := fetchJSON(c.Context(), address, packetstatus.ExplainPath, query, &e.Explanation); err != nil {
		return err
	}
	return out.print(c.OutOrStdout(), e.Explanation, func(w io.Writer) { printExplanation(w, &e) })
}

func explainSeveral(c *cobra.Command, out *output, addresses []string, query url.Values) error {
	var all explanations
	for _, address := range addresses {
		e := addressedExplanation{Address: address}
		if err := fetchJSON(c.Context(), address, packetstatus.ExplainPath, query, &e.Explanation); err != nil {
			c.PrintErrln(err)
			continue
		}
		all.Balancers = append(all.Balancers, e)
	}
	all.Differences = differences(all.Balancers)
	if err := out.print(c.OutOrStdout(), all, func(w io.Writer) { printExplanations(w, &all) }); err != nil {
		return err
	}
	if unreachable := len(addresses) - len(all.Balancers); unreachable > 0 {
		return partialError("%d of %d balancers did not answer", unreachable, len(addresses))
	}
	return nil
}

func printExplanations(w io.Writer, all *explanations) {
	for i := range all.Balancers {
		printExplanation(w, &all.Balancers[i])
		fmt.Fprintln(w)
	}
	printDifferences(w, all)
}

func printExplanation(w io.Writer, e *addressedExplanation) {
	fmt.Fprintf(w, "balancer %s, failure domain %s: configuration %d, revision %s, view confirmed %s ago\n", e.name(),
		orNone(e.Domain), e.Version, revision(&e.Explanation), milliseconds(e.ViewAgeMS))
	if e.Route == "" {
		fmt.Fprintln(w, "no route has this address")
		return
	}
	fmt.Fprintf(w, "route %s, service %s%s\n", e.Route, e.Service, choiceReason(&e.Explanation))
	if e.Admission != nil {
		fmt.Fprintf(w, "admission: %s\n", admissionText(e.Admission))
	}
	known := orNone(e.KnownTarget)
	if e.Opening {
		known += " (not open yet)"
	}
	fmt.Fprintf(w, "known target of the flow: %s\n", known)
	fmt.Fprintf(w, "first offer of a new flow: %s%s\n\n", orNone(e.Choice), outcomeText(e.Outcome))
	printCandidates(w, e.Candidates)
	fmt.Fprintln(w)
	printParts(w, e.Candidates)
}

func (e *addressedExplanation) name() string {
	if e.Balancer == "" {
		return e.Address
	}
	return e.Balancer + " (" + e.Address + ")"
}

func revision(e *packetstatus.Explanation) string {
	return fmt.Sprintf("%d of era %d", e.Revision, e.StoreEra)
}

// choiceReason describes why a flow gets its service: by its hash and the weights of the services.
func choiceReason(e *packetstatus.Explanation) string {
	switch len(e.Choices) {
	case 0:
		return ""
	case 1:
		return ": the only one of the route"
	}
	var ranges []string
	for _, c := range e.Choices {
		ranges = append(ranges, fmt.Sprintf("%s has weight %d, from %d to below %d", c.Service, c.To-c.From, c.From, c.To))
	}
	return fmt.Sprintf(": the hash of the flow is at %d; %s", e.HashPoint, strings.Join(ranges, "; "))
}

func admissionText(a *packetstatus.Admission) string {
	text := fmt.Sprintf("priority %d, objective %s, %d eligible targets; ", a.Priority, milliseconds(a.ObjectiveMS), a.Eligible)
	if a.Unknown != "" {
		return text + "no early refusal: " + a.Unknown
	}
	text += fmt.Sprintf("%d said that they are full, %d that they are overloaded", a.Full, a.Said)
	if a.Direct {
		text += "; new flows go directly to the target with the shortest wait"
	}
	if a.Overloaded {
		text += fmt.Sprintf("; overloaded for %s: flows that all targets asked refuse because of it are reset at once", milliseconds(a.ForMS))
	}
	if a.ShortageMS > 0 {
		text += fmt.Sprintf("; flows have found no room for %s", milliseconds(a.ShortageMS))
	}
	if a.Lasting {
		text += ", a lasting shortage: those without room are reset at each SYN"
	}
	return text
}

func outcomeText(o packetstatus.Outcome) string {
	switch o {
	case packetstatus.OutcomeDirect:
		return ", which may queue it: the service is full"
	case packetstatus.OutcomeWait:
		return ", which may queue it: all others were just asked or are avoided"
	case packetstatus.OutcomeReset:
		return ", the flow is reset"
	case packetstatus.OutcomeDrop:
		return ", the SYN is dropped because the view is too old to refuse the flow"
	default:
		return ""
	}
}

func printCandidates(w io.Writer, candidates []packetstatus.Candidate) {
	fmt.Fprintln(w, "TARGET\tSERVICE\tDOMAIN\tSTATE\tSLOTS\tWORK\tSPEED\tLIMIT\tDURATION\tNEW FLOWS\tCOST\tREPORTED\tWAIT\tCOLD\tREASON")
	for i := range candidates {
		t := &candidates[i]
		row, reason := t.Target, t.Reason
		row.Reason = costText(t)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", targetRow(&row), ageText(t.ReportAgeMS, " ago"), ageText(t.WaitMS, ""), coldText(t), reason)
	}
}

func costText(t *packetstatus.Candidate) string {
	if t.Cost == nil {
		return "-"
	}
	return fmt.Sprintf("%.2f", *t.Cost)
}

func ageText(ms *int64, suffix string) string {
	if ms == nil {
		return "-"
	}
	return milliseconds(*ms).String() + suffix
}

func coldText(t *packetstatus.Candidate) string {
	if t.ColdForMS == 0 {
		return "-"
	}
	return fmt.Sprintf("%s, %g flows/s", milliseconds(t.ColdForMS), t.ColdRate)
}

func printParts(w io.Writer, candidates []packetstatus.Candidate) {
	fmt.Fprintln(w, "TARGET\tPART OF COST\tVALUE\tDETAIL")
	for i := range candidates {
		for _, p := range candidates[i].Parts {
			fmt.Fprintf(w, "%s\t%s\t%+.3f\t%s\n", candidates[i].ID, p.Name, p.Value, p.Detail)
		}
	}
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
