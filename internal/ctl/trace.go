package ctl

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

// maxLogLineBytes is the maximum length of a log line.
const maxLogLineBytes = 1 << 20

func newPacketsTrace() *cobra.Command {
	var flow, request string
	command := &cobra.Command{
		Use:   "trace [LOG]...",
		Short: "Print the log lines of a flow or request from several processes in time order; without LOG, reads standard input",
		RunE: withExitCode(func(c *cobra.Command, args []string) error {
			if (flow == "") == (request == "") {
				return usageError("want one of --flow and --request")
			}
			lines, err := readLogs(c.InOrStdin(), args)
			if err != nil {
				return err
			}
			return printTrace(c.OutOrStdout(), lines, flow, request)
		}),
	}
	command.Flags().StringVar(&flow, "flow", "", "flow as logged: CALLER-SERVICE, both IP:PORT")
	command.Flags().StringVar(&request, "request", "", "ID of the request")
	return command
}

// readLogs returns the lines of the files, or of in if there are no files.
func readLogs(in io.Reader, files []string) ([]string, error) {
	if len(files) == 0 {
		return readLines(in)
	}
	var all []string
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := readLines(file)
		_ = file.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLines(in io.Reader) ([]string, error) {
	var lines []string
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
	}
	return lines, scanner.Err()
}

// printTrace prints the lines of one flow in time order. If request is not empty, the flow is read from the first log
// line of that request.
func printTrace(w io.Writer, lines []string, flow, request string) error {
	if request != "" {
		if flow = findFlow(lines, request); flow == "" {
			return fmt.Errorf("no log line for request %s: it was not sampled or did not reach an agent", request)
		}
		fmt.Fprintf(w, "request %s belongs to flow %s\n", request, flow)
	}
	var flowLines []string
	for _, line := range lines {
		if logValue(line, "flow") == flow {
			flowLines = append(flowLines, line)
		}
	}
	if len(flowLines) == 0 {
		return fmt.Errorf("no log line for flow %s", flow)
	}
	slices.SortStableFunc(flowLines, func(a, b string) int { return strings.Compare(logValue(a, "time"), logValue(b, "time")) })
	for _, line := range flowLines {
		fmt.Fprintln(w, line)
	}
	return nil
}

// findFlow returns the flow of a request, or "" if no line has the request.
func findFlow(lines []string, request string) string {
	for _, line := range lines {
		if logValue(line, "request") == request {
			return logValue(line, "flow")
		}
	}
	return ""
}

// logValue returns the value of a key in a line of key=value pairs, or "" if the key is missing.
func logValue(line, key string) string {
	_, rest, found := strings.Cut(line, " "+key+"=")
	if !found && strings.HasPrefix(line, key+"=") {
		rest, found = line[len(key)+1:], true
	}
	if !found {
		return ""
	}
	text, _, _ := strings.Cut(rest, " ")
	return text
}
