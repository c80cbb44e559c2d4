package ctl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/cowslipward/cowslipward/caller"
)

// callCommand holds the flags of the command "call".
type callCommand struct {
	output     output
	address    string
	local      string
	ca         string
	serverName string
	method     string
	headers    []string
	data       string
	deadline   time.Duration
}

func newCall() *cobra.Command {
	var c callCommand
	command := &cobra.Command{
		Use:   "call PATH",
		Short: "Send a request to a service as a caller",
		Long: `Send a request to a service over HTTP/3, as a caller does. The response body is written to standard output and a
one-line outcome to standard error. With --output json, the outcome is written to standard output and the body is
discarded.

A request that may not be repeated is sent with a ticket, so that it runs at most once. The exit code is 0 if the target
answered with a status below 400, otherwise 1.`,
		Example: `  cowslipctl call /notes --address 127.0.0.1:7001 --ca keys/caller-ca.crt
  cowslipctl call /records --address 127.0.0.1:7001 --ca keys/caller-ca.crt --method POST --data paste=7`,
		Args: cobra.ExactArgs(1),
		RunE: withExitCode(func(command *cobra.Command, args []string) error { return c.run(command, args[0]) }),
	}
	flags := command.Flags()
	flags.StringVar(&c.address, "address", "", "address of the service, IP:PORT")
	flags.StringVar(&c.local, "local", "", "source IP")
	flags.StringVar(&c.ca, "ca", "", "file with the trusted CA certificates in PEM; empty for the system's")
	flags.StringVar(&c.serverName, "server-name", "", "name expected in the service's certificate; empty for the IP of --address")
	flags.StringVarP(&c.method, "method", "X", http.MethodGet, "request method")
	flags.StringArrayVarP(&c.headers, "header", "H", nil, "request header, NAME: VALUE; may be repeated")
	flags.StringVarP(&c.data, "data", "d", "", `request body; "@FILE" reads it from a file`)
	flags.DurationVar(&c.deadline, "deadline", caller.DefaultDeadline, "maximum wait for the response header")
	c.output.addFlags(command)
	_ = command.MarkFlagRequired("address")
	return command
}

func (c *callCommand) run(command *cobra.Command, path string) error {
	if err := c.output.validate(); err != nil {
		return err
	}
	config, err := c.config()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(command.Context(), os.Interrupt)
	defer stop()
	request, err := c.request(ctx, path)
	if err != nil {
		return err
	}
	client := caller.New(config)
	defer client.Close()
	started := time.Now()
	return c.print(command, client.Do(request), started)
}

func (c *callCommand) config() (caller.Config, error) {
	config := caller.Config{Flows: 1, Deadline: c.deadline}
	var err error
	if config.Address, err = netip.ParseAddrPort(c.address); err != nil {
		return config, usageError("--address: found %q, want IP:PORT", c.address)
	}
	if c.local != "" {
		if config.Local, err = netip.ParseAddr(c.local); err != nil {
			return config, usageError("--local: found %q, want an IP", c.local)
		}
	}
	if c.deadline <= 0 {
		return config, usageError("--deadline: found %s, want more than 0s", c.deadline)
	}
	config.TLS = &tls.Config{MinVersion: tls.VersionTLS13, ServerName: c.serverName}
	if c.ca == "" {
		return config, nil
	}
	pem, err := os.ReadFile(c.ca)
	if err != nil {
		return config, usageError("--ca: %w", err)
	}
	config.TLS.RootCAs = x509.NewCertPool()
	if !config.TLS.RootCAs.AppendCertsFromPEM(pem) {
		return config, usageError("--ca: %s: found no certificate, want at least one in PEM", c.ca)
	}
	return config, nil
}

func (c *callCommand) request(ctx context.Context, path string) (*http.Request, error) {
	requestURI, err := url.ParseRequestURI(path)
	if err != nil || !strings.HasPrefix(path, "/") {
		return nil, usageError("found path %q, want one that starts with /", path)
	}
	data := c.data
	if name, ok := strings.CutPrefix(data, "@"); ok {
		content, err := os.ReadFile(name)
		if err != nil {
			return nil, usageError("--data: %w", err)
		}
		data = string(content)
	}
	var body io.Reader
	if data != "" {
		body = strings.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, c.method, requestURI.String(), body)
	if err != nil {
		return nil, usageError("--method: %w", err)
	}
	for _, header := range c.headers {
		name, value, ok := strings.Cut(header, ":")
		if !ok || name == "" {
			return nil, usageError("--header: found %q, want NAME: VALUE", header)
		}
		request.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	return request, nil
}

// callData is the JSON output of the command "call".
type callData struct {
	Outcome  string  `json:"outcome"`
	Status   int     `json:"status,omitempty"`
	Reason   string  `json:"reason,omitempty"`
	Target   string  `json:"target,omitempty"`
	Attempts int     `json:"attempts"`
	Bytes    int64   `json:"bytes"`
	Seconds  float64 `json:"seconds"`
	Error    string  `json:"error,omitempty"`
}

// print writes the response body as it arrives, then the outcome. It returns an error unless the target answered with a
// status below 400.
func (c *callCommand) print(command *cobra.Command, result *caller.Result, started time.Time) error {
	data := callData{
		Outcome: result.Outcome.String(), Reason: result.Reason, Target: result.Target, Attempts: result.Attempts,
	}
	if result.Err != nil {
		data.Error = result.Err.Error()
	}
	if result.Response != nil {
		c.copyBody(command, result.Response, &data)
	}
	data.Seconds = time.Since(started).Seconds()
	if c.output.format == "json" {
		if err := printJSON(command.OutOrStdout(), data); err != nil {
			return err
		}
	} else {
		fmt.Fprintln(command.ErrOrStderr(), data.line())
	}
	if data.Outcome != caller.Answered.String() || data.Status >= http.StatusBadRequest {
		return fmt.Errorf("request failed: outcome=%s status=%d", data.Outcome, data.Status)
	}
	return nil
}

func (c *callCommand) copyBody(command *cobra.Command, response *http.Response, data *callData) {
	defer response.Body.Close()
	data.Status = response.StatusCode
	bodyWriter := command.OutOrStdout()
	if c.output.format == "json" {
		bodyWriter = io.Discard
	}
	var err error
	data.Bytes, err = io.Copy(bodyWriter, response.Body)
	var interrupted *caller.Interrupted
	switch {
	case errors.As(err, &interrupted):
		data.Outcome, data.Reason = interrupted.Outcome.String(), interrupted.Reason
	case err != nil:
		data.Outcome, data.Error = caller.Unknown.String(), err.Error()
	}
}

func (d *callData) line() string {
	line := fmt.Sprintf("outcome=%s status=%d target=%s attempts=%d bytes=%d seconds=%.3f",
		d.Outcome, d.Status, dashIfEmpty(d.Target), d.Attempts, d.Bytes, d.Seconds)
	if d.Reason != "" {
		line += fmt.Sprintf(" reason=%q", d.Reason)
	}
	if d.Error != "" {
		line += fmt.Sprintf(" error=%q", d.Error)
	}
	return line
}
