package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	adminv1 "github.com/cowslipward/cowslipward/gen/cowslipward/admin/v1"
	"github.com/cowslipward/cowslipward/gen/cowslipward/admin/v1/adminv1connect"
	"github.com/cowslipward/cowslipward/rules"
)

// stdinName is the file name that stands for standard input.
const stdinName = "-"

func newRules() *cobra.Command {
	return newCommandGroup("rules", "Check and compare rule files", newRulesCheck(), newRulesDiff())
}

// readFile reads a file or standard input. It stops one byte past the maximum size of a rule file, so that the parser
// still reports a larger file as too long.
func readFile(command *cobra.Command, name string) (string, error) {
	source := command.InOrStdin()
	if name != stdinName {
		file, err := os.Open(name)
		if err != nil {
			return "", usageError("%w", err)
		}
		defer file.Close()
		source = file
	}
	text, err := io.ReadAll(io.LimitReader(source, rules.MaxFileBytes+1))
	if err != nil {
		return "", fmt.Errorf("read %s: %w", name, err)
	}
	return string(text), nil
}

// parseFile parses a rule file. Its error has the file, line and column of each parse error.
func parseFile(command *cobra.Command, name string) (*rules.Set, error) {
	text, err := readFile(command, name)
	if err != nil {
		return nil, err
	}
	set, err := rules.Parse(text, 1)
	if err != nil {
		return nil, &exitError{code: ExitUsage, err: errors.New(strings.Join(formatErrors(name, err), "\n"))}
	}
	return set, nil
}

// formatErrors formats parse errors as FILE:LINE:COLUMN like compilers, so that editors can jump to them.
func formatErrors(name string, err error) []string {
	var parseErrors rules.Errors
	if !errors.As(err, &parseErrors) {
		return []string{name + ": " + err.Error()}
	}
	lines := make([]string, len(parseErrors))
	for i, parseErr := range parseErrors {
		lines[i] = fmt.Sprintf("%s:%d:%d: found %s, want %s", name, parseErr.Line, parseErr.Column, parseErr.Found, parseErr.Want)
	}
	return lines
}

// checkData is the JSON output of "rules check".
type checkData struct {
	File     string      `json:"file"`
	Accepted bool        `json:"accepted"`
	Services int         `json:"services"`
	Domains  int         `json:"domains"`
	Drained  int         `json:"drained"`
	Errors   []errorData `json:"errors"`
}

// errorData is the JSON form of a parse error.
type errorData struct {
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Found  string `json:"found"`
	Want   string `json:"want"`
}

func newRulesCheck() *cobra.Command {
	var o output
	command := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a rule file as every process does",
		Long: `Check a rule file with the parser that every process uses. All errors are printed as FILE:LINE:COLUMN. The exit code
is 2 if the file would be refused. "-" reads standard input.`,
		Example: "  cowslipctl rules check rules.txt",
		Args:    cobra.ExactArgs(1),
		RunE: withExitCode(func(command *cobra.Command, args []string) error {
			if err := o.validate(); err != nil {
				return err
			}
			text, err := readFile(command, args[0])
			if err != nil {
				return err
			}
			return checkRules(command, &o, args[0], text)
		}),
	}
	o.addFlags(command)
	return command
}

func checkRules(command *cobra.Command, o *output, name, text string) error {
	data := checkData{File: name, Errors: []errorData{}}
	set, err := rules.Parse(text, 1)
	var parseErrors rules.Errors
	if errors.As(err, &parseErrors) {
		for _, parseErr := range parseErrors {
			data.Errors = append(data.Errors, errorData{Line: parseErr.Line, Column: parseErr.Column, Found: parseErr.Found, Want: parseErr.Want})
		}
	}
	if err == nil {
		data.Accepted = true
		data.Services, data.Domains, data.Drained = len(set.Services), len(set.Domains), len(set.Drained)
	}
	if err == nil || o.format == "json" {
		printErr := o.print(command.OutOrStdout(), data, func(w io.Writer) {
			fmt.Fprintf(w, "%s is accepted: %d services, %d failure domains, %d drained targets\n",
				name, data.Services, data.Domains, data.Drained)
		})
		if printErr != nil {
			return printErr
		}
	}
	if err == nil {
		return nil
	}
	return usageError("%s\n%s is refused: %d errors", strings.Join(formatErrors(name, err), "\n"), name, len(data.Errors))
}

