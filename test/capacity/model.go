package main

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/rules"
)

// The fleet in two years, from the design page.
const (
	fullBalancers   = 720
	fullTargets     = 7100
	fullServices    = 2700
	domainCount     = 8
	restartsPerDay  = 2500
	rulesPerDay     = 390
	secondsPerDay   = 86400
	changesARestart = 12 // draining, stopped, off the list, on the list, starting, six steps of warming, serving
)

// fullChurn is the rate of record changes of the full fleet in changes a second.
const fullChurn = float64(restartsPerDay*changesARestart) / secondsPerDay

// model is a synthetic fleet of a size.
type model struct {
	vms   []fleet.VM // relays of each domain come first in it
	rules string
}

func domainName(i int) string { return fmt.Sprintf("region%d-%c", i%3, 'a'+i) }

// newModel returns a fleet of n VMs in the proportions of the full one.
func newModel(n int) *model {
	services := max(1, n*fullServices/(fullBalancers+fullTargets))
	balancers := n * fullBalancers / (fullBalancers + fullTargets)
	m := &model{}
	pools := make([][]string, services)
	for i := range n {
		vm := fleet.VM{FailureDomain: domainName(i % domainCount), Role: fleet.RoleTarget}
		vm.Name = fmt.Sprintf("target-%05d", i)
		if i < balancers {
			vm.Name, vm.Role = fmt.Sprintf("entry-%04d", i), fleet.RoleBalancer
		} else {
			pools[i%services] = append(pools[i%services], vm.Name)
		}
		ip := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
		vm.Data, vm.Control = netip.AddrPortFrom(ip, 7400), netip.AddrPortFrom(ip, 7401)
		vm.Admin = netip.AddrPortFrom(ip, 7402)
		m.vms = append(m.vms, vm)
	}
	m.rules = rulesText(pools)
	// Package feed chooses relays by this score; sorted by it, the relays of each domain come first.
	slices.SortFunc(m.vms, func(a, b fleet.VM) int {
		if relaysOf(n) > 3 && a.Role != b.Role {
			return int(b.Role) - int(a.Role) // targets first
		}
		return cmp.Compare(score(b), score(a))
	})
	return m
}

func score(vm fleet.VM) uint64 { return xxhash.Sum64String(vm.Name) }

func rulesText(pools [][]string) string {
	var text strings.Builder
	for i := range domainCount {
		fmt.Fprintf(&text, "domain %s id=%d region=region%d # asked by platform\n", domainName(i), i+1, i%3)
	}
	for i, pool := range pools {
		if len(pool) == 0 {
			continue
		}
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}), 443)
		fmt.Fprintf(&text, "service s%d id=%d address=%s pool=%s slots=9 connections=2000 deadline=10s queue=200ms "+
			"repeatable=GET,HEAD objective=99.9 # asked by studio\n", i, i+1, address, strings.Join(pool, ","))
	}
	return text.String()
}

// drained returns the rule file with one more line, as a usual change makes it.
func (m *model) drained(i int) string {
	for _, vm := range m.vms[i%len(m.vms):] {
		if vm.Role == fleet.RoleTarget {
			return m.rules + "drain " + vm.Name + " # asked by operations\n"
		}
	}
	return m.rules
}

// inDomain returns the VMs of a failure domain, its relays first.
func (m *model) inDomain(domain string) []*fleet.VM {
	var vms []*fleet.VM
	for i := range m.vms {
		if m.vms[i].FailureDomain == domain {
			vms = append(vms, &m.vms[i])
		}
	}
	return vms
}

// member returns the record of a VM as its relay would publish it.
func (m *model) member(vm fleet.VM, via string) *fleet.Member {
	return &fleet.Member{
		Record: fleet.MemberRecord{
			VM: vm, Incarnation: 1, Started: 1_700_000_000_000, Sequence: 1, State: fleet.StateServing,
			Weight: fleet.WeightFull, Service: 1, Revision: 1,
		},
		ListIndex: 1, Listed: true, Relay: via,
	}
}

// parsed returns the rule set of the model.
func (m *model) parsed(revision rules.Revision, text string) *rules.Set {
	set, err := rules.Parse(text, revision)
	if err != nil {
		panic(fmt.Sprintf("the synthetic rule file has faults: %v", err))
	}
	return set
}
