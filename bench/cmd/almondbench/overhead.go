package main

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"almondstand.dev/bench/overhead"
)

func overheadCommand() *cobra.Command {
	var buildArgs []string
	o := overhead.Options{}
	cmd := &cobra.Command{
		Use:   "overhead",
		Short: "Measure the overhead of an entry per task and the task starts per second it sustains",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			builds, removeBuilds, err := loadBuilds(buildArgs)
			if err != nil {
				return err
			}
			defer removeBuilds()
			for _, b := range builds {
				o.Binaries = b.Binaries
				r, err := overhead.Measure(cmd.Context(), o)
				if err != nil {
					return err
				}
				cmd.Println(b.label)
				if err := r.Write(os.Stdout); err != nil {
					return err
				}
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringArrayVar(&buildArgs, "programs", nil, "build to test as LABEL=FOLDER; may be repeated, the builds are run in turn")
	f.IntVar(&o.Calls, "calls", 3000, "sequential calls per path")
	f.IntVar(&o.Guards, "guards", 8, "guards in the throughput measurement")
	f.IntVar(&o.Slots, "slots", 64, "slots of each guard")
	f.IntVar(&o.Callers, "callers", 64, "concurrent callers")
	f.IntVar(&o.Tasks, "tasks", 20, "tasks per job")
	f.DurationVar(&o.Run, "run", 20*time.Millisecond, "run time of a task")
	f.DurationVar(&o.For, "for", 8*time.Second, "duration of the throughput measurement")
	return cmd
}
