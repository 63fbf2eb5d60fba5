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
		Short: "Tell a request's story and why it ended so, from the logs of entries and guards",
		Long: "Tell a request's story and why it ended so, from the logs of entries and guards: files, or standard input when none is named. " +
			"Lines about the request are marked with a star; the others tell what the processes it met went through. Exit status 1 where no line names the id.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			story, err := readStory(cmd.InOrStdin(), args[0], args[1:])
			if err != nil {
				return err
			}
			if !asJSON {
				return story.Print(cmd.OutOrStdout())
			}
			e := json.NewEncoder(cmd.OutOrStdout())
			e.SetIndent("", "  ")
			return e.Encode(story)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON in place of a table")
	return cmd
}

func readStory(in io.Reader, id string, paths []string) (explain.Story, error) {
	if len(paths) == 0 {
		return explain.Read(id, in)
	}
	var logs []io.Reader
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return explain.Story{}, fmt.Errorf("explain: %w", err)
		}
		defer func() { _ = file.Close() }()
		logs = append(logs, file)
	}
	return explain.Read(id, logs...)
}
