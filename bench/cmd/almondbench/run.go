package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"almondstand.dev/bench/experiment"
	"almondstand.dev/bench/result"
	"almondstand.dev/settings"
)

// plan holds the options of one run command.
type plan struct {
	out      string
	repeat   int
	duration time.Duration
	programs []string
}

func runCommand() *cobra.Command {
	var p plan
	cmd := &cobra.Command{
		Use:   "run EXPERIMENT.json ...",
		Short: "Run experiments in turn and print a table",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return p.run(cmd.Context(), args)
		},
	}
	cmd.Flags().StringVar(&p.out, "out", "", "folder to which the results are written as JSON")
	cmd.Flags().IntVar(&p.repeat, "repeat", 1, "number of rounds over all experiments, each with a new seed")
	cmd.Flags().DurationVar(&p.duration, "duration", 0, "duration of each run after its warm-up; overrides the experiment's own")
	cmd.Flags().StringArrayVar(&p.programs, "programs", nil, "build to test as LABEL=FOLDER; may be repeated, the builds are run in turn")
	return cmd
}

// run runs all experiments and builds in turn, so that a temporary disturbance of the
// machine affects all variants alike.
func (p plan) run(ctx context.Context, paths []string) error {
	builds, removeBuilds, err := loadBuilds(p.programs)
	if err != nil {
		return err
	}
	defer removeBuilds()
	var all []*result.Result
	for round := range p.repeat {
		for _, path := range paths {
			for _, b := range builds {
				r, err := p.one(ctx, path, b, round)
				if err != nil {
					return err
				}
				all = append(all, r)
			}
		}
	}
	if len(all) == len(paths) {
		return result.WriteTable(os.Stdout, all)
	}
	return result.WriteSummary(os.Stdout, all)
}

func (p plan) one(ctx context.Context, path string, b programs, round int) (*result.Result, error) {
	e, err := experiment.Load(path)
	if err != nil {
		return nil, err
	}
	e.Seed += uint64(round)
	if p.duration > 0 {
		e.Duration = settings.Duration(p.duration)
	}
	r, err := experiment.Run(ctx, e, b.Binaries)
	if err != nil {
		return nil, err
	}
	r.Programs = b.label
	r.Seed = e.Seed
	for _, fault := range r.Verdict.Faults {
		fmt.Fprintln(os.Stderr, "FAULT", e.Name, fault)
	}
	if p.out == "" {
		return r, nil
	}
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("%s%s-%d.json", e.Name, b.label, round)
	return r, os.WriteFile(filepath.Join(p.out, name), text, 0o644)
}
