package ctl

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	adminv1 "github.com/cowslipward/cowslipward/gen/cowslipward/admin/v1"
	"github.com/cowslipward/cowslipward/gen/cowslipward/admin/v1/adminv1connect"
)

func fetchStatus(ctx context.Context, c adminv1connect.AdminServiceClient) (*adminv1.StatusResponse, error) {
	return unwrap(c.Status(ctx, connect.NewRequest(&adminv1.StatusRequest{})))
}

func newStatus() *cobra.Command {
	var f fleetClient
	var o output
	var allProcesses bool
	command := &cobra.Command{
		Use:   "status",
		Short: "Show the state of a process and the revision of its rules",
		Long: `Show the VM, role and state of a process, the revision of the rules in force at it and since when.

With --fleet, show all processes that the process at --admin lists, and at how many processes each revision is in force.
Processes that do not answer are named, and the exit code is 3.`,
		Example: "  cowslipctl status --admin 127.0.2.1:7402\n  cowslipctl status --fleet --output json",
		Args:    cobra.NoArgs,
		RunE: withExitCode(func(command *cobra.Command, _ []string) error {
			if err := validateFlags(&f, &o); err != nil {
				return err
			}
			if allProcesses {
				return fleetStatus(command, &f, &o)
			}
			status, err := callFirst(command.Context(), &f, fetchStatus)
			if err != nil {
				return err
			}
			return o.print(command.OutOrStdout(), status, func(w io.Writer) { writeStatusTable(w, []*adminv1.StatusResponse{status}) })
		}),
	}
	f.addFlags(command)
	o.addFlags(command)
	command.Flags().BoolVar(&allProcesses, "fleet", false, "show all processes of the fleet")
	return command
}

func validateFlags(f *fleetClient, o *output) error {
	if err := o.validate(); err != nil {
		return err
	}
	return f.check()
}

// fleetStatusData is the JSON output of "status --fleet".
type fleetStatusData struct {
	Revisions   map[uint64]int            `json:"revisions"` // number of processes by revision
	Processes   []*adminv1.StatusResponse `json:"processes"`
	Unreachable []string                  `json:"unreachable"`
}

func fleetStatus(command *cobra.Command, f *fleetClient, o *output) error {
	members, err := f.members(command.Context())
	if err != nil {
		return err
	}
	statuses := callAll(command.Context(), f, members, fetchStatus)
	data := fleetStatusData{Revisions: make(map[uint64]int), Processes: statuses.responses, Unreachable: statuses.unreachable}
	for _, status := range statuses.responses {
		data.Revisions[status.GetRevision()]++
	}
	err = o.print(command.OutOrStdout(), data, func(w io.Writer) {
		writeStatusTable(w, statuses.responses)
		for revision, count := range data.Revisions {
			fmt.Fprintf(w, "revision %d is in force at %d processes\n", revision, count)
		}
	})
	if err != nil {
		return err
	}
	return unreachableError(statuses.unreachable, len(members))
}

// unreachableError returns an error with exit code ExitPartial that names the processes that did not answer, or nil if
// all did.
func unreachableError(names []string, total int) error {
	if len(names) == 0 {
		return nil
	}
	return partialError("%d of %d processes did not answer: %v", len(names), total, names)
}

func writeStatusTable(w io.Writer, statuses []*adminv1.StatusResponse) {
	fmt.Fprintln(w, "VM\tDOMAIN\tROLE\tSERVICE\tREVISION\tSINCE\tREADY\tWORK/LIMIT/SLOTS\tQUEUED\tCONNECTIONS\tREASON")
	for _, s := range statuses {
		work, queued, connections, reason := "-", "-", "-", s.GetReadyReason()
		if load := s.GetLoad(); load != nil {
			work, queued, connections = loadCells(load)
			reason = joinReasons(reason, load.GetReason())
		}
		for _, refused := range s.GetRefusedEntries() {
			reason = joinReasons(reason, "not used: "+refused)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%t\t%s\t%s\t%s\t%s\n", s.GetVm(), s.GetFailureDomain(), s.GetRole(),
			dashIfEmpty(s.GetService()), s.GetRevision(), formatSince(s.GetRevisionSinceUnixMs()), s.GetReady(), work, queued, connections, dashIfEmpty(reason))
	}
}

func loadCells(load *adminv1.Load) (work, queued, connections string) {
	work = fmt.Sprintf("%d/%d/%d", load.GetInProgress(), load.GetLimit(), load.GetSlots())
	return work, fmt.Sprint(load.GetQueued()), fmt.Sprint(load.GetConnections())
}

