package store

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"time"
)

// callCounts counts the calls by method.
type callCounts struct {
	mu    sync.Mutex
	calls map[string]int64
}

func (c *callCounts) add(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == nil {
		c.calls = map[string]int64{}
	}
	c.calls[method]++
}

// Counts returns the number of calls by method: range, txn, grant, keepalive and
// watch.
func (s *Store) Counts() map[string]int64 {
	s.callCounts.mu.Lock()
	defer s.callCounts.mu.Unlock()
	return maps.Clone(s.callCounts.calls)
}

// Switches is the body of POST /standin/switches. An absent field leaves its switch
// unchanged.
type Switches struct {
	Mode *Mode `json:"mode,omitempty"`
	// Milliseconds.
	DelayMs       *int64 `json:"delay_ms,omitempty"`
	ProgressMs    *int64 `json:"progress_ms,omitempty"`
	LoseResponses *int   `json:"lose_answers,omitempty"`
	DelayedWrites *int   `json:"late_writes,omitempty"`
	// Milliseconds.
	WriteDelayMs *int64 `json:"late_by_ms,omitempty"`
}

// Set applies switches.
func (s *Store) Set(in Switches) {
	if in.Mode != nil {
		s.SetMode(*in.Mode)
	}
	if in.DelayMs != nil {
		s.SetDelay(milliseconds(in.DelayMs))
	}
	if in.ProgressMs != nil {
		s.SetProgressInterval(milliseconds(in.ProgressMs))
	}
	if in.LoseResponses != nil {
		s.LoseResponses(*in.LoseResponses)
	}
	if in.DelayedWrites != nil {
		s.DelayWrites(*in.DelayedWrites, milliseconds(in.WriteDelayMs))
	}
}

func milliseconds(n *int64) time.Duration {
	if n == nil {
		return 0
	}
	return time.Duration(*n) * time.Millisecond
}

// KeyRequest is the body of POST /standin/put and /standin/delete.
type KeyRequest struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
}

// ExpireRequest is the body of POST /standin/expire; zero selects all leases.
type ExpireRequest struct {
	ID int64 `json:"id"`
}

// routeSwitches registers the handlers of the switches under /standin/.
func (s *Store) routeSwitches() {
	s.mux.HandleFunc("GET /standin/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	handleSwitch(s, "switches", s.Set)
	handleSwitch(s, "put", func(in KeyRequest) { s.Put(in.Key, in.Value) })
	handleSwitch(s, "delete", func(in KeyRequest) { s.Delete(in.Key) })
	handleSwitch(s, "expire", func(in ExpireRequest) { s.RevokeLeases(in.ID) })
	handleSwitch(s, "cut", func(struct{}) { s.CloseWatches() })
	handleSwitch(s, "silence", func(struct{}) { s.SilenceWatches() })
	handleSwitch(s, "compact", func(struct{}) { s.Compact() })
	handleSwitch(s, "save", func(struct{}) { s.Save() })
	handleSwitch(s, "restore", func(struct{}) { s.Restore() })
}

func handleSwitch[T any](s *Store, name string, apply func(T)) {
	s.mux.HandleFunc("POST /standin/"+name, func(w http.ResponseWriter, r *http.Request) {
		var in T
		dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
		dec.DisallowUnknownFields()
		if r.ContentLength != 0 {
			if err := dec.Decode(&in); err != nil {
				writeError(w, http.StatusBadRequest, codeInvalid, err.Error())
				return
			}
		}
		apply(in)
		writeJSON(w, struct{}{})
	})
}
