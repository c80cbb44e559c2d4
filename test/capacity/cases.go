package main

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/rules"
)

// group is a set of runs that differ in one quantity.
type group struct {
	name  string
	plans []plan
}

// groups returns the runs. Those with rule changes have one every 2 s, 110 times as often as planned for.
func groups() []group {
	const full = fullBalancers + fullTargets
	fullRelays := relaysOf(full)
	const rulePeriod = 2 * time.Second
	subscriber := func(vms int, churn float64) plan {
		return plan{VMs: vms, Relays: relaysOf(vms), Churn: churn}
	}
	relay := func(vms, relays, subscribers int) plan {
		return plan{
			VMs: vms, Relays: relays, Subscribers: subscribers, IsRelay: true,
			Churn: fullChurn * float64(vms) / full,
		}
	}
	apart := relay(full, fullRelays, 60)
	apart.Apart = true
	ruled, ruledRelay := subscriber(full, 0), relay(full, fullRelays, 20)
	ruled.RulePeriod, ruledRelay.RulePeriod, ruledRelay.Churn = rulePeriod, rulePeriod, 0
	quiet, quietRelay := subscriber(full, 0), relay(full, fullRelays, 20)
	quietRelay.Churn = 0
	return []group{
		{name: "subscriber", plans: []plan{
			subscriber(1000, fullChurn*1000/full), subscriber(2600, fullChurn*2600/full), subscriber(full, fullChurn),
			subscriber(full, 10*fullChurn), subscriber(full, 50*fullChurn),
		}},
		{name: "relay", plans: []plan{
			relay(1000, 3, 41), relay(2600, 6, 54), relay(full, fullRelays, 20),
			relay(full, fullRelays, 40), relay(full, fullRelays, 61),
		}},
		{name: "rules", plans: []plan{quiet, ruled, quietRelay, ruledRelay}},
		{name: "apart", plans: []plan{relay(full, fullRelays, 60), apart}},
	}
}

func runAll(out io.Writer, window time.Duration, only string) error {
	if only == "" || only == "view" {
		measureViews(out)
	}
	for _, g := range groups() {
		if only != "" && only != g.name {
			continue
		}
		fmt.Fprintf(out, "\n%s, window %s\n", g.name, window)
		fmt.Fprintln(out, "   vms relays/domain subscribers changes/s revisions core%  rss_mb anon_mb heap_mb  in_kb/s out_kb/s "+
			"reads/s reports/s sync_s sync_mb")
		for _, p := range g.plans {
			r, err := runCase(p, window)
			if err != nil {
				return fmt.Errorf("%s: %w", g.name, err)
			}
			fmt.Fprintf(out, "%6d %13d %11d %9.2f %9d %5.2f %7.1f %7.1f %7.1f %8.2f %8.2f %7.2f %9.1f %6.2f %7.2f\n",
				p.VMs, p.Relays, p.Subscribers, r.Changes, r.Revisions, 100*r.Core, mb(r.RSS), mb(r.Anonymous), mb(int64(r.Heap)),
				r.In/1000, r.Out/1000, r.Reads, r.Reports, r.Sync.Seconds(), mb(r.SyncBytes))
		}
	}
	return nil
}

func mb(bytes int64) float64 { return float64(bytes) / 1e6 }

// measureViews times what a process does for each change, apart from the network.
func measureViews(out io.Writer) {
	fmt.Fprintln(out, "view: cost of one change")
	fmt.Fprintln(out, "   vms rules_kb parse_ms delta_ms delta_b apply_ms view_ms view_kb table_kb")
	for _, n := range []int{1000, 2600, fullBalancers + fullTargets} {
		measureView(out, n)
	}
}

func measureView(out io.Writer, n int) {
	m := newModel(n)
	table := fleet.NewTable()
	tableBytes := allocated(func() {
		for _, vm := range m.vms {
			table.Merge(m.member(vm, "relay"))
		}
	})
	text := m.drained(n / 2)
	set := m.parsed(1, m.rules)
	var next *rules.Set
	parse := timed(func() { next = m.parsed(2, text) })
	var delta rules.Delta
	diff := timed(func() { delta = rules.NewDelta(set, next) })
	apply := timed(func() { _, _ = delta.Apply(set.Text) })
	build := timed(func() { _ = table.View(set, nil) })
	var view *fleet.View
	viewBytes := allocated(func() { view = table.View(set, nil) })
	runtime.KeepAlive([]any{view, table, m, next, delta})
	fmt.Fprintf(out, "%6d %8.1f %8.2f %8.2f %7d %8.2f %7.2f %7.0f %8.0f\n", n, float64(len(text))/1000,
		ms(parse), ms(diff), delta.Size(), ms(apply), ms(build), viewBytes/1000, tableBytes/1000)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// timed returns the mean of several runs.
func timed(do func()) time.Duration {
	const runs = 20
	begin := time.Now()
	for range runs {
		do()
	}
	return time.Since(begin) / runs
}

// allocated returns how much the heap in use grows.
func allocated(do func()) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC() // the first one may leave what finalizers and pools hold
	runtime.ReadMemStats(&before)
	do()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// relaysOf is the number of relays that package feed chooses in each domain of a fleet.
func relaysOf(vms int) int {
	return max(3, (vms/domainCount+63)/64)
}
