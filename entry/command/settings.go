package command

import (
	"fmt"

	"github.com/spf13/cobra"
)

func settingsCommand(entry Entry) *cobra.Command {
	cmd := &cobra.Command{Use: "settings", Short: "Check an entry's settings file or print an example"}
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file and list every error",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := entry.Check(args[0]); err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), args[0]+": ok")
			return err
		},
	}
	example := &cobra.Command{
		Use:   "example",
		Short: "Print example settings with every field",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return writeJSON(cmd.OutOrStdout(), entry.Example())
		},
	}
	cmd.AddCommand(check, example)
	return cmd
}
