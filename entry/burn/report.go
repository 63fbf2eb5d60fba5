package burn

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"almondstand.dev/entry/internal/figure"
)

// Report evaluates a snapshot against the clients' contracts.
type Report struct {
	At      time.Time `json:"at"`
	Entries []string  `json:"entries"`
	// Missing lists the live entries that did not answer; their counts are not in
	// the report.
	Missing []string `json:"missing,omitempty"`
	Rows    []Row    `json:"customers"`
}

// Row is the part of a report about one client. Ratios, Answers and BudgetLeft are
// computed over BudgetWindow, six hours.
type Row struct {
	Customer      string  `json:"customer"`
	Objective     float64 `json:"objective"`
	Answers       uint64  `json:"answers"`
	Late          float64 `json:"late"`
	Failed        float64 `json:"failed"`
	RefusedWithin float64 `json:"refused_within"`
	// RefusedOver is the number of jobs rejected because the client exceeded its
	// contract.
	RefusedOver uint64 `json:"refused_over"`
	// BudgetLeft is the fraction of the error budget that is left: negative if
	// overspent, 1 without answers.
	BudgetLeft float64 `json:"budget_left"`
	Burn       []Burn  `json:"burn"`
	// P50Ms and P99Ms are latency quantiles of answers in milliseconds, accurate
	// to about 20 %.
	P50Ms float64 `json:"p50_ms"`
	P99Ms float64 `json:"p99_ms"`

	latency Histogram
	series  []Counts
}

// Burn holds the burn rates over one pair of windows.
type Burn struct {
	Pair      string  `json:"pair"`
	Short     float64 `json:"short"`
	Long      float64 `json:"long"`
	Threshold float64 `json:"threshold"`
	// Alert is true when both windows are at or above the threshold.
	Alert bool `json:"alert"`
}

// NewReport evaluates a snapshot. Clients with the least budget left come first.
func NewReport(s Snapshot, missing []string) Report {
	r := Report{At: s.At, Entries: s.Entries, Missing: missing, Rows: make([]Row, 0, len(s.Clients))}
	for _, c := range s.Clients {
		if len(c.Windows) == 2*len(WindowPairs) {
			r.Rows = append(r.Rows, newRow(c))
		}
	}
	slices.SortStableFunc(r.Rows, func(a, b Row) int {
		switch {
		case a.BudgetLeft < b.BudgetLeft:
			return -1
		case a.BudgetLeft > b.BudgetLeft:
			return 1
		}
		return strings.Compare(a.Customer, b.Customer)
	})
	return r
}

func newRow(c ClientCounts) Row {
	budgetWindow := c.Windows[len(c.Windows)-1]
	row := Row{
		Customer:      c.Name,
		Objective:     c.Objective,
		Answers:       budgetWindow.Answers(),
		Late:          budgetWindow.Ratio(Late),
		Failed:        budgetWindow.Ratio(Failed),
		RefusedWithin: budgetWindow.Ratio(RejectedWithinContract),
		RefusedOver:   budgetWindow[RejectedOverContract],
		BudgetLeft:    1 - budgetWindow.BurnRate(c.Objective),
		P50Ms:         milliseconds(c.Latency.Quantile(0.5)),
		P99Ms:         milliseconds(c.Latency.Quantile(0.99)),
		latency:       c.Latency,
		series:        c.Series,
	}
	for i, p := range WindowPairs {
		short := c.Windows[2*i].BurnRate(c.Objective)
		long := c.Windows[2*i+1].BurnRate(c.Objective)
		row.Burn = append(row.Burn, Burn{
			Pair:      p.Name,
			Short:     short,
			Long:      long,
			Threshold: p.Threshold,
			Alert:     short >= p.Threshold && long >= p.Threshold,
		})
	}
	return row
}

// Alert reports whether at least one pair of windows alerts.
func (r Row) Alert() bool {
	return slices.ContainsFunc(r.Burn, func(b Burn) bool { return b.Alert })
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// WriteTable writes the report as a table.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CUSTOMER\tOBJECTIVE\tANSWERS\tLATE\tFAILED\tREFUSED\tOVER\tBUDGET LEFT\tBURN 5m/1h\tBURN 30m/6h\tP50\tP99\tALERT")
	for _, row := range r.Rows {
		fmt.Fprintln(t, strings.Join(row.cells(), "\t"))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w, r.footer())
	return err
}

func (r Row) cells() []string {
	cells := []string{
		r.Customer, exactPercent(r.Objective), strconv.FormatUint(r.Answers, 10),
		percent(r.Late), percent(r.Failed), percent(r.RefusedWithin),
		strconv.FormatUint(r.RefusedOver, 10), percent(r.BudgetLeft),
	}
	for _, b := range r.Burn {
		cells = append(cells, figure.Short(b.Short)+"/"+figure.Short(b.Long))
	}
	alert := "-"
	if r.Alert() {
		alert = "ALERT"
	}
	return append(cells, figure.Short(r.P50Ms)+" ms", figure.Short(r.P99Ms)+" ms", alert)
}

func (r Report) footer() string {
	text := fmt.Sprintf("%d entries at %s, last 6h", len(r.Entries), r.At.Format(time.RFC3339))
	if len(r.Missing) > 0 {
		text += "; NOT counted, no answer: " + strings.Join(r.Missing, ", ")
	}
	return text
}

// wholePercentFrom is the ratio from which percent omits decimals. Such ratios occur
// because a budget can be overspent many times.
const wholePercentFrom = 10

func percent(share float64) string {
	if math.Abs(share) >= wholePercentFrom {
		return strconv.FormatFloat(100*share, 'f', 0, 64) + "%"
	}
	return strconv.FormatFloat(100*share, 'g', 4, 64) + "%"
}

// exactPercent formats an objective with all its decimals, so that 0.99999 is not
// rounded to 100%.
func exactPercent(share float64) string {
	const steps = 1e9
	return strconv.FormatFloat(math.Round(100*share*steps)/steps, 'f', -1, 64) + "%"
}
