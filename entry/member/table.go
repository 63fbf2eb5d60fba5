package member

import (
	"cmp"
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"almondstand.dev/wire/wirev1"
)

// Defaults of Options.
const (
	DefaultGrace       = 10 * time.Second
	DefaultSilentAfter = 3 * time.Second
	DefaultContactGap  = 15 * time.Second
	DefaultFanout      = 4
	// goneRetention is how long the record of an entry that is gone or has left is kept.
	goneRetention = 10 * time.Minute
)

// Options configure a Table. Zero durations select the defaults.
type Options struct {
	Self Info
	// Grace is how long an entry's registration must be missing, as observed with the store in
	// contact, and how long no entry must have had contact with it, before it is Gone.
	Grace time.Duration
	// SilentAfter is how long an entry stays Live after the last contact with it while calls to it
	// fail, or while it has no registration in a store in contact.
	SilentAfter time.Duration
	// ContactGap is the longest gap between contacts with the store over which its view counts as
	// unbroken. It must be longer than the registrar's renewal interval.
	ContactGap time.Duration
	// Fanout is the number of peers with which each entry exchanges per second.
	Fanout int
	Logger *slog.Logger
	Now    func() time.Time
}

// Table is the set of known entries. Reading it takes no lock.
type Table struct {
	opts Options
	mu   sync.Mutex // serialises changes
	view atomic.Pointer[view]
}

// view is one immutable state of the table.
type view struct {
	self       Info
	superseded bool
	entries    map[string]record
	// lastContact is the last contact with the store, and contactSince the start of the unbroken
	// contact; both are zero before the first contact.
	lastContact, contactSince time.Time
	// lastList is the time of the last full list.
	lastList time.Time
	// lastCall is the start of the last call that the store answered.
	lastCall time.Time
	// selfListed is true if a list contained this entry's present registration.
	selfListed bool
}

// record holds what is known of the newest incarnation of one id.
type record struct {
	info Info
	// registered is true if the key was present when the store was last observed.
	registered bool
	// absentSince is when the key was first missing in the present unbroken view of the store;
	// zero if it was not.
	absentSince time.Time
	// lastHeard is the last direct contact with the entry; lastEvidence also includes contacts
	// that other entries reported.
	lastHeard, lastEvidence time.Time
	// lastFailure is when a call to the entry last failed.
	lastFailure time.Time
	// countedSince is the time since when the entry has counted among those that may hold a share.
	countedSince time.Time
	// goneAt is when the entry was considered gone or left; zero if neither.
	goneAt time.Time
}

// New returns a table that contains only its own entry.
func New(opts Options) *Table {
	opts.Grace = cmp.Or(opts.Grace, DefaultGrace)
	opts.SilentAfter = cmp.Or(opts.SilentAfter, DefaultSilentAfter)
	opts.ContactGap = cmp.Or(opts.ContactGap, DefaultContactGap)
	opts.Fanout = cmp.Or(opts.Fanout, DefaultFanout)
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	t := &Table{opts: opts}
	t.view.Store(&view{self: opts.Self})
	return t
}

// Self returns this entry in message form.
func (t *Table) Self() *wirev1.EntryInfo { return t.view.Load().self.Wire() }

// Info returns this entry's registration.
func (t *Table) Info() Info { return t.view.Load().self }

// Superseded reports whether a newer incarnation of this entry's id is known.
func (t *Table) Superseded() bool { return t.view.Load().superseded }

// SelfListed reports whether a list of the store contained this entry's present registration. In that
// case every entry that registered before is known here, and every entry that registers later
// finds this one.
func (t *Table) SelfListed() bool { return t.view.Load().selfListed }

// clearSelfListed is called before a registration, because the previous one has expired and other
// entries may have joined without finding it.
func (t *Table) clearSelfListed() { t.change(func(v *view, _ time.Time) { v.selfListed = false }) }

// LastStoreCall returns the start of the last renewal or list that the store answered. Watch events
// do not count, because they may be old after a pause.
func (t *Table) LastStoreCall() time.Time { return t.view.Load().lastCall }

// InContact reports whether the store answered within ContactGap.
func (t *Table) InContact() bool { return t.inContact(t.view.Load(), t.opts.Now()) }

// SetDraining marks this entry as draining.
func (t *Table) SetDraining() { t.change(func(v *view, _ time.Time) { v.self.Draining = true }) }

// SetLeft marks this entry as ended: every job is answered and no share is held.
func (t *Table) SetLeft() {
	t.change(func(v *view, _ time.Time) {
		v.self.Draining = true
		v.self.Left = true
	})
}

// Status returns the state of one incarnation of an entry.
func (t *Table) Status(entry string, incarnation uint64) Status {
	v := t.view.Load()
	if entry == v.self.ID {
		return v.ownStatus(incarnation)
	}
	now := t.opts.Now()
	r, known := v.entries[entry]
	if !known {
		return t.unknownEntryStatus(v, incarnation, now)
	}
	if incarnation < r.info.Incarnation {
		return Gone
	}
	if incarnation > r.info.Incarnation {
		return Silent
	}
	return t.status(v, r, now)
}

func (v *view) ownStatus(incarnation uint64) Status {
	switch {
	case incarnation == v.self.Incarnation:
		return Live
	case incarnation < v.self.Incarnation:
		return Gone
	default:
		return Silent
	}
}

// unknownEntryStatus returns the state of an entry that is not in the table. It may have ended
// long ago, or have started just now. It is Gone only if this entry has had an unbroken view of
// the store for the grace period, a list at the end of that period did not contain the entry, and
// the entry did not start within that time.
func (t *Table) unknownEntryStatus(v *view, incarnation uint64, now time.Time) Status {
	if !t.inContact(v, now) || v.lastList.Sub(v.contactSince) < t.opts.Grace {
		return Silent
	}
	if now.UnixNano()-int64(incarnation) < int64(2*t.opts.Grace) {
		return Silent
	}
	return Gone
}

