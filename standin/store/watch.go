package store

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

type watchRequest struct {
	Create struct {
		Key            []byte `json:"key"`
		RangeEnd       []byte `json:"range_end"`
		StartRevision  int64  `json:"start_revision,string"`
		ProgressNotify bool   `json:"progress_notify"`
	} `json:"create_request"`
}

type watchMessage struct {
	Result watchResult `json:"result"`
}

type watchResult struct {
	Header          header       `json:"header"`
	Created         bool         `json:"created,omitempty"`
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision int64        `json:"compact_revision,string,omitempty"`
	Events          []watchEvent `json:"events,omitempty"`
}

type watchEvent struct {
	Type string    `json:"type,omitempty"`
	Kv   kvMessage `json:"kv"`
}

// watcher is one open watch.
type watcher struct {
	store       *Store
	keys        interval
	next        int64
	out         *json.Encoder
	flush       *http.ResponseController
	watchBreaks watchBreaks
	// progress is the interval of progress notifications; zero when the client requested
	// none.
	progress time.Duration
}

func (s *Store) serveWatch(ctx context.Context, w http.ResponseWriter, in *watchRequest) {
	s.mu.Lock()
	breaks := s.watchBreaks
	s.mu.Unlock()
	s.faults.mu.Lock()
	progress := s.faults.progress
	s.faults.mu.Unlock()
	if !in.Create.ProgressNotify {
		progress = 0
	}
	watch := &watcher{
		store:       s,
		keys:        interval{string(in.Create.Key), string(in.Create.RangeEnd)},
		next:        in.Create.StartRevision,
		out:         json.NewEncoder(w),
		flush:       http.NewResponseController(w),
		watchBreaks: breaks,
		progress:    progress,
	}
	w.Header().Set("Content-Type", "application/json")
	if watch.start() {
		watch.run(ctx)
	}
}

func (w *watcher) send(r watchResult) bool {
	if w.out.Encode(watchMessage{r}) != nil {
		return false
	}
	return w.flush.Flush() == nil
}

// start confirms that the watch is created. When the start revision has been compacted
// it also cancels the watch and returns false.
func (w *watcher) start() bool {
	m := w.store.memory
	m.mu.Lock()
	revision, compacted := m.revision, m.compacted
	m.mu.Unlock()
	if w.next == 0 {
		w.next = revision + 1
	}
	if !w.send(watchResult{Header: header{revision}, Created: true}) {
		return false
	}
	if w.next <= compacted {
		w.send(watchResult{Header: header{revision}, Canceled: true, CompactRevision: compacted})
		return false
	}
	return true
}

func (w *watcher) run(ctx context.Context) {
	var progressCh <-chan time.Time
	if w.progress > 0 {
		ticker := time.NewTicker(w.progress)
		defer ticker.Stop()
		progressCh = ticker.C
	}
	for {
		// Silencing takes precedence over changes that are pending at the same time.
		select {
		case <-w.watchBreaks.silenced:
			<-ctx.Done()
			return
		default:
		}
		changed, ok := w.deliver(false)
		if !ok {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-w.watchBreaks.closed:
			return
		case <-w.watchBreaks.silenced:
		case <-changed:
		case <-progressCh:
			if _, ok := w.deliver(true); !ok {
				return
			}
		}
	}
}

// deliver sends the pending changes. If there are none and progressReport is set, it
// sends a progress notification. It returns the channel that is closed at the next
// change, and false if sending failed.
func (w *watcher) deliver(progressReport bool) (<-chan struct{}, bool) {
	m := w.store.memory
	m.mu.Lock()
	pending := m.changesSince(w.keys, w.next)
	revision, changed := m.revision, m.changed
	m.mu.Unlock()
	if len(pending) == 0 {
		ok := !progressReport || revision < w.next-1 || w.send(watchResult{Header: header{revision}})
		return changed, ok
	}
	w.next = revision + 1
	return changed, w.send(watchResult{Header: header{revision}, Events: toWatchEvents(pending)})
}

func toWatchEvents(pending []change) []watchEvent {
	out := make([]watchEvent, 0, len(pending))
	for _, c := range pending {
		event := watchEvent{Kv: toMessage(c.item)}
		if c.deleted {
			event.Type = "DELETE"
		}
		out = append(out, event)
	}
	return out
}
