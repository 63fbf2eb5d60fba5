// Command almondsoak runs entries and guards under random faults that follow
// from seeds, and reports the seeds under which a promise was broken.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"almondstand.dev/e2e/harness"
	"almondstand.dev/e2e/soak"
)

var errSeeds = errors.New("almondsoak: a promise was broken")

// settings of the command line.
type settings struct {
	seed    uint64
	seeds   int
	minutes float64
	length  time.Duration
	jobs    int
	out     string
	bin     string
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
		Short:         "Run a fleet under random faults and hold its promises",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(c *cobra.Command, _ []string) error { return play(c.Context(), s) },
	}
	f := c.Flags()
	f.Uint64Var(&s.seed, "seed", 0, "first seed; 0 takes one from the clock")
	f.IntVar(&s.seeds, "seeds", 1, "number of seeds")
	f.Float64Var(&s.minutes, "minutes", 0, "play seeds for so long in place of a number")
	f.DurationVar(&s.length, "length", 8*time.Second, "length of a seed's faults")
	f.IntVar(&s.jobs, "jobs", 2, "seeds played at a time")
	f.StringVar(&s.out, "out", filepath.Join("out", "soak"), "folder of the reports of failed seeds")
	f.StringVar(&s.bin, "bin", "", "folder of built programs; empty builds them")
	return c
}

func play(ctx context.Context, s settings) error {
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
	next := make(chan uint64)
	go feed(s, next)
	broken := make(chan uint64, 1024)
	done := make(chan struct{})
	for range s.jobs {
		go func() {
			for seed := range next {
				one(ctx, s, binaries, filepath.Join(dir, fmt.Sprint(seed)), seed, broken)
			}
			done <- struct{}{}
		}()
	}
	for range s.jobs {
		<-done
	}
	close(broken)
	var failed []uint64
	for seed := range broken {
		failed = append(failed, seed)
	}
	if len(failed) > 0 {
		return fmt.Errorf("%w: seeds %v, reports in %s", errSeeds, failed, s.out)
	}
	return nil
}

// feed hands the seeds out.
func feed(s settings, next chan<- uint64) {
	defer close(next)
	began := time.Now()
	for i := 0; ; i++ {
		if s.minutes > 0 && time.Since(began).Minutes() >= s.minutes || s.minutes == 0 && i >= s.seeds {
			return
		}
		next <- s.seed + uint64(i)
	}
}

// one plays a seed and keeps the report of one that failed.
func one(ctx context.Context, s settings, b harness.Binaries, dir string, seed uint64, broken chan<- uint64) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		fmt.Fprintln(os.Stderr, err)
		broken <- seed
		return
	}
	report, err := soak.Run(ctx, soak.Options{Binaries: b, Dir: dir, Seed: seed, Length: s.length})
	text := report.Text()
	if err != nil {
		text += err.Error() + "\n"
	}
	if err == nil {
		fmt.Print(text)
		return
	}
	broken <- seed
	path := filepath.Join(s.out, fmt.Sprintf("seed-%d.txt", seed))
	_ = os.MkdirAll(s.out, 0o755)
	_ = os.WriteFile(path, []byte(text), 0o644)
	fmt.Printf("seed %d FAILED: %v; %d broken; report %s\n", seed, err, len(report.Broken), path)
}
