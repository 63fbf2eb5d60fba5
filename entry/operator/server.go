// Package operator serves the operators' HTTP API of an entry, on a separate
// address and with a separate token: contracts, the burn report, control traffic,
// entries and endpoints. The API is documented in docs/API-operators.md.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"almondstand.dev/contract"
	"almondstand.dev/entry/burn"
	"almondstand.dev/entry/contracts"
	"almondstand.dev/entry/fleet"
	"almondstand.dev/telemetry"
	"almondstand.dev/wire/wirev1"
)

// Registry returns the contracts in force at this entry.
type Registry interface {
	All() []contract.Contract
	// History returns the stored versions of a client's contract, the one in
	// force first; none if there is no contract.
	History(client string) []contracts.Version
}

// Writer changes contracts.
type Writer interface {
	Apply(ctx context.Context, c contract.Contract, expect contracts.Precondition) (contracts.WriteResult, error)
	Retire(ctx context.Context, client string, expect contracts.Precondition) (contracts.WriteResult, error)
}

// Members returns the live entries.
type Members interface {
	Self() *wirev1.EntryInfo
	// Live returns the live entries, including this one.
	Live() []*wirev1.EntryInfo
}

// Fleet returns the endpoints known to this entry.
type Fleet interface {
	Endpoints() []fleet.Status
}

// BurnRecorder counts how the jobs of this entry ended.
type BurnRecorder interface {
	Snapshot(now time.Time, entry string, targets []burn.Target, withSeries bool) burn.Snapshot
}

// TrafficMeter measures the control traffic of this entry.
type TrafficMeter interface {
	Snapshot() []telemetry.Traffic
}

// Options configures a Server. Fields of an interface type are required, except
// Scope.
type Options struct {
	// TokenDigest is the SHA-256, in hex, of the operators' bearer token.
	TokenDigest  string
	Registry     Registry
	Writer       Writer
	Members      Members
	Fleet        Fleet
	BurnRecorder BurnRecorder
	TrafficMeter TrafficMeter
	// Metrics may be nil: then /metrics isn't served.
	Metrics *telemetry.Metrics
	Ready   *telemetry.Ready
	Logger  *slog.Logger
	Scope   tally.Scope
	// Now defaults to time.Now. Its value when New is called is the start time of
	// the process in reports.
	Now func() time.Time
}

// ErrTokenDigest means that TokenDigest is not a SHA-256 digest in hex.
var ErrTokenDigest = errors.New("operator: token digest is not the SHA-256 of a token in hex")

// Server serves the operators' API.
type Server struct {
	opts    Options
	digest  [sha256.Size]byte
	started time.Time
}

// New returns a server, or ErrTokenDigest.
func New(opts Options) (*Server, error) {
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Ready == nil {
		opts.Ready = &telemetry.Ready{}
	}
	s := &Server{opts: opts, started: opts.Now()}
	if len(opts.TokenDigest) != hex.EncodedLen(sha256.Size) {
		return nil, ErrTokenDigest
	}
	if _, err := hex.Decode(s.digest[:], []byte(opts.TokenDigest)); err != nil {
		return nil, ErrTokenDigest
	}
	return s, nil
}

// Handler returns the HTTP handler of the API. /healthz, /readyz and /metrics need
// no token.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	telemetry.Handle(mux, s.opts.Metrics, s.opts.Ready)
	s.handle(mux, "GET /v1/contracts", s.listContracts)
	s.handle(mux, "GET /v1/contracts/{customer}", s.getContract)
	s.handle(mux, "PUT /v1/contracts/{customer}", s.putContract)
	s.handle(mux, "POST /v1/contracts/{customer}/retire", s.retireContract)
	s.handle(mux, "GET /v1/contracts/{customer}/history", s.history)
	s.handle(mux, "GET /v1/burn", s.burn)
	s.handle(mux, "GET /v1/control", s.control)
	s.handle(mux, "GET /v1/entries", s.entries)
	s.handle(mux, "GET /v1/endpoints", s.endpoints)
	s.handle(mux, "/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, http.StatusNotFound, Error{Code: CodeNotFound, Message: "no such path or method: " + r.Method + " " + r.URL.Path})
	})
	return mux
}

// handle registers a handler that requires the operators' token.
func (s *Server) handle(mux *http.ServeMux, pattern string, h http.HandlerFunc) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		s.opts.Scope.Counter("operator_requests").Inc(1)
		if !s.hasValidToken(r) {
			s.opts.Scope.Counter("operator_refused").Inc(1)
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, Error{Code: CodeUnauthenticated, Message: "send the operators' bearer token"})
			return
		}
		h(w, r)
	})
}

// hasValidToken compares digests in constant time. Digests have a fixed length, and
// a partial match of them reveals nothing about the token.
func (s *Server) hasValidToken(r *http.Request) bool {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	digest := sha256.Sum256([]byte(token))
	same := subtle.ConstantTimeCompare(digest[:], s.digest[:]) == 1
	return same && strings.EqualFold(scheme, "Bearer")
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false) // messages contain headers with < and >, which stay readable
	_ = e.Encode(v)
}

func writeError(w http.ResponseWriter, status int, e Error) {
	writeJSON(w, status, ErrorBody{Error: e})
}
