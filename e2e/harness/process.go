// Package harness runs the project's real processes on loopback addresses,
// with stand-ins for the store, the runners and the network between them, for
// the tests under failure and for the bench.
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

// ErrBuild means that the binaries could not be built.
var ErrBuild = errors.New("harness: build")

// Binaries are the paths of the two programs.
type Binaries struct {
	Entry string
	Guard string
}

// Build builds both programs into a folder.
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

// BuildProgram builds one program of the workspace.
func BuildProgram(out, pkg string) error {
	cmd := exec.Command("go", "build", "-o", out, pkg)
	text, err := cmd.CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s: %s", ErrBuild, pkg, text)
	}
	return nil
}

// Process is one running program.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *tail
	done chan struct{}
	err  error
}

// start runs a program and keeps the end of what it logs.
func start(name string, env []string, path string, args ...string) (*Process, error) {
	p := &Process{Name: name, log: &tail{limit: tailBytes}, done: make(chan struct{})}
	p.cmd = exec.Command(path, args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout = p.log
	p.cmd.Stderr = p.log
	// A test that dies must not leave its processes behind.
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

// PID is the process's id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Freeze stops the process where it is; Thaw lets it go on.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Terminate asks the process to end gracefully.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err is how the process ended; valid after Done.
func (p *Process) Err() error { return p.err }

// Log is the end of what the process logged.
func (p *Process) Log() string { return p.log.String() }

func (p *Process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// Usage is what a process has used so far.
type Usage struct {
	CPU time.Duration
	// RSS is the resident memory, bytes.
	RSS int64
}

// Usage reads the process's usage from the kernel.
func (p *Process) Usage() (Usage, error) { return usageOf(p.PID()) }

func usageOf(pid int) (Usage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, fmt.Errorf("harness: usage: %w", err)
	}
	// The program's name, in brackets, may hold spaces: fields count from its end.
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
	// clockTicks is the kernel's unit of processor time, fixed on Linux.
	clockTicks = 100
	tailBytes  = 256 << 10
)

// tail keeps the last bytes written.
type tail struct {
	mu    sync.Mutex
	limit int
	data  []byte
}

func (t *tail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.data = append(t.data, b...)
	if over := len(t.data) - t.limit; over > 0 {
		t.data = append(t.data[:0], t.data[over:]...)
	}
	return len(b), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.data)
}

// Hangup tells the process that its settings file may have changed.
func (p *Process) Hangup() { p.signal(syscall.SIGHUP) }

// Dump ends the process and has it log what each of its goroutines does.
func (p *Process) Dump() {
	p.signal(syscall.SIGQUIT)
	<-p.done
}
