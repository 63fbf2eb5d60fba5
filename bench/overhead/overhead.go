// Package overhead measures the overhead that an entry adds to a task: the response
// time of a call through an entry compared with a direct call to the runner, and the
// rate of task starts that one entry sustains.
package overhead

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"almondstand.dev/bench/experiment"
	"almondstand.dev/e2e/harness"
)

// Options configures a measurement.
type Options struct {
	Binaries harness.Binaries
	// Calls is the number of sequential calls per path.
	Calls int
	// Guards, Slots, Callers and Tasks describe the load of the throughput measurement:
	// the given number of callers submit jobs of Tasks tasks, each of which runs for
	// Run.
	Guards  int
	Slots   int
	Callers int
	Tasks   int
	Run     time.Duration
	// For is the duration of the throughput measurement.
	For time.Duration
}

// Report holds the measurements.
type Report struct {
	Direct, Guarded, Bare Latency
	Throughput            Throughput
}

// Latency holds quantiles of response times.
type Latency struct{ P50, P90, P99 time.Duration }

// Throughput holds the throughput of one entry.
type Throughput struct {
	// Starts is the number of task starts per second, Failed the number of jobs without
	// a complete answer.
	Starts float64
	Failed int64
	// EntryCores and GuardCores are the average processor cores used by the entry and
	// by all guards together.
	EntryCores float64
	GuardCores float64
}

const (
	clientName  = "overhead"
	warmupCalls = 200
	warmupTime  = 2 * time.Second
	quickTask   = `{"run":"0s","echo":1}`
	taskFormat  = `{"run":%q,"echo":1}`
)

// Measure starts clusters without network relays and runs the measurements one after
// the other.
func Measure(ctx context.Context, o Options) (Report, error) {
	var r Report
	err := o.withCluster(ctx, harness.Options{Guards: 1}, func(c *harness.Cluster) error {
		var err error
		if r.Direct, err = o.direct(ctx, c); err != nil {
			return err
		}
		r.Guarded, err = o.throughEntry(ctx, c)
		return err
	})
	if err != nil {
		return r, err
	}
	err = o.withCluster(ctx, harness.Options{Bare: 1}, func(c *harness.Cluster) error {
		var err error
		r.Bare, err = o.throughEntry(ctx, c)
		return err
	})
	if err != nil {
		return r, err
	}
	err = o.withCluster(ctx, harness.Options{Guards: o.Guards, Slots: o.Slots, Connections: 2 * o.Slots}, func(c *harness.Cluster) error {
		var err error
		r.Throughput, err = o.throughput(ctx, c)
		return err
	})
	return r, err
}

// withCluster runs a measurement on a cluster with one entry.
func (o Options) withCluster(ctx context.Context, h harness.Options, measure func(*harness.Cluster) error) error {
	dir, err := os.MkdirTemp("", "overhead")
	if err != nil {
		return fmt.Errorf("overhead: %w", err)
	}
	defer os.RemoveAll(dir)
	h.Binaries = o.Binaries
	h.Dir = dir
	h.Entries = 1
	h.NoRelays = true
	h.EntryEnv = []string{experiment.VariantEnv + "={}"}
	c, err := harness.Start(ctx, h)
	if err != nil {
		return fmt.Errorf("overhead: %w", err)
	}
	defer c.Stop()
	if err := c.Apply(ctx, harness.Contract(clientName)); err != nil {
		return err
	}
	if err := c.WaitServing(ctx, clientName); err != nil {
		return err
	}
	return measure(c)
}

// direct calls the runner directly, like a guard on the same host.
func (o Options) direct(ctx context.Context, c *harness.Cluster) (Latency, error) {
	client := &http.Client{}
	return o.time(func(i int) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Runners[0].Address+"/v1/run",
			bytes.NewReader([]byte(quickTask)))
		if err != nil {
			return err
		}
		request.Header.Set("Almond-Task", fmt.Sprintf("direct/%d", i))
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	})
}

