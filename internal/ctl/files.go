package ctl

import (
	"fmt"
	"net"

	"github.com/spf13/cobra"

	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/settings"
)

// programs are the daemons that have settings.
var programs = map[string]struct {
	example string
	check   func(file string) error
}{
	"balancer": {settings.BalancerExample, func(file string) error {
		_, err := settings.LoadBalancer(file)
		return err
	}},
	"agent": {settings.AgentExample, func(file string) error {
		_, err := settings.LoadAgent(file)
		return err
	}},
	"packet-balancer": {settings.PacketBalancerExample, func(file string) error {
		_, err := settings.LoadPacketBalancer(file)
		return err
	}},
	"packet-agent": {settings.PacketAgentExample, func(file string) error {
		_, err := settings.LoadPacketAgent(file)
		return err
	}},
}

const wantProgram = "found program %q, want balancer, agent, packet-balancer or packet-agent"

// programNames are the programs in the order of help texts.
var programNames = []string{"balancer", "agent", "packet-balancer", "packet-agent"}

func newSettings() *cobra.Command {
	example := &cobra.Command{
		Use:       "example PROGRAM",
		Short:     "Print complete settings with comments",
		Example:   "  cowslipctl settings example agent > agent.json",
		Args:      cobra.ExactArgs(1),
		ValidArgs: programNames,
		RunE: runs(func(command *cobra.Command, args []string) error {
			program, ok := programs[args[0]]
			if !ok {
				return usage(wantProgram, args[0])
			}
			_, err := fmt.Fprint(command.OutOrStdout(), program.example)
			return err
		}),
	}
	check := &cobra.Command{
		Use:       "check balancer|agent FILE",
		Short:     "Check settings as the program does",
		Long:      "Check settings as the program does. All faults are printed with file, line, column and field; the exit code is 2.",
		Example:   "  cowslipctl settings check agent agent.json",
		Args:      cobra.ExactArgs(2),
		ValidArgs: programNames,
		RunE: runs(func(command *cobra.Command, args []string) error {
			program, ok := programs[args[0]]
			if !ok {
				return usage(wantProgram, args[0])
			}
			if err := program.check(args[1]); err != nil {
				return &exitError{code: ExitUsage, err: err}
			}
			_, err := fmt.Fprintf(command.OutOrStdout(), "%s is valid\n", args[1])
			return err
		}),
	}
	return group("settings", "Print and check settings of the programs", example, check)
}

func newKeys() *cobra.Command {
	var dir string
	var names, ips []string
	generate := &cobra.Command{
		Use:   "generate",
		Short: "Generate keys and certificates for a try-out",
		Long: `Generate a directory with all keys and certificates that a fleet needs, for a try-out. The certificates are valid for
90 days; production certificates come from your own CA. Files that exist are not overwritten.`,
		Example: "  cowslipctl keys generate --dir keys --ip 127.0.0.1",
		Args:    cobra.NoArgs,
		RunE: runs(func(command *cobra.Command, _ []string) error {
			if dir == "" {
				return usage("--dir: want a directory for the key files")
			}
			addresses := make([]net.IP, len(ips))
			for i, text := range ips {
				if addresses[i] = net.ParseIP(text); addresses[i] == nil {
					return usage("--ip: found %q, want an IP", text)
				}
			}
			if err := keys.Generate(dir, names, addresses); err != nil {
				return err
			}
			_, err := fmt.Fprintf(command.OutOrStdout(), "keys written to %s\n", dir)
			return err
		}),
	}
	generate.Flags().StringVar(&dir, "dir", "", "directory for the key files")
	generate.Flags().StringSliceVar(&names, "name", nil, "DNS names of the callers' certificate")
	generate.Flags().StringSliceVar(&ips, "ip", []string{"127.0.0.1"}, "IPs of the callers' certificate, such as service addresses")
	_ = generate.MarkFlagDirname("dir")
	return group("keys", "Generate keys", generate)
}
