package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stopTimeout is how long one process may take to stop gracefully; then it is killed.
const stopTimeout = 45 * time.Second

var (
	errNoAddress   = errors.New("process printed no address")
	errStopTimeout = errors.New("process did not stop in time and was killed")
)

// process is one process that the demo started.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan error
}

// newStartGroup begins a group of processes that are stopped in parallel.
func (d *demo) newStartGroup() { d.startGroups = append(d.startGroups, nil) }

// start starts a program of the bin directory; its log goes to the demo's directory. If
// withAddress is set, it waits for the first line on stdout, "name address", and returns
// the address.
func (d *demo) start(name string, withAddress bool, args ...string) (address string, err error) {
	log, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return "", err
	}
	cmd := exec.Command(filepath.Join(d.bin, args[0]), args[1:]...)
	cmd.Env = append(os.Environ(), "ALMOND_SECRET="+secret)
	cmd.Stderr = log
	// If the demo is killed, the kernel must kill its child processes as well.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return "", err
	}
	if err := cmd.Start(); err != nil {
		return "", err
	}
	p := &process{name: name, cmd: cmd, log: log, done: make(chan error, 1)}
	d.startGroups[len(d.startGroups)-1] = append(d.startGroups[len(d.startGroups)-1], p)
	lines := bufio.NewScanner(stdout)
	if withAddress {
		address, err = firstAddress(lines)
	}
	go func() {
		for lines.Scan() {
		}
		p.done <- cmd.Wait()
	}()
	if err != nil {
		return "", fmt.Errorf("%s: %w", name, err)
	}
	fmt.Printf("  %-10s process %-7d %s\n", name, cmd.Process.Pid, address)
	return address, nil
}

func firstAddress(lines *bufio.Scanner) (string, error) {
	if !lines.Scan() {
		return "", errNoAddress
	}
	_, address, found := strings.Cut(lines.Text(), " ")
	if !found {
		return "", errNoAddress
	}
	return address, nil
}

// stopProcesses stops the processes gracefully, the most recently started group first, so
// that the processes that others depend on are available while those shut down. The
// processes of a group are stopped in parallel.
func (d *demo) stopProcesses() error {
	if len(d.startGroups) > 0 {
		fmt.Println("\nStopping processes")
	}
	var errs error
	for i := len(d.startGroups) - 1; i >= 0; i-- {
		errs = errors.Join(errs, stopGroup(d.startGroups[i]))
	}
	return errs
}

func stopGroup(group []*process) error {
	results := make([]error, len(group))
	var stops sync.WaitGroup
	for i, p := range group {
		stops.Go(func() { results[i] = p.stop() })
	}
	stops.Wait()
	return errors.Join(results...)
}

func (p *process) stop() error {
	defer func() { _ = p.log.Close() }()
	start := time.Now()
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.done:
		if err != nil {
			return p.withLogTail(err)
		}
		fmt.Printf("  %-10s stopped in %s\n", p.name, time.Since(start).Round(10*time.Millisecond))
		return nil
	case <-time.After(stopTimeout):
		_ = p.cmd.Process.Kill()
		<-p.done
		return p.withLogTail(errStopTimeout)
	}
}

// maxLogTail is the maximum size of the log excerpt in an error, in bytes.
const maxLogTail = 2000

func (p *process) withLogTail(err error) error {
	text, _ := os.ReadFile(p.log.Name())
	if len(text) > maxLogTail {
		text = text[len(text)-maxLogTail:]
	}
	return fmt.Errorf("%s: %w\n%s", p.name, err, text)
}

// freeAddress returns a loopback address with a currently free port, chosen by the kernel.
// Another process may take the port before it is used; the demo then fails with an error
// and can be started again.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
