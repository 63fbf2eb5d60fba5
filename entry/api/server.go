// Package api serves the callers' HTTP interface: submissions and their
// answers. docs/API.md describes it.
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

// Contracts finds a customer's contract.
type Contracts interface {
	// ByToken finds the active or retired contract whose token digests contain
	// the SHA-256 of the caller's token. It compares in constant time.
	ByToken(digest [32]byte) (contract.Contract, bool)
	ByCustomer(customer string) (contract.Contract, bool)
}

// Quota keeps the rate and the tasks in flight of each customer.
type Quota interface {
	Admit(now time.Time, customer string, tasks int) quota.Decision
}

// Peers reaches the other entries.
type Peers interface {
	Standing(entry string, incarnation uint64) member.Standing
	Forward(ctx context.Context, entry string, req *wirev1.ForwardRequest) (*wirev1.ForwardResponse, error)
}

// Gate says whether this entry may take new work. It may not when it may be the
// only one that missed a change of configuration.
type Gate interface {
	// AwaitServe may take a moment when the answer is in doubt.
	AwaitServe(ctx context.Context) (ok bool, retryAfter time.Duration)
}

// Recorder takes one observation for each job that ended. Jobs that their
// caller cancelled and requests that were the caller's mistake are not recorded.
type Recorder interface {
	Record(now time.Time, o burn.Observation)
}

// Engine runs jobs. Its error is always an *engine.Refusal.
type Engine interface {
	Submit(ctx context.Context, j engine.Job) (*engine.Answer, error)
	Knows(service string) bool
	Draining() bool
}

// Options of a Server. All of the interfaces are required.
type Options struct {
	EntryID   string
	Table     *submission.Table
	Engine    Engine
	Contracts Contracts
	Quota     Quota
	Peers     Peers
	Gate      Gate
	Recorder  Recorder

	// MaxBody bounds one request's body, MaxOpenBody those of all open requests
	// together, in bytes.
	MaxBody     int64
	MaxOpenBody int64
	// WriteTimeout bounds the writing of one answer.
	WriteTimeout time.Duration
	// RetryAfter is what a caller is told when nothing better is known.
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

	// MaxTasks bounds the tasks of a job, MaxMint the ids minted by one call.
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

// Server serves callers, and repeats that other entries forward.
type Server struct {
	opts    Options
	metrics *metrics
	// openBody counts the bytes of the bodies of all open requests.
	openBody atomic.Int64
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

// Register adds the interface to a mux. Every path that no other pattern of
// the mux takes gets an error body of this interface.
func (s *Server) Register(mux *http.ServeMux) {
	s.handle(mux, "POST /v1/submissions", s.mint)
	s.handle(mux, "PUT /v1/submissions/{id}", s.put)
	s.handle(mux, "GET /v1/submissions/{id}", s.fetch)
	s.handle(mux, "DELETE /v1/submissions/{id}", s.remove)
	s.handle(mux, "POST /v1/jobs", s.post)
	s.handle(mux, "/v1/submissions", s.wrongMethod("POST"))
	s.handle(mux, "/v1/submissions/{id}", s.wrongMethod("DELETE, GET, HEAD, PUT"))
	s.handle(mux, "/v1/jobs", s.wrongMethod("POST"))
	s.handle(mux, "/", s.notFound)
}

func (s *Server) handle(mux *http.ServeMux, pattern string, h http.HandlerFunc) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerEntry, s.opts.EntryID)
		// The deadline of the answer before this one on the same connection would
		// cut the "100 Continue" of this request.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		h(w, r)
	})
}

// now returns the time for decisions.
func (s *Server) now() time.Time { return s.opts.Now() }
