package planner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"almondstand.dev/dispatch/work"
)

// submitFor submits a job of a contract with a priority, of which each task runs for the given time.
func (f *fleet) submitFor(contract string, priority, tasks int, run time.Duration) Actions {
	t := terms
	t.Contract, t.Priority = contract, priority
	w := work.Job{ID: fmt.Sprint(contract, "-", len(f.jobs)), Steps: []work.Step{{Count: tasks, Need: core, Declared: run}}}
	assert.Equal(f.t, f.Submit(f.now, f.now+3*time.Second, w, t), Accepted)
	return f.act()
}

// reportOthers delivers a guard's report on other entries; allocated is by priority class.
func (f *fleet) reportOthers(endpoint, total, used, entries int, allocated []int64, rows ...work.Demand) {
	f.UpdateEndpoint(f.now, f.id(endpoint), EndpointStatus{
		Service: "teardown", Runner: work.Incarnation{ID: "r"}, AcceptsStarts: true,
		Total: work.Amounts{CPUMilli: int64(total) * 1000, MemoryMB: 1 << 20}, Used: work.Amounts{CPUMilli: int64(used) * 1000},
		OthersDemand: rows, OthersEntries: entries, AllocatedByPriorityMilli: allocated,
	})
}

// TestMaxMinShares: nobody gets more than it demands, nothing is left over while somebody lacks, and
// who lacks gets no less than anybody else.
func TestMaxMinShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 8).Draw(t, "demands")
		capacity := rapid.Float64Range(0, 400).Draw(t, "capacity")
		shares := maxMinShares(demands, capacity)
		sum, lacks := 0.0, false
		for i, s := range shares {
			sum += s
			assert.Assert(t, s >= 0 && s <= demands[i])
			if s < demands[i] {
				lacks = true
				for _, o := range shares {
					assert.Assert(t, o <= s+1e-9)
				}
			}
		}
		assert.Assert(t, sum <= capacity+1e-9 && (!lacks || sum >= capacity-1e-9))
	})
}

// A contract over its share of what more urgent work leaves goes behind the others of its priority.
func TestContractOverItsShareGoesLast(t *testing.T) {
	rows := []work.Demand{
		{Contract: 1, Priority: 0, ArrivingMilli: 40_000}, {Contract: 2, Priority: 1, ArrivingMilli: 10_000},
		{Contract: 3, Priority: 1, ArrivingMilli: 200_000}, {Contract: 4, Priority: 2, ArrivingMilli: 900_000},
	}
	assert.DeepEqual(t, overShares(rows, 100_000), map[uint32]bool{3: true})
	assert.Equal(t, len(overShares(rows, 2_000_000)), 0)
	f := newFleet(t, 1)
	f.setCapacity(0, 1, 1)
	f.submitFor("greedy", 1, 1, 200*ms)
	f.submitFor("modest", 1, 1, 250*ms)
	s := f.service("teardown")
	assert.Equal(t, s.order(f.now)[0].terms.Contract, "greedy")
	s.shared.short, s.shared.overShare = true, map[uint32]bool{work.ContractHash("greedy"): true}
	assert.Equal(t, s.order(f.now)[0].terms.Contract, "modest")
}

