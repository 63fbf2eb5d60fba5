package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/spf13/cobra"

	"almondstand.dev/standin/runner"
	"almondstand.dev/telemetry"
)

// drainGrace is how long a draining runner continues to serve after its last task. Tasks
// that were sent before the announcement of its draining arrived are still served.
const drainGrace = 4 * time.Second

const idleCheckInterval = 20 * time.Millisecond

// runnerSecretEnv is the environment variable with the cluster's secret. It isn't a
// flag, since every user of the host can read the command lines of processes.
const runnerSecretEnv = "ALMOND_SECRET"

func runnerCommand() *cobra.Command {
	var o runner.Options
	var address string
	cmd := &cobra.Command{
		Use:   "runner",
		Short: "Serve tasks whose run time, failure or rejection is set by their payload",
		Long: "Serve tasks whose run time, failure or rejection is set by their payload.\n" +
			"SIGTERM drains it: it announces that, finishes the running tasks and exits.\n" +
			"SIGINT stops it immediately. " + runnerSecretEnv + " holds the cluster's secret.",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			logger, err := telemetry.NewLogger(os.Stderr, "info", telemetry.FormatText)
			if err != nil {
				return err
			}
			o.Logger = logger
			o.Secret = os.Getenv(runnerSecretEnv)
			return serveRunner(address, o)
		},
	}
	f := cmd.Flags()
	f.StringVar(&address, "listen", anyLoopbackPort, "IP and port")
	f.StringVar(&o.Service, "service", "teardown", "name of the service")
	f.StringVar(&o.DataCentre, "zone", "", "data centre")
	f.IntVar(&o.Slots, "slots", runner.DefaultSlots, "maximum number of concurrent tasks")
	f.IntVar(&o.Connections, "connections", runner.DefaultConnections, "maximum number of open connections")
	f.DurationVar(&o.TTL, "ttl", runner.DefaultTTL, "how long an announcement remains valid")
	f.StringSliceVar(&o.AnnounceTo, "announce", nil, "base URLs of a guard, or of entries for a runner without a guard")
	return cmd
}

func serveRunner(address string, o runner.Options) error {
	r, err := runner.New(o)
	if err != nil {
		return err
	}
	l, err := listen("runner", address)
	if err != nil {
		return err
	}
	var g run.Group
	g.Add(run.SignalHandler(context.Background(), os.Interrupt))
	addServer(&g, r.Listener(l), r.Handler())
	addAnnouncer(&g, r, l.Addr())
	addDrainOnSignal(&g, r)
	return wait(&g)
}

func addAnnouncer(g *run.Group, r *runner.Runner, address net.Addr) {
	ctx, stop := context.WithCancel(context.Background())
	g.Add(func() error { return r.Announce(ctx, address.String()) }, func(error) { stop() })
}

// addDrainOnSignal adds an actor to the group that drains the runner on SIGTERM and stops
// the group when no task has run for drainGrace.
func addDrainOnSignal(g *run.Group, r *runner.Runner) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	done := make(chan struct{})
	g.Add(func() error {
		select {
		case <-ctx.Done():
		case <-done:
			return nil
		}
		r.Drain()
		return waitUntilIdle(r, done)
	}, func(error) {
		close(done)
		stop()
	})
}

func waitUntilIdle(r *runner.Runner, done <-chan struct{}) error {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	lastBusy := time.Now()
	for {
		select {
		case now := <-ticker.C:
			if !r.Idle() {
				lastBusy = now
			}
			if now.Sub(lastBusy) > drainGrace {
				return nil
			}
		case <-done:
			return nil
		}
	}
}
