package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// kv is a small store that follows "The platform's metadata store" of PROTOCOL.md. It never fails.
type kv struct {
	mu     sync.Mutex
	rev    int64
	items  map[string]kvItem
	leases map[int64]kvLease
}

type kvItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     int64  `json:"revision"`
	Created int64  `json:"created_rev"`
	Lease   int64  `json:"lease_id"`
}

type kvLease struct {
	ttl     time.Duration
	expires time.Time
}

func startStore(l net.Listener) *kv {
	s := &kv{rev: 1, items: map[string]kvItem{}, leases: map[int64]kvLease{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(l, mux) }()
	return s
}

// operatorPut writes a key as the operator does. Its return is the acknowledgement.
func (s *kv) operatorPut(key string, value any) int64 {
	raw, err := json.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(key, raw, 0)
}

func (s *kv) put(key string, value []byte, lease int64) int64 {
	s.rev++
	created := s.rev
	if old, found := s.items[key]; found {
		created = old.Created
	}
	s.items[key] = kvItem{key, value, s.rev, created, lease}
	return s.rev
}

func (s *kv) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.drop(id)
		}
	}
}

func (s *kv) drop(id int64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.rev++
			delete(s.items, k)
		}
	}
}

func (s *kv) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, found := s.items[r.URL.Query().Get("key")]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, struct {
		kvItem
		At int64 `json:"at_rev"`
	}{i, s.rev})
}

func (s *kv) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []kvItem{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "at_rev": s.rev})
}

func (s *kv) txn(w http.ResponseWriter, r *http.Request) {
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
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": []any{}})
			return
		}
	}
	for _, p := range body.Puts {
		if _, found := s.leases[p.Lease]; p.Lease != 0 && !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(p.Key, "op/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, p := range body.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range body.Deletes {
		s.rev++
		delete(s.items, k)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.rev})
}

func (s *kv) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.rev] = kvLease{ttl, time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease_id": s.rev, "ttl_ms": body.TTL})
}

func (s *kv) keep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	l, found := s.leases[id]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *kv) end(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.drop(id)
	answer(w, http.StatusOK, struct{}{})
}

func answer(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
