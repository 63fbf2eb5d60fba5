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
	// forgetAfter is how long an entry that is gone or has left is remembered.
	forgetAfter = 10 * time.Minute
)

// Options of a Table. Zero durations take the defaults.
type Options struct {
	Self Info
	// Grace is how long a lapsed lease and everyone's silence must last, as seen
	// from a store in contact, before an entry is Gone.
	Grace time.Duration
	// SilentAfter is how long an entry stays Live after it was last heard while
	// calls to it fail, and without a registration in a store in contact.
	SilentAfter time.Duration
	// ContactGap is the longest pause between contacts with the store over which
	// its view counts as unbroken; longer than the registrar's renewals.
	ContactGap time.Duration
	// Fanout is the number of peers each entry exchanges with in a second.
	Fanout int
	Logger *slog.Logger
	Now    func() time.Time
}

// Table is the set of entries known. Reading it takes no lock.
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
	// contact is the last contact with the store, unbroken since since; both zero
	// before the first.
	contact, since time.Time
	// listed is the time of the last full list.
	listed time.Time
	// asked is the beginning of the last call that the store answered.
	asked time.Time
	// rooted: a list showed this entry's present registration.
	rooted bool
}

// record is what is known of the newest incarnation of one id.
type record struct {
	info Info
	// registered: its key was in the store at the last view of it.
	registered bool
	// absentSince is when its key was first missed in the present unbroken view
	// of the store; zero when it was not.
	absentSince time.Time
	// heard is when it last proved itself to this entry; evidence also counts
	// what others reported.
	heard, evidence time.Time
	// missed is the last failed call to it.
	missed time.Time
	// counted is since when it has counted among those that may hold a share.
	counted time.Time
	// gone is when it was found gone or left; zero when it was not.
	gone time.Time
}

// New returns a table that knows only its own entry.
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

// Self returns this entry.
func (t *Table) Self() *wirev1.EntryInfo { return t.view.Load().self.Wire() }

// Info returns this entry as it registers itself.
func (t *Table) Info() Info { return t.view.Load().self }

// Superseded reports whether a newer incarnation of this entry's id is known.
func (t *Table) Superseded() bool { return t.view.Load().superseded }

// Rooted reports whether a list of the store showed this entry's present
// registration: every entry that registered before is known then, and every one
// that registers later finds this one.
func (t *Table) Rooted() bool { return t.view.Load().rooted }

// unroot is called before a registration: the one before has lapsed, and entries
// may have come that did not find it.
func (t *Table) unroot() { t.change(func(v *view, _ time.Time) { v.rooted = false }) }

// StoreAsked returns the beginning of the last renewal or list that the store
// answered. What a watch delivers does not count: after a pause it may be old.
func (t *Table) StoreAsked() time.Time { return t.view.Load().asked }

// InContact reports whether the store answered within ContactGap.
func (t *Table) InContact() bool { return t.inContact(t.view.Load(), t.opts.Now()) }

// SetDraining shows this entry as draining from now on.
func (t *Table) SetDraining() { t.change(func(v *view, _ time.Time) { v.self.Draining = true }) }

// SetLeft shows this entry as ended: every job answered, no share held.
func (t *Table) SetLeft() {
	t.change(func(v *view, _ time.Time) {
		v.self.Draining = true
		v.self.Left = true
	})
}

// Standing says what is known of one incarnation of an entry.
func (t *Table) Standing(entry string, incarnation uint64) Standing {
	v := t.view.Load()
	if entry == v.self.ID {
		return v.ownStanding(incarnation)
	}
	now := t.opts.Now()
	r, known := v.entries[entry]
	if !known {
		return t.strangerStanding(v, incarnation, now)
	}
	if incarnation < r.info.Incarnation {
		return Gone
	}
	if incarnation > r.info.Incarnation {
		return Silent
	}
	return t.standing(v, r, now)
}

func (v *view) ownStanding(incarnation uint64) Standing {
	switch {
	case incarnation == v.self.Incarnation:
		return Live
	case incarnation < v.self.Incarnation:
		return Gone
	default:
		return Silent
	}
}

// strangerStanding judges an entry never heard of. It may have died long ago, or
// have started just now. It is Gone only when this entry has had an unbroken view
// of the store for a grace, a list at the end of it lacked the entry, and the
// entry did not start within that time.
func (t *Table) strangerStanding(v *view, incarnation uint64, now time.Time) Standing {
	if !t.inContact(v, now) || v.listed.Sub(v.since) < t.opts.Grace {
		return Silent
	}
	if now.UnixNano()-int64(incarnation) < int64(2*t.opts.Grace) {
		return Silent
	}
	return Gone
}

