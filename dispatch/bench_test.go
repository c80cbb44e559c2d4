package dispatch_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/dispatch"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
)

func benchDispatcher(targets int) *dispatch.Dispatcher {
	f := newFleet(nil)
	for n := range targets {
		id := fmt.Sprintf("i-%d", n)
		f.apply(directory.Record{Kind: directory.KindTarget, Name: id, Target: &directory.Target{
			ID: id, Service: service, Address: flow.Endpoint{IP: [4]byte{10, 1, byte(n >> 8), byte(n)}, Port: 80},
			Domain: []string{domainA, domainB}[n%2], Slots: 9, State: directory.TargetReady,
		}})
	}
	d := f.dispatcher()
	return d
}

// setCaller changes the source of a packet to the nth caller.
func setCaller(p *flow.Packet, n int) *flow.Packet {
	p.From = flow.Endpoint{IP: [4]byte{100, 64, byte(n >> 16), byte(n >> 24)}, Port: uint16(n)}
	return p
}

func BenchmarkOpenFlow(b *testing.B) {
	d := benchDispatcher(10)
	p := data(1)
	decision := d.HandleCallerPacket(p, seconds(1))
	d.HandleFound(decision.Paths[0].First.Address.IP, &encap.Header{}, p, seconds(1))
	b.ReportAllocs()
	for range b.N {
		d.HandleCallerPacket(p, seconds(1))
	}
}

func BenchmarkPlaceFlow(b *testing.B) {
	for _, targets := range []int{10, 52, 7100} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			d := benchDispatcher(targets)
			p := syn(1, 0)
			b.ReportAllocs()
			for n := range b.N {
				d.HandleCallerPacket(setCaller(p, n), seconds(1))
			}
		})
	}
}

func BenchmarkSearchFlow(b *testing.B) {
	for _, targets := range []int{10, 52, 7100} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			d := benchDispatcher(targets)
			p := data(1)
			b.ReportAllocs()
			for n := range b.N {
				d.HandleCallerPacket(setCaller(p, n), seconds(1))
			}
		})
	}
}

// BenchmarkTable reports the memory use per entry of the flow table.
func BenchmarkTable(b *testing.B) {
	for _, flows := range []int{10_000, 100_000} {
		b.Run(fmt.Sprintf("flows=%d", flows), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				d := benchDispatcher(10)
				runtime.GC()
				runtime.ReadMemStats(&before)
				p := syn(1, 0)
				for n := range flows {
					d.HandleCallerPacket(setCaller(p, n), seconds(1))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(d.FlowCount()), "B/flow")
				runtime.KeepAlive(d)
			}
		})
	}
}
