// Command cowslipctl looks at a fleet and prepares its files.
package main

import (
	"os"

	"github.com/cowslipward/cowslipward/internal/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