// throughEntry calls the runner through the entry.
func (o Options) throughEntry(ctx context.Context, c *harness.Cluster) (Latency, error) {
	client := harness.NewClient(clientName)
	job := harness.Job{Service: harness.Service, Tasks: []harness.Task{{Kind: "quick", Payload: []byte(quickTask)}}}
	return o.time(func(int) error {
		answer, err := client.Run(ctx, c.Entries[0].Callers, job)
		if err == nil && !answer.OK() {
			err = fmt.Errorf("overhead: answer %d %s", answer.Status, answer.Body)
		}
		return err
	})
}

func (o Options) time(call func(i int) error) (Latency, error) {
	took := make([]time.Duration, 0, o.Calls)
	for i := range warmupCalls + o.Calls {
		began := time.Now()
		if err := call(i); err != nil {
			return Latency{}, err
		}
		if i >= warmupCalls {
			took = append(took, time.Since(began))
		}
	}
	slices.Sort(took)
	at := func(q float64) time.Duration { return took[int(q*float64(len(took)-1))] }
	return Latency{P50: at(0.5), P90: at(0.9), P99: at(0.99)}, nil
}

// throughput measures the entry while many callers keep it busy.
func (o Options) throughput(ctx context.Context, c *harness.Cluster) (Throughput, error) {
	job := harness.Job{Service: harness.Service}
	for range o.Tasks {
		job.Tasks = append(job.Tasks, harness.Task{Kind: "short", Payload: fmt.Appendf(nil, taskFormat, o.Run.String())})
	}
	var failed atomic.Int64
	ctx, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for range o.Callers {
		callers.Go(func() {
			client := harness.NewClient(clientName)
			for ctx.Err() == nil {
				answer, err := client.Run(ctx, c.Entries[0].Callers, job)
				if ctx.Err() == nil && (err != nil || !answer.OK()) {
					failed.Add(1)
				}
			}
		})
	}
	time.Sleep(warmupTime)
	before, err := readCounters(c)
	if err != nil {
		stop()
		return Throughput{}, err
	}
	failedBefore := failed.Load()
	began := time.Now()
	time.Sleep(o.For)
	after, err := readCounters(c)
	took := time.Since(began).Seconds()
	failedAfter := failed.Load()
	stop()
	callers.Wait()
	return Throughput{
		Starts:     float64(after.starts-before.starts) / took,
		Failed:     failedAfter - failedBefore,
		EntryCores: (after.entry - before.entry).Seconds() / took,
		GuardCores: (after.guards - before.guards).Seconds() / took,
	}, err
}

// counters holds the task starts and the processor time used so far.
type counters struct {
	starts        int
	entry, guards time.Duration
}

func readCounters(c *harness.Cluster) (counters, error) {
	r := counters{starts: c.Starts().Total}
	used, err := c.Entries[0].Usage()
	if err != nil {
		return r, err
	}
	r.entry = used.CPU
	for _, g := range c.Guards {
		used, err := g.Usage()
		if err != nil {
			return r, err
		}
		r.guards += used.CPU
	}
	return r, nil
}

// Write writes the report as a table.
func (r Report) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, `path                    p50 ms  p90 ms  p99 ms  p50 over direct
direct                  %6.3f  %6.3f  %6.3f
one entry, one guard    %6.3f  %6.3f  %6.3f  %6.3f
one entry, bare runner  %6.3f  %6.3f  %6.3f  %6.3f
through one entry: %.0f task starts/s, %.2f cores of the entry, %.2f of the guards, %d jobs not complete
`,
		ms(r.Direct.P50), ms(r.Direct.P90), ms(r.Direct.P99),
		ms(r.Guarded.P50), ms(r.Guarded.P90), ms(r.Guarded.P99), ms(r.Guarded.P50-r.Direct.P50),
		ms(r.Bare.P50), ms(r.Bare.P90), ms(r.Bare.P99), ms(r.Bare.P50-r.Direct.P50),
		r.Throughput.Starts, r.Throughput.EntryCores, r.Throughput.GuardCores, r.Throughput.Failed)
	return err
}

func ms(d time.Duration) float64 { return d.Seconds() * 1000 }
