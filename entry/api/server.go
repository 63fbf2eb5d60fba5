// Package api serves the callers' HTTP API: submissions and their answers. The
// API is documented in docs/API.md.
package api

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"almondstand.dev/contract"
	"almondstand.dev/entry/burn"
	"almondstand.dev/entry/engine"
	"almondstand.dev/entry/member"
	"almondstand.dev/entry/quota"
	"almondstand.dev/entry/submission"
	"almondstand.dev/wire/wirev1"
)

// Contracts looks up the contract of a client.
type Contracts interface {
	// ByToken returns the active or retired contract whose token digests contain
	// the SHA-256 of the caller's token. It compares in constant time.
	ByToken(digest [32]byte) (contract.Contract, bool)
	ByClient(client string) (contract.Contract, bool)
}

// Quota enforces the rate and in-flight limits of each client.
type Quota interface {
	Admit(now time.Time, client string, tasks int) quota.Decision
}

// Peers reports the membership status of other entries and forwards requests to
// them.
type Peers interface {
	Status(entry string, incarnation uint64) member.Status
	Forward(ctx context.Context, entry string, req *wirev1.ForwardRequest) (*wirev1.ForwardResponse, error)
}

// ReadinessChecker reports whether this entry may accept new jobs. It may not while it could
// be the only entry that missed a configuration change.
type ReadinessChecker interface {
	// AwaitServing may block briefly while this entry cannot tell whether it is
	// isolated.
	AwaitServing(ctx context.Context) (ok bool, retryAfter time.Duration)
}

// Recorder records one observation for each job that ended or was rejected.
// Cancelled jobs and invalid requests are not recorded.
type Recorder interface {
	Record(now time.Time, o burn.Observation)
}

// Engine runs jobs. The error of Submit is always an *engine.Refusal.
type Engine interface {
	Submit(ctx context.Context, j engine.Job) (*engine.Answer, error)
	HasService(service string) bool
	Draining() bool
}

// Options configures a Server. All fields of an interface type are required,
// except Scope.
type Options struct {
	EntryID   string
	Table     *submission.Table
	Engine    Engine
	Contracts Contracts
	Quota     Quota
	Peers     Peers
	Readiness ReadinessChecker
	Recorder  Recorder

	// MaxBody limits the body of one request, MaxOpenBody the total size of the
	// bodies of all open requests, both in bytes.
	MaxBody     int64
	MaxOpenBody int64
	// WriteTimeout limits how long writing one answer may take.
	WriteTimeout time.Duration
	// RetryAfter is the retry delay sent to a caller when no better estimate is
	// available.
	RetryAfter time.Duration

	Logger *slog.Logger
	Scope  tally.Scope
	// Now defaults to time.Now.
	Now func() time.Time
}

// Defaults and fixed limits.
const (
	DefaultMaxBody      = 8 << 20
	DefaultMaxOpenBody  = 256 << 20
	DefaultWriteTimeout = 30 * time.Second
	DefaultRetryAfter   = time.Second

	// MaxTasks limits the tasks of a job, MaxMint the ids created by one call.
	MaxTasks = 100
	MaxMint  = 100
)

// Names of headers.
const (
	headerEntry        = "Almond-Entry"
	headerNext         = "Almond-Next-Submission"
	headerRetryAfter   = "Retry-After"
	headerRetryAfterMs = "Retry-After-Ms"
	headerDigest       = "Content-Digest"
)

// Server serves callers, and requests that other entries forward to it.
type Server struct {
	opts    Options
	metrics *metrics
	// openBodyBytes is the total size of the bodies of all open requests.
	openBodyBytes atomic.Int64
}

// New returns a server.
func New(opts Options) *Server {
	if opts.MaxBody <= 0 {
		opts.MaxBody = DefaultMaxBody
	}
	if opts.MaxOpenBody <= 0 {
		opts.MaxOpenBody = DefaultMaxOpenBody
	}
	if opts.WriteTimeout <= 0 {
		opts.WriteTimeout = DefaultWriteTimeout
	}
	if opts.RetryAfter <= 0 {
		opts.RetryAfter = DefaultRetryAfter
	}
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Server{opts: opts, metrics: newMetrics(opts.Scope)}
}

// RegisterHandlers adds the API's handlers to mux. A path that no other pattern of mux
// matches is answered with an error body of this API.
func (s *Server) RegisterHandlers(mux *http.ServeMux) {
	s.handle(mux, "POST /v1/submissions", s.mint)
	s.handle(mux, "PUT /v1/submissions/{id}", s.put)
	s.handle(mux, "GET /v1/submissions/{id}", s.fetch)
	s.handle(mux, "DELETE /v1/submissions/{id}", s.remove)
	s.handle(mux, "POST /v1/jobs", s.post)
	s.handle(mux, "/v1/submissions", s.methodNotAllowed("POST"))
	s.handle(mux, "/v1/submissions/{id}", s.methodNotAllowed("DELETE, GET, HEAD, PUT"))
	s.handle(mux, "/v1/jobs", s.methodNotAllowed("POST"))
	s.handle(mux, "/", s.unknownPath)
}

func (s *Server) handle(mux *http.ServeMux, pattern string, h http.HandlerFunc) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerEntry, s.opts.EntryID)
		// Clears the write deadline that the previous answer on the same connection
		// set; it could abort the "100 Continue" of this request.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		h(w, r)
	})
}

// now returns the current time of the configured clock.
func (s *Server) now() time.Time { return s.opts.Now() }
