package command

import (
	"github.com/spf13/cobra"
)

func entryCommand(entry Entry) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "entry",
		Short: "Run an entry until SIGTERM or SIGINT, then drain and exit",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return entry.Run(cmd.Context(), path)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file (JSON)")
	_ = cmd.MarkFlagRequired("settings")
	_ = cmd.MarkFlagFilename("settings", "json")
	return cmd
}
