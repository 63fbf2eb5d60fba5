package ledger

import (
	"container/list"
	"sync"
)

// resultOverhead is the estimated memory use of a kept result beside its payload and message,
// in bytes.
const resultOverhead = 512

// resultCache bounds the results that wait for acknowledgement, over all sessions: the oldest
// are evicted first. Its lock is acquired while a session's lock is held.
type resultCache struct {
	max int64

	mu    sync.Mutex
	bytes int64
	order *list.List
	at    map[*Task]*list.Element
}

func newResultCache(maxBytes int64) *resultCache {
	return &resultCache{max: maxBytes, order: list.New(), at: map[*Task]*list.Element{}}
}

func resultSize(t *Task) int64 {
	return int64(len(t.result.GetPayload())+len(t.result.GetMessage())) + resultOverhead
}

// put keeps a result and returns the tasks whose results it evicts, which may include this
// one.
func (h *resultCache) put(t *Task) []*Task {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.at[t] = h.order.PushBack(t)
	h.bytes += resultSize(t)
	var evicted []*Task
	for h.bytes > h.max {
		oldest := h.order.Front().Value.(*Task)
		h.take(oldest)
		evicted = append(evicted, oldest)
	}
	return evicted
}

func (h *resultCache) remove(t *Task) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.take(t)
}

func (h *resultCache) take(t *Task) {
	e := h.at[t]
	if e == nil {
		return
	}
	delete(h.at, t)
	h.order.Remove(e)
	h.bytes -= resultSize(t)
}

func (h *resultCache) size() (bytes int64, results int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bytes, len(h.at)
}
