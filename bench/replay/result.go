package replay

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/runs"
)

// window is the length of the time windows in the table.
const window = 2 * time.Second

// Count counts jobs by outcome.
type Count struct {
	Submitted, OnTime, Late, Rejected, Failed int
}

// OnTimeShare is the share of jobs answered within their target response time.
func (c Count) OnTimeShare() float64 { return float64(c.OnTime) / float64(max(c.Submitted, 1)) }

// AnsweredShare is the share of jobs answered at all.
func (c Count) AnsweredShare() float64 {
	return float64(c.OnTime+c.Late) / float64(max(c.Submitted, 1))
}

// Result is the result of one simulation.
type Result struct {
	Load, Policy string
	All          Count
	// Counts by kind, size class, data centre and time window of the arrival.
	Kinds, Sizes, DataCentres, Windows map[string]*Count
	// DataCentreWindows holds counts by data centre and time window of the arrival.
	DataCentreWindows map[string]*Count
	// RejectionTimes holds the times from arrival to rejection of the rejected jobs.
	RejectionTimes []time.Duration
	// RejectedWithCapacity is the number of rejections while some runner had capacity for a
	// task.
	RejectedWithCapacity int
	// RefusedOrders counts the start orders that a guard refused, by reason.
	RefusedOrders map[string]int
	// RejectedAfterStart is the number of jobs that were reported as rejected although one of their
	// runs had started.
	RejectedAfterStart int
	// Orders is the number of start orders that guards received.
	Orders int
	// Messages is the number of messages from guards to entries.
	Messages int
	// ProgressReports is the number of progress reports in them, and StalledReports that of reports
	// on stalled runs.
	ProgressReports, StalledReports int
	// Crashes holds, for each job that crashes runners, the number of runner processes
	// it has crashed. FailedByCrashes is the number of other jobs that failed because of
	// crashes.
	Crashes         map[*pendingJob]int
	FailedByCrashes int
	// RunsLost is the number of runs that flapping runners lost.
	RunsLost int
	// LongRunStops holds the times, since the start, at which entries stopped runs because they took
	// too long or stalled.
	LongRunStops []time.Duration
	// RejectedByRule counts the jobs that were rejected before their time was over, by rule.
	RejectedByRule map[planner.Rule]int
	// Left is the number of jobs whose callers left before the answer. They don't count.
	Left int
	// Returned counts the jobs that were submitted again after their rejection, which aren't counted
	// elsewhere. ReturnedAt holds the times of these submissions.
	Returned   Count
	ReturnedAt []time.Duration
	kinds      []Kind
	// HandedOver is the number of jobs that entries handed over, NotTaken that of those that came back.
	HandedOver, NotTaken int
}

func newResult(l Load, policy string) *Result {
	return &Result{
		Load: l.Name, Policy: policy, kinds: l.Kinds,
		Kinds: map[string]*Count{}, Sizes: map[string]*Count{}, DataCentres: map[string]*Count{}, Windows: map[string]*Count{}, DataCentreWindows: map[string]*Count{},
		RefusedOrders: map[string]int{}, RejectedByRule: map[planner.Rule]int{}, Crashes: map[*pendingJob]int{},
	}
}

// countProgress counts a progress report.
func (r *Result) countProgress(stalled bool) {
	r.ProgressReports++
	if stalled {
		r.StalledReports++
	}
}

// countStop counts the stop of a run, by its time since the start.
func (r *Result) countStop(at time.Duration, reason planner.Reason) {
	if reason == planner.ReasonRunTooLong || reason == planner.ReasonRunStalled {
		r.LongRunStops = append(r.LongRunStops, at)
	}
}

func (r *Result) countRefusedOrder(reason runs.Refusal) { r.RefusedOrders[reason.String()]++ }

func (r *Result) countCrash(by *pendingJob) { r.Crashes[by]++ }

