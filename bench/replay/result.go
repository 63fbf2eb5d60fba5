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

// window of the table by time.
const window = 2 * time.Second

// Count of jobs by what became of them.
type Count struct {
	Asked, InAim, Late, Refused, Failed int
}

// Share of the jobs answered in the time wanted.
func (c Count) Share() float64 { return float64(c.InAim) / float64(max(c.Asked, 1)) }

// Served is the share of the jobs answered at all.
func (c Count) Served() float64 { return float64(c.InAim+c.Late) / float64(max(c.Asked, 1)) }

// Result of one run.
type Result struct {
	Load, Way string
	All       Count
	// By kind, size class, zone and window of arrival.
	Kinds, Sizes, Zones, Windows map[string]*Count
	// ZoneWindows are by zone and window of arrival.
	ZoneWindows map[string]*Count
	// RefusedIn are the times from arrival to refusal.
	RefusedIn []time.Duration
	// RefusedWithRoom counts refusals while some runner had room for a task.
	RefusedWithRoom int
	// Misplaced counts orders that a guard turned down, by reason.
	Misplaced map[string]int
	// Denied counts jobs told as refused of which a run had begun.
	Denied int
	// Orders that guards were given.
	Orders int
	// Messages of guards to entries.
	Messages int
	// Crashes are the lives of runners that jobs have crashed, by the number of jobs that
	// crashed so many. GivenUp counts sound jobs that were given up for crashes.
	Crashes map[*submitted]int
	GivenUp int
	kinds   []Kind
}

func newResult(l Load, way string) *Result {
	return &Result{
		Load: l.Name, Way: way, kinds: l.Kinds,
		Kinds: map[string]*Count{}, Sizes: map[string]*Count{}, Zones: map[string]*Count{}, Windows: map[string]*Count{}, ZoneWindows: map[string]*Count{},
		Misplaced: map[string]int{}, Crashes: map[*submitted]int{},
	}
}

func (r *Result) misplaced(why runs.Refusal) { r.Misplaced[why.String()]++ }

func (r *Result) crashed(by *submitted) { r.Crashes[by]++ }

// CrashesEach is the mean and the largest number of runners that a poisonous job crashed.
func (r *Result) CrashesEach() (mean float64, most int) {
	sum := 0
	for _, n := range r.Crashes {
		sum += n
		most = max(most, n)
	}
	return float64(sum) / float64(max(len(r.Crashes), 1)), most
}

// ended counts a job's outcome.
func (r *Result) ended(s *sim, e *entry, d planner.Ended) {
	j := e.jobs[d.Job]
	if j.crashAfter > 0 {
		// Nobody is owed anything for it.
		return
	}
	if d.Outcome == planner.Failed {
		r.GivenUp++
	}
	r.count(j.arrival, s.now, d.Outcome)
	if d.Outcome == planner.Refused {
		r.refused(s, j)
	}
}

// count takes what became of a job at a time.
func (r *Result) count(a arrival, at time.Duration, o planner.Outcome) {
	k := r.kinds[a.kind]
	took := at - a.at
	began := fmt.Sprintf("%4.0f s", ((a.at - begin) / window * window).Seconds())
	sets := []*Count{
		&r.All,
		count(r.Kinds, k.Name),
		count(r.Sizes, sizeClass(a.size)),
		count(r.Zones, a.zone),
		count(r.Windows, began),
		count(r.ZoneWindows, a.zone+began),
	}
	for _, c := range sets {
		c.Asked++
		switch {
		case o == planner.Completed && took <= k.aim(a.size):
			c.InAim++
		case o == planner.Completed:
			c.Late++
		case o == planner.Refused:
			c.Refused++
		default:
			c.Failed++
		}
	}
}

func (r *Result) refused(s *sim, j *submitted) {
	k := r.kinds[j.kind]
	r.RefusedIn = append(r.RefusedIn, s.now-j.at)
	if j.began > 0 {
		r.Denied++
	}
	need := work.Amounts{CPUMilli: k.CPUMilli}
	if slices.ContainsFunc(s.guards, func(g *guard) bool { return g.free(need) }) {
		r.RefusedWithRoom++
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

// Write prints the tables of the ways of one load beside one another.
func Write(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, r := range results {
		_, _ = fmt.Fprintf(t, "\n%s: %s\t\t\t\t\t\t\n\tasked\tin aim\tlate\trefused\tfailed\t\n", r.Load, r.Way)
		row(t, "all", r.All)
		for _, part := range []map[string]*Count{r.Kinds, r.Sizes, r.Zones, r.Windows} {
			for _, key := range sorted(part) {
				row(t, key, *part[key])
			}
		}
		_, _ = fmt.Fprintf(t, "refused after, half and 99 of 100: %s, %s; with room somewhere: %d; denied though begun: %d\t\t\t\t\t\t\n",
			quantile(r.RefusedIn, 0.5), quantile(r.RefusedIn, 0.99), r.RefusedWithRoom, r.Denied)
		if len(r.Crashes) > 0 {
			mean, most := r.CrashesEach()
			_, _ = fmt.Fprintf(t, "runners crashed by each poisonous job: %.2f, %d at most; sound jobs failed: %d\t\t\t\t\t\t\n", mean, most, r.GivenUp)
		}
		_, _ = fmt.Fprintf(t, "orders turned down by guards: %s; messages to entries: %d\t\t\t\t\t\t\n", reasons(r.Misplaced), r.Messages)
	}
	return t.Flush()
}

// WriteShares prints what a way gives against the yardstick, a line a load: shares of
// the jobs answered in the time wanted, of those answered at all, and of those
// answered in the time wanted in the window in which that share is least.
func WriteShares(w io.Writer, pairs [][]*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "load\tin aim\tserved\tworst kind\tof yardstick: in aim\tserved\tworst 2 s\trefused after\tturned down\tidle\t")
	for _, p := range pairs {
		ours, best := p[0], p[1:]
		inAim := ours.All.Share() / Best(ours, best, func(r *Result) float64 { return r.All.Share() })
		served := ours.All.Served() / Best(ours, best, func(r *Result) float64 { return r.All.Served() })
		_, _ = fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%s\t%.1f %%\t%d\t\n", ours.Load, ours.All.Share(), ours.All.Served(),
			ours.worstKind(), inAim, served, worstWindow(ours, best), quantile(ours.RefusedIn, 0.5), 100*ours.TurnedDown(), ours.RefusedWithRoom)
	}
	return t.Flush()
}

// worstKind is the least share of a kind in the time wanted.
func (r *Result) worstKind() float64 {
	worst := 1.0
	for _, c := range r.Kinds {
		worst = min(worst, c.Share())
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
			return r.Windows[key].Share()
		})
		if most > 0 {
			worst = min(worst, c.Share()/most)
		}
	}
	return worst
}

// TurnedDown is the share of the orders that guards turned down for want of room.
func (r *Result) TurnedDown() float64 {
	return float64(r.Misplaced[runs.Full.String()]) / float64(max(r.Orders, 1))
}

func row(w io.Writer, name string, c Count) {
	of := func(n int) string { return fmt.Sprintf("%.1f %%", 100*float64(n)/float64(max(c.Asked, 1))) }
	_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t\n", name, c.Asked, of(c.InAim), of(c.Late), of(c.Refused), of(c.Failed))
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

// Slowest is the time within which the share q of the refused were told so.
func (r *Result) Slowest(q float64) time.Duration { return quantile(r.RefusedIn, q) }
