package submission

import (
	"crypto/sha256"
	"sync"
	"time"

	"almondstand.dev/entry/task"
)

// Outcome is how a submission ended.
type Outcome string

// Outcomes.
const (
	Complete  Outcome = "complete"
	Failed    Outcome = "failed"
	Cancelled Outcome = "cancelled"
	// Rejected: nothing ran, and the id may be used again.
	Rejected Outcome = "refused"
)

// Response is the response to a submission, the same for every caller that requests it.
type Response struct {
	// Status is the HTTP status.
	Status int
	Body   []byte
	// Digest is the SHA-256 of Body.
	Digest     [sha256.Size]byte
	RetryAfter time.Duration
	Outcome    Outcome
	Ran        task.Ran
}

// State is the state of an id in the table.
type State int

// States.
const (
	// Unknown: this entry never minted the id for this client.
	Unknown State = iota
	// Unused: minted, and no job was submitted under it.
	Unused
	// Started: this call marked it used; the caller now runs the job and calls Finish or
	// Abort.
	Started
	// Running: the job is running; its Flight can be waited for.
	Running
	// Cached: the response is cached.
	Cached
	// Evicted: it was accepted, and its response is no longer cached.
	Evicted
	// Expired: so old that it is no longer known whether it was used. It never runs.
	Expired
	// Conflict: it was used for another body.
	Conflict
)

// Flight is one running submission, which several callers can wait for.
type Flight struct {
	key       key
	cancel    func()
	cancelled bool // guarded by the table
	done      chan struct{}
	answer    Response
}

// Done is closed when the response is available.
func (f *Flight) Done() <-chan struct{} { return f.done }

// Response returns the response; call it after Done is closed.
func (f *Flight) Response() Response { return f.answer }

func (f *Flight) end(a Response) {
	f.answer = a
	close(f.done)
}

// Lookup is the table's result for an id. Flight is set for Started and Running,
// Response for Cached.
type Lookup struct {
	State    State
	Flight   *Flight
	Response Response
}

// Options of a Table.
type Options struct {
	Entry       string
	Incarnation uint64
	Key         Key
	// ValidIDs is how many of the newest ids of one client are valid; it is rounded up to a
	// multiple of 4096. Each costs one bit.
	ValidIDs int
	// CacheBytes bounds the memory of cached responses; the client with the most bytes is
	// evicted from first.
	CacheBytes int64
	// CacheTTL is how long a response is cached after it was last requested.
	CacheTTL time.Duration
}

// Defaults of Options.
const (
	DefaultValidIDs   = 1 << 19
	DefaultCacheBytes = 64 << 20
	DefaultCacheTTL   = 2 * time.Minute

	// recordBytes is the memory that a cached response takes besides its body.
	recordBytes = 512
)

// Table holds the state of the submissions that an entry owns. Each id runs at most one
// job: the used bit outlives the cached response, and an id that has left the window of
// bits never runs. Safe for concurrent use.
type Table struct {
	opts   Options
	chunks int

	mu      sync.Mutex
	windows map[string]*window
	records map[key]*record
	cache   *answerCache
}

// key is unique once the MAC is verified: sequences are per client.
type key struct {
	client   string
	sequence uint64
}

type record struct {
	key      key
	body     [sha256.Size]byte
	flight   *Flight // nil once the response is cached
	answer   Response
	position cachePosition // while the response is cached
}

func (r *record) size() int64 { return int64(len(r.answer.Body)) + recordBytes }

// New returns an empty table.
func New(opts Options) *Table {
	if opts.ValidIDs <= 0 {
		opts.ValidIDs = DefaultValidIDs
	}
	if opts.CacheBytes <= 0 {
		opts.CacheBytes = DefaultCacheBytes
	}
	if opts.CacheTTL <= 0 {
		opts.CacheTTL = DefaultCacheTTL
	}
	t := &Table{
		opts: opts,
		// One more than requested, because the newest chunk is only partly minted.
		chunks:  (opts.ValidIDs+chunkBits-1)/chunkBits + 1,
		windows: map[string]*window{},
		records: map[key]*record{},
	}
	t.cache = newAnswerCache(opts.CacheBytes, opts.CacheTTL, func(r *record) { delete(t.records, r.key) })
	return t
}

// Mint returns n new ids for a client.
func (t *Table) Mint(client string, n int) []ID {
	ids := make([]ID, n)
	t.mu.Lock()
	w := t.windows[client]
	if w == nil {
		w = newWindow(t.chunks)
		t.windows[client] = w
	}
	for i := range ids {
		ids[i].Sequence = w.mint()
	}
	t.mu.Unlock()
	for i := range ids {
		ids[i].Entry = t.opts.Entry
		ids[i].Incarnation = t.opts.Incarnation
		ids[i].MAC = t.opts.Key.mac(ids[i], client)
	}
	return ids
}

