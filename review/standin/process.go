package main

import (
	"os"
	"os/exec"
	"runtime"
	"syscall"
)

// process is a process that the test started.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
}

// The kernel ends a child when the thread that started it ends. All are started by the main thread, so that none
// outlives the test.
func init() { runtime.LockOSThread() }

// startProcess starts a program with one variable besides PATH and HOME. Its output goes to a file.
func startProcess(log, variable, program string, args ...string) (*process, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	command := exec.Command(program, args...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), variable}
	command.Stdout, command.Stderr = out, out
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &process{command: command, ended: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(p.ended)
	}()
	return p, nil
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}
