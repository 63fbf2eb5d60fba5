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

// Store is a stand-in of the platform's metadata store: keys, ranges and leases.
type Store struct {
	mu     sync.Mutex
	rev    int64
	items  map[string]item
	leases map[int64]*lease
	next   int64
	// down makes the store answer every call with 503.
	down bool
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created_rev"`
	Lease    int64  `json:"lease_id"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

func newStore() *Store {
	s := &Store{rev: 1, items: map[string]item{}, leases: map[int64]*lease{}, next: 100}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *Store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.dropLease(id)
		}
	}
}

func (s *Store) dropLease(id int64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.rev++
			delete(s.items, k)
		}
	}
}

// setDown takes the store down or brings it back. Its leases pause meanwhile.
func (s *Store) setDown(down bool, span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if down {
		for _, l := range s.leases {
			l.end = l.end.Add(span)
		}
	}
}

// put writes a key as the operator does.
func (s *Store) put(key string, value any) {
	raw, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, raw, 0)
}

func (s *Store) set(key string, value []byte, leaseID int64) {
	s.rev++
	created := s.rev
	if old, found := s.items[key]; found {
		created = old.Created
	}
	s.items[key] = item{key, value, s.rev, created, leaseID}
}

func (s *Store) serve() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("store: %v", err)
	}
	go func() { _ = http.Serve(l, s) }()
	return l.Addr().String()
}

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	reply := func(status int, v any) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(v)
	}
	switch {
	case r.URL.Path == "/kv-key":
		i, found := s.items[q.Get("key")]
		if !found {
			reply(404, map[string]any{"at_rev": s.rev})
			return
		}
		reply(200, i)
	case r.URL.Path == "/kv-range":
		items := []item{}
		for k, i := range s.items {
			if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
				items = append(items, i)
			}
		}
		sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
		reply(200, map[string]any{"items": items, "has_more": false, "at_rev": s.rev})
	case r.URL.Path == "/kv-lease":
		var b struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&b)
		s.next++
		ttl := time.Duration(max(b.TTL, 1000)) * time.Millisecond
		s.leases[s.next] = &lease{ttl, time.Now().Add(ttl)}
		reply(200, map[string]any{"lease_id": s.next, "ttl_ms": ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-keep/"), 10, 64)
		l := s.leases[id]
		if l == nil {
			reply(404, map[string]any{})
			return
		}
		l.end = time.Now().Add(l.ttl)
		reply(200, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"), 10, 64)
		s.dropLease(id)
		reply(200, map[string]any{})
	case r.URL.Path == "/kv-txn":
		var b struct {
			Expect []struct {
				Key      string `json:"key"`
				Revision int64  `json:"revision"`
			} `json:"expect"`
			Puts []struct {
				Key   string `json:"key"`
				Value []byte `json:"value"`
				Lease int64  `json:"lease_id"`
			} `json:"puts"`
			Deletes []string `json:"deletes"`
		}
		_ = json.NewDecoder(r.Body).Decode(&b)
		for _, e := range b.Expect {
			if s.items[e.Key].Revision != e.Revision {
				reply(412, map[string]any{"items": []item{}})
				return
			}
		}
		for _, p := range b.Puts {
			if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
				reply(403, map[string]any{})
				return
			}
			if p.Lease != 0 && s.leases[p.Lease] == nil {
				reply(404, map[string]any{})
				return
			}
			s.set(p.Key, p.Value, p.Lease)
		}
		for _, k := range b.Deletes {
			s.rev++
			delete(s.items, k)
		}
		reply(200, map[string]any{"revision": s.rev})
	default:
		reply(404, map[string]any{})
	}
}
