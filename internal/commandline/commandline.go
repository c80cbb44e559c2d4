// Package commandline implements the flags, error handling and exit codes that all daemons share.
package commandline

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes of the daemons. Zero means success.
const (
	ExitFailed = 1
	ExitUsage  = 2
)

// ErrSettings is wrapped by errors that are caused by invalid settings, keys or usage.
var ErrSettings = errors.New("bad settings")

// Execute runs a daemon's root command. If the command fails, Execute prints the error and exits with status
// ExitUsage for errors that wrap ErrSettings, and ExitFailed for others.
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

// AddSettingsFlags adds the flags --settings and --check to a command and makes it call run. If --settings is
// not given and variable is not empty, the environment variable of that name provides the path of the
// settings file.
func AddSettingsFlags(command *cobra.Command, variable string, run func(file string, check bool) error) {
	var file string
	var check bool
	command.Args = cobra.NoArgs
	command.Flags().StringVar(&file, "settings", "", "settings file, JSON with comments")
	command.Flags().BoolVar(&check, "check", false, "validate the settings and the files they refer to, then exit")
	command.RunE = func(*cobra.Command, []string) error {
		if file == "" && variable != "" {
			file = os.Getenv(variable)
		}
		if file == "" {
			return fmt.Errorf("%w: want %s", ErrSettings, settingsSources(variable))
		}
		return run(file, check)
	}
}

func settingsSources(variable string) string {
	if variable == "" {
		return "--settings FILE"
	}
	return "--settings FILE or the environment variable " + variable
}
