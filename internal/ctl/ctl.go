// Package ctl holds the commands of cowslipctl.
package ctl

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	ExitDone    = 0
	ExitFailed  = 1
	ExitUsage   = 2 // bad settings, rules or usage
	ExitPartial = 3 // partly unreachable
)

// exitError is an error with the exit code that it leads to.
type exitError struct {
	code int
	err  error
}

// Error returns the underlying error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *exitError) Unwrap() error { return e.err }

func usage(format string, args ...any) error {
	return &exitError{code: ExitUsage, err: fmt.Errorf(format, args...)}
}

func partial(format string, args ...any) error {
	return &exitError{code: ExitPartial, err: fmt.Errorf(format, args...)}
}

// Main runs the command line and returns the exit code.
func Main(args []string, in io.Reader, out, errs io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	if err == nil {
		return ExitDone
	}
	fmt.Fprintln(errs, err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	// Errors from before a command runs are of its flags and arguments.
	return ExitUsage
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "cowslipctl",
		Short: "Look at a cowslipward fleet and prepare its files",
		Long: `cowslipctl looks at a running cowslipward fleet, checks rule files and settings before they are used, and generates
keys for a try-out. It changes nothing in a fleet: the rule file is the only way to control the system.

Exit codes: 0 done, 1 failed, 2 bad settings, rules or usage, 3 partly unreachable.`,
		SilenceUsage:  true,
		SilenceErrors: true,
		// Without an own function, cobra takes an unknown command as a request for help and ends well.
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	root.AddCommand(newStatus(), newTargets(), newExplain(), newRules(), newReport(), newCall(), newSettings(), newKeys(), newPackets())
	return root
}

// runs marks errors of a command that ran as failures, unless they have an exit code.
func runs(run func(command *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(command *cobra.Command, args []string) error {
		err := run(command, args)
		var exit *exitError
		if err == nil || errors.As(err, &exit) {
			return err
		}
		return &exitError{code: ExitFailed, err: err}
	}
}

// group is a command that only has subcommands.
func group(use, short string, commands ...*cobra.Command) *cobra.Command {
	parent := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			_ = command.Help()
			return usage("%s: want a subcommand", use)
		},
	}
	parent.AddCommand(commands...)
	return parent
}
