package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"almondstand.dev/entry/operator/client"
)

// Output formats.
const (
	formatTable    = "table"
	formatJSON     = "json"
	formatHTML     = "html"
	formatMarkdown = "markdown"
)

// outputFlag is the --output flag of a command.
type outputFlag struct {
	format  string
	allowed []string
}

func addOutputFlag(cmd *cobra.Command, allowed ...string) *outputFlag {
	o := &outputFlag{allowed: allowed}
	cmd.Flags().StringVarP(&o.format, "output", "o", allowed[0], "one of "+strings.Join(allowed, ", "))
	_ = cmd.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(allowed, cobra.ShellCompDirectiveNoFileComp))
	return o
}

func (o *outputFlag) check() error {
	if slices.Contains(o.allowed, o.format) {
		return nil
	}
	return fmt.Errorf("--output %s: write one of %s", o.format, strings.Join(o.allowed, ", "))
}

// runQuery returns the RunE function of a command that fetches a value from the
// entries and prints it in the chosen format. fetch receives the command's
// arguments.
func runQuery[T any](
	o *operatorFlags, out *outputFlag,
	fetch func(ctx context.Context, c *client.Client, args []string) (T, error),
	print func(w io.Writer, format string, v T) error,
) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if err := out.check(); err != nil {
			return err
		}
		c, err := o.client()
		if err != nil {
			return err
		}
		v, err := fetch(cmd.Context(), c, args)
		if err != nil {
			return err
		}
		return print(cmd.OutOrStdout(), out.format, v)
	}
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// writeTable writes rows in aligned columns; the first row is the header.
func writeTable(w io.Writer, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(t, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return t.Flush()
}