// TestDemandOfWaitingTasks: the most urgent contract first, with the least slack of jobs that can still
// be in time; contracts with arrivals only while nothing waits, then nothing. Work that ended must not
// be reported on, or other entries reject jobs because of it.
func TestDemandOfWaitingTasks(t *testing.T) {
	f := newFleet(t, 1)
	f.setCapacity(0, 1, 1)
	f.submitFor("card", 1, 2, 200*ms)
	f.after(50 * ms)
	f.submitFor("card", 1, 1, 200*ms)
	f.submitFor("lookup", 0, 3, 60*ms)
	rows := f.Demand(f.now, "g0")
	assert.Equal(t, len(rows), 2)
	assert.Equal(t, rows[0].Contract, work.ContractHash("lookup"))
	assert.Equal(t, rows[0].WaitingMilli, int64(3000))
	assert.Equal(t, rows[1].Jobs, 2)
	assert.Equal(t, rows[1].WaitingMilli, int64(3000))
	first := f.jobs["card-0"]
	assert.Equal(t, rows[1].Slack, first.startBy-f.now)
	assert.Assert(t, rows[1].Work > 0.59 && rows[1].Work < 0.61, "%f", rows[1].Work)
	assert.Equal(t, &rows[0], &f.Demand(f.now, "g0")[0], "it is computed once per Act")

	f.now = first.startBy + ms
	f.act()
	if rows = f.Demand(f.now, "g0"); rows[len(rows)-1].Jobs == 2 {
		assert.Equal(t, rows[len(rows)-1].Slack, f.jobs["card-1"].startBy-f.now, "a late job does not determine the slack")
	}
	for id := range f.jobs {
		f.Cancel(f.now, id)
	}
	f.act()
	rows = f.Demand(f.now, "g0")
	assert.Assert(t, rows[0].WaitingMilli == 0 && rows[0].ArrivingMilli > 0 && rows[0].Slack > 0)
	f.after(10 * time.Second)
	assert.Equal(t, len(f.Demand(f.now, "g0")), 0)
}

// TestSumsAreComputedOnceForAnAct guards against an entry short of processor time that sums its waiting
// tasks for each message to a guard, or the releases of its endpoints for each waiting job.
func TestSumsAreComputedOnceForAnAct(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.submitFor("card", 1, 4, 200*ms)
	f.after(shareInterval)
	f.after(shareInterval / 2)
	rows, s := f.Demand(f.now, "g0"), f.service("teardown")
	assert.Equal(t, &rows[0], &f.Demand(f.now, "g1")[0], "own demand, for each message")
	f.after(shareInterval / 2)
	assert.Equal(t, s.shared.combinedAt, f.now)
	assert.Equal(t, &rows[0], &s.shared.own[0], "own demand, for the combination")
	assert.Assert(t, &rows[0] != &f.Demand(f.now, "g0")[0], "own demand as of an older Act")
	f.reportReleases(0, 1, 1, 1, 1, 1, 1, 1, 1)
	f.reportReleases(1, 1, 1, 1, 1, 1, 1, 1, 1)
	f.now += outlookInterval
	_, known := s.drainTime(f.now, 1)
	assert.Assert(t, known)
	s.outlook.total = 7
	_, _ = s.drainTime(f.now, 2)
	assert.Equal(t, s.outlook.total, 7.0, "releases, for each job")
}

// Contracts beyond the 16th are summed, so that no waiting work is lost.
func TestDemandIsBounded(t *testing.T) {
	f := newFleet(t, 1)
	f.setCapacity(0, 1, 1)
	for i := range work.MaxDemands + 4 {
		f.submitFor(fmt.Sprint("c", i), i, 1, 200*ms)
	}
	rows := f.Demand(f.now, "g0")
	assert.Equal(t, len(rows), work.MaxDemands)
	last := rows[work.MaxDemands-1]
	assert.Assert(t, last.Contract == 0 && last.Jobs == 5 && last.Priority == work.MaxDemands+3)
}

// TestOthersDemandIsScaled: guards with subsets cover some of the other entries, and reports older than
// 300 ms, of a new guard or with an impossible number of entries do not count.
func TestOthersDemandIsScaled(t *testing.T) {
	f := newFleet(t, 10, 10, 10)
	f.SetEntries(11)
	row := work.Demand{Contract: 1, WaitingMilli: 1000, Work: 4, Jobs: 1}
	sum := func() (float64, bool) {
		rows, _, known := f.othersDemand(f.now, f.service("teardown"))
		total := 0.0
		for _, d := range rows {
			total += d.Work
		}
		return total, known
	}
	_, known := sum()
	assert.Assert(t, !known, "older guards report nothing")
	f.reportOthers(0, 10, 10, 4, nil, row)
	f.reportOthers(1, 10, 10, 4, nil)
	total, _ := sum()
	assert.Equal(t, total, 5.0, "4 core-seconds at 8 entries, ten other entries")
	f.reportOthers(2, 10, 10, 1<<30, nil, row)
	total, _ = sum()
	assert.Equal(t, total, 5.0, "the number of entries is not valid")
	f.AttachEndpoint("g1", "a", true)
	total, _ = sum()
	assert.Equal(t, total, 10.0, "the new guard has reported nothing")
	f.now += maxReportAge
	_, known = sum()
	assert.Assert(t, !known, "the report is stale")
}

