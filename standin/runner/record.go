package runner

import (
	"sync"
	"time"
)

// Starts is a runner's record of the tasks it started, used to check how often each ran.
type Starts struct {
	// Tasks maps each task to its number of starts; with ?doubles it only has tasks that
	// were started more than once.
	Tasks map[string]int `json:"tasks"`
	Total int            `json:"total"`
	// Doubles is the number of tasks that were started more than once.
	Doubles int `json:"doubles"`
	Running int `json:"running"`
	// MostRunning is the maximum of Running so far.
	MostRunning int `json:"most_running"`
	Cancelled   int `json:"cancelled"`
	// RefusedFull is the number of tasks rejected because no slot was free.
	RefusedFull int `json:"refused_full"`
	// OverConnections is the number of connections closed because they exceeded the limit.
	OverConnections int `json:"over_connections"`
	// AfterLeaving is the number of starts since Leave was called; LastAfterLeavingMs is the
	// time from Leave to the last of them, in milliseconds.
	AfterLeaving       int   `json:"after_leaving"`
	LastAfterLeavingMs int64 `json:"last_after_leaving_ms"`
}

// record is a runner's internal record of its starts.
type record struct {
	mu            sync.Mutex
	startCounts   map[string]int
	totals        Starts
	drainingSince time.Time
}

func (r *record) start(task string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startCounts[task]++
	if r.startCounts[task] == 2 {
		r.totals.Doubles++
	}
	r.totals.Total++
	r.totals.Running++
	r.totals.MostRunning = max(r.totals.MostRunning, r.totals.Running)
	if !r.drainingSince.IsZero() {
		r.totals.AfterLeaving++
		r.totals.LastAfterLeavingMs = now.Sub(r.drainingSince).Milliseconds()
	}
}

func (r *record) end()                { r.update(func(s *Starts) { s.Running-- }) }
func (r *record) cancelled()          { r.update(func(s *Starts) { s.Cancelled++ }) }
func (r *record) rejectedNoSlot()     { r.update(func(s *Starts) { s.RefusedFull++ }) }
func (r *record) connectionRejected() { r.update(func(s *Starts) { s.OverConnections++ }) }

func (r *record) update(f func(*Starts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.totals)
}

func (r *record) setDrainingSince(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drainingSince = now
}

func (r *record) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startCounts = map[string]int{}
	r.totals = Starts{Running: r.totals.Running, MostRunning: r.totals.Running}
}

func (r *record) snapshot(duplicatesOnly bool) Starts {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.totals
	out.Tasks = map[string]int{}
	for task, n := range r.startCounts {
		if n > 1 || !duplicatesOnly {
			out.Tasks[task] = n
		}
	}
	return out
}
