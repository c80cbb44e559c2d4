// Command cowslip-standin runs the stand-ins that tests and the demo use in place of a platform and its back ends.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/cowslipward/cowslipward/test/standin/fabric"
	"github.com/cowslipward/cowslipward/test/standin/platform"
	"github.com/cowslipward/cowslipward/test/standin/target"
)

// headerTimeout bounds how long a client may take to send its headers.
const headerTimeout = 5 * time.Second

func main() {
	root := &cobra.Command{Use: "cowslip-standin", Short: "Stand-ins for tests", SilenceUsage: true}
	root.AddCommand(platformCommand(), fabricCommand(), targetCommand())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func platformCommand() *cobra.Command {
	var listen string
	command := &cobra.Command{Use: "platform", Short: "Configuration service and VM list", Args: cobra.NoArgs}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:8500", "address to serve on")
	command.RunE = func(command *cobra.Command, _ []string) error {
		return serve(command.Context(), endpoint{listen, platform.New()})
	}
	return command
}

func fabricCommand() *cobra.Command {
	var path string
	command := &cobra.Command{Use: "fabric", Short: "Network with spraying, delays, loss and cuts", Args: cobra.NoArgs}
	command.Flags().StringVar(&path, "config", "", "JSON file that describes the network")
	command.RunE = func(command *cobra.Command, _ []string) error {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		var config fabric.Config
		if err := json.Unmarshal(text, &config); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		network, err := fabric.New(config)
		if err != nil {
			return err
		}
		go network.Poll(command.Context())
		return serve(command.Context(), endpoint{config.Admin.String(), network.Handler()})
	}
	return command
}

func targetCommand() *cobra.Command {
	var listen, control string
	var config target.Config
	command := &cobra.Command{Use: "target", Short: "Back end with slots and cold starts", Args: cobra.NoArgs}
	flags := command.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:8080", "address for work")
	flags.StringVar(&control, "control", "127.0.0.1:8081", "address for the test's commands")
	flags.StringVar(&config.Service, "service", "", "service that the target belongs to")
	flags.IntVar(&config.Slots, "slots", 8, "requests that it bears at once")
	flags.IntVar(&config.ColdSlots, "cold-slots", 2, "requests that it bears in a cold start")
	flags.DurationVar(&config.ColdTime, "cold-time", 3*time.Second, "length of a cold start")
	flags.Float64Var(&config.ColdSlow, "cold-slow", 4, "factor on service time in a cold start")
	command.RunE = func(command *cobra.Command, _ []string) error {
		server := target.New(config)
		return serve(command.Context(), endpoint{listen, server.Handler()}, endpoint{control, server.Control()})
	}
	return command
}

type endpoint struct {
	address string
	handler http.Handler
}

// serve runs HTTP servers until the context ends or one fails.
func serve(ctx context.Context, endpoints ...endpoint) error {
	failed := make(chan error, len(endpoints))
	for _, e := range endpoints {
		server := &http.Server{Addr: e.address, Handler: e.handler, ReadHeaderTimeout: headerTimeout}
		defer func() { _ = server.Close() }()
		go func() { failed <- server.ListenAndServe() }()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}
}