// CrashesEach returns the mean and the maximum number of runners crashed by one job.
func (r *Result) CrashesEach() (mean float64, most int) {
	sum := 0
	for _, n := range r.Crashes {
		sum += n
		most = max(most, n)
	}
	return float64(sum) / float64(max(len(r.Crashes), 1)), most
}

// jobEnded counts the outcome of a job.
func (r *Result) jobEnded(s *sim, j *pendingJob, d planner.Ended) {
	if j.crashAfter > 0 {
		// Jobs that crash runners don't count: their callers are owed no answer.
		return
	}
	if d.Outcome == planner.Failed {
		r.FailedByCrashes++
	}
	if d.Outcome == planner.Cancelled {
		r.Left++
		return
	}
	if d.Outcome == planner.Refused && d.Prediction != nil && d.Prediction.Rule != "" {
		r.RejectedByRule[d.Prediction.Rule]++
	}
	if j.returning {
		r.Returned.add(d.Outcome, s.now-j.at, r.kinds[j.kind].target(j.size))
		return
	}
	r.count(j.arrival, s.now, d.Outcome)
	if d.Outcome == planner.Refused {
		r.jobRejected(s, j)
	}
}

// count counts a job by its outcome and the time at which it ended.
func (r *Result) count(a arrival, at time.Duration, o planner.Outcome) {
	k := r.kinds[a.kind]
	took := at - a.at
	arrivedIn := fmt.Sprintf("%4.0f s", ((a.at - simStart) / window * window).Seconds())
	sets := []*Count{
		&r.All,
		count(r.Kinds, k.Name),
		count(r.Sizes, sizeClass(a.size)),
		count(r.DataCentres, a.dataCentre),
		count(r.Windows, arrivedIn),
		count(r.DataCentreWindows, a.dataCentre+arrivedIn),
	}
	for _, c := range sets {
		c.add(o, took, k.target(a.size))
	}
}

// add counts a job by its outcome, the time it took and its target response time.
func (c *Count) add(o planner.Outcome, took, target time.Duration) {
	c.Submitted++
	switch {
	case o == planner.Completed && took <= target:
		c.OnTime++
	case o == planner.Completed:
		c.Late++
	case o == planner.Refused:
		c.Rejected++
	default:
		c.Failed++
	}
}

func (r *Result) jobRejected(s *sim, j *pendingJob) {
	k := r.kinds[j.kind]
	r.RejectionTimes = append(r.RejectionTimes, s.now-j.at)
	if j.startedRuns > 0 {
		r.RejectedAfterStart++
	}
	need := work.Amounts{CPUMilli: k.CPUMilli}
	if slices.ContainsFunc(s.guards, func(g *guard) bool { return g.hasCapacity(need) }) {
		r.RejectedWithCapacity++
	}
}

func count(m map[string]*Count, key string) *Count {
	if m[key] == nil {
		m[key] = &Count{}
	}
	return m[key]
}

func sizeClass(size float64) string {
	switch {
	case size < 0.85:
		return "small"
	case size < 1.2:
		return "middle"
	default:
		return "large"
	}
}

