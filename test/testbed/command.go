package testbed

import (
	"net/http"
	"syscall"
	"time"
)

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
