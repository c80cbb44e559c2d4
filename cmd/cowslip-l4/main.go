// Command cowslip-l4 carries packets of flows between callers and targets on the platform: as balancer on entry VMs and
// as agent beside each target.
package main

import (
	"github.com/spf13/cobra"

	"github.com/cowslipward/cowslipward/internal/commandline"
	"github.com/cowslipward/cowslipward/settings"
)

func main() {
	limitMemory()
	root := &cobra.Command{Use: "cowslip-l4", Short: "Carry packets of flows between callers and targets"}
	root.AddCommand(
		roleCommand("balancer", "Forward callers' packets to agents", runBalancer),
		roleCommand("agent", "Pass packets between balancers, the target on this VM and callers", runAgent),
	)
	commandline.Execute(root)
}

// roleCommand returns the command that runs a role, or only checks its settings.
func roleCommand(role, short string, run func(file string, check bool) error) *cobra.Command {
	command := &cobra.Command{Use: role, Short: short}
	commandline.AddSettingsFlags(command, settings.DefaultSettingsVariable, run)
	return command
}
