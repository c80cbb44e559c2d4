package scenario

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// pollPeriod is how often a condition with a time limit is checked.
const pollPeriod = 50 * time.Millisecond

// expect states what must hold:
//
//	expect broken = 0
//	expect within 4s revision everywhere
//	expect for 3s silent leinster-b
func (e *engine) expect(args []string) error {
	switch {
	case len(args) >= 3 && args[0] == "within":
		return e.within(args[1], args[2:])
	case len(args) >= 3 && args[0] == "for":
		return e.during(args[1], args[2:])
	case len(args) == 3:
		return e.compare(args[0], args[1], args[2])
	case len(args) == 1 && args[0] == "invariants":
		return e.checkInvariants()
	}
	return fmt.Errorf("want invariants, NAME OPERATOR VALUE, within LIMIT CONDITION or for TIME CONDITION, found %q", args)
}

// checkInvariants checks what holds in every scenario: P2, P3, P5, P6, P7 and that no rules in force revert (P10).
func (e *engine) checkInvariants() error {
	verdict, err := e.verdict()
	if err != nil {
		return err
	}
	var errs []error
	if names := verdict.Broken(); names != "" {
		errs = append(errs, fmt.Errorf("invariants broken: %s\n%s", names, strings.Join(verdict.Examples, "\n")))
	}
	for _, reverted := range e.monitor.reverted() {
		errs = append(errs, fmt.Errorf("invariant broken: P10 %s", reverted))
	}
	if verdict.Issued == 0 {
		errs = append(errs, errors.New("no request was issued, so that nothing was checked"))
	}
	return errors.Join(errs...)
}

// within waits until a condition holds.
func (e *engine) within(limit string, condition []string) error {
	d, err := time.ParseDuration(limit)
	if err != nil {
		return err
	}
	check, err := e.condition(condition)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(d)
	if condition[0] == "revision" {
		deadline = e.publishedAt().Add(d)
	}
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("not within %s: %w", limit, err)
		}
		time.Sleep(pollPeriod)
	}
}

func (e *engine) publishedAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.at
}

// during checks that a condition holds all the time.
func (e *engine) during(length string, condition []string) error {
	d, err := time.ParseDuration(length)
	if err != nil {
		return err
	}
	check, err := e.condition(condition)
	if err != nil {
		return err
	}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(pollPeriod) {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// condition returns a check: revision everywhere|VM..., ready VM..., unready VM..., silent DOMAIN, idle VM..., ended VM,
// NAME OPERATOR VALUE.
func (e *engine) condition(words []string) (func() error, error) {
	rest := words[1:]
	switch words[0] {
	case "revision":
		return func() error { return e.checkRevision(rest) }, nil
	case "ready":
		return func() error { return each(rest, e.bed.Ready) }, nil
	case "unready":
		return func() error { return each(rest, e.checkUnready) }, nil
	case "silent":
		before, err := e.into(rest[0])
		return func() error { return e.checkSilent(rest[0], before) }, err
	case "idle":
		before, err := e.runsOf(rest)
		return func() error { return e.checkIdle(rest, before) }, err
	case "no-new-runs":
		before, err := e.runsOf(rest)
		return func() error { return e.checkNoNewRuns(rest, before) }, err
	}
	if len(words) == 3 {
		return func() error { return e.compare(words[0], words[1], words[2]) }, nil
	}
	return nil, fmt.Errorf("unknown condition %q", words)
}

// checkRevision checks that VMs have the last rules published, or newer ones, in force.
func (e *engine) checkRevision(vms []string) error {
	e.mu.Lock()
	want := e.revision
	e.mu.Unlock()
	if len(vms) == 1 && vms[0] == "everywhere" {
		vms = e.bed.Running()
	}
	return each(vms, func(vm string) error {
		found, err := e.bed.Revision(vm)
		if err == nil && found < want {
			return fmt.Errorf("%s has revision %d, want %d", vm, found, want)
		}
		return err
	})
}

func (e *engine) checkUnready(vm string) error {
	if err := e.bed.Ready(vm); err == nil {
		return fmt.Errorf("%s is ready", vm)
	}
	return nil
}

// into counts what others sent into a failure domain. The platform's answers to its own readers do not count.
func (e *engine) into(domain string) (map[string]uint64, error) {
	counters, err := e.bed.Fabric()
	if err != nil {
		return nil, err
	}
	sent := make(map[string]uint64)
	for name, n := range counters.Into {
		if strings.HasPrefix(name, domain+" ") && !strings.Contains(name, " platform ") {
			sent[name] = n
		}
	}
	return sent, nil
}

func (e *engine) checkSilent(domain string, before map[string]uint64) error {
	now, err := e.into(domain)
	if err != nil {
		return err
	}
	for name, n := range now {
		if n > before[name] {
			return fmt.Errorf("%d packets: %s", n-before[name], name)
		}
	}
	return nil
}

func (e *engine) runsOf(vms []string) (map[string]int, error) {
	runs := make(map[string]int)
	for _, vm := range vms {
		stats, err := e.bed.Stats(vm)
		if err != nil {
			return nil, err
		}
		runs[vm] = stats.Runs
	}
	return runs, nil
}

func (e *engine) checkNoNewRuns(vms []string, before map[string]int) error {
	return each(vms, func(vm string) error {
		stats, err := e.bed.Stats(vm)
		if err == nil && stats.Runs > before[vm] {
			return fmt.Errorf("%s got %d new requests", vm, stats.Runs-before[vm])
		}
		return err
	})
}

// checkIdle checks that targets have no work and got none since the condition was stated.
func (e *engine) checkIdle(vms []string, _ map[string]int) error {
	return each(vms, func(vm string) error {
		stats, err := e.bed.Stats(vm)
		if err == nil && stats.InProgress > 0 {
			return fmt.Errorf("%s has %d requests in progress", vm, stats.InProgress)
		}
		return err
	})
}
