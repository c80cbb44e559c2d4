package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// output is the output format of a command: table or json.
type output struct {
	format string
}

func (o *output) addFlags(command *cobra.Command) {
	command.Flags().StringVarP(&o.format, "output", "o", "table", "output format, table or json")
	_ = command.RegisterFlagCompletionFunc("output",
		cobra.FixedCompletions([]string{"table", "json"}, cobra.ShellCompDirectiveNoFileComp))
}

func (o *output) validate() error {
	if o.format != "table" && o.format != "json" {
		return usageError("--output: found %q, want table or json", o.format)
	}
	return nil
}

// print writes data as JSON, or calls table with a writer that aligns tab-separated columns.
func (o *output) print(w io.Writer, data any, table func(w io.Writer)) error {
	if o.format == "json" {
		return printJSON(w, data)
	}
	columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	table(columns)
	return columns.Flush()
}

// printJSON writes protobuf messages in the JSON mapping of protobuf, and other values with encoding/json.
func printJSON(w io.Writer, data any) error {
	var text []byte
	var err error
	if message, ok := data.(proto.Message); ok {
		// protojson varies its white space between builds on purpose; MarshalIndent normalizes it.
		text, err = protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(message)
		data = json.RawMessage(text)
	}
	if err == nil {
		text, err = json.MarshalIndent(data, "", "  ")
	}
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	_, err = fmt.Fprintln(w, string(text))
	return err
}
