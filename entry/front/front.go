// Package front is the HTTP handler for callers: it decodes a request, finds its
// contract, runs the job and responds with its outcome.
package front

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"os"
	"path"
	"strings"
	"sync/atomic"
	"time"

	"almondstand.dev/contract/route"
	"almondstand.dev/dispatch/planner"
	"almondstand.dev/dispatch/work"
	"almondstand.dev/entry/jobs"
	"almondstand.dev/platform/ingress"
	"almondstand.dev/telemetry/uptime"
)

const (
	// defaultTimeout is the timeout of a request if neither the request nor its contract
	// sets one.
	defaultTimeout = 5 * time.Second
	// defaultMaxBody is the size limit of a body in bytes if the configuration sets none.
	defaultMaxBody = 256 << 10
	// soon is the Retry-After if another entry can serve the caller now, or this one
	// in a moment.
	soon = time.Second
	// unsupportedRetry is the Retry-After for a kind of job that is not supported.
	unsupportedRetry = time.Minute
)

// Config provides the operator's configuration; see entry/follower.
type Config interface {
	// AwaitTable returns the newest configuration, or nil if there is none yet. Shortly after the
	// process has started it waits for the first one.
	AwaitTable(ctx context.Context) *route.Table
	Fresh() bool
}

// Jobs runs jobs; see entry/jobs.
type Jobs interface {
	Submit(ctx context.Context, job work.Job, terms planner.Terms, deadline time.Duration) planner.Answer
	// SubmitElsewhere starts no job here. It returns false if no other entry takes the job.
	SubmitElsewhere(ctx context.Context, job work.Job, terms planner.Terms, deadline time.Duration) (planner.Answer, bool)
	Cancel(id string) bool
	State(id string) (outcome planner.Outcome, started, known bool)
	Count(contract string) planner.Counts
}

// Handler is the HTTP handler.
type Handler struct {
	config Config
	jobs   Jobs
	logger *slog.Logger
	// closing makes responses close their connections, so that callers open the next one
	// to another entry. closed keeps new jobs from being started here.
	closing, closed atomic.Bool
	inFlight        atomic.Int64
	// onRequest is set by OnRequest.
	onRequest func(age time.Duration)
}

// New returns a handler that accepts jobs.
func New(c Config, j Jobs, logger *slog.Logger) *Handler {
	return &Handler{config: c, jobs: j, logger: logger}
}

// OnRequest sets the function that is called for each request for a job, with the time for which it has
// waited unread. It must be called before requests are served.
func (f *Handler) OnRequest(observe func(age time.Duration)) { f.onRequest = observe }

// DisableKeepAlives makes every further response close its connection.
func (f *Handler) DisableKeepAlives() { f.closing.Store(true) }

// RejectNewJobs makes the handler reject new jobs that no other entry takes over.
func (f *Handler) RejectNewJobs() { f.closed.Store(true) }

// InFlight returns the number of requests in flight.
func (f *Handler) InFlight() int { return int(f.inFlight.Load()) }

// ServeHTTP implements http.Handler.
func (f *Handler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if f.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	received := arrivalOf(req)
	table := f.config.AwaitTable(req.Context())
	if table == nil {
		f.rejectEarly(w, req, "no configuration yet")
		return
	}
	contract := table.Find(req.Host, req.URL.Path)
	if contract == nil {
		f.noContract(w, req)
		return
	}
	id := strings.TrimPrefix(req.URL.Path, contract.Prefix)
	switch {
	case id == "" && req.Method == http.MethodGet:
		ingress.WritePending(w, f.jobs.Count(contract.Name).Waiting)
	case !ingress.ValidID(id):
		ingress.WriteError(w, http.StatusBadRequest, "the path must end with an id of 16 hexadecimal digits", 0)
	case req.Method == http.MethodPost:
		f.submit(w, req, received, table, contract, id)
	case req.Method == http.MethodGet:
		f.state(w, id)
	case req.Method == http.MethodDelete:
		f.cancel(w, id)
	default:
		ingress.WriteError(w, http.StatusMethodNotAllowed, "method not allowed", 0)
	}
}

// noContract responds to a request that matches no contract. An entry that has had no contact
// with the store lately may not have a new contract yet, so it responds with 503 and
// not with 404.
func (f *Handler) noContract(w http.ResponseWriter, req *http.Request) {
	if !f.config.Fresh() {
		f.rejectEarly(w, req, "configuration may be out of date")
		return
	}
	ingress.WriteError(w, http.StatusNotFound, "no such queue", 0)
}

