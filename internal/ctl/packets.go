package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/cowslipward/cowslipward/packetstatus"
)

// packetsTimeout bounds a question to one process.
const packetsTimeout = 3 * time.Second

func newPackets() *cobra.Command {
	return group("packets", "Look at the packet path", newPacketsStatus(), newPacketsExplain(), newPacketsFlows(),
		newPacketsBurn(), newPacketsTrace())
}

func newPacketsStatus() *cobra.Command {
	var out output
	var targets bool
	command := &cobra.Command{
		Use:   "status ADDRESS...",
		Short: "Show what balancers know and do; an address is under \"metrics\" in their settings",
		Args:  cobra.MinimumNArgs(1),
		RunE: runs(func(c *cobra.Command, args []string) error {
			if err := out.check(); err != nil {
				return err
			}
			list, missing := askBalancers(c, args)
			table := func(w io.Writer) { printBalancers(w, list) }
			if targets {
				table = func(w io.Writer) { printPacketTargets(w, list) }
			}
			if err := out.print(c.OutOrStdout(), list, table); err != nil {
				return err
			}
			if missing > 0 {
				return partial("%d of %d balancers did not answer", missing, len(args))
			}
			return nil
		}),
	}
	out.add(command)
	command.Flags().BoolVar(&targets, "targets", false, "show the targets as each balancer sees them")
	return command
}

// askBalancers returns the states of the balancers that answer, and how many do not.
func askBalancers(c *cobra.Command, addresses []string) (list []packetstatus.Balancer, missing int) {
	for _, address := range addresses {
		var status packetstatus.Balancer
		if err := askProcess(c.Context(), address, packetstatus.StatusPath, nil, &status); err != nil {
			c.PrintErrln(err)
			missing++
			continue
		}
		list = append(list, status)
	}
	return list, missing
}

func askProcess(ctx context.Context, address, path string, query url.Values, into any) error {
	ctx, cancel := context.WithTimeout(ctx, packetsTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: found status %d, want 200", address, answer.StatusCode)
	}
	if err := json.NewDecoder(answer.Body).Decode(into); err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	return nil
}

func printBalancers(w io.Writer, list []packetstatus.Balancer) {
	fmt.Fprintln(w, "BALANCER\tDOMAIN\tREADY\tVERSION\tREVISION\tVIEW AGE\tREADS\tPEERS\tFLOWS\tTARGETS\tOUT")
	for _, b := range list {
		age := time.Duration(b.ViewAgeMS) * time.Millisecond
		fmt.Fprintf(w, "%s\t%s\t%t\t%d\t%d\t%s\t%t\t%d\t%d\t%d\t%s\n", b.VM, b.Domain, b.Ready, b.Version, b.Revision, age,
			b.Reading, b.Peers, b.Flows, len(b.Targets), strings.Join(b.OutDomains, ","))
	}
}

func printPacketTargets(w io.Writer, list []packetstatus.Balancer) {
	fmt.Fprintln(w, "BALANCER\tTARGET\tSERVICE\tDOMAIN\tSTATE\tSLOTS\tWORK\tNEW FLOWS\tREASON")
	for _, b := range list {
		for _, t := range b.Targets {
			fmt.Fprintf(w, "%s\t%s\n", b.VM, targetRow(&t))
		}
	}
}

func targetRow(t *packetstatus.Target) string {
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%.2f\t%t\t%s", t.ID, t.Service, t.Domain, t.State, t.Slots, t.Work, t.Eligible, t.Reason)
}

func newPacketsExplain() *cobra.Command {
	var out output
	command := &cobra.Command{
		Use:   "explain ADDRESS CALLER SERVICE",
		Short: "Show where a balancer sends the flow from CALLER to SERVICE, each IP:port, and why",
		Args:  cobra.ExactArgs(3),
		RunE: runs(func(c *cobra.Command, args []string) error {
			if err := out.check(); err != nil {
				return err
			}
			var e packetstatus.Explanation
			query := url.Values{"caller": {args[1]}, "service": {args[2]}}
			if err := askProcess(c.Context(), args[0], packetstatus.ExplainPath, query, &e); err != nil {
				return err
			}
			return out.print(c.OutOrStdout(), e, func(w io.Writer) { printExplanation(w, &e) })
		}),
	}
	out.add(command)
	return command
}

func printExplanation(w io.Writer, e *packetstatus.Explanation) {
	if e.Route == "" {
		fmt.Fprintln(w, "no route names the address")
		return
	}
	fmt.Fprintf(w, "route %s, service %s\n", e.Route, e.Service)
	fmt.Fprintf(w, "known target of the flow: %s\n", orNone(e.KnownTarget))
	fmt.Fprintf(w, "first offer of a new flow: %s\n\n", orNone(e.Choice))
	fmt.Fprintln(w, "TARGET\tSERVICE\tDOMAIN\tSTATE\tSLOTS\tWORK\tNEW FLOWS\tREASON")
	for _, t := range e.Candidates {
		fmt.Fprintln(w, targetRow(&t))
	}
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
