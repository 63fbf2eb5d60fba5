// Package harness runs the project's real processes on loopback addresses,
// with stand-ins for the store, the runners and the network between them. The
// fault injection tests and the benchmarks use it.
package harness

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// ErrBuild is returned when a binary could not be built.
var ErrBuild = errors.New("harness: build")

// Binaries holds the paths of the two programs.
type Binaries struct {
	Entry string
	Guard string
}

// Build builds both programs into a directory.
func Build(dir string) (Binaries, error) {
	b := Binaries{
		Entry: filepath.Join(dir, "almondstand"),
		Guard: filepath.Join(dir, "almondguard"),
	}
	if err := BuildProgram(b.Entry, "almondstand.dev/entry/cmd/almondstand"); err != nil {
		return Binaries{}, err
	}
	if err := BuildProgram(b.Guard, "almondstand.dev/guard/cmd/almondguard"); err != nil {
		return Binaries{}, err
	}
	return b, nil
}

// BuildProgram builds one program of the Go workspace.
func BuildProgram(out, pkg string) error {
	cmd := exec.Command("go", "build", "-o", out, pkg)
	text, err := cmd.CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s: %s", ErrBuild, pkg, text)
	}
	return nil
}

// Process is a child process.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *tailBuffer
	done chan struct{}
	err  error
}

// start starts a program and retains the last part of its output.
func start(name string, env []string, path string, args ...string) (*Process, error) {
	p := &Process{Name: name, log: &tailBuffer{limit: maxFullLogBytes}, done: make(chan struct{})}
	p.cmd = exec.Command(path, args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout = p.log
	p.cmd.Stderr = p.log
	// The kernel kills the process if the test process dies, so that none is left running.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("harness: start %s: %w", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Suspend suspends the process with SIGSTOP until Resume is called.
func (p *Process) Suspend() { p.signal(syscall.SIGSTOP) }

// Resume resumes a suspended process with SIGCONT.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate requests a graceful shutdown with SIGTERM.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns the error of waiting for the process; nil means that it exited with status
// 0. It is valid once Done is closed.
func (p *Process) Err() error { return p.err }

// Log returns the last part of the process's output, at most maxLogBytes.
func (p *Process) Log() string {
	text := p.log.String()
	return text[max(len(text)-maxLogBytes, 0):]
}

// FullLog returns the last part of the process's output, at most maxFullLogBytes.
func (p *Process) FullLog() string { return p.log.String() }

func (p *Process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// Usage is the resource usage of a process.
type Usage struct {
	// CPU is the processor time used since the process started.
	CPU time.Duration
	// RSS is the resident memory in bytes.
	RSS int64
}

// Usage reads the process's resource usage from /proc.
func (p *Process) Usage() (Usage, error) { return usageOf(p.PID()) }

func usageOf(pid int) (Usage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, fmt.Errorf("harness: usage: %w", err)
	}
	// The program's name, in parentheses, may contain spaces: parse the fields after it.
	end := bytes.LastIndexByte(text, ')')
	fields := bytes.Fields(text[end+1:])
	var user, system, pages int64
	if _, err := fmt.Sscan(string(fields[11])+" "+string(fields[12])+" "+string(fields[21]), &user, &system, &pages); err != nil {
		return Usage{}, fmt.Errorf("harness: usage: %w", err)
	}
	return Usage{
		CPU: time.Duration(user+system) * (time.Second / clockTicks),
		RSS: pages * int64(os.Getpagesize()),
	}, nil
}

const (
	// clockTicks is the number of clock ticks per second (USER_HZ), the unit of processor
	// time in /proc. It is fixed on Linux.
	clockTicks = 100
	// maxLogBytes bounds the output that Log returns, maxFullLogBytes that of FullLog.
	maxLogBytes     = 256 << 10
	maxFullLogBytes = 16 << 20
)

// tailBuffer is an io.Writer that retains the last limit bytes written.
type tailBuffer struct {
	mu    sync.Mutex
	limit int
	data  []byte
}

func (t *tailBuffer) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.data = append(t.data, b...)
	// Up to twice the limit is kept, so that not every write moves the data.
	if len(t.data) > 2*t.limit {
		t.data = append(t.data[:0], t.data[len(t.data)-t.limit:]...)
	}
	return len(b), nil
}

func (t *tailBuffer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.data[max(len(t.data)-t.limit, 0):])
}

// Hangup sends SIGHUP, on which the process reloads its settings file.
func (p *Process) Hangup() { p.signal(syscall.SIGHUP) }

// DumpGoroutines sends SIGQUIT, on which the process logs the stacks of all goroutines and
// exits, and waits until it has exited.
func (p *Process) DumpGoroutines() {
	p.signal(syscall.SIGQUIT)
	<-p.done
}
