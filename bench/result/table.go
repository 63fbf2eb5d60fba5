package result

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
)

const tableHeader = "experiment\tclient\tjobs\tdone\tfailed\trefused\trejected\tno answer\t" +
	"mean\tp50\tp90\tp99\tp99.9\t>5x\tgoodput\trefusal ms p99\tretried\tadmitted on retry\t" +
	"wasted/task\tcontrol/task\tentry cores\tentry MB\tguard cores\tguard MB\tfaults\t"

// WriteTable writes one line per result and one for each of its clients, followed by
// the measurements that only some experiments make.
func WriteTable(w io.Writer, all []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, tableHeader)
	for _, r := range all {
		entry, guard := r.meanOf("entry-"), r.meanOf("guard-")
		writeGroup(t, r.title(), "all", r.All,
			fmt.Sprintf("%.3f\t%.3f\t%.3f\t%.0f\t%.3f\t%.0f\t%d", r.WastedPerTask, r.ControlPerTask,
				entry.Cores, megabytes(entry.RSS), guard.Cores, megabytes(guard.RSS), len(r.Verdict.Faults)))
		for _, name := range r.clientNames() {
			writeGroup(t, "", name, r.Clients[name], "\t\t\t\t\t\t")
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return writeNotes(w, all)
}

func writeGroup(w io.Writer, name, client string, g Group, rest string) {
	_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.3f\t%.2f\t%.2f\t%.2f\t%d\t%.1f\t%.1f\t%d\t%d\t%s\t\n",
		name, client, g.Jobs, g.Outcomes[Complete], g.Outcomes[Failed], g.Outcomes[Refused], g.Outcomes[Rejected], g.Outcomes[Unanswered],
		g.Slowdown.Mean, g.Slowdown.P50, g.Slowdown.P90, g.Slowdown.P99, g.Slowdown.P999, g.Late, g.Goodput,
		g.RejectionMs.P99, g.Resubmitted, g.AdmittedOnRetry, rest)
}

// writeNotes writes the measurements that only some experiments make.
func writeNotes(w io.Writer, all []*Result) error {
	for _, r := range all {
		if b := r.Recovery; b != nil {
			_, _ = fmt.Fprintf(w, "%s: median ratio %.3f before the burst of %.0f s; recovery to within a tenth of it: %s\n",
				r.title(), b.Before, b.Burst, b.text())
		}
		if c := r.Cancels; c != nil {
			_, _ = fmt.Fprintf(w, "%s: %d cancels, %d answered, the slowest after %.1f ms\n", r.title(), c.Calls, c.Answered, c.MaxMs)
		}
	}
	high, low := find(all, "load-120"), find(all, "load-95")
	if high == nil || low == nil || low.All.Goodput == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "goodput at 120 %% is %.1f %% of that at 95 %%\n", 100*high.All.Goodput/low.All.Goodput)
	return err
}

func (b *Recovery) text() string {
	if b.After < 0 {
		return "not in the run"
	}
	return fmt.Sprintf("%.0f s after its end", b.After)
}

func find(all []*Result, name string) *Result {
	for _, r := range all {
		if r.Name == name {
			return r
		}
	}
	return nil
}

// title returns the name of the experiment with the label of its build.
func (r *Result) title() string {
	if r.Programs == "" {
		return r.Name
	}
	return r.Name + " " + r.Programs
}

func (r *Result) clientNames() []string {
	var clientNames []string
	for name := range r.Clients {
		clientNames = append(clientNames, name)
	}
	sort.Strings(clientNames)
	return clientNames
}

// meanOf returns the mean resource usage of the processes whose names have the prefix.
func (r *Result) meanOf(prefix string) Process {
	var sum Process
	n := 0
	for name, p := range r.Processes {
		if !hasPrefix(name, prefix) {
			continue
		}
		sum.Cores += p.Cores
		sum.RSS += p.RSS
		n++
	}
	if n > 0 {
		sum.Cores /= float64(n)
		sum.RSS /= int64(n)
	}
	return sum
}

func megabytes(bytes int64) float64 { return float64(bytes) / (1 << 20) }
