// Command capacity measures what the control plane costs each role at several sizes, up to the fleet that the design
// page plans for. The measured process is a real feed in a process of its own; all others are played by another one.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"time"

	"github.com/spf13/cobra"

	"github.com/cowslipward/cowslipward/keys"
)

func main() {
	root := &cobra.Command{Use: "capacity", Short: "Measure the control plane's cost for each role", SilenceUsage: true}
	var window time.Duration
	var only string
	root.Flags().DurationVar(&window, "window", 20*time.Second, "time that each run is measured for")
	root.Flags().StringVar(&only, "only", "", "run only the cases of this group: view, subscriber, rules, relay, apart")
	root.RunE = func(cmd *cobra.Command, _ []string) error { return runAll(cmd.OutOrStdout(), window, only) }
	root.AddCommand(child("world", runWorld), child("measure", func(p plan) error { return runMeasure(p, os.Stdout) }))
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}

// child is a subcommand that takes its plan from standard input.
func child(name string, run func(plan) error) *cobra.Command {
	return &cobra.Command{Use: name, Hidden: true, RunE: func(*cobra.Command, []string) error {
		var p plan
		if err := json.NewDecoder(os.Stdin).Decode(&p); err != nil {
			return err
		}
		go exitWithParent()
		return run(p)
	}}
}

// exitWithParent ends this process when its standard input is closed, so that none is left when the parent is ended.
func exitWithParent() {
	_, _ = io.Copy(io.Discard, os.Stdin)
	os.Exit(1)
}

// runWorld plays the rest of the fleet until the process is ended.
func runWorld(p plan) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w, err := startWorld(context.Background(), p)
	if err != nil {
		return err
	}
	p.Platform = "http://" + listener.Addr().String()
	p.Self = w.self
	if err := json.NewEncoder(os.Stdout).Encode(p); err != nil {
		return err
	}
	return http.Serve(&countingListener{Listener: listener, c: &w.counters}, w.platformHandler())
}

// runCase runs one measured process against one world and ends both.
func runCase(p plan, window time.Duration) (*result, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	if err := keys.Generate(dir, nil, nil); err != nil {
		return nil, err
	}
	p.KeyDir, p.Window = dir, window
	if p.Control, err = freePort(); err != nil {
		return nil, err
	}
	worldOut, endWorld, err := spawn("world", p)
	if err != nil {
		return nil, err
	}
	defer endWorld()
	if err := json.NewDecoder(worldOut).Decode(&p); err != nil {
		return nil, fmt.Errorf("start the world: %w", err)
	}
	out, end, err := spawn("measure", p)
	if err != nil {
		return nil, err
	}
	defer end()
	r := &result{}
	if err := json.NewDecoder(out).Decode(r); err != nil {
		return nil, fmt.Errorf("measure: %w", err)
	}
	return r, nil
}

func freePort() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// spawn starts this program again with a plan. The measured process must not share its processor time and memory with
// those that play its peers.
func spawn(role string, p plan) (out io.Reader, end func(), err error) {
	command := exec.Command(os.Args[0], role)
	command.Stderr = os.Stderr
	stdin, err := command.StdinPipe()
	if err != nil {
		return nil, nil, err
	}
	stdout, err := command.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	if err := command.Start(); err != nil {
		return nil, nil, err
	}
	if err := json.NewEncoder(stdin).Encode(p); err != nil {
		return nil, nil, err
	}
	return bufio.NewReader(stdout), func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	}, nil
}
