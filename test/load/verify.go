package load

import (
	"fmt"
	"sort"
	"strings"

	"github.com/cowslipward/cowslipward/test/standin/target"
)

// Source gives the runs and the counters that each target recorded.
type Source interface {
	Targets() []string
	Runs(vm string) ([]target.Run, error)
	Stats(vm string) (target.Stats, error)
}

// Verdict compares what callers saw with what targets ran.
type Verdict struct {
	Issued       int
	WrongService int      // arrivals at a target of another service
	Duplicated   int      // requests that may not be repeated and ran more than once
	Lost         int      // pastes that were answered and that no target ran to its end
	FalseNotRun  int      // refusals that said "not run" of a paste that ran
	Mixed        int      // answers that belong to another request
	OverLimit    int      // arrivals above what a target bears
	Falls        int      // times a target fell over
	Examples     []string // some of the faults
}

// maxExamples bounds the faults that a verdict names.
const maxExamples = 12

// Verify reads the targets and returns the verdict.
func Verify(source Source, issued map[string]Issued) (Verdict, error) {
	v := Verdict{Issued: len(issued)}
	ran := make(map[string][]target.Run)
	for _, vm := range source.Targets() {
		runs, err := source.Runs(vm)
		if err != nil {
			return v, fmt.Errorf("runs of %s: %w", vm, err)
		}
		for _, run := range runs {
			if _, ours := issued[run.ID]; ours {
				ran[run.ID] = append(ran[run.ID], run)
			}
		}
		stats, err := source.Stats(vm)
		if err != nil {
			return v, fmt.Errorf("counters of %s: %w", vm, err)
		}
		v.WrongService += stats.WrongService
		v.OverLimit += stats.OverLimit
		v.Falls += stats.Falls
	}
	for _, id := range sortedKeys(issued) {
		v.check(id, issued[id], ran[id])
	}
	return v, nil
}

func sortedKeys[V any](issued map[string]V) []string {
	ids := make([]string, 0, len(issued))
	for id := range issued {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

func (v *Verdict) check(id string, i Issued, runs []target.Run) {
	if i.Outcome == Mixed {
		v.fault(&v.Mixed, "mixed", id, i)
	}
	if i.Kind != Paste {
		return
	}
	if len(runs) > 1 {
		v.fault(&v.Duplicated, "duplicated", id, i)
	}
	if i.Outcome == Answered && !hasDone(runs) {
		v.fault(&v.Lost, "lost", id, i)
	}
	if i.Outcome == NotRun && len(runs) > 0 {
		v.fault(&v.FalseNotRun, "false not-run", id, i)
	}
}

func hasDone(runs []target.Run) bool {
	for _, run := range runs {
		if run.Outcome == "done" {
			return true
		}
	}
	return false
}

func (v *Verdict) fault(counter *int, name, id string, i Issued) {
	*counter++
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, fmt.Sprintf("%s %s at %s of %s: %s", name, id, i.Target, i.Service, i.Reason))
	}
}

// Broken returns the names of the invariants that the verdict shows broken.
func (v *Verdict) Broken() string {
	var names []string
	for _, c := range []struct {
		name  string
		count int
	}{
		{"P2 wrong service", v.WrongService},
		{"P3 over limit", v.OverLimit},
		{"P5 mixed", v.Mixed},
		{"P6 false not-run", v.FalseNotRun},
		{"P7 duplicated", v.Duplicated},
		{"P7 lost", v.Lost},
	} {
		if c.count > 0 {
			names = append(names, fmt.Sprintf("%s=%d", c.name, c.count))
		}
	}
	return strings.Join(names, ", ")
}
