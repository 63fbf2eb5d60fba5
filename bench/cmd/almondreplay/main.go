// Command almondreplay simulates loads against the scheduling packages and prints what
// each policy gives to callers.
package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"

	"github.com/spf13/cobra"

	"almondstand.dev/bench/replay"
)

// errUnknown is returned for a load name that doesn't exist.
var errUnknownLoad = errors.New("almondreplay: unknown load")

func main() {
	var seed uint64
	var shares, handOver bool
	root := &cobra.Command{
		Use:           "almondreplay [LOAD...]",
		Short:         "Simulate loads with each scheduling policy; all loads if none is named",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, names []string) error {
			loads, err := selectLoads(names)
			if err != nil {
				return err
			}
			for i := range loads {
				loads[i].HandOver = handOver
			}
			if shares {
				return writeShares(cmd, loads, seed)
			}
			for _, l := range loads {
				var results []*replay.Result
				for _, w := range replay.Policies() {
					results = append(results, replay.Simulate(l, w, seed))
				}
				if err := replay.Write(cmd.OutOrStdout(), results); err != nil {
					return err
				}
			}
			return nil
		},
	}
	root.Flags().Uint64Var(&seed, "seed", 1, "seed of the random numbers")
	root.Flags().BoolVar(&shares, "shares", false, "print only one line per load that compares production with the oracle")
	root.Flags().BoolVar(&handOver, "hand-over", false, "entries hand jobs over to each other")
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "almondreplay:", err)
		os.Exit(1)
	}
}

// writeShares simulates the loads concurrently and prints their results in order.
func writeShares(cmd *cobra.Command, loads []replay.Load, seed uint64) error {
	pairs := make([][]*replay.Result, len(loads))
	var all sync.WaitGroup
	for i, l := range loads {
		all.Go(func() {
			production := replay.Simulate(l, replay.Policies()[0], seed)
			pairs[i] = append([]*replay.Result{production}, replay.Oracle(l, seed)...)
		})
	}
	all.Wait()
	return replay.WriteShares(cmd.OutOrStdout(), pairs)
}

func selectLoads(names []string) ([]replay.Load, error) {
	all := replay.Standard()
	if len(names) == 0 {
		return all, nil
	}
	var loads []replay.Load
	for _, name := range names {
		i := slices.IndexFunc(all, func(l replay.Load) bool { return l.Name == name })
		if i < 0 {
			return nil, fmt.Errorf("%w: %s", errUnknownLoad, name)
		}
		loads = append(loads, all[i])
	}
	return loads, nil
}
