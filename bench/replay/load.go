// Package replay plays loads against the deciding packages alone: planners as
// entries use them, and the guards' accounts of their runners, in simulated time.
// It shows what a way of deciding gives to callers, in seconds and repeatably.
// Processor time counts for entries on hosts with a share of a core; see cpu.go.
package replay

import (
	"slices"
	"time"
)

// Kind of jobs.
type Kind struct {
	Name string
	// Tasks of a job, how long each runs, and what it takes, thousandths of a core.
	Tasks    int
	Run      time.Duration
	CPUMilli int64
	// PerSecond is the rate of jobs, all zones together.
	PerSecond float64
	// Deadline is how long the caller waits.
	Deadline time.Duration
	// Urgency of its contract; 0 comes first.
	Urgency int
}

// Zone holds entries and runners, and a share of the callers.
type Zone struct {
	Name             string
	Entries, Runners int
	Callers          float64
	// Clients are the addresses from which the callers come; each stays with one entry,
	// so that entries have uneven loads. Zero spreads the callers evenly.
	Clients int
	// Share of a core that each entry host has; zero takes no processor time into account.
	Share float64
}

// Burst multiplies the rate of one kind, or of all for "".
type Burst struct {
	At, For time.Duration
	Times   float64
	Kind    string
}

// Wrong is what goes wrong with runners.
type Wrong int

// Troubles of runners.
const (
	// Slow: runs take Times as long.
	Slow Wrong = iota + 1
	// Failing: runs fail at once.
	Failing
	// Hanging: runs don't end by themselves.
	Hanging
	// Gone: the runner is away with all its runs, and comes back empty.
	Gone
)

// Trouble of the first Runners of each zone.
type Trouble struct {
	At, For time.Duration
	Wrong   Wrong
	Runners int
	Times   float64
}

// Poison is Jobs of one kind, spread over a second, each of which has one task that crashes
// every runner that starts it, After its start. The runner is back a few seconds later.
type Poison struct {
	At    time.Duration
	Jobs  int
	Kind  int
	After time.Duration
}

// Held has the processors of all entries with a share of one run slower by Times.
type Held struct {
	At, For time.Duration
	Times   float64
}

// Load is one run's input.
type Load struct {
	Name string
	For  time.Duration
	// RunnerCPU is what a runner has, thousandths of a core.
	RunnerCPU int64
	// Sizes of the runners in turn, times RunnerCPU; all are alike without.
	Sizes    []float64
	Kinds    []Kind
	Zones    []Zone
	Bursts   []Burst
	Troubles []Trouble
	Held     []Held
	Poison   []Poison
}

// runnerCPU is what the runner of a number has, thousandths of a core.
func (l Load) runnerCPU(n int) int64 {
	if len(l.Sizes) == 0 {
		return l.RunnerCPU
	}
	return int64(float64(l.RunnerCPU) * l.Sizes[n%len(l.Sizes)])
}

// What callers want: Stretch times the work and Allowance more.
const (
	stretch   = 1.6
	allowance = 60 * time.Millisecond
)

// aim is the time in which the answer of a job of this size is wanted.
func (k Kind) aim(size float64) time.Duration {
	return time.Duration(float64(k.Run)*size*stretch) + allowance
}

// Rates that fill some 85 % of the runners: 40 of 32 cores.
const (
	narrowRate = 145
	longRate   = 33
	pairRate   = 420
)

// base is a day without trouble: three kinds, four zones.
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
		Zones: []Zone{
			{Name: "a", Entries: 2, Runners: 10, Callers: 0.28},
			{Name: "b", Entries: 2, Runners: 10, Callers: 0.28},
			{Name: "c", Entries: 2, Runners: 10, Callers: 0.22},
			{Name: "d", Entries: 2, Runners: 10, Callers: 0.22},
		},
	}
}

// Standard returns the loads that the tests and the page use.
func Standard() []Load {
	calm := base("calm")
	burst := base("burst")
	burst.Bursts = []Burst{{At: 4 * time.Second, For: 4 * time.Second, Times: 1.8}}
	wave := base("narrow-burst")
	wave.Bursts = []Burst{{At: 4 * time.Second, For: 4 * time.Second, Times: 4, Kind: "narrow"}}
	slow := base("slow")
	slow.Troubles = []Trouble{{At: 4 * time.Second, For: 5 * time.Second, Wrong: Slow, Runners: 1, Times: 5}}
	failing := base("failing")
	failing.Troubles = []Trouble{{At: 4 * time.Second, For: 5 * time.Second, Wrong: Failing, Runners: 1}}
	hanging := base("hanging")
	hanging.Troubles = []Trouble{{At: 4 * time.Second, For: 5 * time.Second, Wrong: Hanging, Runners: 1}}
	gone := base("gone")
	gone.Troubles = []Trouble{{At: 4 * time.Second, For: 3 * time.Second, Wrong: Gone, Runners: 3}}
	return append([]Load{calm, burst, wave, slow, failing, hanging, gone}, slices.Concat(travel(), large(), thin(), poison())...)
}
