package testbed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"syscall"
	"time"

	"github.com/cowslipward/cowslipward/test/standin/fabric"
	"github.com/cowslipward/cowslipward/test/standin/platform"
	"github.com/cowslipward/cowslipward/test/standin/target"
)

// get reads JSON; into may be nil.
func (b *Bed) get(url string, into any) error { return b.call(http.MethodGet, url, nil, into) }

func (b *Bed) post(url string, body, into any) error { return b.call(http.MethodPost, url, body, into) }

// call makes an HTTP call. A body of type string goes out as it is, any other as JSON.
func (b *Bed) call(method, url string, body, into any) error {
	var reader io.Reader
	switch body := body.(type) {
	case nil:
	case string:
		reader = strings.NewReader(body)
	default:
		text, err := json.Marshal(body)
		if err != nil {
			return err
		}
		reader = bytes.NewReader(text)
	}
	request, err := http.NewRequest(method, url, reader)
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := b.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %s: %s", method, url, answer.Status, strings.TrimSpace(string(text)))
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(text, into)
}

// publish writes the rule file and returns its revision.
func (b *Bed) publish() (uint64, error) {
	var answer struct {
		Index uint64 `json:"index"`
	}
	err := b.call(http.MethodPut, b.platformURL()+"/control/kv/"+rulesKey, b.RuleFile(), &answer)
	return answer.Index, err
}

// RuleFile returns the rule file with the drains and outs in force.
func (b *Bed) RuleFile() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	lines := append([]string(nil), b.rules...)
	for _, vm := range sorted(b.drains) {
		lines = append(lines, "drain "+vm+" # asked by Sean, operations")
	}
	for _, domain := range sorted(b.outs) {
		lines = append(lines, "out "+domain+" # asked by Sean, operations")
	}
	return strings.Join(lines, "\n") + "\n"
}

func sorted(set map[string]bool) []string {
	var names []string
	for name, on := range set {
		if on {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Drain publishes a drain rule for a VM, or takes it back.
func (b *Bed) Drain(vm string, on bool) (uint64, error) {
	b.mu.Lock()
	b.drains[vm] = on
	b.mu.Unlock()
	return b.publish()
}

// Out publishes an out rule for a failure domain, or takes it back.
func (b *Bed) Out(domain string, on bool) (uint64, error) {
	b.mu.Lock()
	b.outs[domain] = on
	b.mu.Unlock()
	return b.publish()
}

// Touch publishes the rule file with another comment, so that its revision rises.
func (b *Bed) Touch(comment string) (uint64, error) {
	b.mu.Lock()
	b.rules = append(b.rules[:len(b.rules):len(b.rules)], "# "+comment)
	b.mu.Unlock()
	return b.publish()
}

// PublishText publishes a text as the rule file, valid or not.
func (b *Bed) PublishText(text string) (uint64, error) {
	var answer struct {
		Index uint64 `json:"index"`
	}
	err := b.call(http.MethodPut, b.platformURL()+"/control/kv/"+rulesKey, text, &answer)
	return answer.Index, err
}

func (b *Bed) publishVMs() error {
	var list []platform.VM
	for _, vm := range b.VMs() {
		list = append(list, vm.entry())
	}
	return b.call(http.MethodPut, b.platformURL()+"/control/vms", list, nil)
}

// Platform sets the mode of a part of the platform for the VMs, or for all when none is named.
func (b *Bed) Platform(part platform.Part, mode platform.Mode, vms ...string) error {
	fault := platform.Fault{Part: part, Mode: mode}
	for _, name := range vms {
		vm, err := b.VM(name)
		if err != nil {
			return err
		}
		fault.Readers = append(fault.Readers, vm.ip.String())
	}
	return b.post(b.platformURL()+"/control/fault", fault, nil)
}

// Reads returns how many calls the configuration service took.
func (b *Bed) Reads() (platform.Reads, error) {
	var reads platform.Reads
	err := b.get(b.platformURL()+"/control/reads", &reads)
	return reads, err
}

// Cut sends a cut to the fabric.
func (b *Bed) Cut(c fabric.Cut) error { return b.post(b.fabricURL()+"/cut", c, nil) }

// Silence makes open connections carry nothing any more.
func (b *Bed) Silence(c fabric.Silence) (int, error) {
	var count int
	err := b.post(b.fabricURL()+"/silence", c, &count)
	return count, err
}

// Loss sets the loss of a path.
func (b *Bed) Loss(c fabric.Loss) error { return b.post(b.fabricURL()+"/loss", c, nil) }

// Fabric returns the counters of the fabric.
func (b *Bed) Fabric() (fabric.Counters, error) {
	var counters fabric.Counters
	err := b.get(b.fabricURL()+"/counters", &counters)
	return counters, err
}

// Kill ends the daemon of a VM at once, as a power failure does. With its target when whole is set.
func (b *Bed) Kill(name string, whole bool) error {
	vm, err := b.VM(name)
	if err != nil {
		return err
	}
	daemon, target := vm.processes()
	daemon.Kill()
	if whole && target != nil {
		target.Kill()
	}
	return nil
}

// KillTarget ends the back end of a VM at once.
func (b *Bed) KillTarget(name string) error {
	vm, err := b.VM(name)
	if err != nil {
		return err
	}
	_, target := vm.processes()
	target.Kill()
	return nil
}

// Signal sends a signal to the daemon of a VM.
func (b *Bed) Signal(name string, signal syscall.Signal) error {
	vm, err := b.VM(name)
	if err != nil {
		return err
	}
	daemon, _ := vm.processes()
	return daemon.Signal(signal)
}

// AwaitExit waits for the end of the daemon of a VM and returns how it ended.
func (b *Bed) AwaitExit(name string, limit time.Duration) error {
	vm, err := b.VM(name)
	if err != nil {
		return err
	}
	daemon, _ := vm.processes()
	return daemon.Await(limit)
}

// Restart starts the processes of a VM that have ended.
func (b *Bed) Restart(name string) error {
	vm, err := b.VM(name)
	if err != nil {
		return err
	}
	daemon, target := vm.processes()
	if target != nil && target.HasEnded() {
		if err := vm.startTarget(); err != nil {
			return err
		}
	}
	if daemon.HasEnded() {
		return vm.startDaemon()
	}
	return nil
}

// AddBalancer starts a balancer on a new VM.
func (b *Bed) AddBalancer(name, domain string) error {
	vm := b.addVM(name, domain, Service{})
	if err := b.post(b.fabricURL()+"/vm", vm.node(), nil); err != nil {
		return err
	}
	if err := b.publishVMs(); err != nil {
		return err
	}
	return vm.startDaemon()
}

// RemoveVM ends the processes of a VM and takes it off the list and the fabric.
func (b *Bed) RemoveVM(name string) error {
	if err := b.Kill(name, true); err != nil {
		return err
	}
	b.mu.Lock()
	delete(b.vms, name)
	kept := b.order[:0:0]
	for _, n := range b.order {
		if n != name {
			kept = append(kept, n)
		}
	}
	b.order = kept
	b.mu.Unlock()
	if err := b.publishVMs(); err != nil {
		return err
	}
	return b.call(http.MethodDelete, b.fabricURL()+"/vm/"+name, nil, nil)
}

// Target sends a command to the target of a VM, such as cold?for=2s.
func (b *Bed) Target(name, command string, body any) error {
	vm, err := b.VM(name)
	if err != nil {
		return err
	}
	return b.post("http://"+vm.at(portTargetControl).String()+"/"+command, body, nil)
}

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