// TestEntryHeardByFewGuardsCountsInFull guards against an entry without runs that counts for less because
// few guards have heard it lately: the more it lacks, the less it would be seen to lack.
func TestEntryHeardByFewGuardsCountsInFull(t *testing.T) {
	const always, seldom = 1.0, 0.34
	for name, c := range map[string]struct {
		// work and heard are the work waiting at each entry and the share of the guards that hear it.
		work, heard []float64
		tolerance   float64
	}{
		"heard by all": {[]float64{8, 0, 2}, []float64{always, always, always}, 0},
		"one heard by few": {
			[]float64{8, 0, 0, 0, 0, 2, 0, 0, 1}, append([]float64{seldom}, slices.Repeat([]float64{always}, 8)...), 0.01,
		},
		"one of several heard by few": {
			[]float64{8, 0, 0, 0, 0, 2, 0, 0, 1}, []float64{seldom, seldom, seldom, seldom, seldom, always, always, always, always}, 0.1,
		},
		"idle entries are heard by few": {[]float64{0, 0, 0, 3, 3, 3}, []float64{seldom, seldom, seldom, always, always, always}, 0.1},
		"all heard by few":              {[]float64{6, 1, 4, 1}, []float64{seldom, seldom, seldom, seldom}, 0.15},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, slices.Repeat([]int{1}, 60)...)
			f.SetEntries(len(c.work) + 1)
			random := rand.New(rand.NewPCG(1, 2))
			want, sum := 0.0, 0.0
			for _, w := range c.work {
				want += w
			}
			const trials = 40
			for range trials {
				for g := range 60 {
					d, entries := work.Demand{Contract: 1, WaitingMilli: 1}, 0
					for e, share := range c.heard {
						if random.Float64() < share {
							entries++
							d.Work += c.work[e]
						}
					}
					f.reportOthers(g, 1, 1, entries, nil, d)
				}
				rows, _, known := f.othersDemand(f.now, f.service("teardown"))
				assert.Assert(t, known)
				sum += rows[0].Work / trials
			}
			t.Logf("%.2f of %.2f", sum, want)
			assert.Assert(t, math.Abs(sum-want) <= c.tolerance*want+1e-9, "%f instead of %f", sum, want)
		})
	}
}

// TestReportsOnTooManyEntriesAreIgnored guards against one guard with a false number that multiplies the
// demand of the other entries by it: it would have this entry reject its jobs.
func TestReportsOnTooManyEntriesAreIgnored(t *testing.T) {
	row := work.Demand{Contract: 1, WaitingMilli: 1000, Work: 4}
	for entries, most := range map[int]int{0: maxOtherEntries, 1: maxOtherEntries, 2: 2, 10: 14, 55: 81} {
		f := newFleet(t, 1)
		f.SetEntries(entries)
		for n, ignored := range map[int]bool{most: false, most + 1: true, -1: true} {
			f.reportOthers(0, 1, 1, n, nil, row)
			_, _, known := f.othersDemand(f.now, f.service("teardown"))
			assert.Equal(t, known, !ignored, "%d of %d", n, entries)
		}
	}
}

