package result

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// figure is one value by which results are compared.
type figure struct {
	name string
	of   func(*Result) float64
}

var figures = []figure{
	{"done", func(r *Result) float64 { return float64(r.All.Outcomes[Complete]) }},
	{"failed", func(r *Result) float64 { return float64(r.All.Outcomes[Failed]) }},
	{"refused", func(r *Result) float64 { return float64(r.All.Outcomes[Refused]) }},
	{"mean", func(r *Result) float64 { return r.All.Slowdown.Mean }},
	{"p50", func(r *Result) float64 { return r.All.Slowdown.P50 }},
	{"p90", func(r *Result) float64 { return r.All.Slowdown.P90 }},
	{"p99", func(r *Result) float64 { return r.All.Slowdown.P99 }},
	{">5x", func(r *Result) float64 { return float64(r.All.Late) }},
	{"goodput", func(r *Result) float64 { return r.All.Goodput }},
	{"wasted/task", func(r *Result) float64 { return r.WastedPerTask }},
	{"near", func(r *Result) float64 { return r.SameDataCentreShare }},
}

// group holds the results of one experiment with one build.
type group struct {
	name    string
	results []*Result
}

// groups groups the results by experiment and build, in order of first appearance.
func groups(all []*Result) []*group {
	var out []*group
	byName := map[string]*group{}
	for _, r := range all {
		name := r.title()
		g := byName[name]
		if g == nil {
			g = &group{name: name}
			byName[name] = g
			out = append(out, g)
		}
		g.results = append(g.results, r)
	}
	return out
}

func (g *group) mean(f figure) float64 {
	sum := 0.0
	for _, r := range g.results {
		sum += f.of(r)
	}
	return sum / float64(len(g.results))
}

// deviation returns the standard deviation over the runs.
func (g *group) deviation(f figure) float64 {
	if len(g.results) < 2 {
		return 0
	}
	mean, sum := g.mean(f), 0.0
	for _, r := range g.results {
		sum += (f.of(r) - mean) * (f.of(r) - mean)
	}
	return math.Sqrt(sum / float64(len(g.results)-1))
}

// WriteSummary writes one line per experiment and build: the mean of its runs and,
// after ±, their standard deviation.
func WriteSummary(w io.Writer, all []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprint(t, "experiment\truns\t")
	for _, f := range figures {
		_, _ = fmt.Fprintf(t, "%s\t", f.name)
	}
	_, _ = fmt.Fprintln(t)
	for _, g := range groups(all) {
		_, _ = fmt.Fprintf(t, "%s\t%d\t", g.name, len(g.results))
		for _, f := range figures {
			_, _ = fmt.Fprintf(t, "%s±%s\t", formatFigure(g.mean(f)), formatFigure(g.deviation(f)))
		}
		_, _ = fmt.Fprintln(t)
	}
	return t.Flush()
}

// Compare writes the figures of two sets of results side by side, one line per
// experiment.
func Compare(w io.Writer, before, after []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprint(t, "experiment\t")
	for _, f := range figures {
		_, _ = fmt.Fprintf(t, "%s\t", f.name)
	}
	_, _ = fmt.Fprintln(t)
	second := map[string]*group{}
	for _, g := range groups(after) {
		second[g.name] = g
	}
	for _, g := range groups(before) {
		other := second[g.name]
		if other == nil {
			continue
		}
		_, _ = fmt.Fprintf(t, "%s\t", g.name)
		for _, f := range figures {
			_, _ = fmt.Fprintf(t, "%s → %s\t", formatFigure(g.mean(f)), formatFigure(other.mean(f)))
		}
		_, _ = fmt.Fprintln(t)
	}
	return t.Flush()
}

// short formats a number with three decimal places, or fewer for larger numbers: one
// from 10 on and none from 100 on.
func formatFigure(x float64) string {
	switch {
	case math.Abs(x) >= 100:
		return fmt.Sprintf("%.0f", x)
	case math.Abs(x) >= 10:
		return fmt.Sprintf("%.1f", x)
	}
	return fmt.Sprintf("%.3f", x)
}
