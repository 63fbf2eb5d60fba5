package runner

import (
	"sync"
	"time"
)

// StartRecord is a runner's record of the tasks it started, used to check how often each ran.
type StartRecord struct {
	// Tasks maps each task to its number of starts; with ?doubles it only has tasks that
	// were started more than once.
	Tasks map[string]int `json:"tasks"`
	Total int            `json:"total"`
	// DuplicateStarts is the number of tasks that were started more than once.
	DuplicateStarts int `json:"doubles"`
	Running         int `json:"running"`
	// PeakRunning is the maximum of Running so far.
	PeakRunning int `json:"most_running"`
	Cancelled   int `json:"cancelled"`
	// RejectedNoSlot is the number of tasks rejected because no slot was free.
	RejectedNoSlot int `json:"refused_full"`
	// RejectedConnections is the number of connections closed because they exceeded the limit.
	RejectedConnections int `json:"over_connections"`
	// StartsAfterDrain is the number of starts since Drain was called; LastStartAfterDrainMs is the
	// time from Drain to the last of them, in milliseconds.
	StartsAfterDrain      int   `json:"after_leaving"`
	LastStartAfterDrainMs int64 `json:"last_after_leaving_ms"`
}

// record is a runner's internal record of its starts.
type record struct {
	mu            sync.Mutex
	startCounts   map[string]int
	totals        StartRecord
	drainingSince time.Time
}

func (r *record) start(task string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startCounts[task]++
	if r.startCounts[task] == 2 {
		r.totals.DuplicateStarts++
	}
	r.totals.Total++
	r.totals.Running++
	r.totals.PeakRunning = max(r.totals.PeakRunning, r.totals.Running)
	if !r.drainingSince.IsZero() {
		r.totals.StartsAfterDrain++
		r.totals.LastStartAfterDrainMs = now.Sub(r.drainingSince).Milliseconds()
	}
}

func (r *record) end()                { r.update(func(s *StartRecord) { s.Running-- }) }
func (r *record) cancelled()          { r.update(func(s *StartRecord) { s.Cancelled++ }) }
func (r *record) rejectedNoSlot()     { r.update(func(s *StartRecord) { s.RejectedNoSlot++ }) }
func (r *record) connectionRejected() { r.update(func(s *StartRecord) { s.RejectedConnections++ }) }

func (r *record) update(f func(*StartRecord)) {
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
	r.totals = StartRecord{Running: r.totals.Running, PeakRunning: r.totals.Running}
}

func (r *record) snapshot(duplicatesOnly bool) StartRecord {
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