func (f *Handler) submit(w http.ResponseWriter, req *http.Request, received arrival, table *route.Table, c *route.Contract, id string) {
	closed := f.closed.Load()
	if f.onRequest != nil {
		f.onRequest(received.unread)
	}
	job, deadline, err := readJob(w, req, received.at, table, c, id)
	if closed {
		if err == nil {
			if answer, served := f.jobs.SubmitElsewhere(req.Context(), job, jobs.Terms(c), deadline); served {
				f.writeOutcome(w, answer)
				return
			}
		}
		f.rejectEarly(w, req, "this entry is ending")
		return
	}
	if err != nil {
		f.rejectInvalid(w, req, c, id, err)
		return
	}
	f.writeOutcome(w, f.jobs.Submit(req.Context(), job, jobs.Terms(c), deadline))
}

// arrival is when a request arrived at this host, and for how long it was unread.
type arrival struct{ at, unread time.Duration }

func arrivalOf(req *http.Request) arrival {
	unread := ingress.ReceivedBefore(req.Context())
	return arrival{at: uptime.Now() - unread, unread: unread}
}

// readJob reads and checks a request. deadline is the uptime until which its caller waits.
func readJob(w http.ResponseWriter, req *http.Request, arrived time.Duration, table *route.Table, c *route.Contract, id string) (job work.Job, deadline time.Duration, err error) {
	timeout, present, err := ingress.Deadline(req)
	if err != nil {
		return work.Job{}, 0, err
	}
	if !present {
		timeout = defaultTimeout
		if c.Timeout > 0 {
			timeout = c.Timeout
		}
	}
	limit := table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	deadline = arrived + timeout
	connection := http.NewResponseController(w)
	_ = connection.SetReadDeadline(time.Now().Add(deadline - uptime.Now()))
	job, err = ingress.ReadJob(w, req, id, limit)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return work.Job{}, 0, ingress.ErrDeadlineExceeded
	}
	if err != nil {
		return work.Job{}, 0, err
	}
	// The server goes on reading, to learn of a caller that leaves.
	_ = connection.SetReadDeadline(time.Time{})
	if uptime.Now() >= deadline {
		return work.Job{}, 0, ingress.ErrDeadlineExceeded
	}
	return job, deadline, nil
}

func (f *Handler) writeOutcome(w http.ResponseWriter, a planner.Answer) {
	switch a.Outcome {
	case planner.Completed:
		ingress.WriteState(w, ingress.Completed)
	case planner.Failed:
		ingress.WriteState(w, ingress.Failed)
	case planner.Refused:
		ingress.WriteError(w, http.StatusServiceUnavailable, string(a.Reason)+"; nothing has run", a.RetryAfter)
	default:
		ingress.WriteError(w, http.StatusGatewayTimeout, string(a.Reason)+"; tasks may have run", 0)
	}
}

// rejectEarly rejects a request of which none of the tasks has run. The log
// record takes the job ID from the end of the path, as the contract may not be known.
func (f *Handler) rejectEarly(w http.ResponseWriter, req *http.Request, reason string) {
	rejectedEarly.Log(req.Context(), f.logger, slog.String("job", path.Base(req.URL.Path)), slog.String("why", reason))
	ingress.WriteError(w, http.StatusServiceUnavailable, reason, soon)
}

// rejectInvalid rejects an invalid or unsupported request.
func (f *Handler) rejectInvalid(w http.ResponseWriter, req *http.Request, c *route.Contract, id string, err error) {
	badRequest.Log(req.Context(), f.logger, slog.String("job", id), slog.String("contract", c.Name), slog.String("error", err.Error()))
	switch {
	case errors.Is(err, ingress.ErrTooLarge):
		ingress.WriteError(w, http.StatusRequestEntityTooLarge, err.Error(), 0)
	case errors.Is(err, ingress.ErrUnsupported):
		ingress.WriteError(w, http.StatusServiceUnavailable, err.Error(), unsupportedRetry)
	case errors.Is(err, ingress.ErrDeadlineExceeded):
		ingress.WriteError(w, http.StatusServiceUnavailable, err.Error(), soon)
	default:
		ingress.WriteError(w, http.StatusBadRequest, err.Error(), 0)
	}
}

func (f *Handler) state(w http.ResponseWriter, id string) {
	outcome, started, known := f.jobs.State(id)
	switch {
	case !known || outcome == planner.Refused || outcome == planner.Cancelled || outcome == planner.Expired:
		ingress.WriteError(w, http.StatusGone, "no such job", 0)
	case outcome == planner.Completed:
		ingress.WriteState(w, ingress.Completed)
	case outcome == planner.Failed:
		ingress.WriteState(w, ingress.Failed)
	case started:
		ingress.WriteState(w, ingress.Running)
	default:
		ingress.WriteState(w, ingress.Queued)
	}
}

func (f *Handler) cancel(w http.ResponseWriter, id string) {
	if f.jobs.Cancel(id) {
		w.WriteHeader(http.StatusOK)
		return
	}
	ingress.WriteError(w, http.StatusGone, "no such job", 0)
}