// TestWorkAhead: more urgent work of other entries goes first, work as urgent by its slack.
func TestWorkAhead(t *testing.T) {
	own := work.ContractHash("card")
	for name, c := range map[string]struct {
		row  work.Demand
		want float64
	}{
		"more urgent":                    {work.Demand{Contract: 1, Priority: 0, Slack: time.Second}, 8},
		"more urgent and late":           {work.Demand{Contract: 1, Priority: 0}, 8},
		"less urgent":                    {work.Demand{Contract: 1, Priority: 2, Slack: ms}, 0},
		"as urgent, less slack":          {work.Demand{Contract: 1, Priority: 1, Slack: ms}, 8},
		"as urgent, more slack":          {work.Demand{Contract: 1, Priority: 1, Slack: time.Second}, 0},
		"its own contract":               {work.Demand{Contract: own, Priority: 1, Slack: ms}, 4},
		"its own contract, nothing late": {work.Demand{Contract: own, Priority: 1, Slack: time.Second}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 10)
			f.setCapacity(0, 10, 10)
			f.submitFor("card", 1, 1, 200*ms)
			c.row.Work, c.row.WaitingMilli = 8, 1000
			f.reportOthers(0, 10, 10, 1, nil, c.row)
			got, known := f.workAhead(f.now, f.jobs["card-0"])
			assert.Assert(t, known)
			assert.Equal(t, got, c.want)
			f.opt.Disabled.SharedDemand = true
			_, known = f.workAhead(f.now, f.jobs["card-0"])
			assert.Assert(t, !known)
		})
	}
}

// TestCapacityIsReserved: long, less urgent jobs leave capacity to urgent work that arrives at other
// entries, but not without a shortage, for work that can wait for them, or when their guard does not
// tell who holds the capacity. At least a quarter stays open to them.
func TestCapacityIsReserved(t *testing.T) {
	urgent := work.Demand{Contract: 1, Priority: 0, Slack: 50 * ms, WaitingMilli: 2000, Jobs: 1, ArrivingMilli: 50_000}
	held := []int64{0, 0, 35_000, 0}
	for name, c := range map[string]struct {
		change    func(d *work.Demand)
		allocated []int64
		starts    int
	}{
		"reserved":                 {nil, held, 0},
		"capacity left":            {nil, []int64{30_000, 0, 20_000, 0}, 4},
		"no shortage":              {func(d *work.Demand) { d.WaitingMilli = 0 }, held, 4},
		"no arrivals":              {func(d *work.Demand) { d.ArrivingMilli = 0 }, held, 4},
		"it can wait":              {func(d *work.Demand) { d.Slack = 2 * time.Second }, held, 4},
		"not more urgent":          {func(d *work.Demand) { d.Priority = 2 }, held, 4},
		"an older guard":           {nil, nil, 4},
		"a malformed report":       {nil, []int64{1}, 4},
		"a quarter stays open":     {func(d *work.Demand) { d.ArrivingMilli = 900_000 }, []int64{70_000, 0, 15_000, 0}, 4},
		"no more than the quarter": {func(d *work.Demand) { d.ArrivingMilli = 900_000 }, []int64{50_000, 0, 24_000, 0}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 100)
			row := urgent
			if c.change != nil {
				c.change(&row)
			}
			f.reportOthers(0, 100, 85, 1, c.allocated, row)
			a := f.submitFor("check", 2, 8, 900*ms)
			if c.starts == 0 {
				assert.Equal(t, len(a.Starts), 0)
				assert.Equal(t, len(a.HeldBack), 1)
				assert.Assert(t, f.SharedDemand(f.now).ReservedMilli > 0)
				return
			}
			assert.Assert(t, len(a.Starts) >= c.starts, "%d", len(a.Starts))
		})
	}
}

// Starts of this entry that the guard has not reported yet count as held, so that one entry does not
// fill the reserved capacity within the time of a message.
func TestOwnStartsCountAsHeld(t *testing.T) {
	f := newFleet(t, 100)
	f.reportOthers(0, 100, 0, 1, make([]int64, work.PriorityClasses), work.Demand{Contract: 1, Slack: 50 * ms, WaitingMilli: 2000, ArrivingMilli: 50_000})
	started := 0
	for range 12 {
		started += len(f.submitFor("check", 2, 8, 900*ms).Starts)
	}
	assert.Equal(t, started, 40)
}

