// Package replay simulates loads against the scheduling packages alone: planners as
// entries use them, and the guards' run tables, in simulated time. It shows what a
// scheduling policy gives to callers, within seconds and reproducibly. Processor time
// is simulated for entries on hosts with a share of a core; see cpu.go.
package replay

import (
	"slices"
	"time"

	"almondstand.dev/dispatch/planner"
)

// Kind describes one kind of jobs.
type Kind struct {
	Name string
	// Tasks is the number of tasks of a job, Run how long each runs, and CPUMilli what
	// each needs, in thousandths of a core.
	Tasks    int
	Run      time.Duration
	CPUMilli int64
	// PerSecond is the rate of jobs in all data centres together.
	PerSecond float64
	// Deadline is how long the caller waits.
	Deadline time.Duration
	// Priority is that of the contract; 0 is the most urgent.
	Priority int
	// TailShare of the jobs have tasks that run TailTimes as long.
	TailShare, TailTimes float64
	// Spread, if not zero, is the spread (the standard deviation of the logarithm) of the run
	// times of the jobs and of the factor by which declared run times are wrong, instead of the
	// standard ranges.
	Spread float64
}

// DataCentre is a data centre with its entries and runners and its share of the callers.
type DataCentre struct {
	Name             string
	Entries, Runners int
	Callers          float64
	// Addresses is the number of addresses from which the callers come. Each address
	// always uses the same entry, so that entries have uneven loads. Zero spreads the
	// callers evenly.
	Addresses int
	// CPUShare is the share of a core that each entry host has; zero disables the
	// simulation of processor time.
	CPUShare float64
	// CPUShares are those of the entries in turn, in place of CPUShare.
	CPUShares []float64
	// Phase shifts the Swing of the callers, in periods.
	Phase float64
}

// cpuShare returns the share of a core of the n-th entry host.
func (z DataCentre) cpuShare(n int) float64 {
	if len(z.CPUShares) == 0 {
		return z.CPUShare
	}
	return z.CPUShares[n%len(z.CPUShares)]
}

// Swing is a periodic change of the rate of all callers of a data centre by the factor
// 1 ± Depth; a Depth of zero means none.
type Swing struct {
	Depth  float64
	Period time.Duration
}

// Burst multiplies the rate of one kind, or of all kinds if Kind is empty.
type Burst struct {
	At, For time.Duration
	Times   float64
	Kind    string
}

// FaultKind is a kind of runner fault.
type FaultKind int

// Runner faults.
const (
	// Slow: runs take Times as long.
	Slow FaultKind = iota + 1
	// Failing: runs fail at once.
	Failing
	// Hanging: runs don't end unless they are stopped.
	Hanging
	// Gone: the runner and all its runs disappear; the runner returns without runs.
	Gone
	// Flapping: the runner crashes and restarts after half a second, every second.
	Flapping
)

// RunnerFault is a fault of the first Runners runners of each data centre, from At on and
// for the duration For.
type RunnerFault struct {
	At, For time.Duration
	Kind    FaultKind
	Runners int
	Times   float64
}

// CrashingJobs submits Jobs jobs of one kind, spread over a second. Each has one task that
// crashes every runner on which it starts, After its start. The runner returns a few
// seconds later.
type CrashingJobs struct {
	At    time.Duration
	Jobs  int
	Kind  int
	After time.Duration
}

// EntrySlowdown slows the processors of all entries that have a share of a core by the factor
// Times.
type EntrySlowdown struct {
	At, For time.Duration
	Times   float64
}

// Load is the input of one simulation.
type Load struct {
	Name string
	For  time.Duration
	// RunnerCPU is the capacity of a runner, in thousandths of a core.
	RunnerCPU int64
	// Sizes are factors of RunnerCPU that the runners have in turn; if empty, all
	// runners are alike.
	Sizes []float64
	// Speeds are factors of the run times that the runners have in turn; if empty, all runners
	// are alike.
	Speeds         []float64
	Kinds          []Kind
	DataCentres    []DataCentre
	Bursts         []Burst
	RunnerFaults   []RunnerFault
	EntrySlowdowns []EntrySlowdown
	CrashingJobs   []CrashingJobs
	Swing          Swing
	// LeaveShare is the share of callers that cancel their jobs before their target response time.
	LeaveShare float64
	// Retries is true if the callers of rejected jobs submit them once more, at the same entry.
	Retries bool
	// HandOver is true if entries hand jobs over to each other.
	HandOver bool
	// Disabled turns off parts of the planners and of the guards.
	Disabled planner.Features
}

