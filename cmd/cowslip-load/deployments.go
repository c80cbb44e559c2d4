package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/cowslipward/cowslipward/platform/platformtest/deployments"
)

func deploymentsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "deployments FILE DIRECTORY",
		Short: "Write altered copies of a deployment file of the platform's bench into a directory",
		Args:  cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			paths, err := deployments.Write(args[0], args[1])
			for _, path := range paths {
				_, _ = fmt.Fprintln(c.OutOrStdout(), path)
			}
			return err
		},
	}
}
