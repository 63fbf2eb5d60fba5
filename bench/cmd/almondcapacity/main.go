// Command almondcapacity regenerates the tables of docs/CAPACITY.md from the sweeps in
// the journal.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"almondstand.dev/bench/capacity"
)

func main() {
	var page, journal string
	root := &cobra.Command{
		Use:           "almondcapacity",
		Short:         "Update the tables of the capacity page",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			old, err := os.ReadFile(page)
			if err != nil {
				return err
			}
			text, err := capacity.Update(string(old), journal)
			if err != nil {
				return err
			}
			return os.WriteFile(page, []byte(text), 0o644)
		},
	}
	root.Flags().StringVar(&page, "page", "docs/CAPACITY.md", "page whose tables are regenerated")
	root.Flags().StringVar(&journal, "journal", "journal", "folder of the journal")
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "almondcapacity:", err)
		os.Exit(1)
	}
}
