// Package burn computes the burn rate of each client's error budget. Each entry
// records how its jobs ended; snapshots of several entries are merged into one
// report, written as a table, JSON or an HTML page with plots.
//
// An answer is bad if it is late or failed, or if the job was rejected although the
// client was within its contract. Jobs rejected because the client exceeded its
// contract are counted, but are neither good nor bad. The error budget is the ratio
// of bad answers that the contract's objective allows. The burn rate is the ratio of
// bad answers in a window divided by the error budget: at 1 the budget is spent
// exactly.
//
// Alerts use pairs of windows: the long window shows that the problem is
// significant, the short one that it persists (Google, The Site Reliability
// Workbook, chapter 5).
//
// Counts are kept in memory only: they start from zero when an entry restarts, and
// the budget is that of the longest window.
package burn

import "time"

// Outcome classifies how a job ended.
type Outcome int

// Values of Outcome.
const (
	OnTime Outcome = iota
	Late
	Failed
	// RejectedWithinContract: rejected although the client was within its contract.
	RejectedWithinContract
	// RejectedOverContract: rejected because the client exceeded its contract.
	RejectedOverContract
	kindCount
)

// Observation records how one job ended.
type Observation struct {
	Client  string
	Outcome Outcome
	Latency time.Duration
}

// WindowPair is a short and a long window that are evaluated together.
type WindowPair struct {
	Name        string
	Short, Long time.Duration
	// Threshold is the burn rate at which the pair alerts, if both windows are at
	// or above it.
	Threshold float64
}

// WindowPairs are the window pairs of the report, one for a fast and one for a slow
// burn.
var WindowPairs = [...]WindowPair{
	{Name: "fast", Short: 5 * time.Minute, Long: time.Hour, Threshold: 14.4},
	{Name: "slow", Short: 30 * time.Minute, Long: 6 * time.Hour, Threshold: 6},
}

const (
	// bucketWidth is the resolution of the windows.
	bucketWidth = 30 * time.Second
	// BudgetWindow is the longest window, over which the error budget is computed.
	BudgetWindow = 6 * time.Hour
	// ringSize is the number of buckets in BudgetWindow, and one for the bucket
	// being filled.
	ringSize = int(BudgetWindow/bucketWidth) + 1
	// pointWidth is the time covered by one point of a plot.
	pointWidth = 5 * time.Minute
	pointCount = int(BudgetWindow / pointWidth)
)

// Counts holds the number of jobs with each outcome. It is encoded in JSON as an array
// in the order of the kinds.
type Counts [kindCount]uint64

// Add adds the counts of another entry or period.
func (c *Counts) Add(other Counts) {
	for i := range c {
		c[i] += other[i]
	}
}

// Answers returns the number of all jobs except those rejected because the client
// exceeded its contract.
func (c Counts) Answers() uint64 {
	return c[OnTime] + c.Bad()
}

// Bad returns the number of jobs that spend the error budget.
func (c Counts) Bad() uint64 {
	return c[Late] + c[Failed] + c[RejectedWithinContract]
}

// Ratio returns the fraction of answers with the outcome k; 0 without answers.
func (c Counts) Ratio(k Outcome) float64 { return ratio(c[k], c.Answers()) }

// BurnRate returns the ratio of bad answers divided by the error budget. It returns
// 0 for an unknown objective (0).
func (c Counts) BurnRate(objective float64) float64 {
	if objective <= 0 || objective >= 1 {
		return 0
	}
	return ratio(c.Bad(), c.Answers()) / (1 - objective)
}

func ratio(part, whole uint64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
