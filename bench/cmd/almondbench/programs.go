package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"almondstand.dev/e2e/harness"
)

// programs is one build of the programs under test.
type programs struct {
	// label identifies the build in the results; empty when there is only one.
	label string
	harness.Binaries
}

func buildCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "build FOLDER",
		Short: "Build the programs under test, to compare two versions with run --programs",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if err := os.MkdirAll(args[0], 0o755); err != nil {
				return err
			}
			_, err := build(args[0])
			return err
		},
	}
}

func build(dir string) (harness.Binaries, error) {
	b, err := harness.Build(dir)
	if err != nil {
		return b, err
	}
	b.Entry = benchEntry(dir)
	return b, harness.BuildProgram(b.Entry, "almondstand.dev/bench/cmd/benchentry")
}

func benchEntry(dir string) string { return filepath.Join(dir, "benchentry") }

// loadBuilds parses LABEL=FOLDER arguments. Without any, it builds the current sources
// into a temporary folder, which the returned function removes.
func loadBuilds(args []string) ([]programs, func(), error) {
	if len(args) == 0 {
		dir, err := os.MkdirTemp("", "almondbench-bin")
		if err != nil {
			return nil, nil, err
		}
		b, err := build(dir)
		return []programs{{Binaries: b}}, func() { _ = os.RemoveAll(dir) }, err
	}
	var all []programs
	for _, arg := range args {
		label, dir, found := strings.Cut(arg, "=")
		if !found {
			return nil, nil, fmt.Errorf("--programs %q is not LABEL=FOLDER", arg)
		}
		b := harness.Binaries{Entry: benchEntry(dir), Guard: filepath.Join(dir, "almondguard")}
		all = append(all, programs{label: label, Binaries: b})
	}
	return all, func() {}, nil
}
