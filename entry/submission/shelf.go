package submission

import (
	"container/list"
	"time"
)

// answerCache keeps responses for a time since they were last requested, and within a
// bound in bytes. When the bound is exceeded, the client with the most bytes loses its
// oldest response; otherwise one client's large responses would evict those that others
// still need for a retry.
type answerCache struct {
	maxBytes int64
	ttl      time.Duration
	// onEvict is called for each evicted record.
	onEvict func(*record)

	bytes int64
	// lru orders the records by last use, the newest in front. As each use renews the
	// expiry, it is also the order of expiry.
	lru      *list.List
	byClient map[string]*clientAnswers
}

// clientAnswers is one client's part of the cache, in the same order.
type clientAnswers struct {
	bytes   int64
	records *list.List
}

// cachePosition is a record's expiry and its elements in the cache's lists.
type cachePosition struct {
	expiresAt time.Time
	inLRU     *list.Element
	inClient  *list.Element
}

func newAnswerCache(maxBytes int64, ttl time.Duration, onEvict func(*record)) *answerCache {
	return &answerCache{
		maxBytes: maxBytes,
		ttl:      ttl,
		onEvict:  onEvict,
		lru:      list.New(),
		byClient: map[string]*clientAnswers{},
	}
}

// put adds a record, which may evict others or itself.
func (s *answerCache) put(now time.Time, r *record) {
	h := s.byClient[r.key.client]
	if h == nil {
		h = &clientAnswers{records: list.New()}
		s.byClient[r.key.client] = h
	}
	r.position = cachePosition{
		expiresAt: now.Add(s.ttl),
		inLRU:     s.lru.PushFront(r),
		inClient:  h.records.PushFront(r),
	}
	s.bytes += r.size()
	h.bytes += r.size()
	s.evictExcess(now)
}

// touch renews a record's expiry.
func (s *answerCache) touch(now time.Time, r *record) {
	r.position.expiresAt = now.Add(s.ttl)
	s.lru.MoveToFront(r.position.inLRU)
	s.byClient[r.key.client].records.MoveToFront(r.position.inClient)
}

// evictExcess evicts the records that are expired or exceed the bound.
func (s *answerCache) evictExcess(now time.Time) {
	for e := s.lru.Back(); e != nil; e = s.lru.Back() {
		r := e.Value.(*record)
		if now.Before(r.position.expiresAt) {
			break
		}
		s.evict(r)
	}
	for s.bytes > s.maxBytes {
		s.evict(s.largest().records.Back().Value.(*record))
	}
}

func (s *answerCache) largest() *clientAnswers {
	var largest *clientAnswers
	for _, h := range s.byClient {
		if largest == nil || h.bytes > largest.bytes {
			largest = h
		}
	}
	return largest
}

func (s *answerCache) evict(r *record) {
	h := s.byClient[r.key.client]
	s.lru.Remove(r.position.inLRU)
	h.records.Remove(r.position.inClient)
	s.bytes -= r.size()
	h.bytes -= r.size()
	if h.records.Len() == 0 {
		delete(s.byClient, r.key.client)
	}
	s.onEvict(r)
}