// TestCombinationsAreBounded guards against an entry with many endpoints that spends its processor time
// on the reports: the interval between two combinations grows with the number of endpoints, and a
// decision on a job does not sum the endpoints again.
func TestCombinationsAreBounded(t *testing.T) {
	f := newFleet(t, slices.Repeat([]int{1}, 300)...)
	s := f.service("teardown")
	f.combine(f.now, s)
	first := s.shared.combinedAt
	f.combine(f.now+29*ms, s)
	assert.Equal(t, s.shared.combinedAt, first)
	f.combine(f.now+30*ms, s)
	assert.Equal(t, s.shared.combinedAt, first+30*ms)

	f = newFleet(t, 1)
	s = f.service("teardown")
	f.combine(f.now, s)
	first = s.shared.combinedAt
	f.combine(f.now+shareInterval-1, s)
	assert.Equal(t, s.shared.combinedAt, first)
	f.combine(f.now+shareInterval, s)
	assert.Equal(t, s.shared.combinedAt, first+shareInterval)
}

// Guards against work ahead that is computed on each Act for each waiting job while the other entries'
// demand is not known.
func TestUnknownWorkAheadIsAskedForOncePerInterval(t *testing.T) {
	f := shortFleet(t, 2)
	j := f.jobs["waiting-1"]
	j.admission.predictedAt = 0
	assert.Assert(t, !f.startsTooLate(f.now, j))
	assert.Equal(t, j.admission.predictedAt, f.now)
	f.startsTooLate(f.now+ms, j)
	assert.Equal(t, j.admission.predictedAt, f.now)
}

// TestArrivalsOfContractsAreBounded guards against memory that grows with every contract that ever sent
// a job, when no demand is reported: the part is off, or all endpoints are cordoned.
func TestArrivalsOfContractsAreBounded(t *testing.T) {
	for _, off := range []bool{true, false} {
		f := newFleet(t, 1)
		f.opt.Disabled.SharedDemand = off
		f.act()
		f.now += startupGrace
		f.endpoints["g0"].cordoned = true
		for i := range 4 * maxIdleContracts {
			f.submitFor(fmt.Sprint("c", i), 1, 1, 200*ms)
			f.after(50 * ms)
		}
		n := len(f.service("teardown").shared.arrivals)
		assert.Assert(t, n <= maxIdleContracts && (n == 0) == off, "%d", n)
	}
}

// TestSharesNeedOthersDemand guards against another order of jobs with older guards, with one entry only,
// or while nothing waits at other entries: the shares count only where others compete.
func TestSharesNeedOthersDemand(t *testing.T) {
	other := work.Demand{Contract: 1, Priority: 3, WaitingMilli: 1000}
	for name, c := range map[string]struct {
		entries int
		rows    []work.Demand
		over    bool
	}{
		"an older guard, or one entry": {0, nil, false},
		"nothing waits elsewhere":      {1, nil, false},
		"others wait":                  {1, []work.Demand{other}, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			f.reportOthers(0, 1, 1, c.entries, nil, c.rows...)
			for range 40 {
				f.submitFor("greedy", 1, 4, 900*ms)
			}
			f.submitFor("modest", 1, 1, 100*ms)
			f.after(shareInterval)
			s := f.service("teardown")
			assert.Assert(t, s.shared.short)
			assert.Equal(t, s.overShare(work.ContractHash("greedy")), c.over)
		})
	}
}

