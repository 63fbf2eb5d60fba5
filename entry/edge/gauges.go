package edge

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"almondstand.dev/dispatch/planner"
)

// gaugeInterval is how often the gauges are updated; they are scraped every 5 s.
const gaugeInterval = 2 * time.Second

// connectionCount is the number of open connections to a server.
type connectionCount struct{ open atomic.Int64 }

// observe is an http.Server's ConnState.
func (c *connectionCount) observe(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// publishGauges updates the gauges with the entry's view of its configuration, jobs
// and runners until ctx ends.
func (e *Entry) publishGauges(ctx context.Context) error {
	scope := e.opts.Metrics.Scope
	version := scope.Gauge("config_version")
	age := scope.Gauge("config_age_seconds")
	oldest := scope.Gauge("queue_oldest_seconds")
	endpointsByState := map[planner.State]tally.Gauge{}
	for _, state := range planner.States() {
		endpointsByState[state] = scope.Tagged(map[string]string{"state": string(state)}).Gauge("endpoints")
	}
	waiting := scope.Gauge("jobs_waiting")
	running := scope.Gauge("jobs_running")
	droppedLines := scope.Gauge("log_lines_left_out")
	slow := scope.Gauge("endpoints_slow")
	endpointsBySpeed := map[planner.Speed]tally.Gauge{}
	for _, speed := range planner.Speeds() {
		endpointsBySpeed[speed] = scope.Tagged(map[string]string{"speed": string(speed)}).Gauge("endpoints_by_speed")
	}
	cordoned := scope.Gauge("data_centres_cordoned")
	suspects := scope.Gauge("crash_suspects")
	taskCrashes := scope.Tagged(map[string]string{"cause": "task"}).Gauge("runner_crashes")
	commonCauseCrashes := scope.Tagged(map[string]string{"cause": "common"}).Gauge("runner_crashes")
	var decided planner.ProgressCounts
	kept := scope.Counter("runs_kept_total")
	stalled := scope.Counter("runs_stalled_total")
	othersWaiting := scope.Gauge("others_waiting_cores")
	reserved := scope.Gauge("reserved_cores")
	recentLag := scope.Gauge("recent_lag_seconds")
	spare := scope.Gauge("spare_cores")
	handedOver := scope.Tagged(map[string]string{"side": "out"}).Gauge("handovers_in_flight")
	takenOver := scope.Tagged(map[string]string{"side": "in"}).Gauge("handovers_in_flight")
	callers := scope.Tagged(map[string]string{"from": "callers"}).Gauge("connections")
	peers := scope.Tagged(map[string]string{"from": "fleet"}).Gauge("connections")
	members := scope.Gauge("members")
	unlisted := scope.Gauge("members_unlisted")
	listAge := scope.Gauge("members_list_age_seconds")
	tick := time.NewTicker(gaugeInterval)
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
			endpointsByState[state].Update(float64(n))
		}
		slow.Update(float64(e.jobs.SlowEndpoints()))
		for speed, n := range e.jobs.Speeds() {
			endpointsBySpeed[speed].Update(float64(n))
		}
		cordoned.Update(float64(len(e.config.Cordons().DataCentres())))
		count := e.jobs.Count("")
		waiting.Update(float64(count.Waiting))
		oldest.Update(count.Oldest.Seconds())
		running.Update(float64(count.Running))
		crashes := e.jobs.CrashCounts()
		suspects.Update(float64(crashes.Suspects))
		taskCrashes.Update(float64(crashes.Attributed))
		commonCauseCrashes.Update(float64(crashes.CommonCause))
		byProgress := e.jobs.ProgressCounts()
		kept.Inc(int64(byProgress.Kept - decided.Kept))
		stalled.Inc(int64(byProgress.Stalled - decided.Stalled))
		decided = byProgress
		shared := e.jobs.SharedDemand()
		othersWaiting.Update(float64(shared.WaitingMilli) / 1000)
		reserved.Update(float64(shared.ReservedMilli) / 1000)
		recentLag.Update(e.lag.Recent().Seconds())
		spare.Update(float64(e.lag.SpareMilli()) / 1000)
		out, in := e.jobs.InFlight()
		handedOver.Update(float64(out))
		takenOver.Update(float64(in))
		callers.Update(float64(e.callerConnections.open.Load()))
		peers.Update(float64(e.fleetConnections.open.Load()))
		known := e.members.Status()
		members.Update(float64(known.Members))
		unlisted.Update(float64(known.Unlisted))
		listAge.Update(known.ListAge.Seconds())
		droppedLines.Update(float64(e.opts.Metrics.LinesDropped()))
	}
}
