package store

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"almondstand.dev/telemetry/uptime"
)

// Mode determines how the store responds to calls.
type Mode string

// Modes of the store.
const (
	// Up serves calls normally.
	Up Mode = "up"
	// Down responds with status 503; calls have no effect.
	Down Mode = "down"
	// CloseConnections closes the connection of each call without a response; calls have no effect.
	CloseConnections Mode = "refuse"
	// Silent accepts calls and never responds to them, even after the mode has changed.
	Silent Mode = "silent"
)

// faults are the switches that stay in force until they are changed or used up.
type faults struct {
	mu       sync.Mutex
	mode     Mode
	delay    time.Duration
	progress time.Duration
	// loseResponses is the number of txn calls from now on whose response is lost.
	loseResponses int
	// delayedWrites is the number of txn calls from now on that take effect after
	// writeDelay, whether or not the client still waits for them.
	delayedWrites int
	writeDelay    time.Duration
}

// SetMode changes the mode for calls from now on.
func (s *Store) SetMode(mode Mode) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.mode = mode
}

// SetDelay delays each call before it takes effect.
func (s *Store) SetDelay(delay time.Duration) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.delay = delay
}

// SetProgressInterval changes the interval between progress notifications of new watches; zero
// turns them off.
func (s *Store) SetProgressInterval(period time.Duration) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.progress = period
}

// LoseResponses closes the connection of each of the next n txn calls after the
// transaction has been committed.
func (s *Store) LoseResponses(n int) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.loseResponses = n
}

// DelayWrites closes the connection of each of the next n txn calls and commits the
// transaction after the delay.
func (s *Store) DelayWrites(n int, delay time.Duration) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.delayedWrites = n
	s.faults.writeDelay = delay
}

// CloseWatches closes all open watches.
func (s *Store) CloseWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.watchBreaks.closed)
	s.watchBreaks.closed = make(chan struct{})
}

// SilenceWatches keeps all open watches open but sends nothing on them any more. New
// watches work.
func (s *Store) SilenceWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.watchBreaks.silenced)
	s.watchBreaks.silenced = make(chan struct{})
}

// RevokeLeases revokes the lease, or all leases when id is zero.
func (s *Store) RevokeLeases(id int64) {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	for each := range maps.Clone(s.memory.leases) {
		if id == 0 || id == each {
			s.memory.revokeLease(each)
		}
	}
}

// Compact discards the history up to the current revision.
func (s *Store) Compact() {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	s.memory.compact()
}

// Save takes a snapshot for Restore.
func (s *Store) Save() {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	s.memory.save()
}

// Restore resets the store to the saved snapshot, including its revision, and closes all
// watches. It returns false when there is no snapshot.
func (s *Store) Restore() bool {
	s.memory.mu.Lock()
	restored := s.memory.restore()
	s.memory.mu.Unlock()
	if restored {
		s.CloseWatches()
	}
	return restored
}

// Put writes a key directly, bypassing the API and the fault switches.
func (s *Store) Put(key string, value []byte) {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	s.memory.put(key, value, 0)
}

// Delete deletes a key directly, bypassing the API and the fault switches.
func (s *Store) Delete(key string) {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	if _, found := s.memory.items[key]; found {
		s.memory.deleteKeys([]string{key})
	}
}

// Value returns a key's value and modification revision; nil and zero when it is absent.
func (s *Store) Value(key string) ([]byte, int64) {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	it := s.memory.items[key]
	return it.value, it.modRevision
}

// Revision returns the store's current revision.
func (s *Store) Revision() int64 {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	return s.memory.revision
}

// applyMode applies the mode and the delay to a call. It returns false when the call
// must not be served.
func (s *Store) applyMode(w http.ResponseWriter, r *http.Request) bool {
	s.faults.mu.Lock()
	mode, delay := s.faults.mode, s.faults.delay
	s.faults.mu.Unlock()
	switch mode {
	case Down:
		writeError(w, http.StatusServiceUnavailable, codeUnavailable, "stand-in: down")
		return false
	case CloseConnections:
		closeConnection(w)
		return false
	case Silent:
		<-r.Context().Done()
		return false
	}
	return sleep(r.Context(), delay)
}

// sleep waits for the delay. It returns false when the request is cancelled first.
func sleep(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	return uptime.Sleep(ctx, delay)
}

// closeConnection closes the connection without a response.
func closeConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// consume decrements the counter and returns true if it is above zero.
func (f *faults) consume(counter *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if *counter <= 0 {
		return false
	}
	*counter--
	return true
}

// writeTxn commits a transaction and writes the response that commit returns, unless a
// switch delays the commit or discards the response.
func (s *Store) writeTxn(w http.ResponseWriter, commit func() any) {
	if s.faults.consume(&s.faults.delayedWrites) {
		s.faults.mu.Lock()
		delay := s.faults.writeDelay
		s.faults.mu.Unlock()
		time.AfterFunc(delay, func() { commit() })
		closeConnection(w)
		return
	}
	response := commit()
	if s.faults.consume(&s.faults.loseResponses) {
		closeConnection(w)
		return
	}
	writeJSON(w, response)
}
