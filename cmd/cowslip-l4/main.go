// Command cowslip-l4 carries packets of flows between callers and targets on the platform: as balancer on entry VMs and
// as agent beside each target.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/cowslipward/cowslipward/settings"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// errSettings marks errors of settings and usage.
var errSettings = errors.New("bad settings")

func main() {
	limitMemory()
	err := rootCommand().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	if errors.Is(err, errSettings) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailed)
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "cowslip-l4",
		Short:         "Carry packets of flows between callers and targets",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errors.Join(errSettings, err) })
	root.AddCommand(
		roleCommand("balancer", "Forward callers' packets to agents", runBalancer),
		roleCommand("agent", "Pass packets between balancers, the target on this VM and callers", runAgent),
	)
	return root
}

// roleCommand returns the command that runs a role, or only checks its settings.
func roleCommand(role, short string, run func(file string, check bool) error) *cobra.Command {
	var file string
	var check bool
	command := &cobra.Command{
		Use:   role,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if file == "" {
				file = os.Getenv(settings.DefaultSettingsVariable)
			}
			if file == "" {
				return fmt.Errorf("%w: want --settings FILE or %s", errSettings, settings.DefaultSettingsVariable)
			}
			return run(file, check)
		},
	}
	command.Flags().StringVar(&file, "settings", "", "settings file, JSON with comments")
	command.Flags().BoolVar(&check, "check", false, "validate the settings, then exit")
	return command
}
