// Command almondsoak runs entries and guards under random faults that are determined
// by seeds, and reports the seeds with which an invariant was violated.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"almondstand.dev/e2e/harness"
	"almondstand.dev/e2e/soak"
)

var errSeeds = errors.New("almondsoak: a promise was broken")

// settings holds the values of the command line flags.
type settings struct {
	seed    uint64
	seeds   int
	minutes float64
	length  time.Duration
	jobs    int
	out     string
	bin     string
}

// totals adds up the handovers of all seeds.
type totals struct {
	mu  sync.Mutex
	sum soak.Handovers
}

func (t *totals) add(h soak.Handovers) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sum.Add(h)
}

func main() {
	if err := command().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var s settings
	c := &cobra.Command{
		Use:           "almondsoak",
		Short:         "Run a fleet under random faults and check its invariants",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(c *cobra.Command, _ []string) error { return runSeeds(c.Context(), s) },
	}
	f := c.Flags()
	f.Uint64Var(&s.seed, "seed", 0, "first seed; 0 derives one from the current time")
	f.IntVar(&s.seeds, "seeds", 1, "number of seeds")
	f.Float64Var(&s.minutes, "minutes", 0, "run seeds for this many minutes instead of a fixed number")
	f.DurationVar(&s.length, "length", 8*time.Second, "duration of the fault injection for each seed")
	f.IntVar(&s.jobs, "jobs", 2, "number of seeds run concurrently")
	f.StringVar(&s.out, "out", filepath.Join("out", "soak"), "directory for the reports of failed seeds")
	f.StringVar(&s.bin, "bin", "", "directory of the built programs; if empty, they are built")
	return c
}

func runSeeds(ctx context.Context, s settings) error {
	dir, err := os.MkdirTemp("", "almondsoak")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries := harness.Binaries{Entry: filepath.Join(s.bin, "almondstand"), Guard: filepath.Join(s.bin, "almondguard")}
	if s.bin == "" {
		if binaries, err = harness.Build(dir); err != nil {
			return err
		}
	}
	if s.seed == 0 {
		s.seed = uint64(time.Now().UnixNano() % 1e9)
	}
	seeds := make(chan uint64)
	go sendSeeds(s, seeds)
	failures := make(chan uint64, 1024)
	var handovers totals
	done := make(chan struct{})
	for range s.jobs {
		go func() {
			for seed := range seeds {
				runSeed(ctx, s, binaries, filepath.Join(dir, fmt.Sprint(seed)), seed, failures, &handovers)
			}
			done <- struct{}{}
		}()
	}
	for range s.jobs {
		<-done
	}
	close(failures)
	fmt.Println("handovers in all:", handovers.sum)
	var failed []uint64
	for seed := range failures {
		failed = append(failed, seed)
	}
	if len(failed) > 0 {
		return fmt.Errorf("%w: seeds %v, reports in %s", errSeeds, failed, s.out)
	}
	return nil
}

// sendSeeds sends seeds to the channel until the number or the duration is reached, and
// closes it.
func sendSeeds(s settings, seeds chan<- uint64) {
	defer close(seeds)
	start := time.Now()
	for i := 0; ; i++ {
		if s.minutes > 0 && time.Since(start).Minutes() >= s.minutes || s.minutes == 0 && i >= s.seeds {
			return
		}
		seeds <- s.seed + uint64(i)
	}
}

// runSeed runs one seed. It prints the report if the seed passed; otherwise it writes the
// report to a file and sends the seed to failures.
func runSeed(ctx context.Context, s settings, b harness.Binaries, dir string, seed uint64, failures chan<- uint64, handovers *totals) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		fmt.Fprintln(os.Stderr, err)
		failures <- seed
		return
	}
	report, err := soak.Run(ctx, soak.Options{Binaries: b, Dir: dir, Seed: seed, Length: s.length})
	handovers.add(report.Handovers)
	text := report.Text()
	if err != nil {
		text += err.Error() + "\n"
	}
	if err == nil {
		fmt.Print(text)
		return
	}
	failures <- seed
	path := filepath.Join(s.out, fmt.Sprintf("seed-%d.txt", seed))
	_ = os.MkdirAll(s.out, 0o755)
	_ = os.WriteFile(path, []byte(text), 0o644)
	fmt.Printf("seed %d FAILED: %v; %d broken; report %s\n", seed, err, len(report.Violations), path)
}
