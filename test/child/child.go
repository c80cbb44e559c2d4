// Package child starts the processes of test beds, with a log file each, and ends them.
package child

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is a child that a test bed started.
type Process struct {
	Name    string
	path    string // log file
	command *exec.Cmd
	exited  chan struct{}
	err     error
}

var (
	launcherOnce sync.Once
	launches     = make(chan func())
)

// launch runs a function on a thread that never ends. The kernel kills a child with Pdeathsig when the thread that
// started it ends, so that no child outlives a test process that was killed.
func launch(do func()) {
	launcherOnce.Do(func() {
		go func() {
			runtime.LockOSThread()
			for f := range launches {
				f()
			}
		}()
	})
	done := make(chan struct{})
	launches <- func() {
		do()
		close(done)
	}
	<-done
}

// Start runs a program and appends its output to a log file in the directory.
func Start(dir, name, program string, args ...string) (*Process, error) {
	path := filepath.Join(dir, name+".log")
	log, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	command := exec.Command(program, args...)
	command.Stdout = log
	command.Stderr = log
	// A group of its own keeps the SIGHUP from a stopped child that the kernel sends to a group without a shell.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	p := &Process{Name: name, path: path, command: command, exited: make(chan struct{})}
	launch(func() { err = command.Start() })
	if err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		p.err = command.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	return p, nil
}

// ID returns the process ID.
func (p *Process) ID() int { return p.command.Process.Pid }

// Signal sends a signal. It fails where the process has ended.
func (p *Process) Signal(s syscall.Signal) error {
	select {
	case <-p.exited:
		return fmt.Errorf("%s has ended: %v", p.Name, p.err)
	default:
		return p.command.Process.Signal(s)
	}
}

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Err says how the process ended. It is meant for the time after that.
func (p *Process) Err() error { return p.err }

// HasEnded reports whether the process has ended.
func (p *Process) HasEnded() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Kill ends the process at once and waits for its end. SIGKILL also ends a stopped process.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// Await waits for the end of the process.
func (p *Process) Await(limit time.Duration) error {
	select {
	case <-p.exited:
		return p.err
	case <-time.After(limit):
		return fmt.Errorf("%s has not ended within %s", p.Name, limit)
	}
}

// Tail returns the last lines of the log.
func (p *Process) Tail(lines int) string {
	text, _ := os.ReadFile(p.path)
	all := strings.Split(strings.TrimRight(string(text), "\n"), "\n")
	return strings.Join(all[max(len(all)-lines, 0):], "\n")
}
