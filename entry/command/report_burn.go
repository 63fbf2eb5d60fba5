package command

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	"almondstand.dev/entry/burn"
	"almondstand.dev/entry/operator/client"
)

func burnCommand(o *operatorFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "burn",
		Short: "Report how fast each customer's error budget is spent",
		Args:  cobra.NoArgs,
	}
	out := addOutputFlag(cmd, formatTable, formatJSON, formatHTML)
	fetch := func(ctx context.Context, c *client.Client, _ []string) (burn.Report, error) {
		return fetchBurn(ctx, c, out.format == formatHTML)
	}
	cmd.RunE = runQuery(o, out, fetch, printBurn)
	return cmd
}

func printBurn(w io.Writer, format string, report burn.Report) error {
	switch format {
	case formatJSON:
		return writeJSON(w, report)
	case formatHTML:
		return report.WriteHTML(w)
	}
	return report.WriteTable(w)
}

func fetchBurn(ctx context.Context, c *client.Client, withSeries bool) (burn.Report, error) {
	answers, err := client.CallAll(ctx, c, func(ctx context.Context, c *client.Client) (burn.Snapshot, error) {
		return c.Burn(ctx, withSeries)
	})
	if err != nil {
		return burn.Report{}, withAdvice("", err)
	}
	var counted []burn.Snapshot
	for _, a := range answers {
		if a.Err == nil {
			counted = append(counted, a.Value)
		}
	}
	merged, err := burn.Merge(counted...)
	if err != nil {
		return burn.Report{}, err
	}
	return burn.NewReport(merged, client.FailedEntries(answers)), nil
}
