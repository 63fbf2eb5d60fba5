// Package result collects the measurements of an experiment, writes them as JSON and as
// tables, and compares the results of two runs.
package result

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"almondstand.dev/e2e/harness"
)

// Outcome is the outcome of a job as its caller sees it.
type Outcome string

// Outcomes of a job.
const (
	Complete   Outcome = "complete"
	Failed     Outcome = "failed"
	Refused    Outcome = "refused"
	Unanswered Outcome = "no_answer"
	// Rejected is a permanent rejection: the answer has no Retry-After.
	Rejected Outcome = "rejected"
)

// Observation is the measurement of one job.
type Observation struct {
	// At is the time of arrival, relative to the end of the warm-up.
	At      time.Duration
	Client  string
	Outcome Outcome
	Code    string
	Tasks   int
	// Took is the time from the first submission to the final answer, LastSubmissionTook that of
	// the last submission alone.
	Took, LastSubmissionTook time.Duration
	Ideal                    time.Duration
	Work                     time.Duration
	// RetryWait is the part of Took during which the caller waited for a Retry-After to
	// pass.
	RetryWait time.Duration
	// Submissions is the number of submissions.
	Submissions int
}

// Summary summarizes a distribution.
type Summary struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

// Group summarizes the jobs of one client, or of all.
type Group struct {
	Jobs       int             `json:"jobs"`
	Outcomes   map[Outcome]int `json:"ends"`
	Codes      map[string]int  `json:"codes"`
	Slowdown   Summary         `json:"ratio"`
	ResponseMs Summary         `json:"response_ms"`
	// RejectionMs is the response time of rejections.
	RejectionMs Summary `json:"refusal_ms"`
	// Late is the number of completed jobs that took more than five times their ideal
	// response time.
	Late int `json:"late"`
	// Resubmitted is the number of jobs that were submitted again after a Retry-After,
	// AdmittedOnRetry the number of those that were then admitted.
	Resubmitted     int `json:"returned"`
	AdmittedOnRetry int `json:"honoured"`
	// Goodput is the work of the completed jobs per second, in slots.
	Goodput float64 `json:"goodput"`
	Tasks   int     `json:"tasks"`
}

// Process is the resource usage of one process.
type Process struct {
	Cores float64 `json:"cores"`
	RSS   int64   `json:"rss"`
}

// Result holds the measurements of one experiment.
type Result struct {
	Name string `json:"name"`
	// Programs is the label of the build under test, Seed the seed of the job stream.
	Programs string             `json:"programs,omitempty"`
	Seed     uint64             `json:"seed"`
	All      Group              `json:"all"`
	Clients  map[string]Group   `json:"customers"`
	Starts   int                `json:"starts"`
	Messages map[string]float64 `json:"messages"`
	// WastedPerTask is the number of messages per started task beyond one start and one
	// reply: refused and lost starts, resolve and cancel calls, and resubmissions by
	// callers. Control traffic is counted in ControlPerTask.
	WastedPerTask  float64 `json:"wasted_per_task"`
	ControlPerTask float64 `json:"control_per_task"`
	// SameDataCentreShare is the share of starts in the same data centre as the job's entry.
	SameDataCentreShare float64            `json:"near_share"`
	Processes           map[string]Process `json:"processes"`
	// Cancellations summarizes the calls that cancelled a job, Recovery the recovery after a
	// burst.
	Cancels  *Cancellations      `json:"cancels,omitempty"`
	Recovery *Recovery           `json:"back_after,omitempty"`
	Verdict  harness.CheckResult `json:"verdict"`
}

// lateRatio is the ratio of response time to ideal response time above which a job
// counts as late.
const lateRatio = 5

// slowdown returns response time / ideal response time, infinite for a job that did not
// complete.
func (o Observation) slowdown() float64 {
	if o.Outcome != Complete {
		return math.Inf(1)
	}
	return o.Took.Seconds() / o.Ideal.Seconds()
}

// ratioScale converts a ratio to the integers of a histogram, keeping three decimal
// places.
const ratioScale = 1000

const (
	maxRecorded = int64(10 * time.Minute / time.Microsecond)
	digits      = 3
)

