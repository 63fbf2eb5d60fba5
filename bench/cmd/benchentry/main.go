// Command benchentry is an entry whose scheduling policy is selected by an experiment,
// so that policies can be compared on real processes.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"

	"almondstand.dev/bench/experiment"
	"almondstand.dev/dispatch/baseline"
	"almondstand.dev/dispatch/scheduler"
	"almondstand.dev/entry/node"
	"almondstand.dev/telemetry"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "benchentry:", err)
		os.Exit(1)
	}
}

// run expects the arguments of `almondstand entry --settings FILE`.
func run() error {
	if len(os.Args) != 4 {
		return fmt.Errorf("usage: benchentry entry --settings FILE")
	}
	s, err := node.Load(os.Args[3])
	if err != nil {
		return err
	}
	var v baseline.Variant
	if err := json.Unmarshal([]byte(os.Getenv(experiment.VariantEnv)), &v); err != nil {
		return fmt.Errorf("variant: %w", err)
	}
	options, err := v.Apply(node.SchedulerOptions(s))
	if err != nil {
		return err
	}
	logger, err := telemetry.NewLogger(os.Stderr, s.Log.Level, s.Log.Format)
	if err != nil {
		return err
	}
	n, err := node.New(s, node.Options{
		Logger: logger,
		NewPolicy: func(node.Settings) scheduler.Policy {
			return scheduler.New(options, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		},
	})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return n.Run(ctx)
}
