package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"almondstand.dev/bench/result"
)

func compareCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "compare FOLDER FOLDER",
		Short: "Compare the results of two runs",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			before, err := readAll(args[0])
			if err != nil {
				return err
			}
			after, err := readAll(args[1])
			if err != nil {
				return err
			}
			return result.Compare(os.Stdout, before, after)
		},
	}
}

func summaryCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "summary FOLDER",
		Short: "Summarize the results of a run by experiment",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			all, err := readAll(args[0])
			if err != nil {
				return err
			}
			return result.WriteSummary(os.Stdout, all)
		},
	}
}

func readAll(dir string) ([]*result.Result, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	var all []*result.Result
	for _, path := range paths {
		r, err := read(path)
		if err != nil {
			return nil, err
		}
		all = append(all, r)
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("no results in %s", dir)
	}
	return all, nil
}

func read(path string) (*result.Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := &result.Result{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}
