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

// maxLogLine bounds a line of a log.
const maxLogLine = 1 << 20

func newPacketsTrace() *cobra.Command {
	var flow, request string
	command := &cobra.Command{
		Use:   "trace [LOG]...",
		Short: "Print the story of one flow or request from the logs of several processes, in order; without LOG from the input",
		RunE: runs(func(c *cobra.Command, args []string) error {
			if (flow == "") == (request == "") {
				return usage("want one of --flow and --request")
			}
			lines, err := readLogs(c.InOrStdin(), args)
			if err != nil {
				return err
			}
			return printTrace(c.OutOrStdout(), lines, flow, request)
		}),
	}
	command.Flags().StringVar(&flow, "flow", "", "ends of the flow, caller-service, as the logs show them")
	command.Flags().StringVar(&request, "request", "", "ID of the request")
	return command
}

// readLogs returns the lines of the files, or of the input where there is none.
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
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
	}
	return lines, scanner.Err()
}

// printTrace prints the lines of one flow by time. The line of a request names its flow.
func printTrace(w io.Writer, lines []string, flow, request string) error {
	if request != "" {
		if flow = flowOf(lines, request); flow == "" {
			return fmt.Errorf("no line names request %s: it was not sampled, or it reached no agent", request)
		}
		fmt.Fprintf(w, "request %s went over flow %s\n", request, flow)
	}
	var story []string
	for _, line := range lines {
		if value(line, "flow") == flow {
			story = append(story, line)
		}
	}
	if len(story) == 0 {
		return fmt.Errorf("no line names flow %s", flow)
	}
	slices.SortStableFunc(story, func(a, b string) int { return strings.Compare(value(a, "time"), value(b, "time")) })
	for _, line := range story {
		fmt.Fprintln(w, line)
	}
	return nil
}

func flowOf(lines []string, request string) string {
	for _, line := range lines {
		if value(line, "request") == request {
			return value(line, "flow")
		}
	}
	return ""
}

// value returns the value of a key in a line of key=value pairs.
func value(line, key string) string {
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
