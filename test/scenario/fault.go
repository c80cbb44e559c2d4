package scenario

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cowslipward/cowslipward/test/standin/fabric"
	"github.com/cowslipward/cowslipward/test/standin/platform"
	"github.com/cowslipward/cowslipward/test/standin/target"
)

// publish changes the rules: publish drain VM, undrain VM, out DOMAIN, in DOMAIN, touch WORD or broken.
func (e *engine) publish(args []string) error {
	if len(args) == 0 {
		return fmt.Errorf("want drain, undrain, out, in, touch or broken")
	}
	name := strings.Join(args[1:], " ")
	var revision uint64
	var err error
	switch args[0] {
	case "drain", "undrain":
		revision, err = e.bed.Drain(name, args[0] == "drain")
	case "out", "in":
		if args[0] == "out" {
			e.mayGiveUp(true)
		}
		revision, err = e.bed.Out(name, args[0] == "out")
	case "touch":
		revision, err = e.bed.Touch(name)
	case "broken":
		_, err = e.bed.PublishText(e.bed.RuleFile() + "out nowhere # asked by Sean, operations\n")
		return err
	default:
		return fmt.Errorf("unknown change %q", args[0])
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.revision, e.at = revision, time.Now()
	return err
}

func (e *engine) mayGiveUp(on bool) {
	for _, run := range e.runs {
		run.MayGiveUp(on)
	}
}

// each runs a command for each of its words.
func each(args []string, do func(string) error) error {
	for _, arg := range args {
		if err := do(arg); err != nil {
			return err
		}
	}
	return nil
}

// crash ends daemons at once and, with "crash vm NAME...", their targets too.
func (e *engine) crash(args []string) error {
	whole := len(args) > 0 && args[0] == "vm"
	if whole {
		args = args[1:]
	}
	return each(args, func(vm string) error { return e.bed.Kill(vm, whole) })
}

func (e *engine) crashTarget(args []string) error { return each(args, e.bed.KillTarget) }

func (e *engine) pause(args []string) error {
	return each(args, func(vm string) error { return e.bed.Signal(vm, syscall.SIGSTOP) })
}

func (e *engine) resume(args []string) error {
	if e.permanent {
		return nil
	}
	return each(args, func(vm string) error { return e.bed.Signal(vm, syscall.SIGCONT) })
}

func (e *engine) terminate(args []string) error {
	return each(args, func(vm string) error { return e.bed.Signal(vm, syscall.SIGTERM) })
}

// awaitExit waits for the end of a daemon: await-exit VM 30s. Its exit code must be 0.
func (e *engine) awaitExit(args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("want a VM and a limit")
	}
	limit, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	return e.bed.AwaitExit(args[0], limit)
}

func (e *engine) restart(args []string) error {
	if e.permanent {
		return nil
	}
	return each(args, e.bed.Restart)
}

// addBalancer starts a balancer on a new VM: add-balancer NAME DOMAIN.
func (e *engine) addBalancer(args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("want a name and a failure domain")
	}
	return e.bed.AddBalancer(args[0], args[1])
}

func (e *engine) remove(args []string) error { return each(args, e.bed.RemoveVM) }

// awaitReady waits until VMs are ready: await-ready 10s VM...
func (e *engine) awaitReady(args []string) error {
	if len(args) < 2 {
		return fmt.Errorf("want a limit and VMs")
	}
	limit, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	return each(args[1:], func(vm string) error { return e.bed.AwaitVM(vm, limit) })
}

// cut makes the path between two VMs or domains silent: cut A B [oneway].
func (e *engine) cut(args []string) error {
	if len(args) < 2 {
		return fmt.Errorf("want two VMs or domains")
	}
	return e.bed.Cut(fabric.Cut{A: args[0], B: args[1], OneWay: len(args) > 2 && args[2] == "oneway"})
}

func (e *engine) heal(args []string) error {
	if len(args) < 2 {
		return fmt.Errorf("want two VMs or domains")
	}
	if e.permanent {
		return nil
	}
	return e.bed.Cut(fabric.Cut{A: args[0], B: args[1], Heal: true})
}

// silence makes open connections carry nothing any more: silence control|target VM-OR-DOMAIN, or silence callers.
func (e *engine) silence(args []string) error {
	if len(args) == 0 {
		return fmt.Errorf("want control, target or callers")
	}
	command := fabric.Silence{Kind: args[0]}
	if len(args) > 1 {
		command.Of = args[1]
	}
	count, err := e.bed.Silence(command)
	if err == nil && count == 0 {
		return fmt.Errorf("no open connection: %q", args)
	}
	return err
}

// lose sets the loss of all paths in percent: lose 2.
func (e *engine) lose(args []string) error {
	if len(args) != 1 {
		return fmt.Errorf("want a percentage")
	}
	percent, err := strconv.ParseFloat(args[0], 64)
	if err != nil {
		return err
	}
	return e.bed.Loss(fabric.Loss{A: "*", B: "*", Share: percent / 100})
}

// platform sets the mode of the configuration service: platform down|hang|stale|up [VM...].
func (e *engine) platform(args []string) error { return e.platformPart(platform.PartRules, args) }

// vmList sets the mode of the VM list: vm-list down|hang|stale|up [VM...].
func (e *engine) vmList(args []string) error { return e.platformPart(platform.PartVMs, args) }

func (e *engine) platformPart(part platform.Part, args []string) error {
	if len(args) == 0 {
		return fmt.Errorf("want up, down, hang or stale")
	}
	if args[0] == string(platform.ModeUp) && e.permanent {
		return nil
	}
	return e.bed.Platform(part, platform.Mode(args[0]), args[1:]...)
}

// target commands a back end: target VM cold 2s|shed|hang|drain|normal|lie healthy|unhealthy|idle|busy.
func (e *engine) target(args []string) error {
	if len(args) < 2 {
		return fmt.Errorf("want a VM and a command")
	}
	vm, what, rest := args[0], args[1], args[2:]
	switch what {
	case "cold":
		return e.bed.Target(vm, "cold?for="+strings.Join(rest, ""), nil)
	case "shed", "hang", "drain":
		return e.bed.Target(vm, what, nil)
	case "normal":
		if e.permanent {
			return nil
		}
		return each([]string{"shed?off=1", "hang?off=1", "drain?off=1", "lie"}, func(command string) error {
			return e.bed.Target(vm, command, json.RawMessage("{}"))
		})
	case "lie":
		return e.bed.Target(vm, "lie", lieOf(strings.Join(rest, " ")))
	}
	return fmt.Errorf("unknown command %q", what)
}

func lieOf(what string) target.Lie {
	yes, no, idle, busy := true, false, 0, 1000
	switch what {
	case "healthy":
		return target.Lie{Healthy: &yes}
	case "unhealthy":
		return target.Lie{Healthy: &no}
	case "idle":
		return target.Lie{Load: &idle}
	default:
		return target.Lie{Load: &busy}
	}
}

func (e *engine) sleep(args []string) error {
	if len(args) != 1 {
		return fmt.Errorf("want a duration")
	}
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}
