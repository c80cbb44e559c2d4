package ctl

import (
	"fmt"
	"net"

	"github.com/spf13/cobra"

	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/settings"
)

// daemons maps each program that reads a settings file to its example and its check.
var daemons = map[string]struct {
	example  string
	validate func(file string) error
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

const unknownProgramFormat = "found program %q, want balancer, agent, packet-balancer or packet-agent"

// programNames lists the keys of daemons in the order of the help texts.
var programNames = []string{"balancer", "agent", "packet-balancer", "packet-agent"}

func newSettings() *cobra.Command {
	example := &cobra.Command{
		Use:       "example PROGRAM",
		Short:     "Print a complete, commented settings file",
		Example:   "  cowslipctl settings example agent > agent.json",
		Args:      cobra.ExactArgs(1),
		ValidArgs: programNames,
		RunE: withExitCode(func(command *cobra.Command, args []string) error {
			program, ok := daemons[args[0]]
			if !ok {
				return usageError(unknownProgramFormat, args[0])
			}
			_, err := fmt.Fprint(command.OutOrStdout(), program.example)
			return err
		}),
	}
	check := &cobra.Command{
		Use:       "check balancer|agent FILE",
		Short:     "Check a settings file as the program does at its start",
		Long:      "Check a settings file as the program does at its start. All errors are printed with file, line, column and field; the\nexit code is then 2.",
		Example:   "  cowslipctl settings check agent agent.json",
		Args:      cobra.ExactArgs(2),
		ValidArgs: programNames,
		RunE: withExitCode(func(command *cobra.Command, args []string) error {
			program, ok := daemons[args[0]]
			if !ok {
				return usageError(unknownProgramFormat, args[0])
			}
			if err := program.validate(args[1]); err != nil {
				return &exitError{code: ExitUsage, err: err}
			}
			_, err := fmt.Fprintf(command.OutOrStdout(), "%s is valid\n", args[1])
			return err
		}),
	}
	return newCommandGroup("settings", "Print and check settings files", example, check)
}

func newKeys() *cobra.Command {
	var dir string
	var names, ips []string
	generate := &cobra.Command{
		Use:   "generate",
		Short: "Generate keys and certificates for a test deployment",
		Long: `Generate a directory with all keys and certificates that a fleet needs, for a test deployment. The certificates are
valid for 90 days; for production, issue certificates from your own CA. Existing files are not overwritten.`,
		Example: "  cowslipctl keys generate --dir keys --ip 127.0.0.1",
		Args:    cobra.NoArgs,
		RunE: withExitCode(func(command *cobra.Command, _ []string) error {
			if dir == "" {
				return usageError("--dir: want a directory for the key files")
			}
			addresses := make([]net.IP, len(ips))
			for i, text := range ips {
				if addresses[i] = net.ParseIP(text); addresses[i] == nil {
					return usageError("--ip: found %q, want an IP", text)
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
	generate.Flags().StringSliceVar(&names, "name", nil, "DNS names in the certificate that callers verify")
	generate.Flags().StringSliceVar(&ips, "ip", []string{"127.0.0.1"}, "IPs in the certificate that callers verify, such as service addresses")
	_ = generate.MarkFlagDirname("dir")
	return newCommandGroup("keys", "Generate keys", generate)
}