func newRulesDiff() *cobra.Command {
	var f fleetClient
	var o output
	command := &cobra.Command{
		Use:   "diff [OLD] NEW",
		Short: "Show what a rule file would change",
		Long: `Show what a rule file would change, rule by rule; the order of lines does not matter. Two files are compared with each
other. A single file is compared by a running process with the rules in force, and the effect on each target is shown.
The rules in force do not change. "-" reads standard input.`,
		Example: "  cowslipctl rules diff rules.txt --admin 127.0.2.1:7402\n  cowslipctl rules diff old.txt new.txt",
		Args:    cobra.RangeArgs(1, 2),
		RunE: withExitCode(func(command *cobra.Command, args []string) error {
			if err := validateFlags(&f, &o); err != nil {
				return err
			}
			if len(args) == 2 {
				return diffFiles(command, &o, args[0], args[1])
			}
			return diffWithRulesInForce(command, &f, &o, args[0])
		}),
	}
	f.addFlags(command)
	o.addFlags(command)
	return command
}

func diffFiles(command *cobra.Command, o *output, oldName, newName string) error {
	from, err := parseFile(command, oldName)
	if err != nil {
		return err
	}
	to, err := parseFile(command, newName)
	if err != nil {
		return err
	}
	response := &adminv1.DryRunRulesResponse{Accepted: true}
	for _, change := range rules.Diff(from, to) {
		response.Changes = append(response.Changes, &adminv1.RuleChange{
			Kind: string(change.Kind), Subject: change.Subject, Before: change.Before, After: change.After,
		})
	}
	return o.print(command.OutOrStdout(), response, func(w io.Writer) { writeDiff(w, response) })
}

func diffWithRulesInForce(command *cobra.Command, f *fleetClient, o *output, name string) error {
	text, err := readFile(command, name)
	if err != nil {
		return err
	}
	// The file is parsed here first, so that errors are reported without a reachable process and with the file name.
	if _, err := rules.Parse(text, 1); err != nil {
		return &exitError{code: ExitUsage, err: errors.New(strings.Join(formatErrors(name, err), "\n"))}
	}
	response, err := callFirst(command.Context(), f, func(ctx context.Context, c adminv1connect.AdminServiceClient) (*adminv1.DryRunRulesResponse, error) {
		return unwrap(c.DryRunRules(ctx, connect.NewRequest(&adminv1.DryRunRulesRequest{Text: text})))
	})
	if err != nil {
		return err
	}
	if !response.GetAccepted() {
		return fmt.Errorf("the process refuses a file that cowslipctl accepts; their versions differ: %v", response.GetErrors())
	}
	return o.print(command.OutOrStdout(), response, func(w io.Writer) { writeDiff(w, response) })
}

func writeDiff(w io.Writer, response *adminv1.DryRunRulesResponse) {
	if len(response.GetChanges()) == 0 {
		fmt.Fprintln(w, "no rule differs")
		return
	}
	for _, change := range response.GetChanges() {
		fmt.Fprintf(w, "%s %s\n", change.GetKind(), change.GetSubject())
		if change.GetBefore() != "" {
			fmt.Fprintf(w, "  - %s\n", change.GetBefore())
		}
		if change.GetAfter() != "" {
			fmt.Fprintf(w, "  + %s\n", change.GetAfter())
		}
	}
	if len(response.GetEffects()) > 0 {
		fmt.Fprintln(w, "TARGET\tSERVICE\tEFFECT")
	}
	for _, effect := range response.GetEffects() {
		fmt.Fprintf(w, "%s\t%s\t%s\n", effect.GetVm(), dashIfEmpty(effect.GetService()), effect.GetEffect())
	}
}
