package directory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/directory"
)

// Guards against a cost of configuration changes that is quadratic in the number of routes. A balancer has a
// twentieth of a core and forwards no packets while it applies a change.
func TestConfigChangeCostIsNotQuadratic(t *testing.T) {
	few, many := minChangeTime(400), minChangeTime(4000)
	require.Less(t, many, 40*few, "%s for 400 routes, %s for 4,000", few, many)
}

// minChangeTime returns the shortest of several measured times for applying a new configuration with the number
// of routes.
func minChangeTime(routes int) time.Duration {
	names := routeNames(routes)
	shortest := time.Hour
	for range 9 {
		d := directory.New()
		first, second := configRecord(1, configWithRoutes(1, names...)), configRecord(2, configWithRoutes(2, names...))
		d.Apply(&first, time.Second)
		start := time.Now()
		d.Apply(&second, time.Second)
		shortest = min(shortest, time.Since(start))
	}
	return shortest
}

// BenchmarkChangeOfALargeConfiguration applies a change of one of 2,700 routes and builds the next view.
func BenchmarkChangeOfALargeConfiguration(b *testing.B) {
	names := routeNames(2700)
	reader, peer := directory.New(), directory.New()
	first := configRecord(1, configWithRoutes(1, names...))
	for _, d := range []*directory.Directory{reader, peer} {
		d.Apply(&first, time.Second)
		d.Advance(1)
	}
	revision := directory.Revision(1)
	for b.Loop() {
		b.StopTimer()
		next := configWithRoutes(int64(revision+1), names...)
		next.Routes[revision%2700].Priority = int(revision)
		record := configRecord(revision+1, next)
		reader.Apply(&record, time.Second)
		reader.Advance(revision + 1)
		changes := reader.ChangesSince(revision, time.Second)
		b.StartTimer()
		for i := range changes {
			peer.Apply(&changes[i], time.Second)
		}
		revision++
		peer.Advance(revision)
		peer.View()
	}
}

// BenchmarkViewOfALargeDeployment builds the view of 7,100 targets and 2,700 routes after a change of one target.
func BenchmarkViewOfALargeDeployment(b *testing.B) {
	names := routeNames(2700)
	d := directory.New()
	config := configRecord(1, configWithRoutes(1, names...))
	d.Apply(&config, time.Second)
	record := func(n int, revision directory.Revision) directory.Record {
		t := newTarget(fmt.Sprintf("i-%d", n), 0, int64(revision))
		t.Address.IP = [4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}
		return directory.Record{Kind: directory.KindTarget, Name: t.ID, Revision: revision, Target: t}
	}
	revision := directory.Revision(1)
	for n := range 7100 {
		revision++
		r := record(n, revision)
		d.Apply(&r, time.Second)
	}
	for b.Loop() {
		revision++
		r := record(int(revision)%7100, revision)
		d.Apply(&r, time.Second)
		d.View()
	}
}

func routeNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("route-%d", i)
	}
	return names
}
