// Package commandline is the command line that the daemons share: their flags, their errors and their exit codes.
package commandline

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes of the daemons. Zero is done.
const (
	ExitFailed = 1
	ExitUsage  = 2
)

// ErrSettings marks errors of settings, keys and usage.
var ErrSettings = errors.New("bad settings")

// Execute runs a daemon's root command. A failure is printed and ends the process: 2 for bad settings or usage, 1 for
// others.
func Execute(root *cobra.Command) {
	root.SilenceUsage = true
	root.SilenceErrors = true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errors.Join(ErrSettings, err) })
	err := root.Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	if errors.Is(err, ErrSettings) {
		os.Exit(ExitUsage)
	}
	os.Exit(ExitFailed)
}

// AddSettingsFlags gives a command the flags --settings and --check, and lets it run a daemon. Where the flag names no file,
// the environment variable does, if one is given.
func AddSettingsFlags(command *cobra.Command, variable string, run func(file string, check bool) error) {
	var file string
	var check bool
	command.Args = cobra.NoArgs
	command.Flags().StringVar(&file, "settings", "", "settings file, JSON with comments")
	command.Flags().BoolVar(&check, "check", false, "validate the settings and what they name, then exit")
	command.RunE = func(*cobra.Command, []string) error {
		if file == "" && variable != "" {
			file = os.Getenv(variable)
		}
		if file == "" {
			return fmt.Errorf("%w: want %s", ErrSettings, sources(variable))
		}
		return run(file, check)
	}
}

func sources(variable string) string {
	if variable == "" {
		return "--settings FILE"
	}
	return "--settings FILE or the environment variable " + variable
}
