// Command demo demonstrates the whole system on one host: it starts a store, two
// entries, two guards with their runners, and one runner without a guard, each as
// a separate process. It applies a contract, submits a job of 100 tasks, prints
// the response and the reports, and stops all processes it started.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeout limits the run time of the whole demo.
const timeout = 2 * time.Minute

func main() {
	bin := flag.String("bin", "bin", "directory of the programs")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := run(ctx, *bin); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, bin string) (err error) {
	dir, err := os.MkdirTemp("", "almondstand-demo-")
	if err != nil {
		return err
	}
	d := &demo{bin: bin, dir: dir}
	defer func() {
		err = errors.Join(err, d.stopProcesses(), os.RemoveAll(dir))
	}()
	for _, step := range []func(context.Context) error{
		d.startStore,
		d.startEntries,
		d.startGuards,
		d.startRunners,
		d.applyContract,
		d.waitForEndpoints,
		d.submitJob,
		d.verifyStarts,
		d.report,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}
