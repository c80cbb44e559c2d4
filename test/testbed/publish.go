package testbed

import (
	"net/http"
	"sort"
	"strings"

	"github.com/cowslipward/cowslipward/test/standin/platform"
)

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
