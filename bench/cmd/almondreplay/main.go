// Command almondreplay plays loads against the deciding packages in simulated time
// and prints what each way of deciding gives to callers.
package main

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"almondstand.dev/bench/replay"
)

// errUnknown means a load that isn't there.
var errUnknown = errors.New("almondreplay: no such load")

func main() {
	var seed uint64
	root := &cobra.Command{
		Use:           "almondreplay [LOAD...]",
		Short:         "Play loads against the ways of deciding; all without an argument",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, names []string) error {
			loads, err := chosen(names)
			if err != nil {
				return err
			}
			for _, l := range loads {
				var results []*replay.Result
				for _, w := range replay.Ways() {
					results = append(results, replay.Play(l, w, seed))
				}
				if err := replay.Write(cmd.OutOrStdout(), results); err != nil {
					return err
				}
			}
			return nil
		},
	}
	root.Flags().Uint64Var(&seed, "seed", 1, "seed of the arrivals, sizes and choices")
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "almondreplay:", err)
		os.Exit(1)
	}
}

func chosen(names []string) ([]replay.Load, error) {
	all := replay.Standard()
	if len(names) == 0 {
		return all, nil
	}
	var loads []replay.Load
	for _, name := range names {
		i := slices.IndexFunc(all, func(l replay.Load) bool { return l.Name == name })
		if i < 0 {
			return nil, fmt.Errorf("%w: %s", errUnknown, name)
		}
		loads = append(loads, all[i])
	}
	return loads, nil
}
