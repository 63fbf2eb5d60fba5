package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"almondstand.dev/entry/explain"
)

func explainCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Show what happened to a request and why, from the logs of entries and guards",
		Long: "Show what happened to a request and why, from the logs of entries and guards: the given files, or standard input. " +
			"Events of the request are marked with an asterisk; the others are events of the processes involved. The exit status is 1 if no line contains the id.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			timeline, err := readTimeline(cmd.InOrStdin(), args[0], args[1:])
			if err != nil {
				return err
			}
			if !asJSON {
				return timeline.Print(cmd.OutOrStdout())
			}
			e := json.NewEncoder(cmd.OutOrStdout())
			e.SetIndent("", "  ")
			return e.Encode(timeline)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON instead of a table")
	return cmd
}

func readTimeline(in io.Reader, id string, paths []string) (explain.Timeline, error) {
	if len(paths) == 0 {
		return explain.FromLogs(id, in)
	}
	var logs []io.Reader
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return explain.Timeline{}, fmt.Errorf("explain: %w", err)
		}
		defer func() { _ = file.Close() }()
		logs = append(logs, file)
	}
	return explain.FromLogs(id, logs...)
}