// Owns reports whether the id has this entry and incarnation as its owner.
func (t *Table) Owns(id ID) bool {
	return id.Entry == t.opts.Entry && id.Incarnation == t.opts.Incarnation
}

// Verify reports whether this entry minted the id for this client.
func (t *Table) Verify(id ID, client string) bool {
	return t.Owns(id) && t.opts.Key.verify(id, client)
}

// Begin marks an unused id as used, for a body with this digest. cancel is called when
// the submission is cancelled while it runs.
func (t *Table) Begin(now time.Time, id ID, client string, body [sha256.Size]byte, cancel func()) Lookup {
	if !t.Verify(id, client) {
		return Lookup{State: Unknown}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	found, r := t.find(now, id, client)
	if found.State != Unused {
		return checkBody(found, r, body)
	}
	k := key{client, id.Sequence}
	f := &Flight{key: k, cancel: cancel, done: make(chan struct{})}
	t.records[k] = &record{key: k, body: body, flight: f}
	t.windows[client].setUsed(id.Sequence, true)
	return Lookup{State: Started, Flight: f}
}

// checkBody returns Conflict if the id was used for another body, and the lookup's
// result for a repeat. An id that was cancelled before its job arrived has no body and
// conflicts with none.
func checkBody(found Lookup, r *record, body [sha256.Size]byte) Lookup {
	if r == nil || r.body == body || r.body == [sha256.Size]byte{} {
		return found
	}
	return Lookup{State: Conflict}
}

// Find returns the state of an id and does not change it.
func (t *Table) Find(now time.Time, id ID, client string) Lookup {
	if !t.Verify(id, client) {
		return Lookup{State: Unknown}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	found, _ := t.find(now, id, client)
	return found
}

// Cancel cancels a running submission. An unused id becomes used, with the given
// response cached: a job that arrives under it later never runs.
func (t *Table) Cancel(now time.Time, id ID, client string, unused Response) Lookup {
	found := t.cancel(now, id, client, unused)
	if found.State == Running {
		found.Flight.cancel() // outside the lock: it runs the owner's code
	}
	return found
}

func (t *Table) cancel(now time.Time, id ID, client string, unused Response) Lookup {
	if !t.Verify(id, client) {
		return Lookup{State: Unknown}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	found, _ := t.find(now, id, client)
	switch found.State {
	case Unused:
		r := &record{key: key{client, id.Sequence}}
		t.records[r.key] = r
		t.windows[client].setUsed(id.Sequence, true)
		r.answer = unused
		t.cache.put(now, r)
		return Lookup{State: Cached, Response: unused}
	case Running:
		found.Flight.cancelled = true
	}
	return found
}

// Finish completes a flight. With keep its response is cached for retries.
func (t *Table) Finish(now time.Time, f *Flight, a Response, keep bool) {
	t.mu.Lock()
	r := t.records[f.key]
	r.flight = nil
	if keep {
		r.answer = a
		t.cache.put(now, r)
	} else {
		delete(t.records, f.key)
	}
	t.mu.Unlock()
	f.end(a)
}

// Abort ends a flight of which nothing ran, and makes its id unused again. It does
// nothing and returns false if the submission was cancelled meanwhile: the id then stays
// used, and the caller calls Finish.
func (t *Table) Abort(f *Flight, a Response) bool {
	t.mu.Lock()
	if f.cancelled {
		t.mu.Unlock()
		return false
	}
	delete(t.records, f.key)
	w := t.windows[f.key.client]
	if !w.expired(f.key.sequence) {
		w.setUsed(f.key.sequence, false)
	}
	t.mu.Unlock()
	f.end(a)
	return true
}

// CachedBytes returns the memory of the cached responses.
func (t *Table) CachedBytes() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cache.bytes
}

// find returns the state of a verified id. The caller holds the lock.
func (t *Table) find(now time.Time, id ID, client string) (Lookup, *record) {
	t.cache.evictExcess(now)
	w := t.windows[client]
	if w == nil || !w.minted(id.Sequence) {
		return Lookup{State: Unknown}, nil
	}
	if r := t.records[key{client, id.Sequence}]; r != nil {
		return t.lookupRecord(now, r), r
	}
	if w.expired(id.Sequence) {
		return Lookup{State: Expired}, nil
	}
	if w.used(id.Sequence) {
		return Lookup{State: Evicted}, nil
	}
	return Lookup{State: Unused}, nil
}

func (t *Table) lookupRecord(now time.Time, r *record) Lookup {
	if r.flight != nil {
		return Lookup{State: Running, Flight: r.flight}
	}
	t.cache.touch(now, r)
	return Lookup{State: Cached, Response: r.answer}
}
