package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"syscall"

	"github.com/oklog/run"
	"github.com/spf13/cobra"

	"almondstand.dev/guard/config"
	"almondstand.dev/guard/node"
	"almondstand.dev/guard/side"
	"almondstand.dev/settings"
	"almondstand.dev/telemetry"
)

// metricsPrefix is the prefix of all metric names of a guard.
const metricsPrefix = "almondguard"

func command() *cobra.Command {
	root := &cobra.Command{
		Use:           "almondguard",
		Short:         "Starts tasks on the runner of its host, each at most once",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(runCommand(), settingsCommand(), versionCommand())
	return root
}

func runCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "run",
		Short: "Run the guard until SIGTERM or SIGINT, then drain and exit",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			hasCapacity, err := settings.HasField(path, capacitySection)
			if err != nil {
				return err
			}
			if hasCapacity {
				return runCapacityGuard(c.Context(), path)
			}
			s, err := config.Load(path)
			if err != nil {
				return err
			}
			return runGuard(c.Context(), s)
		},
	}
	c.Flags().StringVar(&path, "settings", "", "settings file (JSON)")
	_ = c.MarkFlagRequired("settings")
	return c
}

// runGuard runs a guard and handles the signals that stop it.
func runGuard(ctx context.Context, s config.Settings) error {
	logger, err := telemetry.NewLogger(os.Stderr, s.Log.Level, s.Log.Format)
	if err != nil {
		return err
	}
	metrics := telemetry.NewMetrics(metricsPrefix)
	defer func() { _ = metrics.Close() }()
	n, err := node.New(s, node.Options{Logger: logger.With(slog.String("guard", s.ID)), Metrics: metrics})
	if err != nil {
		return err
	}
	var g run.Group
	g.Add(run.SignalHandler(ctx, os.Interrupt, syscall.SIGTERM))
	serveCtx, stop := context.WithCancel(ctx)
	var serveErr error
	g.Add(func() error {
		serveErr = n.Run(serveCtx)
		return serveErr
	}, func(error) { stop() })
	// The group returns the signal, but the exit status must reflect the result
	// of the drain.
	if err := g.Run(); !errors.Is(err, run.ErrSignal) {
		return err
	}
	return serveErr
}

// checkSettings validates a settings file of either kind.
func checkSettings(path string) error {
	hasCapacity, err := settings.HasField(path, capacitySection)
	if err != nil {
		return err
	}
	if hasCapacity {
		_, err = side.Load(path)
		return err
	}
	_, err = config.Load(path)
	return err
}

func settingsCommand() *cobra.Command {
	c := &cobra.Command{Use: "settings", Short: "Check a settings file or print an example"}
	c.AddCommand(
		&cobra.Command{
			Use:   "check FILE",
			Short: "Check a settings file",
			Args:  cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				if err := checkSettings(args[0]); err != nil {
					return err
				}
				_, err := fmt.Fprintln(c.OutOrStdout(), "ok")
				return err
			},
		},
		&cobra.Command{
			Use:   "example",
			Short: "Print example settings",
			Args:  cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error {
				e := json.NewEncoder(c.OutOrStdout())
				e.SetIndent("", "  ")
				return e.Encode(config.Example())
			},
		},
	)
	return c
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), "almondguard", version)
			return err
		},
	}
}
