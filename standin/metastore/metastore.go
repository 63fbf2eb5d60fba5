// Package metastore is a stand-in for the platform's metadata store. It serves keys
// with revisions, leases and range reads over HTTP, and its faults can be injected.
package metastore

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault describes the faults that are injected into the store's calls.
type Fault struct {
	// Outage is the mode of an outage: calls get no response (silent), status 503 (busy), or
	// their connection is aborted (reset).
	Outage Mode
	// Delay is added to the latency of each call.
	Delay time.Duration
	// LoseShare is the fraction of writes that take effect but get no response.
	LoseShare float64
	// ExpireLeases lets leases expire during an outage, too.
	ExpireLeases bool
	// Callers lists the names of the callers that the fault applies to, see Store.HandlerFor; nil
	// means all.
	Callers []string
}

// Mode of an outage.
type Mode string

// Modes of an outage; Up means none.
const (
	Up     Mode = ""
	Silent Mode = "silent"
	Busy   Mode = "busy"
	Reset  Mode = "reset"
)

type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     int64  `json:"revision"`
	Created int64  `json:"created_rev"`
	Lease   int64  `json:"lease_id"`
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Store is the stand-in for the metadata store.
type Store struct {
	mu         sync.Mutex
	rev        int64
	items      map[string]item
	leases     map[int64]*lease
	fault      Fault
	rates      RateLimits
	rateWindow rateWindow
	calls      int
	mux        *http.ServeMux
}

// New returns an empty store.
func New() *Store {
	s := &Store{items: map[string]item{}, leases: map[int64]*lease{}, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /kv-key", s.get)
	s.mux.HandleFunc("GET /kv-range", s.list)
	s.mux.HandleFunc("POST /kv-txn", s.txn)
	s.mux.HandleFunc("POST /kv-lease", s.grant)
	s.mux.HandleFunc("POST /kv-keep/{id}", s.keepAlive)
	s.mux.HandleFunc("DELETE /kv-lease-end/{id}", s.revoke)
	return s
}

// SetFault replaces the injected faults, for calls from now on.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	s.fault = f
	s.mu.Unlock()
}

// RateLimits are the rate limits of the store, in calls per second; zero means no limit.
type RateLimits struct{ Reads, Writes int }

// rateWindow counts the calls in the current window of one second.
type rateWindow struct {
	start         time.Time
	reads, writes int
}

// SetRateLimits changes the rate limits, which apply to the calls of all callers together.
// Calls above the limits are rejected with status 429.
func (s *Store) SetRateLimits(r RateLimits) {
	s.mu.Lock()
	s.rates = r
	s.mu.Unlock()
}

// withinLimits counts a call and reports whether it is within the rate limits. The caller
// holds the lock.
func (s *Store) withinLimits(read bool) bool {
	if now := time.Now(); now.Sub(s.rateWindow.start) >= time.Second {
		s.rateWindow = rateWindow{start: now}
	}
	if read {
		s.rateWindow.reads++
		return s.rates.Reads == 0 || s.rateWindow.reads <= s.rates.Reads
	}
	s.rateWindow.writes++
	return s.rates.Writes == 0 || s.rateWindow.writes <= s.rates.Writes
}

// Put writes a key as the operator does; it works during an outage, too.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(key, value, 0)
}

// Delete deletes a key as the operator does; it works during an outage, too.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	delete(s.items, key)
}

func (s *Store) put(key string, value []byte, lease int64) int64 {
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.items[key] = item{key, value, s.rev, created, lease}
	return s.rev
}

// HandlerFor returns the handler for the calls of the named caller, so that a fault can be
// restricted to some callers.
func (s *Store) HandlerFor(caller string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, caller) })
}

// serve serves a call, subject to the rate limits and the injected faults.
func (s *Store) serve(w http.ResponseWriter, r *http.Request, caller string) {
	s.mu.Lock()
	s.calls++
	f := s.fault
	allowed := s.withinLimits(r.Method == http.MethodGet)
	s.mu.Unlock()
	if !allowed {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if f.Callers != nil && !slices.Contains(f.Callers, caller) {
		f = Fault{}
	}
	switch f.Outage {
	case Silent:
		<-r.Context().Done()
		return
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Reset:
		panic(http.ErrAbortHandler)
	}
	time.Sleep(f.Delay)
	if r.Method != http.MethodGet && rand.Float64() < f.LoseShare {
		s.mux.ServeHTTP(&discardWriter{header: http.Header{}}, r)
		<-r.Context().Done()
		return
	}
	s.mux.ServeHTTP(w, r)
}

// discardWriter discards a response that the caller must not get.
type discardWriter struct{ header http.Header }

func (l *discardWriter) Header() http.Header         { return l.header }
func (l *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (l *discardWriter) WriteHeader(int)             {}

// expire revokes expired leases. During an outage leases don't expire, unless
// Fault.ExpireLeases is set. The caller holds the lock.
func (s *Store) expire() {
	if s.fault.Outage != Up && !s.fault.ExpireLeases {
		return
	}
	for id, l := range s.leases {
		if time.Now().After(l.expiresAt) {
			s.revokeLease(id)
		}
	}
}

func (s *Store) revokeLease(id int64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			delete(s.items, k)
			s.rev++
		}
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		item
		At int64 `json:"at_rev"`
	}{i, s.rev})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	q := r.URL.Query()
	items := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	writeJSON(w, struct {
		Items []item `json:"items"`
		More  bool   `json:"has_more"`
		At    int64  `json:"at_rev"`
	}{items, false, s.rev})
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []struct {
			Key string `json:"key"`
			Rev int64  `json:"revision"`
		} `json:"expect"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease_id"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, e := range body.Expect {
		if s.items[e.Key].Rev != e.Rev {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, p := range body.Puts {
		if strings.HasPrefix(p.Key, "op/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range body.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range body.Deletes {
		delete(s.items, k)
		s.rev++
	}
	writeJSON(w, struct {
		Rev int64 `json:"revision"`
	}{s.rev})
}

type leaseBody struct {
	ID  int64 `json:"lease_id,omitempty"`
	TTL int64 `json:"ttl_ms"`
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var body leaseBody
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	body.ID = s.rev
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[body.ID] = &lease{ttl, time.Now().Add(ttl)}
	writeJSON(w, body)
}

func (s *Store) keepAlive(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expiresAt = time.Now().Add(l.ttl)
	writeJSON(w, leaseBody{TTL: l.ttl.Milliseconds()})
}

func (s *Store) revoke(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.revokeLease(id)
	writeJSON(w, struct{}{})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
