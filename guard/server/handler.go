package server

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"golang.org/x/sync/semaphore"

	"almondstand.dev/wire/wirev1/wirev1connect"
)

// messageOverhead is the allowance for the fields of a request other than the
// payload, in bytes.
const messageOverhead = 64 << 10

const (
	headerAuthorization = "Authorization"
	bearer              = "Bearer "
	gzip                = "gzip"
)

// controlKinds maps the control calls to their metric labels. Start is not
// included, since it carries a task.
var controlKinds = map[string]string{
	wirev1connect.GuardServiceHelloProcedure:   "hello",
	wirev1connect.GuardServiceResolveProcedure: "resolve",
	wirev1connect.GuardServiceCancelProcedure:  "cancel",
	wirev1connect.GuardServicePingProcedure:    "ping",
}

func controlKind(r *http.Request) string { return controlKinds[r.URL.Path] }

// Handler returns the HTTP handler of GuardService.
func (s *Server) Handler() http.Handler {
	path, service := wirev1connect.NewGuardServiceHandler(s,
		connect.WithReadMaxBytes(int(s.opts.MaxPayloadBytes)+messageOverhead),
		// Connect compresses every response by default, which costs CPU time
		// without any benefit on a local network.
		connect.WithCompression(gzip, nil, nil),
	)
	mux := http.NewServeMux()
	mux.Handle(path, service)
	return s.requireSecret(s.opts.Control.Handler(s.limitRequestBytes(mux), controlKind))
}

// requireSecret rejects requests that don't carry the cluster secret.
func (s *Server) requireSecret(next http.Handler) http.Handler {
	if s.opts.Secret == "" {
		return next
	}
	want := sha256.Sum256([]byte(s.opts.Secret))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, ok := strings.CutPrefix(r.Header.Get(headerAuthorization), bearer)
		got := sha256.Sum256([]byte(given))
		if !ok || subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
			s.metrics.secretRefused.Inc(1)
			eventSecretRefused.Log(r.Context(), s.opts.Logger)
			http.Error(w, "the cluster's secret is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// limitRequestBytes bounds the total size of the requests in progress. It rejects
// a request over the limit before the ledger sees it: the caller resolves the
// start like any other that got no reply.
func (s *Server) limitRequestBytes(next http.Handler) http.Handler {
	available := semaphore.NewWeighted(s.opts.MaxRequestBytes)
	maxSize := s.opts.MaxPayloadBytes + messageOverhead
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := maxSize
		if r.ContentLength >= 0 {
			size = min(r.ContentLength, maxSize)
		}
		size += requestOverhead
		if !available.TryAcquire(size) {
			s.metrics.requestsOverloaded.Inc(1)
			http.Error(w, "too many requests at a time", http.StatusServiceUnavailable)
			return
		}
		defer available.Release(size)
		next.ServeHTTP(w, r)
	})
}

// requestOverhead is the memory that a request in progress takes in addition to
// its body, in bytes.
const requestOverhead = 8 << 10
