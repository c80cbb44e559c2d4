package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/cowslipward/cowslipward/feed"
	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/internal/daemon"
	"github.com/cowslipward/cowslipward/internal/peer"
	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/settings"
)

// Times of a run.
const (
	settleTime = 8 * time.Second
	readyLimit = 60 * time.Second
)

// result is what a run measured over its window.
type result struct {
	Core      float64 // share of one core
	RSS       int64   // bytes
	Anonymous int64   // bytes of it that are not pages of the program's file
	Heap      uint64  // bytes in use after a collection
	In        float64 // bytes a second, TCP payload
	Out       float64
	Reads     float64 // platform queries a second
	Reports   float64 // a second
	Changes   float64 // record changes a second
	Revisions int64
	Members   int
	Sync      time.Duration // from the start until all members were in the view
	SyncBytes int64         // TCP payload until then
}

// runMeasure runs a feed against the world and prints what it cost.
func runMeasure(p plan, out io.Writer) error {
	daemon.LimitMemory()
	store, err := keys.Open(p.KeyDir)
	if err != nil {
		return err
	}
	f := feed.New(feed.Config{
		Self: p.Self, Incarnation: 1, Started: time.Now(), Keys: store, Log: measureLog(),
		Platform: settings.Platform{ConfigURL: p.Platform, VMsURL: p.Platform, RulesKey: "rules"},
	})
	mux := http.NewServeMux()
	mux.Handle(f.Handler())
	listener, err := peer.Listen(store, p.Control)
	if err != nil {
		return err
	}
	go func() { _ = peer.NewServer(mux).Serve(listener) }()
	go func() { _ = f.Run(context.Background()) }()
	f.PublishSelf(fleet.MemberRecord{State: fleet.StateServing, Service: 1, Weight: fleet.WeightFull})
	r := &result{}
	begin := time.Now()
	if err := awaitMembers(f, p, r); err != nil {
		return err
	}
	r.Sync = time.Since(begin)
	first, err := readCounters(p.Platform)
	if err != nil {
		return err
	}
	r.SyncBytes = first.FromMeasured + first.ToMeasured
	time.Sleep(settleTime)
	if err := r.measure(p); err != nil {
		return err
	}
	return json.NewEncoder(out).Encode(r)
}

func measureLog() *slog.Logger {
	if os.Getenv("CAPACITY_LOG") == "" {
		return nil
	}
	return slog.New(slog.NewTextHandler(os.Stderr, nil))
}

// awaitMembers waits until the view holds the records of the fleet, or of the reachable part of it.
func awaitMembers(f *feed.Feed, p plan, r *result) error {
	wanted := p.VMs
	if p.Apart {
		wanted = p.VMs / domainCount * 3 // domains 0, 3 and 6 form the region of the measured process
	}
	for begin := time.Now(); time.Since(begin) < readyLimit; time.Sleep(5 * time.Millisecond) {
		r.Members = len(f.View().Balancers())
		for _, service := range f.View().Rules().Services {
			for _, target := range f.View().Targets(service.ID) {
				if target.State == fleet.StateServing {
					r.Members++
				}
			}
		}
		if r.Members >= wanted-1 {
			return nil
		}
	}
	return fmt.Errorf("the view holds %d of %d members after %s", r.Members, wanted, readyLimit)
}

// measure reads the clocks and counters at both ends of the window.
func (r *result) measure(p plan) error {
	debug.FreeOSMemory()
	before, err := readCounters(p.Platform)
	if err != nil {
		return err
	}
	cpu, begin := processorTime(), time.Now()
	time.Sleep(p.Window)
	used, elapsed := processorTime()-cpu, time.Since(begin)
	after, err := readCounters(p.Platform)
	if err != nil {
		return err
	}
	second := elapsed.Seconds()
	r.Core = used.Seconds() / second
	r.In = float64(after.ToMeasured-before.ToMeasured) / second
	r.Out = float64(after.FromMeasured-before.FromMeasured) / second
	r.Reads = float64(after.Reads-before.Reads) / second
	r.Reports = float64(after.Reports-before.Reports) / second
	r.Changes = float64(after.Changes-before.Changes) / second
	r.Revisions = after.Revisions - before.Revisions
	if r.RSS, err = residentBytes("VmRSS:"); err != nil {
		return err
	}
	if r.Anonymous, err = residentBytes("RssAnon:"); err != nil {
		return err
	}
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	r.Heap = stats.HeapAlloc
	return nil
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // fails only for a bad argument
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// residentBytes reads a size of this process from /proc/self/status, proc(5).
func residentBytes(field string) (int64, error) {
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0, err
	}
	_, rest, found := strings.Cut(string(text), field)
	if !found {
		return 0, fmt.Errorf("found no %s in /proc/self/status", field)
	}
	var kib int64
	if _, err := fmt.Sscan(rest, &kib); err != nil {
		return 0, err
	}
	return kib << 10, nil
}

func readCounters(platform string) (snapshot, error) {
	var s snapshot
	answer, err := http.Get(platform + "/counters")
	if err != nil {
		return s, err
	}
	defer answer.Body.Close()
	return s, json.NewDecoder(answer.Body).Decode(&s)
}
