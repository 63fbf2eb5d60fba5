package member

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"almondstand.dev/platform"
)

// RecordStoreContact records that the store answered a call started at the given time. A gap of
// more than ContactGap breaks the view and restarts the measurement of absences, because an entry
// could not renew its lease during an outage, and this process may have been paused.
func (t *Table) RecordStoreContact(at time.Time) {
	t.change(func(v *view, now time.Time) {
		t.recordContact(v, at, now)
		v.lastCall = later(v.lastCall, at)
	})
}

func (t *Table) recordContact(v *view, at, now time.Time) {
	if !t.inContact(v, at) {
		v.contactSince = now
		v.lastList = time.Time{}
		for id, r := range v.entries {
			if !r.absentSince.IsZero() {
				r.absentSince = now
				v.entries[id] = r
			}
		}
	}
	v.lastContact = later(v.lastContact, at)
}

// ApplyList applies a full list of the registrations, requested at the given time.
func (t *Table) ApplyList(keys []platform.KeyValue, at time.Time) {
	t.change(func(v *view, now time.Time) {
		t.recordContact(v, at, now)
		v.lastCall = later(v.lastCall, at)
		v.lastList = at
		present := map[string]bool{}
		for _, kv := range keys {
			if info, ok := t.decode(kv); ok {
				present[info.ID] = true
				t.applyRegistration(v, info, now)
				v.selfListed = v.selfListed || info.ID == v.self.ID && info.Incarnation == v.self.Incarnation
			}
		}
		for id, r := range v.entries {
			if !present[id] {
				v.entries[id] = t.markAbsent(r, at, now)
			}
		}
	})
}

// ApplyBatch applies the events of a watch.
func (t *Table) ApplyBatch(b platform.WatchBatch) {
	t.change(func(v *view, now time.Time) {
		t.recordContact(v, now, now)
		for _, e := range b.Events {
			t.applyEvent(v, e, now)
		}
	})
}

func (t *Table) applyEvent(v *view, e platform.Event, now time.Time) {
	if !e.Deleted {
		if info, ok := t.decode(e.KeyValue); ok {
			t.applyRegistration(v, info, now)
		}
		return
	}
	id := strings.TrimPrefix(e.KeyValue.Key, Prefix)
	r, known := v.entries[id]
	if !known {
		return
	}
	r.registered = false
	if r.absentSince.IsZero() {
		r.absentSince = now
	}
	v.entries[id] = r
}

func (t *Table) decode(kv platform.KeyValue) (Info, bool) {
	info, err := Decode(kv.Value)
	if err != nil || Prefix+info.ID != kv.Key {
		eventUnreadable.Log(context.Background(), t.opts.Logger, slog.String("key", kv.Key))
		return Info{}, false
	}
	return info, true
}

func (t *Table) applyRegistration(v *view, info Info, now time.Time) {
	r, current := t.merge(v, info, now)
	if !current {
		return
	}
	r.registered = true
	r.absentSince = time.Time{}
	if !r.goneAt.IsZero() && !r.info.Left {
		t.markReturned(&r, now)
	}
	v.entries[info.ID] = r
}

// markAbsent records that a list did not contain the entry. Only here is an entry considered gone:
// its key must have been missing for the grace period, a new list must still lack it (an event of
// a broken watch may have been lost), and no entry may have had contact with it for the grace
// period.
func (t *Table) markAbsent(r record, at, now time.Time) record {
	r.registered = false
	if r.absentSince.IsZero() {
		r.absentSince = now
		return r
	}
	if !r.goneAt.IsZero() {
		return r
	}
	if at.Sub(r.absentSince) < t.opts.Grace || now.Sub(r.lastEvidence) < t.opts.Grace {
		return r
	}
	r.goneAt = now
	t.log(eventGone, r.info)
	return r
}

// NextList returns when a list is needed to decide whether an entry is gone or to complete the
// view; zero if none is needed.
func (t *Table) NextList() time.Time {
	v := t.view.Load()
	var next time.Time
	if !t.inContact(v, t.opts.Now()) {
		return next
	}
	if !v.contactSince.IsZero() && v.lastList.Sub(v.contactSince) < t.opts.Grace {
		next = v.contactSince.Add(t.opts.Grace)
	}
	for _, r := range v.entries {
		if r.absentSince.IsZero() || !r.goneAt.IsZero() {
			continue
		}
		due := later(r.absentSince, r.lastEvidence).Add(t.opts.Grace)
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	return next
}