func (t *Table) inContact(v *view, now time.Time) bool {
	return !v.lastContact.IsZero() && Elapsed(v.lastContact, now) <= t.opts.ContactGap
}

func (t *Table) status(v *view, r record, now time.Time) Status {
	if !r.goneAt.IsZero() {
		return Gone
	}
	sinceHeard := now.Sub(r.lastHeard)
	if r.lastFailure.After(r.lastHeard) {
		return liveOrSilent(!r.lastHeard.IsZero() && sinceHeard <= t.opts.SilentAfter)
	}
	if r.registered && t.inContact(v, now) {
		return Live
	}
	return liveOrSilent(!r.lastHeard.IsZero() && sinceHeard <= t.opts.SilentAfter*t.exchangeRounds(v))
}

// exchangeRounds returns the number of seconds that may pass between two exchanges with one peer.
func (t *Table) exchangeRounds(v *view) time.Duration {
	return time.Duration(1 + len(v.entries)/t.opts.Fanout)
}

func liveOrSilent(live bool) Status {
	if live {
		return Live
	}
	return Silent
}

// RecordContact records direct contact with an entry at the given time: it answered a call started
// then, or called this entry.
func (t *Table) RecordContact(e *wirev1.EntryInfo, at time.Time) {
	info, ok := FromWire(e)
	if !ok {
		return
	}
	t.change(func(v *view, now time.Time) {
		r, current := t.merge(v, info, now)
		if !current {
			return
		}
		r.lastHeard = later(r.lastHeard, at)
		t.addEvidence(&r, at, now)
		v.entries[info.ID] = r
	})
}

// MergeGossip merges what another entry sent in an exchange.
func (t *Table) MergeGossip(known []*wirev1.EntryInfo) {
	if len(known) == 0 {
		return
	}
	t.change(func(v *view, now time.Time) {
		for _, e := range known {
			t.mergeEntry(v, e, now)
		}
	})
}

func (t *Table) mergeEntry(v *view, e *wirev1.EntryInfo, now time.Time) {
	info, ok := FromWire(e)
	if !ok {
		return
	}
	r, current := t.merge(v, info, now)
	if !current {
		return
	}
	if ms := e.GetHeardMs(); ms > 0 && ms < uint64(goneRetention/time.Millisecond) {
		t.addEvidence(&r, now.Add(-time.Duration(ms)*time.Millisecond), now)
	}
	v.entries[info.ID] = r
}

// RecordFailedCall records that a call to an entry failed.
func (t *Table) RecordFailedCall(id string, incarnation uint64) {
	t.change(func(v *view, now time.Time) {
		r, known := v.entries[id]
		if !known || r.info.Incarnation != incarnation {
			return
		}
		r.lastFailure = now
		v.entries[id] = r
	})
}

// merge returns the record to update for info; the second result is false if info is of an older
// incarnation or has this entry's own id.
func (t *Table) merge(v *view, info Info, now time.Time) (record, bool) {
	if info.ID == v.self.ID {
		t.checkSuperseded(v, info)
		return record{}, false
	}
	r, known := v.entries[info.ID]
	if known && info.Incarnation < r.info.Incarnation {
		return record{}, false
	}
	if !known || info.Incarnation > r.info.Incarnation {
		r = record{info: info, countedSince: now}
		t.log(eventJoined, info)
		t.recordLeft(&r, info, now)
		return r, true
	}
	// Neither flag is ever cleared within one incarnation.
	r.info.Draining = r.info.Draining || info.Draining
	t.recordLeft(&r, info, now)
	return r, true
}

func (t *Table) recordLeft(r *record, info Info, now time.Time) {
	if !info.Left || !r.goneAt.IsZero() && r.info.Left {
		return
	}
	r.info.Left = true
	r.goneAt = now
	t.log(eventLeft, info)
}

func (t *Table) checkSuperseded(v *view, info Info) {
	if info.Incarnation <= v.self.Incarnation || v.superseded {
		return
	}
	v.superseded = true
	t.log(eventSuperseded, info)
}

// addEvidence records that the entry was alive at the given time. If that is later than the time
// at which it was considered gone, the entry was only paused or partitioned and is restored.
func (t *Table) addEvidence(r *record, at, now time.Time) {
	r.lastEvidence = later(r.lastEvidence, at)
	if r.goneAt.IsZero() || r.info.Left || !r.lastEvidence.After(r.goneAt) {
		return
	}
	t.markReturned(r, now)
}

func (t *Table) markReturned(r *record, now time.Time) {
	r.goneAt = time.Time{}
	r.absentSince = time.Time{}
	r.lastFailure = time.Time{}
	r.countedSince = now
	t.log(eventReturned, r.info)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// change applies one change to a copy of the view and publishes the copy.
func (t *Table) change(apply func(v *view, now time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	old := t.view.Load()
	next := *old
	next.entries = make(map[string]record, len(old.entries)+1)
	for id, r := range old.entries {
		if !r.goneAt.IsZero() && now.Sub(r.goneAt) > goneRetention {
			continue
		}
		next.entries[id] = r
	}
	apply(&next, now)
	t.view.Store(&next)
}

func (t *Table) log(e logEvent, info Info) {
	e.Log(context.Background(), t.opts.Logger,
		slog.String("entry", info.ID),
		slog.Uint64("incarnation", info.Incarnation),
		slog.String("address", info.Address))
}

// logEvent is the part of eventlog.Event that the table uses.
type logEvent interface {
	Log(ctx context.Context, logger *slog.Logger, attrs ...slog.Attr)
}
