// Command almondcapacity prints the tables of docs/CAPACITY.md from the journal's sweeps.
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
		Short:         "Bring the tables of the capacity page up to date",
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
	root.Flags().StringVar(&page, "page", "docs/CAPACITY.md", "page whose tables are printed anew")
	root.Flags().StringVar(&journal, "journal", "journal", "folder of the runs")
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "almondcapacity:", err)
		os.Exit(1)
	}
}
