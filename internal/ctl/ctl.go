// Package ctl implements the commands of cowslipctl.
package ctl

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit codes of cowslipctl.
const (
	ExitDone    = 0
	ExitFailed  = 1
	ExitUsage   = 2 // invalid settings, rules or usage
	ExitPartial = 3 // some processes are unreachable
)

// exitError is an error that sets the exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the underlying error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *exitError) Unwrap() error { return e.err }

func usageError(format string, args ...any) error {
	return &exitError{code: ExitUsage, err: fmt.Errorf(format, args...)}
}

func partialError(format string, args ...any) error {
	return &exitError{code: ExitPartial, err: fmt.Errorf(format, args...)}
}

// Main runs the command line and returns the exit code.
func Main(args []string, in io.Reader, out, errOut io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.Execute()
	if err == nil {
		return ExitDone
	}
	fmt.Fprintln(errOut, err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	// Errors without an exit code come from cobra, which found invalid flags or arguments.
	return ExitUsage
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "cowslipctl",
		Short: "Inspect a cowslipward fleet and prepare its files",
		Long: `cowslipctl inspects a running cowslipward fleet, checks rule files and settings before they are used, and generates keys
for a test deployment. It never changes a fleet: the rule file is the only way to control the system.

Exit codes: 0 success, 1 failure, 2 invalid settings, rules or usage, 3 some processes are unreachable.`,
		SilenceUsage:  true,
		SilenceErrors: true,
		// Without RunE, cobra prints the help for an unknown command and reports success.
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	root.AddCommand(newStatus(), newTargets(), newExplain(), newRules(), newReport(), newCall(), newSettings(), newKeys(), newPackets())
	return root
}

// withExitCode wraps run so that errors without an exit code get ExitFailed.
func withExitCode(run func(command *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(command *cobra.Command, args []string) error {
		err := run(command, args)
		var exit *exitError
		if err == nil || errors.As(err, &exit) {
			return err
		}
		return &exitError{code: ExitFailed, err: err}
	}
}

// newCommandGroup returns a command that only has subcommands. Without one of them, it prints its help and returns a
// usage error.
func newCommandGroup(use, short string, commands ...*cobra.Command) *cobra.Command {
	parent := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			_ = command.Help()
			return usageError("%s: want a subcommand", use)
		},
	}
	parent.AddCommand(commands...)
	return parent
}
