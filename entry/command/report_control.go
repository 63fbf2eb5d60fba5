package command

import (
	"context"
	"io"
	"sort"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"almondstand.dev/entry/internal/figure"
	"almondstand.dev/entry/operator"
	"almondstand.dev/entry/operator/client"
)

func controlCommand(o *operatorFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "control",
		Short: "Report CPU time, memory and control traffic of each entry",
		Args:  cobra.NoArgs,
	}
	out := addOutputFlag(cmd, formatTable, formatJSON)
	cmd.RunE = runQuery(o, out, fetchControl, printControl)
	return cmd
}

func printControl(w io.Writer, format string, report controlSummary) error {
	if format == formatJSON {
		return writeJSON(w, report)
	}
	return writeTable(w, report.rows())
}

// controlSummary is the control report of all entries.
type controlSummary struct {
	Entries []operator.Control `json:"entries"`
	// Missing lists the live entries that did not answer.
	Missing []string `json:"missing,omitempty"`
}

func fetchControl(ctx context.Context, c *client.Client, _ []string) (controlSummary, error) {
	answers, err := client.CallAll(ctx, c, func(ctx context.Context, c *client.Client) (operator.Control, error) {
		return c.Control(ctx)
	})
	if err != nil {
		return controlSummary{}, withAdvice("", err)
	}
	summary := controlSummary{Missing: client.FailedEntries(answers)}
	for _, a := range answers {
		if a.Err == nil {
			summary.Entries = append(summary.Entries, a.Value)
		}
	}
	sort.Slice(summary.Entries, func(i, j int) bool { return summary.Entries[i].Entry < summary.Entries[j].Entry })
	return summary, nil
}

// rows returns the table of averages since the start of each entry: one row for
// the process, then one for each kind of traffic.
func (s controlSummary) rows() [][]string {
	rows := [][]string{{"ENTRY", "KIND", "UPTIME", "CPU %", "RSS MB", "GOROUTINES", "CALLS/s", "SENT B/s", "RECEIVED B/s"}}
	for _, e := range s.Entries {
		rows = append(rows, []string{
			e.Entry, "process", e.Uptime().Round(time.Second).String(), perSecond(e.CPUMs/10, e.Uptime()),
			strconv.FormatInt(e.RSSBytes>>20, 10), strconv.Itoa(e.Goroutines), "", "", "",
		})
		for _, t := range e.Traffic {
			rows = append(rows, []string{
				e.Entry, t.Kind, "", "", "", "",
				perSecond(t.Calls, e.Uptime()), perSecond(t.Sent, e.Uptime()), perSecond(t.Received, e.Uptime()),
			})
		}
	}
	for _, name := range s.Missing {
		rows = append(rows, []string{name, "no answer", "", "", "", "", "", "", ""})
	}
	return rows
}

func perSecond(n int64, d time.Duration) string {
	if d <= 0 {
		return "-"
	}
	return figure.Short(float64(n) / d.Seconds())
}
