package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"almondstand.dev/bench/result"
	"almondstand.dev/bench/workload"
	"almondstand.dev/contract"
	"almondstand.dev/e2e/harness"
	"almondstand.dev/guard/config"
	"almondstand.dev/standin/relay"
	"almondstand.dev/standin/runner"
	"almondstand.dev/standin/store"
)

// VariantEnv is the environment variable that passes the variant to the entries, as
// JSON.
const VariantEnv = "ALMOND_BENCH_VARIANT"

// callLimit limits the time of one job, so that a run always ends.
const callLimit = 2 * time.Minute

// run is the state of one running experiment.
type run struct {
	e       Experiment
	cluster *harness.Cluster
	clients map[string]*harness.Client
	result  *result.Collector

	mu      sync.Mutex
	alive   []bool
	replies []harness.Reply
}

// Run runs the experiment with the given builds of the programs.
func Run(ctx context.Context, e Experiment, programs harness.Binaries) (*result.Result, error) {
	dir, err := os.MkdirTemp("", "almondbench")
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	defer os.RemoveAll(dir)
	cluster, err := harness.Start(ctx, e.clusterOptions(dir, programs))
	if err != nil {
		return nil, fmt.Errorf("experiment %s: %w", e.Name, err)
	}
	defer cluster.Stop()
	r := &run{e: e, cluster: cluster, clients: map[string]*harness.Client{}, alive: make([]bool, e.Entries)}
	for i := range r.alive {
		r.alive[i] = true
	}
	if err := r.prepare(ctx); err != nil {
		return nil, fmt.Errorf("experiment %s: %w", e.Name, err)
	}
	return r.measure(ctx)
}

func (e Experiment) clusterOptions(dir string, programs harness.Binaries) harness.Options {
	variant, _ := json.Marshal(e.Variant)
	return harness.Options{
		Binaries:    programs,
		Dir:         dir,
		Entries:     e.Entries,
		Guards:      e.Guards,
		Bare:        e.Bare,
		Slots:       e.Slots,
		Connections: e.Connections,
		DataCentres: e.dataCentres(),
		Delay:       e.Delay.Std(),
		NoRelays:    e.Delay == 0,
		EntryEnv:    []string{VariantEnv + "=" + string(variant)},
		GuardSettings: func(s *config.Settings) {
			if e.Queue >= 0 {
				s.Queue = e.Queue
			}
		},
	}
}

func (e Experiment) dataCentres() []string {
	var names []string
	for i := range max(1, e.DataCentres) {
		names = append(names, fmt.Sprintf("zone-%d", i+1))
	}
	return names
}

// joinHosts removes the network delay between guards and their runners, which share a
// host.
func (r *run) removeHostDelay() error {
	for _, one := range r.cluster.Runners[:r.e.Guards] {
		if one.Relay == nil {
			continue
		}
		if err := one.Relay.Set(relay.State{ToTarget: relay.Pass, ToClient: relay.Pass}); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) prepare(ctx context.Context) error {
	if err := r.removeHostDelay(); err != nil {
		return err
	}
	for _, c := range r.e.Clients {
		k := harness.Contract(c.Name)
		k.Priority = c.Priority
		k.AnswerTime = contract.Duration(c.AnswerTime)
		if c.Rate > 0 {
			k.Rate = c.Rate
		}
		if c.Burst > 0 {
			k.Burst = c.Burst
		}
		if c.InFlight > 0 {
			k.InFlight = c.InFlight
		}
		if err := r.cluster.Apply(ctx, k); err != nil {
			return err
		}
		if err := r.cluster.WaitServing(ctx, c.Name); err != nil {
			return err
		}
		r.clients[c.Name] = harness.NewClient(c.Name)
	}
	return nil
}

// measure submits the stream of jobs. Each job is submitted at its time of arrival,
// regardless of earlier answers (open loop).
func (r *run) measure(ctx context.Context) (*result.Result, error) {
	jobs := workload.Generate(r.e.spec())
	before, err := readUsage(ctx, r.cluster)
	if err != nil {
		return nil, err
	}
	startedAt := time.Now()
	r.result = result.NewCollector()
	faults := r.startFaults(startedAt)
	var inFlight sync.WaitGroup
	for _, j := range jobs {
		time.Sleep(time.Until(startedAt.Add(j.At)))
		inFlight.Go(func() { r.play(ctx, j, startedAt) })
	}
	inFlight.Wait()
	faults.Wait()
	r.cluster.WaitIdle(ctx)
	return r.finish(ctx, before, time.Since(startedAt))
}

// entryFor returns the entry that a load balancer would choose: the first live one from
// i on.
func (r *run) entryFor(i int) *harness.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.alive[i] {
		i = (i + 1) % len(r.alive)
	}
	return r.cluster.Entries[i]
}

func (r *run) startFaults(startedAt time.Time) *sync.WaitGroup {
	var all sync.WaitGroup
	for _, f := range r.e.Faults {
		all.Go(func() {
			time.Sleep(time.Until(startedAt.Add(r.e.Warmup.Std() + f.At.Std())))
			r.inject(f)
		})
	}
	return &all
}

func (r *run) inject(f Fault) {
	switch f.Kind {
	case KillGuard:
		r.cluster.Guards[f.Target].Kill()
	case KillEntry:
		r.killEntry(f.Target)
	case SlowRunner:
		r.switchRunner(f, runner.Switches{RunTimeFactor: f.Factor})
	case FailAll:
		r.switchRunner(f, runner.Switches{FailAll: true})
	case StoreDown:
		r.cluster.Store.SetMode(store.Down)
		time.Sleep(f.For.Std())
		r.cluster.Store.SetMode(store.Up)
	case FreezeGuard:
		r.cluster.Guards[f.Target].Suspend()
		time.Sleep(f.For.Std())
		r.cluster.Guards[f.Target].Resume()
	}
}

// killEntry kills an entry. The load balancer's health check notices it a second later.
func (r *run) killEntry(i int) {
	r.cluster.Entries[i].Kill()
	time.Sleep(time.Second)
	r.mu.Lock()
	r.alive[i] = false
	r.mu.Unlock()
}

func (r *run) switchRunner(f Fault, s runner.Switches) {
	r.cluster.Runners[f.Target].SetSwitches(s)
	if f.For > 0 {
		time.Sleep(f.For.Std())
		r.cluster.Runners[f.Target].SetSwitches(runner.Switches{})
	}
}

// Ideal returns the ideal response time of a job of the experiment.
func Ideal(e Experiment, j workload.Job) time.Duration {
	return workload.Ideal(j, e.slots(), e.networkTime())
}

func (r *run) finish(ctx context.Context, before usage, took time.Duration) (*result.Result, error) {
	after, err := readUsage(ctx, r.cluster)
	if err != nil {
		return nil, err
	}
	starts := r.cluster.Starts()
	out := r.result.Result(r.e.Name, r.e.Duration.Std())
	out.Verdict = harness.Check(starts, r.replies)
	out.Starts = starts.Total
	out.Messages = after.messages.minus(before.messages)
	out.ComputeMessageCounts(len(r.replies))
	out.SameDataCentreShare = r.nearShare()
	out.Recovery = r.backToNormal()
	out.Processes = after.perProcess(before, took)
	return out, nil
}