// Write prints the tables of all policies for one load.
func Write(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, r := range results {
		_, _ = fmt.Fprintf(t, "\n%s: %s\t\t\t\t\t\t\n\tsubmitted\ton time\tlate\trejected\tfailed\t\n", r.Load, r.Policy)
		row(t, "all", r.All)
		for _, part := range []map[string]*Count{r.Kinds, r.Sizes, r.DataCentres, r.Windows} {
			for _, key := range sorted(part) {
				row(t, key, *part[key])
			}
		}
		_, _ = fmt.Fprintf(t, "rejected after, p50 and p99: %s, %s; while a runner had capacity: %d; although a run had started: %d\t\t\t\t\t\t\n",
			quantile(r.RejectionTimes, 0.5), quantile(r.RejectionTimes, 0.99), r.RejectedWithCapacity, r.RejectedAfterStart)
		if len(r.Crashes) > 0 {
			mean, most := r.CrashesEach()
			_, _ = fmt.Fprintf(t, "runners crashed by each crashing job: %.2f, %d at most; other jobs failed: %d\t\t\t\t\t\t\n", mean, most, r.FailedByCrashes)
		}
		if len(r.RejectedByRule) > 0 {
			_, _ = fmt.Fprintf(t, "rejected early: %v\t\t\t\t\t\t\n", r.RejectedByRule)
		}
		if r.Left+r.Returned.Submitted > 0 {
			_, _ = fmt.Fprintf(t, "callers left: %d; submitted again: %d, answered %.3f, in a busiest 100 ms %.1f times the mean\t\t\t\t\t\t\n", r.Left, r.Returned.Submitted, r.Returned.AnsweredShare(), r.MaxReturnsTimes())
		}
		if r.HandedOver > 0 {
			_, _ = fmt.Fprintf(t, "jobs handed over: %d, not taken: %d\t\t\t\t\t\t\n", r.HandedOver, r.NotTaken)
		}
		_, _ = fmt.Fprintf(t, "start orders refused by guards: %s; messages to entries: %d\t\t\t\t\t\t\n", reasons(r.RefusedOrders), r.Messages)
	}
	return t.Flush()
}

// WriteShares prints one line per load that compares a policy with the oracle: the
// shares of jobs answered on time, of those answered at all, and of those answered on
// time in the window in which that share is lowest.
func WriteShares(w io.Writer, pairs [][]*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "load\ton time\tserved\tworst kind\tof oracle: on time\tserved\tworst 2 s\trejected after\torders refused\tidle\t")
	for _, p := range pairs {
		ours, best := p[0], p[1:]
		onTime := ours.All.OnTimeShare() / Best(ours, best, func(r *Result) float64 { return r.All.OnTimeShare() })
		answered := ours.All.AnsweredShare() / Best(ours, best, func(r *Result) float64 { return r.All.AnsweredShare() })
		_, _ = fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%s\t%.1f %%\t%d\t\n", ours.Load, ours.All.OnTimeShare(), ours.All.AnsweredShare(),
			ours.worstKind(), onTime, answered, worstWindow(ours, best), quantile(ours.RejectionTimes, 0.5), 100*ours.RefusedOrderShare(), ours.RejectedWithCapacity)
	}
	return t.Flush()
}

// worstKind returns the lowest on-time share of any kind.
func (r *Result) worstKind() float64 {
	worst := 1.0
	for _, c := range r.Kinds {
		worst = min(worst, c.OnTimeShare())
	}
	return worst
}

func worstWindow(ours *Result, best []*Result) float64 {
	worst := 1.0
	for key, c := range ours.Windows {
		most := Best(ours, best, func(r *Result) float64 {
			if r.Windows[key] == nil {
				return 0
			}
			return r.Windows[key].OnTimeShare()
		})
		if most > 0 {
			worst = min(worst, c.OnTimeShare()/most)
		}
	}
	return worst
}

// RefusedOrderShare is the share of start orders that guards refused for lack of capacity.
func (r *Result) RefusedOrderShare() float64 {
	return float64(r.RefusedOrders[runs.InsufficientCapacity.String()]) / float64(max(r.Orders, 1))
}

func row(w io.Writer, name string, c Count) {
	of := func(n int) string { return fmt.Sprintf("%.1f %%", 100*float64(n)/float64(max(c.Submitted, 1))) }
	_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t\n", name, c.Submitted, of(c.OnTime), of(c.Late), of(c.Rejected), of(c.Failed))
}

func sorted[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func reasons(m map[string]int) string {
	var parts []string
	for _, k := range sorted(m) {
		parts = append(parts, fmt.Sprintf("%s %d", k, m[k]))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Clone(all)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))].Round(time.Millisecond)
}

// RejectionTime returns the time within which the share q of the rejected jobs was rejected.
func (r *Result) RejectionTime(q float64) time.Duration { return quantile(r.RejectionTimes, q) }
