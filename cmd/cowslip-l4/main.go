// Command cowslip-l4 is a layer-4 load balancer that forwards packets of flows between callers and targets on the
// platform. It runs as a balancer on entry VMs and as an agent on each VM of a target.
package main

import (
	"github.com/spf13/cobra"

	"github.com/cowslipward/cowslipward/internal/commandline"
	"github.com/cowslipward/cowslipward/settings"
)

func main() {
	limitMemory()
	root := &cobra.Command{Use: "cowslip-l4", Short: "Layer-4 load balancer that forwards packets between callers and targets"}
	root.AddCommand(
		roleCommand("balancer", "Forward callers' packets to agents", runBalancer),
		roleCommand("agent", "Forward packets between balancers, callers and the target on this VM", runAgent),
	)
	commandline.Execute(root)
}

// roleCommand returns the command that runs the given role, or only validates its settings if --check is given.
func roleCommand(role, short string, run func(file string, check bool) error) *cobra.Command {
	command := &cobra.Command{Use: role, Short: short}
	commandline.AddSettingsFlags(command, settings.DefaultSettingsVariable, run)
	return command
}