// TestWideJobIsNotStarved guards against a job that never starts because it needs more than the quarter
// that stays open to it: it starts while no less urgent run holds any of that.
func TestWideJobIsNotStarved(t *testing.T) {
	urgent := work.Demand{Contract: 1, Slack: 50 * ms, WaitingMilli: 2000, ArrivingMilli: 900_000}
	for heldMilli, starts := range map[int64]bool{0: true, 1000: false} {
		f := newFleet(t, 100)
		f.reportOthers(0, 100, 0, 1, []int64{0, 0, heldMilli, 0}, urgent)
		assert.Equal(t, len(f.submitFor("check", 2, 30, 900*ms).Starts) > 0, starts)
	}
}

// TestHeldBackJobIsTriedAgain guards against a job that is left waiting for up to a second after the
// shortage has ended: no event tells of that.
func TestHeldBackJobIsTriedAgain(t *testing.T) {
	f := newFleet(t, 100)
	f.reportOthers(0, 100, 0, 1, []int64{0, 0, 35_000, 0}, work.Demand{Contract: 1, Slack: 50 * ms, WaitingMilli: 4000, ArrivingMilli: 50_000})
	assert.Equal(t, len(f.submitFor("check", 2, 8, 900*ms).HeldBack), 1)
	begin := f.now
	// The other entries' demand is not reported any more.
	for {
		a, next := f.Act(f.now)
		if len(a.Starts) > 0 {
			break
		}
		f.now = next
	}
	assert.Assert(t, f.now-begin <= maxReportAge+heldBackInterval, "%s", f.now-begin)
}

// TestHeldBackJobsDoNotProlongTheShortage guards against long jobs that are held back until they are
// rejected because nothing waits but themselves, here and at other entries: they start once no other
// task has waited for 200 ms, though the guards go on reporting urgent work that arrives.
func TestHeldBackJobsDoNotProlongTheShortage(t *testing.T) {
	f := newFleet(t, 100)
	urgent := work.Demand{Contract: 1, Slack: 50 * ms, WaitingMilli: 4000, Jobs: 1, ArrivingMilli: 50_000}
	f.reportOthers(0, 100, 0, 1, []int64{0, 0, 35_000, 0}, urgent)
	assert.Equal(t, len(f.submitFor("check", 2, 8, 900*ms).HeldBack), 1)
	rows := f.Demand(f.now, "g0")
	assert.Assert(t, rows[0].Jobs == 1 && rows[0].WaitingMilli == 0 && rows[0].Work > 7, "%v", rows)
	begin := f.now
	urgent.WaitingMilli, urgent.Jobs = 0, 0
	for starts := 0; starts == 0; starts = len(f.after(20 * ms).Starts) {
		f.reportOthers(0, 100, 0, 1, []int64{0, 0, 35_000, 0}, urgent)
		assert.Assert(t, f.now-begin <= shortageMemory+2*heldBackInterval, "%s", f.now-begin)
	}
	assert.Assert(t, f.now-begin >= shortageMemory)
}

// TestEntryWithoutSharedDemand guards against an entry on which the part is off, and that yet sends its
// demand, holds jobs back or orders them by what the guards report.
func TestEntryWithoutSharedDemand(t *testing.T) {
	for _, off := range []bool{false, true} {
		f := newFleet(t, 100)
		f.opt.Disabled.SharedDemand = off
		f.reportOthers(0, 100, 85, 1, []int64{0, 0, 35_000, 0},
			work.Demand{Contract: 1, Slack: 50 * ms, WaitingMilli: 2000, ArrivingMilli: 50_000},
			work.Demand{Contract: 2, Priority: 2, WaitingMilli: 2000, ArrivingMilli: 1})
		a := f.submitFor("check", 2, 8, 900*ms)
		assert.Equal(t, len(a.Starts) == 0 && len(a.HeldBack) == 1, !off)
		for range 100 {
			f.submitFor("check", 2, 8, 900*ms)
		}
		f.after(shareInterval)
		s := f.service("teardown")
		assert.Equal(t, s.shareRank(s.unstarted[0]) == 1, !off)
		assert.Equal(t, f.Demand(f.now, "g0") == nil, off)
		assert.Equal(t, f.SharedDemand(f.now) == SharedDemand{}, off)
	}
}