// Collector collects observations. It is safe for concurrent use.
type Collector struct {
	mu      sync.Mutex
	all     *tally
	clients map[string]*tally
	// arrivals holds the ratios of all jobs with their arrival times, infinite without
	// an answer.
	arrivals      []arrival
	cancellations *Cancellations
}

type tally struct {
	group                         Group
	slowdown, response, rejection *hdrhistogram.Histogram
	work                          time.Duration
}

func newTally() *tally {
	return &tally{
		group:     Group{Outcomes: map[Outcome]int{}, Codes: map[string]int{}},
		slowdown:  hdrhistogram.New(1, maxRecorded, digits),
		response:  hdrhistogram.New(1, maxRecorded, digits),
		rejection: hdrhistogram.New(1, maxRecorded, digits),
	}
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{all: newTally(), clients: map[string]*tally{}}
}

// Add adds the observation of one job.
func (c *Collector) Add(o Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clientTally := c.clients[o.Client]
	if clientTally == nil {
		clientTally = newTally()
		c.clients[o.Client] = clientTally
	}
	c.all.add(o)
	clientTally.add(o)
	c.arrivals = append(c.arrivals, arrival{at: o.At, slowdown: o.slowdown()})
}

func (t *tally) add(o Observation) {
	t.group.Jobs++
	t.group.Tasks += o.Tasks
	t.group.Outcomes[o.Outcome]++
	if o.Submissions > 1 {
		t.group.Resubmitted++
		if o.Outcome == Complete || o.Outcome == Failed {
			t.group.AdmittedOnRetry++
		}
	}
	if o.Code != "" {
		t.group.Codes[o.Code]++
	}
	switch o.Outcome {
	case Complete:
		t.work += o.Work
		if o.slowdown() > lateRatio {
			t.group.Late++
		}
		_ = t.slowdown.RecordValue(int64(ratioScale * o.slowdown()))
		_ = t.response.RecordValue(o.Took.Microseconds())
	case Refused, Rejected:
		_ = t.rejection.RecordValue(o.LastSubmissionTook.Microseconds())
	}
}

func (t *tally) finish(duration time.Duration) Group {
	g := t.group
	g.Slowdown = spread(t.slowdown, ratioScale)
	g.ResponseMs = spread(t.response, 1000)
	g.RejectionMs = spread(t.rejection, 1000)
	g.Goodput = t.work.Seconds() / duration.Seconds()
	return g
}

func spread(h *hdrhistogram.Histogram, scale float64) Summary {
	return Summary{
		Mean: h.Mean() / scale,
		P50:  float64(h.ValueAtQuantile(50)) / scale,
		P90:  float64(h.ValueAtQuantile(90)) / scale,
		P99:  float64(h.ValueAtQuantile(99)) / scale,
		P999: float64(h.ValueAtQuantile(99.9)) / scale,
	}
}

// Result returns the results of the observations collected over the duration.
func (c *Collector) Result(name string, duration time.Duration) *Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &Result{Name: name, All: c.all.finish(duration), Clients: map[string]Group{}, Cancels: c.cancellations}
	for client, t := range c.clients {
		r.Clients[client] = t.finish(duration)
	}
	return r
}

// controlKinds are the kinds of messages that are not caused by tasks.
var controlKinds = map[string]bool{"messages.ping": true, "messages.hello": true, "messages.announce": true}

// ComputeMessageCounts computes the messages per task from the counters. submissions is the number of
// calls made by callers.
func (r *Result) ComputeMessageCounts(submissions int) {
	if r.Starts == 0 {
		return
	}
	starts := float64(r.Starts)
	extraStarts := r.Messages["messages.start"] - starts
	extraReplies := max(r.Messages["messages.reply"]-starts, 0)
	queryMessages := 2 * (r.Messages["messages.resolve"] + r.Messages["messages.cancel"])
	resubmissions := 2 * float64(submissions-r.Verdict.Complete-r.Verdict.Failed)
	r.WastedPerTask = (max(extraStarts, 0) + extraReplies + queryMessages + max(resubmissions, 0)) / starts
	control := 0.0
	for kind, n := range r.Messages {
		if controlKinds[kind] || hasPrefix(kind, "control_calls.") || hasPrefix(kind, "store_calls.") {
			control += n
		}
	}
	r.ControlPerTask = control / starts
}

func hasPrefix(s, prefix string) bool { return len(s) >= len(prefix) && s[:len(prefix)] == prefix }
