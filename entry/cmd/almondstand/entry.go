package main

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"os"
	"strings"
	"syscall"

	"github.com/oklog/run"

	"almondstand.dev/entry/command"
	"almondstand.dev/entry/edge"
	"almondstand.dev/entry/node"
	"almondstand.dev/settings"
	"almondstand.dev/telemetry"
)

// entry connects the entry process to the command line.
func entry() command.Entry {
	return command.Entry{
		Run:     runByMode,
		Check:   checkSettings,
		Example: func() any { return example() },
	}
}

// capacitySection is the section of a settings file for an entry whose runners report
// their resource capacity. Its presence selects that mode.
const capacitySection = "capacity"

// checkSettings validates a settings file of either mode.
func checkSettings(path string) error {
	capacityMode, err := settings.HasField(path, capacitySection)
	if err != nil {
		return err
	}
	if capacityMode {
		_, err = edge.Load(path)
		return err
	}
	_, err = node.Load(path)
	return err
}

// runByMode runs an entry in the mode that the settings select.
func runByMode(ctx context.Context, path string) error {
	capacityMode, err := settings.HasField(path, capacitySection)
	if err != nil {
		return err
	}
	if capacityMode {
		return runEdge(ctx, path)
	}
	return runEntry(ctx, path)
}

// runEntry serves until SIGTERM or SIGINT, then drains.
func runEntry(ctx context.Context, path string) error {
	s, err := node.Load(path)
	if err != nil {
		return err
	}
	logger, err := telemetry.NewLogger(os.Stderr, s.Log.Level, s.Log.Format)
	if err != nil {
		return err
	}
	logger = logger.With(slog.String("entry", s.ID))
	// Libraries use the default logger; this gives their records the same format.
	slog.SetDefault(logger)
	n, err := node.New(s, node.Options{Logger: logger})
	if err != nil {
		return err
	}
	var g run.Group
	g.Add(run.SignalHandler(ctx, os.Interrupt, syscall.SIGTERM))
	serving, stop := context.WithCancel(ctx)
	var served error
	g.Add(func() error {
		served = n.Run(serving)
		return served
	}, func(error) { stop() })
	// On a signal the group returns ErrSignal; the result of draining determines the exit
	// status.
	if err := g.Run(); !errors.Is(err, run.ErrSignal) {
		return err
	}
	return served
}

// exampleDigest is a placeholder for the SHA-256 of a token. No known token matches it.
var exampleDigest = strings.Repeat("0", 64)

// example returns settings with all fields, for a single host.
func example() node.Settings {
	s := node.Default()
	s.ID = "entry-1"
	s.DataCentre = "zagreb"
	s.Listen.Callers = address("127.0.0.1:7001")
	s.Listen.Internal = address("127.0.0.1:7002")
	s.Listen.Operators = address("127.0.0.1:7003")
	s.Advertise.Internal = address("127.0.0.1:7002")
	s.Advertise.Operators = address("127.0.0.1:7003")
	s.Platform.Addresses = []settings.Address{address("127.0.0.1:2379")}
	s.Peers.Seeds = []settings.Address{address("127.0.0.1:7002")}
	s.Peers.Secret = "change-me"
	s.Operators.TokenDigest = exampleDigest
	return s
}

func address(text string) settings.Address {
	return settings.Address{AddrPort: netip.MustParseAddrPort(text)}
}
