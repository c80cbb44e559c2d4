package testbed

import (
	"os"
	"path/filepath"
	"time"

	"github.com/cowslipward/cowslipward/test/standin/target"
)

// Stats returns the counters of the target of a VM.
func (b *Bed) Stats(name string) (target.Stats, error) {
	var stats target.Stats
	vm, err := b.VM(name)
	if err != nil {
		return stats, err
	}
	err = b.get("http://"+vm.at(portTargetControl).String()+"/stats", &stats)
	return stats, err
}

// Runs returns the runs recorded by the target of a VM.
func (b *Bed) Runs(name string) ([]target.Run, error) {
	var runs []target.Run
	vm, err := b.VM(name)
	if err != nil {
		return nil, err
	}
	err = b.get("http://"+vm.at(portTargetControl).String()+"/runs", &runs)
	return runs, err
}

// Targets returns the names of the VMs with a target.
func (b *Bed) Targets() []string {
	var names []string
	for _, vm := range b.VMs() {
		if !vm.isBalancer() {
			names = append(names, vm.Name)
		}
	}
	return names
}

// Running returns the names of the VMs whose daemon runs.
func (b *Bed) Running() []string {
	var names []string
	for _, vm := range b.VMs() {
		daemon, _ := vm.processes()
		if daemon != nil && !daemon.HasEnded() {
			names = append(names, vm.Name)
		}
	}
	return names
}

// Ready asks the daemon of a VM whether it is ready.
func (b *Bed) Ready(name string) error {
	vm, err := b.VM(name)
	if err != nil {
		return err
	}
	return b.get("http://"+vm.Admin().String()+"/readyz", nil)
}

// AwaitVM waits until the daemon of a VM is ready.
func (b *Bed) AwaitVM(name string, limit time.Duration) error {
	vm, err := b.VM(name)
	if err != nil {
		return err
	}
	return vm.awaitReady(limit)
}

// Status is what the administration API of a daemon says.
type Status struct {
	Revision uint64 `json:"revision,string"`            // rules in force
	Since    int64  `json:"revisionSinceUnixMs,string"` // when they came into force, Unix milliseconds
	Ready    bool   `json:"ready"`
	Load     Load   `json:"load"`
}

// Load is the admission state of a target.
type Load struct {
	Limit      int    `json:"limit"`
	InProgress int    `json:"inProgress"`
	Queued     int    `json:"queued"`
	Reason     string `json:"reason"`
}

// Status asks the daemon of a VM over its administration API.
func (b *Bed) Status(name string) (Status, error) {
	var status Status
	vm, err := b.VM(name)
	if err != nil {
		return status, err
	}
	url := "http://" + vm.Admin().String() + "/cowslipward.admin.v1.AdminService/Status"
	err = b.post(url, struct{}{}, &status)
	return status, err
}

// Revision asks the daemon of a VM for the revision in force, zero when there is none.
func (b *Bed) Revision(name string) (uint64, error) {
	status, err := b.Status(name)
	return status.Revision, err
}

// KeepLogs copies the logs of all processes to a directory.
func (b *Bed) KeepLogs(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	return os.CopyFS(filepath.Join(dir, filepath.Base(b.Dir)), os.DirFS(b.Dir))
}
