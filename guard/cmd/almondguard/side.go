package main

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/oklog/run"

	"almondstand.dev/guard/side"
	"almondstand.dev/telemetry"
)

// capacitySection is the section of a settings file for a guard whose runner
// reports its resources instead of a number of slots.
const capacitySection = "capacity"

// runCapacityGuard runs such a guard and handles the signals that reload and stop
// it.
func runCapacityGuard(ctx context.Context, path string) error {
	s, err := side.Load(path)
	if err != nil {
		return err
	}
	metrics := telemetry.NewMetrics(metricsPrefix)
	defer func() { _ = metrics.Close() }()
	logger, closeOutput, err := telemetry.NewRateLimitedLogger(os.Stdout, s.Log.Level, metrics)
	if err != nil {
		return err
	}
	defer closeOutput()
	logger = logger.With(slog.String("guard", s.ID))
	slog.SetDefault(logger)
	n := side.New(s, side.Options{Path: path, Logger: logger, Metrics: metrics})
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	var g run.Group
	g.Add(run.SignalHandler(ctx, os.Interrupt, syscall.SIGTERM))
	serveCtx, stop := context.WithCancel(ctx)
	g.Add(func() error {
		for {
			select {
			case <-serveCtx.Done():
				return nil
			case <-reloadSignals:
				n.Reload(serveCtx)
			}
		}
	}, func(error) { stop() })
	var serveErr error
	g.Add(func() error {
		serveErr = n.Run(serveCtx)
		return serveErr
	}, func(error) { stop() })
	if err := g.Run(); !errors.Is(err, run.ErrSignal) {
		return err
	}
	return serveErr
}
