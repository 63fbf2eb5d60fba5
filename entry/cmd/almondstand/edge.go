package main

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/oklog/run"

	"almondstand.dev/entry/edge"
	"almondstand.dev/telemetry"
)

// metricsPrefix is the prefix of all metric names of an entry in capacity mode.
const metricsPrefix = "almondstand"

// runEdge runs an entry whose runners report their resource capacity (capacity mode). It
// reloads the settings on SIGHUP, and drains and stops on SIGINT or SIGTERM.
func runEdge(ctx context.Context, path string) error {
	s, err := edge.Load(path)
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
	logger = logger.With(slog.String("entry", s.ID))
	slog.SetDefault(logger)
	n := edge.New(s, edge.Options{Path: path, Logger: logger, Metrics: metrics})
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	var g run.Group
	g.Add(run.SignalHandler(ctx, os.Interrupt, syscall.SIGTERM))
	serving, stop := context.WithCancel(ctx)
	g.Add(func() error {
		for {
			select {
			case <-serving.Done():
				return nil
			case <-hangups:
				n.Reload(serving)
			}
		}
	}, func(error) { stop() })
	var served error
	g.Add(func() error {
		served = n.Run(serving)
		return served
	}, func(error) { stop() })
	if err := g.Run(); !errors.Is(err, run.ErrSignal) {
		return err
	}
	return served
}
