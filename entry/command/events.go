package command

import (
	"strconv"

	"github.com/spf13/cobra"

	"almondstand.dev/eventlog"
)

func eventsCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "events",
		Short: "List the events an entry logs, with their meaning and the action to take",
		Args:  cobra.NoArgs,
	}
	out := addOutputFlag(cmd, formatTable, formatJSON, formatMarkdown)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := out.check(); err != nil {
			return err
		}
		events := eventlog.Catalogue()
		switch out.format {
		case formatJSON:
			return writeJSON(cmd.OutOrStdout(), eventRows(events))
		case formatMarkdown:
			_, err := cmd.OutOrStdout().Write([]byte(eventlog.Render(events)))
			return err
		}
		rows := [][]string{{"NUMBER", "LEVEL", "NAME", "MEANING"}}
		for _, e := range events {
			rows = append(rows, []string{strconv.Itoa(e.Number), e.Level.String(), e.Name, e.Meaning})
		}
		return writeTable(cmd.OutOrStdout(), rows)
	}
	return cmd
}

// eventRow is the JSON representation of an event.
type eventRow struct {
	Number  int    `json:"number"`
	Name    string `json:"name"`
	Level   string `json:"level"`
	Meaning string `json:"meaning"`
	Action  string `json:"action"`
}

func eventRows(events []eventlog.Event) []eventRow {
	rows := make([]eventRow, len(events))
	for i, e := range events {
		rows[i] = eventRow{Number: e.Number, Name: e.Name, Level: e.Level.String(), Meaning: e.Meaning, Action: e.Action}
	}
	return rows
}
