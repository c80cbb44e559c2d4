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

// statusRequestTimeout is the maximum duration of a request to one process.
const statusRequestTimeout = 3 * time.Second

func newPackets() *cobra.Command {
	return newCommandGroup("packets", "Inspect the packet path", newPacketsStatus(), newPacketsExplain(), newPacketsFlows(),
		newPacketsBurn(), newPacketsTrace())
}

func newPacketsStatus() *cobra.Command {
	var out output
	var targets, refused bool
	command := &cobra.Command{
		Use:   "status ADDRESS...",
		Short: "Show the state of balancers; ADDRESS is the one under \"metrics\" in their settings",
		Args:  cobra.MinimumNArgs(1),
		RunE: withExitCode(func(c *cobra.Command, args []string) error {
			if err := out.validate(); err != nil {
				return err
			}
			balancers, unreachable := fetchBalancers(c, args)
			table := func(w io.Writer) { printBalancers(w, balancers) }
			switch {
			case targets:
				table = func(w io.Writer) { printPacketTargets(w, balancers) }
			case refused:
				table = func(w io.Writer) { printRefused(w, balancers) }
			}
			if err := out.print(c.OutOrStdout(), balancers, table); err != nil {
				return err
			}
			if unreachable > 0 {
				return partialError("%d of %d balancers did not answer", unreachable, len(args))
			}
			return nil
		}),
	}
	out.addFlags(command)
	command.Flags().BoolVar(&targets, "targets", false, "show the targets as each balancer sees them")
	command.Flags().BoolVar(&refused, "refused", false, "show the entries of the store that are not used, and why")
	command.MarkFlagsMutuallyExclusive("targets", "refused")
	return command
}

// fetchBalancers returns the states of the reachable balancers and the number of unreachable ones. It prints an error
// for each of the latter.
func fetchBalancers(c *cobra.Command, addresses []string) (balancers []packetstatus.Balancer, unreachable int) {
	for _, address := range addresses {
		var status packetstatus.Balancer
		if err := fetchJSON(c.Context(), address, packetstatus.StatusPath, nil, &status); err != nil {
			c.PrintErrln(err)
			unreachable++
			continue
		}
		balancers = append(balancers, status)
	}
	return balancers, unreachable
}

// fetchJSON sends a GET request to the process at address and decodes the JSON body of the response into result.
func fetchJSON(ctx context.Context, address, path string, query url.Values, result any) error {
	ctx, cancel := context.WithTimeout(ctx, statusRequestTimeout)
	defer cancel()
	requestURL := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, requestURL.String(), nil)
	if err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: found status %d, want 200", address, response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(result); err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	return nil
}

func printBalancers(w io.Writer, balancers []packetstatus.Balancer) {
	fmt.Fprintln(w, "BALANCER\tDOMAIN\tREADY\tVERSION\tERA\tREVISION\tVIEW AGE\tREADS\tPEERS\tFLOWS\tTARGETS\tREFUSED\tOUT\tOVERLOADED")
	for _, b := range balancers {
		age := time.Duration(b.ViewAgeMS) * time.Millisecond
		fmt.Fprintf(w, "%s\t%s\t%t\t%d\t%d\t%d\t%s\t%t\t%d\t%d\t%d\t%d\t%s\t%s\n", b.VM, b.Domain, b.Ready, b.Version, b.StoreEra, b.Revision, age,
			b.Reading, b.Peers, b.Flows, len(b.Targets), len(b.Refused), strings.Join(b.OutDomains, ","), overloadedServices(&b))
	}
}

// overloadedServices lists the services of which a balancer refuses flows, each with the share of targets that said that
// they are overloaded.
func overloadedServices(b *packetstatus.Balancer) string {
	var list []string
	for _, o := range b.Overloaded {
		list = append(list, fmt.Sprintf("%s/%d:%d/%d", o.Service, o.Priority, o.Said, o.Eligible))
	}
	return strings.Join(list, ",")
}

// printRefused prints the entries that balancers do not use. Their names come from other writers and are quoted.
func printRefused(w io.Writer, balancers []packetstatus.Balancer) {
	fmt.Fprintln(w, "BALANCER\tKIND\tNAME\tERA\tREVISION\tREASON\tDETAIL")
	for _, b := range balancers {
		for _, r := range b.Refused {
			fmt.Fprintf(w, "%s\t%s\t%q\t%d\t%d\t%s\t%q\n", b.VM, r.Kind, r.Name, r.StoreEra, r.Revision, r.Reason, r.Detail)
		}
	}
}

func printPacketTargets(w io.Writer, balancers []packetstatus.Balancer) {
	fmt.Fprintln(w, "BALANCER\tTARGET\tSERVICE\tDOMAIN\tSTATE\tSLOTS\tWORK\tSPEED\tLIMIT\tDURATION\tNEW FLOWS\tREASON")
	for _, b := range balancers {
		for _, t := range b.Targets {
			fmt.Fprintf(w, "%s\t%s\n", b.VM, targetRow(&t))
		}
	}
}

func targetRow(t *packetstatus.Target) string {
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%.2f\t%s\t%t\t%s", t.ID, t.Service, t.Domain, t.State, t.Slots, t.Work,
		capacityColumns(t), t.Eligible, t.Reason)
}

// capacityColumns returns the columns for the learned speed, limit and duration of a target, with a dash for each that is
// unknown.
func capacityColumns(t *packetstatus.Target) string {
	columns := []string{"-", "-", "-"}
	if t.Speed > 0 {
		columns[0] = fmt.Sprintf("%.2f", t.Speed)
	}
	if t.Limit > 0 {
		columns[1] = fmt.Sprint(t.Limit)
	}
	if t.DurationMS > 0 {
		columns[2] = fmt.Sprintf("%.1fms", t.DurationMS)
	}
	return strings.Join(columns, "\t")
}
