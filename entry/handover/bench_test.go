package handover

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serverVariable is set in the environment of the process that serves a benchmark.
const serverVariable = "ALMONDSTAND_HANDOVER_SERVER"

// TestBenchmarkServer is the second entry of BenchmarkHandOver, in a process of its own.
func TestBenchmarkServer(t *testing.T) {
	if os.Getenv(serverVariable) == "" {
		t.Skip("runs only for the benchmark")
	}
	address, _ := serveTaker(t, completes)
	fmt.Println("address " + address)
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// BenchmarkHandOver measures the processor time of one handover at both entries, which are two processes,
// with one or several jobs at once.
func BenchmarkHandOver(b *testing.B) {
	for _, callers := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) { benchmarkHandOver(b, callers) })
	}
}

func benchmarkHandOver(b *testing.B, callers int) {
	server := exec.Command(os.Args[0], "-test.run=^TestBenchmarkServer$", "-test.v")
	server.Env = append(os.Environ(), serverVariable+"=1")
	stdin, err := server.StdinPipe()
	assert.NilError(b, err)
	stdout, err := server.StdoutPipe()
	assert.NilError(b, err)
	assert.NilError(b, server.Start())
	lines, address := bufio.NewScanner(stdout), ""
	for address == "" && lines.Scan() {
		_, address, _ = strings.Cut(lines.Text(), "address ")
	}
	c, _ := startClient(b)
	_, err = c.HandOver(b.Context(), address, testJob(0))
	assert.NilError(b, err)
	before := ownCPU(b)
	var running sync.WaitGroup
	b.ResetTimer()
	for caller := range callers {
		running.Go(func() {
			for n := caller; n < b.N; n += callers {
				_, err := c.HandOver(b.Context(), address, testJob(n))
				assert.Check(b, err)
			}
		})
	}
	running.Wait()
	b.StopTimer()
	b.ReportMetric(float64(ownCPU(b)-before)/float64(time.Microsecond)/float64(b.N), "client-us/op")
	assert.NilError(b, stdin.Close())
	_, _ = io.Copy(io.Discard, stdout)
	assert.NilError(b, server.Wait())
	used := server.ProcessState.UserTime() + server.ProcessState.SystemTime()
	// The start of the process is included, so that only many handovers give a true value.
	b.ReportMetric(float64(used)/float64(time.Microsecond)/float64(b.N), "server-us/op")
}

// ownCPU returns the processor time that this process has used.
func ownCPU(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
