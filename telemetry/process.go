package telemetry

import (
	"context"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
)

// processInterval is the interval between two samples of resource usage.
const processInterval = 2 * time.Second

// Usage is the resource usage of a process.
type Usage struct {
	// CPU is the CPU time of all threads since the process started.
	CPU time.Duration
	// RSS is the resident set size in bytes; 0 if it can't be read.
	RSS int64
	// Goroutines is the number of live goroutines.
	Goroutines int
}

// ReadUsage returns this process's resource usage (getrusage and /proc/self/statm).
func ReadUsage() Usage {
	return Usage{CPU: cpuTime(), RSS: residentBytes(), Goroutines: runtime.NumGoroutine()}
}

// Process updates the gauges process_cpu_seconds, process_resident_bytes and
// process_goroutines of a scope.
type Process struct {
	cpu, rss, goroutines tally.Gauge
}

// NewProcess returns the process metrics of a scope.
func NewProcess(scope tally.Scope) *Process {
	return &Process{
		cpu:        scope.Gauge("process_cpu_seconds"),
		rss:        scope.Gauge("process_resident_bytes"),
		goroutines: scope.Gauge("process_goroutines"),
	}
}

// Run updates the gauges until ctx ends.
func (p *Process) Run(ctx context.Context) error {
	ticker := time.NewTicker(processInterval)
	defer ticker.Stop()
	for {
		p.update(ReadUsage())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (p *Process) update(u Usage) {
	p.cpu.Update(u.CPU.Seconds())
	p.rss.Update(float64(u.RSS))
	p.goroutines.Update(float64(u.Goroutines))
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func residentBytes() int64 {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
