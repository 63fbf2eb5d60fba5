package command

import (
	"cmp"
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version and the Go version it was built with",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "almondstand", version())
			return err
		},
	}
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	values := map[string]string{}
	for _, s := range info.Settings {
		values[s.Key] = s.Value
	}
	text := cmp.Or(values["vcs.revision"], info.Main.Version, "unknown")
	if values["vcs.modified"] == "true" {
		text += " (modified)"
	}
	return text + " " + info.GoVersion
}
