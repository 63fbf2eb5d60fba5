package edge

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"almondstand.dev/dispatch/planner"
)

// gaugeEvery paces the gauges; they are scraped every 5 s.
const gaugeEvery = 2 * time.Second

// gauges publishes what the entry believes, until the context ends.
func (e *Entry) gauges(ctx context.Context) error {
	scope := e.opt.Metrics.Scope
	version := scope.Gauge("config_version")
	age := scope.Gauge("config_age_seconds")
	oldest := scope.Gauge("queue_oldest_seconds")
	states := map[planner.State]tally.Gauge{}
	for _, state := range planner.States() {
		states[state] = scope.Tagged(map[string]string{"state": string(state)}).Gauge("endpoints")
	}
	waiting := scope.Gauge("jobs_waiting")
	running := scope.Gauge("jobs_running")
	lines := scope.Gauge("log_lines_left_out")
	suspects := scope.Gauge("crash_suspects")
	attributed := scope.Tagged(map[string]string{"cause": "task"}).Gauge("runner_crashes")
	common := scope.Tagged(map[string]string{"cause": "common"}).Gauge("runner_crashes")
	tick := time.NewTicker(gaugeEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if t := e.config.Table(); t != nil {
			version.Update(float64(t.Version))
		}
		age.Update(e.config.Age().Seconds())
		for state, n := range e.jobs.Endpoints() {
			states[state].Update(float64(n))
		}
		count := e.jobs.Count("")
		waiting.Update(float64(count.Waiting))
		oldest.Update(count.Oldest.Seconds())
		running.Update(float64(count.Running))
		crashes := e.jobs.Crashes()
		suspects.Update(float64(crashes.Suspects))
		attributed.Update(float64(crashes.Attributed))
		common.Update(float64(crashes.Common))
		lines.Update(float64(e.opt.Metrics.LinesLeftOut()))
	}
}