// runnerCPU returns the capacity of the n-th runner, in thousandths of a core.
func (l Load) runnerCPU(n int) int64 {
	if len(l.Sizes) == 0 {
		return l.RunnerCPU
	}
	return int64(float64(l.RunnerCPU) * l.Sizes[n%len(l.Sizes)])
}

// runTimeFactor returns the factor of the run times at the n-th runner.
func (l Load) runTimeFactor(n int) float64 {
	if len(l.Speeds) == 0 {
		return 1
	}
	return l.Speeds[n%len(l.Speeds)]
}

// The target response time of callers is targetFactor times the run time plus
// targetAllowance.
const (
	targetFactor    = 1.6
	targetAllowance = 60 * time.Millisecond
)

// target returns the target response time of a job of this size.
func (k Kind) target(size float64) time.Duration {
	return time.Duration(float64(k.Run)*size*targetFactor) + targetAllowance
}

// Rates that use about 85 % of the runners: 40 runners of 32 cores.
const (
	narrowRate = 145
	longRate   = 33
	pairRate   = 420
)

// base returns the load of a day without faults: three kinds, four data centres.
func base(name string) Load {
	return Load{
		Name:      name,
		For:       14 * time.Second,
		RunnerCPU: 32_000,
		Kinds: []Kind{
			{Name: "narrow", Tasks: 8, Run: 60 * time.Millisecond, CPUMilli: 2900, PerSecond: narrowRate, Deadline: 1500 * time.Millisecond},
			{Name: "long", Tasks: 4, Run: 900 * time.Millisecond, CPUMilli: 2900, PerSecond: longRate, Deadline: 3 * time.Second},
			{Name: "pair", Tasks: 2, Run: 200 * time.Millisecond, CPUMilli: 2900, PerSecond: pairRate, Deadline: 1500 * time.Millisecond},
		},
		DataCentres: []DataCentre{
			{Name: "a", Entries: 2, Runners: 10, Callers: 0.28},
			{Name: "b", Entries: 2, Runners: 10, Callers: 0.28},
			{Name: "c", Entries: 2, Runners: 10, Callers: 0.22},
			{Name: "d", Entries: 2, Runners: 10, Callers: 0.22},
		},
	}
}

// Standard returns the loads that the tests and the documentation use. Shared demand and the backlog
// limit are off by default, and on for the loads that they address.
func Standard() []Load {
	calm := base("calm")
	burst := base("burst")
	burst.Bursts = []Burst{{At: 4 * time.Second, For: 4 * time.Second, Times: 1.8}}
	narrowBurst := base("narrow-burst")
	narrowBurst.Bursts = []Burst{{At: 4 * time.Second, For: 4 * time.Second, Times: 4, Kind: "narrow"}}
	slow := base("slow")
	slow.RunnerFaults = []RunnerFault{{At: 4 * time.Second, For: 5 * time.Second, Kind: Slow, Runners: 1, Times: 5}}
	failing := base("failing")
	failing.RunnerFaults = []RunnerFault{{At: 4 * time.Second, For: 5 * time.Second, Kind: Failing, Runners: 1}}
	hanging := base("hanging")
	hanging.RunnerFaults = []RunnerFault{{At: 4 * time.Second, For: 5 * time.Second, Kind: Hanging, Runners: 1}}
	gone := base("gone")
	gone.RunnerFaults = []RunnerFault{{At: 4 * time.Second, For: 3 * time.Second, Kind: Gone, Runners: 3}}
	loads := append([]Load{calm, burst, narrowBurst, slow, failing, hanging, gone}, slices.Concat(smallLoads(), largeLoads(), thinEntryLoads(), crashLoads(), shiftedLoads(), tailLoads(), speedsLoads())...)
	for i := range loads {
		loads[i].Disabled = planner.Features{SharedDemand: true, BacklogLimit: true}
	}
	for _, l := range backlogLoads() {
		l.Disabled.SharedDemand = true
		loads = append(loads, l)
	}
	for _, l := range competingLoads() {
		l.Disabled.BacklogLimit = true
		loads = append(loads, l)
	}
	return loads
}