func (t *Table) inContact(v *view, now time.Time) bool {
	return !v.contact.IsZero() && Elapsed(v.contact, now) <= t.opts.ContactGap
}

func (t *Table) standing(v *view, r record, now time.Time) Standing {
	if !r.gone.IsZero() {
		return Gone
	}
	sinceHeard := now.Sub(r.heard)
	if r.missed.After(r.heard) {
		return liveIf(!r.heard.IsZero() && sinceHeard <= t.opts.SilentAfter)
	}
	if r.registered && t.inContact(v, now) {
		return Live
	}
	return liveIf(!r.heard.IsZero() && sinceHeard <= t.opts.SilentAfter*t.stretch(v))
}

// stretch is how many seconds may pass between two exchanges with one peer.
func (t *Table) stretch(v *view) time.Duration {
	return time.Duration(1 + len(v.entries)/t.opts.Fanout)
}

func liveIf(live bool) Standing {
	if live {
		return Live
	}
	return Silent
}

// Heard records that an entry proved itself alive at the time at: it answered a
// call begun then, or called.
func (t *Table) Heard(e *wirev1.EntryInfo, at time.Time) {
	info, ok := FromWire(e)
	if !ok {
		return
	}
	t.change(func(v *view, now time.Time) {
		r, current := t.merge(v, info, now)
		if !current {
			return
		}
		r.heard = later(r.heard, at)
		t.addEvidence(&r, at, now)
		v.entries[info.ID] = r
	})
}

// Learn takes what another entry passed on.
func (t *Table) Learn(known []*wirev1.EntryInfo) {
	if len(known) == 0 {
		return
	}
	t.change(func(v *view, now time.Time) {
		for _, e := range known {
			t.learn(v, e, now)
		}
	})
}

func (t *Table) learn(v *view, e *wirev1.EntryInfo, now time.Time) {
	info, ok := FromWire(e)
	if !ok {
		return
	}
	r, current := t.merge(v, info, now)
	if !current {
		return
	}
	if ms := e.GetHeardMs(); ms > 0 && ms < uint64(forgetAfter/time.Millisecond) {
		t.addEvidence(&r, now.Add(-time.Duration(ms)*time.Millisecond), now)
	}
	v.entries[info.ID] = r
}

// Missed records that a call to an entry failed.
func (t *Table) Missed(id string, incarnation uint64) {
	t.change(func(v *view, now time.Time) {
		r, known := v.entries[id]
		if !known || r.info.Incarnation != incarnation {
			return
		}
		r.missed = now
		v.entries[id] = r
	})
}

// merge returns the record to update for info; current is false when info is of
// an older incarnation or of this entry's own id.
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
		r = record{info: info, counted: now}
		t.log(eventJoined, info)
		t.noteLeft(&r, info, now)
		return r, true
	}
	// Neither flag is ever taken back within one incarnation.
	r.info.Draining = r.info.Draining || info.Draining
	t.noteLeft(&r, info, now)
	return r, true
}

func (t *Table) noteLeft(r *record, info Info, now time.Time) {
	if !info.Left || !r.gone.IsZero() && r.info.Left {
		return
	}
	r.info.Left = true
	r.gone = now
	t.log(eventLeft, info)
}

func (t *Table) checkSuperseded(v *view, info Info) {
	if info.Incarnation <= v.self.Incarnation || v.superseded {
		return
	}
	v.superseded = true
	t.log(eventSuperseded, info)
}

// addEvidence notes a sign of life. A sign newer than the finding that the entry
// was gone overturns it: the entry was paused or cut off.
func (t *Table) addEvidence(r *record, at, now time.Time) {
	r.evidence = later(r.evidence, at)
	if r.gone.IsZero() || r.info.Left || !r.evidence.After(r.gone) {
		return
	}
	t.comeBack(r, now)
}

func (t *Table) comeBack(r *record, now time.Time) {
	r.gone = time.Time{}
	r.absentSince = time.Time{}
	r.missed = time.Time{}
	r.counted = now
	t.log(eventReturned, r.info)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// change applies one change to a copy of the view and publishes it.
func (t *Table) change(apply func(v *view, now time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	old := t.view.Load()
	next := *old
	next.entries = make(map[string]record, len(old.entries)+1)
	for id, r := range old.entries {
		if !r.gone.IsZero() && now.Sub(r.gone) > forgetAfter {
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