func formatSince(unixMs int64) string {
	at := time.UnixMilli(unixMs)
	return fmt.Sprintf("%s (%s ago)", at.UTC().Format("15:04:05Z"), time.Since(at).Round(time.Second))
}

func dashIfEmpty(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func joinReasons(a, b string) string {
	if a == "" || b == "" {
		return a + b
	}
	return a + "; " + b
}

func newTargets() *cobra.Command {
	var f fleetClient
	var o output
	command := &cobra.Command{
		Use:     "targets [SERVICE]",
		Short:   "Show the targets in the view of a process, with the reason for their state",
		Example: "  cowslipctl targets bench --admin 127.0.2.1:7402",
		Args:    cobra.MaximumNArgs(1),
		RunE: withExitCode(func(command *cobra.Command, args []string) error {
			if err := validateFlags(&f, &o); err != nil {
				return err
			}
			request := &adminv1.TargetsRequest{}
			if len(args) > 0 {
				request.Service = args[0]
			}
			response, err := callFirst(command.Context(), &f, func(ctx context.Context, c adminv1connect.AdminServiceClient) (*adminv1.TargetsResponse, error) {
				return unwrap(c.Targets(ctx, connect.NewRequest(request)))
			})
			if err != nil {
				return err
			}
			return o.print(command.OutOrStdout(), response, func(w io.Writer) { writeTargetsTable(w, response) })
		}),
	}
	f.addFlags(command)
	o.addFlags(command)
	return command
}

func writeTargetsTable(w io.Writer, response *adminv1.TargetsResponse) {
	fmt.Fprintln(w, "VM\tSERVICE\tDOMAIN\tSTATE\tWEIGHT\tWORK/LIMIT/SLOTS\tREASON")
	for _, t := range response.GetTargets() {
		work := "-"
		if load := t.GetLoad(); load != nil {
			work, _, _ = loadCells(load)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", t.GetVm(), t.GetService(), t.GetFailureDomain(), t.GetState(),
			t.GetWeight(), work, t.GetReason())
	}
}

func newExplain() *cobra.Command {
	var f fleetClient
	var o output
	var caller, connectionID string
	command := &cobra.Command{
		Use:   "explain SERVICE",
		Short: "Show to which target a new flow would go, and why not to others",
		Long: `Show to which target a new flow to a service would go in the view of a process, and why not to others. SERVICE is the
name or the address of a service. With --caller and --connection-id, the order of targets for that flow is shown.`,
		Example: "  cowslipctl explain bench\n  cowslipctl explain bench --caller 192.0.2.9:50000 --connection-id 0a1b2c3d4e5f6071",
		Args:    cobra.ExactArgs(1),
		RunE: withExitCode(func(command *cobra.Command, args []string) error {
			if err := validateFlags(&f, &o); err != nil {
				return err
			}
			id, err := hex.DecodeString(connectionID)
			if err != nil {
				return usageError("--connection-id: found %q, want hexadecimal digits", connectionID)
			}
			request := &adminv1.ExplainRequest{Service: args[0], Caller: caller, ConnectionId: id}
			response, err := callFirst(command.Context(), &f, func(ctx context.Context, c adminv1connect.AdminServiceClient) (*adminv1.ExplainResponse, error) {
				return unwrap(c.Explain(ctx, connect.NewRequest(request)))
			})
			if err != nil {
				return err
			}
			return o.print(command.OutOrStdout(), response, func(w io.Writer) { writeExplainTable(w, response) })
		}),
	}
	f.addFlags(command)
	o.addFlags(command)
	command.Flags().StringVar(&caller, "caller", "", "address of the caller, IP:PORT")
	command.Flags().StringVar(&connectionID, "connection-id", "", "first destination connection ID of the flow, in hex")
	return command
}

func writeExplainTable(w io.Writer, response *adminv1.ExplainResponse) {
	fmt.Fprintln(w, response.GetSummary())
	for i, c := range response.GetOrder() {
		fmt.Fprintf(w, "%d.\t%s\t%s\n", i+1, c.GetVm(), c.GetFailureDomain())
	}
	fmt.Fprintln(w, "TARGET\tDOMAIN\tELIGIBLE\tSHARE\tREASON")
	for _, c := range response.GetCandidates() {
		fmt.Fprintf(w, "%s\t%s\t%t\t%.1f%%\t%s\n", c.GetVm(), c.GetFailureDomain(), c.GetEligible(), 100*c.GetShare(), c.GetReason())
	}
}
