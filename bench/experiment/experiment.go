// Package experiment runs one experiment, which submits a stream of jobs to real
// processes and injects faults at given times, and measures the results.
package experiment

import (
	"fmt"
	"time"

	"almondstand.dev/bench/workload"
	"almondstand.dev/dispatch/baseline"
	"almondstand.dev/settings"
)

// Experiment is the content of one file in experiments/.
type Experiment struct {
	Name string `json:"name" validate:"required"`
	// Note describes what the experiment is meant to show.
	Note string `json:"note,omitempty"`
	Seed uint64 `json:"seed"`
	// Entries, Guards and Bare are the numbers of entries, guards and bare endpoints.
	Entries     int `json:"entries"`
	Guards      int `json:"guards"`
	Bare        int `json:"bare"`
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// Queue is the length of a guard's queue; -1 selects the production default.
	Queue int `json:"queue"`
	// Delay is the one-way network delay between processes, CallerDelay that between
	// callers and entries.
	Delay       settings.Duration `json:"delay"`
	CallerDelay settings.Duration `json:"caller_delay"`
	// Load is the offered work as a fraction of all slots.
	Load float64 `json:"load"`
	// FirstEntryShare is the fraction of jobs that is sent to the first entry in addition to its
	// equal share.
	FirstEntryShare float64           `json:"lumpy"`
	Warmup          settings.Duration `json:"warmup"`
	Duration        settings.Duration `json:"duration"`
	MinRun          settings.Duration `json:"min_run"`
	MeanRun         settings.Duration `json:"mean_run"`
	MaxRun          settings.Duration `json:"max_run"`
	// DeclaredError is the factor by which declared run times are wrong; with 0, no run
	// times are declared.
	DeclaredError float64 `json:"declared_off"`
	// DataCentres is the number of data centres over which entries and endpoints are
	// distributed in turn. Delay applies to every connection, also within a data
	// centre.
	DataCentres int `json:"zones"`
	// Impossible is the fraction of jobs that can never run: their service doesn't
	// exist.
	Impossible float64 `json:"impossible,omitempty"`
	// MaxRetries is how many times a caller retries a rejected job after its Retry-After.
	MaxRetries int      `json:"returns"`
	Clients    []Client `json:"customers"`
	Bursts     []Burst  `json:"bursts,omitempty"`
	Faults     []Fault  `json:"faults,omitempty"`
	// CancelShare is the fraction of jobs that are cancelled, each by a call with its
	// id, between CancelAt and one second later.
	CancelShare float64           `json:"cancel_share,omitempty"`
	CancelAt    settings.Duration `json:"cancel_at,omitempty"`
	// Variant changes the scheduling policy; empty selects the production policy.
	Variant baseline.Variant `json:"variant"`
}

// Client is one client's contract and its share of the load.
type Client struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
	// Priority and AnswerTime are those of the contract, and so are Rate, Burst and
	// InFlight if they are set.
	Priority   int               `json:"urgency"`
	AnswerTime settings.Duration `json:"answer_time"`
	Rate       float64           `json:"rate,omitempty"`
	Burst      int               `json:"burst,omitempty"`
	InFlight   int               `json:"in_flight,omitempty"`
}

// Burst multiplies the load for a while; At is relative to the end of the warm-up.
type Burst struct {
	At     settings.Duration `json:"at"`
	For    settings.Duration `json:"for"`
	Factor float64           `json:"factor"`
}

// FaultKind identifies a kind of fault.
type FaultKind string

// Faults of an experiment.
const (
	KillGuard   FaultKind = "kill_guard"
	KillEntry   FaultKind = "kill_entry"
	SlowRunner  FaultKind = "straggle"
	FailAll     FaultKind = "fail_all"
	StoreDown   FaultKind = "store_down"
	FreezeGuard FaultKind = "freeze_guard"
)

// Fault is injected at At, relative to the end of the warm-up, and cleared after For if
// that is set and the fault can be cleared.
type Fault struct {
	At     settings.Duration `json:"at"`
	For    settings.Duration `json:"for,omitempty"`
	Kind   FaultKind         `json:"kind"`
	Target int               `json:"target"`
	// Factor is how many times longer runs take on a slow runner.
	Factor float64 `json:"factor,omitempty"`
}

// Default returns the size of the current installation: eleven endpoints, four entries.
func Default() Experiment {
	return Experiment{
		Seed:            7,
		Entries:         4,
		Guards:          11,
		Slots:           8,
		Connections:     64,
		DataCentres:     1,
		Queue:           -1,
		Delay:           settings.Duration(500 * time.Microsecond),
		CallerDelay:     settings.Duration(3 * time.Millisecond),
		Load:            0.8,
		FirstEntryShare: 0.4,
		Warmup:          settings.Duration(3 * time.Second),
		Duration:        settings.Duration(12 * time.Second),
		MinRun:          settings.Duration(50 * time.Millisecond),
		MeanRun:         settings.Duration(300 * time.Millisecond),
		MaxRun:          settings.Duration(5 * time.Second),
		MaxRetries:      2,
		Clients: []Client{
			{Name: "fitters", Weight: 3, Priority: 8, AnswerTime: settings.Duration(10 * time.Second)},
			{Name: "events", Weight: 1, Priority: 2, AnswerTime: settings.Duration(20 * time.Second)},
		},
	}
}

// Load reads an experiment file. Settings missing there have the values of Default.
func Load(path string) (Experiment, error) {
	e := Default()
	if err := settings.Load(path, &e); err != nil {
		return Experiment{}, fmt.Errorf("experiment %s: %w", path, err)
	}
	return e, nil
}

// spec returns the description of the job stream, including the warm-up.
func (e Experiment) spec() workload.Spec {
	s := workload.Spec{
		Seed:            e.Seed,
		Slots:           e.slots(),
		Load:            e.Load,
		Duration:        e.Warmup.Std() + e.Duration.Std(),
		Entries:         e.Entries,
		FirstEntryShare: e.FirstEntryShare,
		MinRun:          e.MinRun.Std(),
		MeanRun:         e.MeanRun.Std(),
		MaxRun:          e.MaxRun.Std(),
		DeclaredError:   e.DeclaredError,
		Impossible:      e.Impossible,
	}
	for _, c := range e.Clients {
		s.Clients = append(s.Clients, workload.ClientShare{Client: c.Name, Weight: c.Weight})
	}
	for _, b := range e.Bursts {
		s.Bursts = append(s.Bursts, workload.Burst{At: e.Warmup.Std() + b.At.Std(), For: b.For.Std(), Factor: b.Factor})
	}
	return s
}

func (e Experiment) slots() int { return (e.Guards + e.Bare) * e.Slots }

// networkTime returns the minimum time that the messages of a job take.
func (e Experiment) networkTime() time.Duration {
	return 2*e.CallerDelay.Std() + 2*e.Delay.Std()
}
