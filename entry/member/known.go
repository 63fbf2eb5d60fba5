package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"almondstand.dev/wire/wirev1"
)

// Live returns the live entries including this one, sorted by id. Draining entries are marked as
// such.
func (t *Table) Live() []*wirev1.EntryInfo {
	v := t.view.Load()
	now := t.opts.Now()
	var all []*wirev1.EntryInfo
	if !v.self.Left {
		all = append(all, v.self.Wire())
	}
	for _, r := range v.entries {
		if t.status(v, r, now) == Live {
			all = append(all, r.info.Wire())
		}
	}
	slices.SortFunc(all, func(a, b *wirev1.EntryInfo) int { return cmp.Compare(a.Id, b.Id) })
	return all
}

// Peer is another entry that may be alive.
type Peer struct {
	Info   Info
	Status Status
	// CountedSince is the time since when this entry has counted the peer, without interruption,
	// among those that may hold a share of the limits.
	CountedSince time.Time
}

// Peers returns the other entries that are not gone, sorted by id. All of them may hold a share of
// the limits.
func (t *Table) Peers() []Peer {
	v := t.view.Load()
	now := t.opts.Now()
	all := make([]Peer, 0, len(v.entries))
	for _, r := range v.entries {
		if r.goneAt.IsZero() {
			all = append(all, Peer{Info: r.info, Status: t.status(v, r, now), CountedSince: r.countedSince})
		}
	}
	slices.SortFunc(all, func(a, b Peer) int { return cmp.Compare(a.Info.ID, b.Info.ID) })
	return all
}

// Peer returns one entry that is not gone.
func (t *Table) Peer(id string) (Peer, bool) {
	v := t.view.Load()
	r, known := v.entries[id]
	if !known || !r.goneAt.IsZero() {
		return Peer{}, false
	}
	return Peer{Info: r.info, Status: t.status(v, r, t.opts.Now()), CountedSince: r.countedSince}, true
}

// GossipEntries returns the entries to send in an exchange: if all is set, every entry that is not
// gone; otherwise only those whose state others may not know, that is, entries that are counted but
// absent from the store, and entries that have left.
func (t *Table) GossipEntries(all bool) []*wirev1.EntryInfo {
	v := t.view.Load()
	now := t.opts.Now()
	var known []*wirev1.EntryInfo
	for _, r := range v.entries {
		if !r.shouldShare(all, now, t.opts.Grace) {
			continue
		}
		e := r.info.Wire()
		if !r.lastEvidence.IsZero() {
			e.HeardMs = uint64(max(now.Sub(r.lastEvidence), 0)/time.Millisecond) + 1
		}
		known = append(known, e)
	}
	slices.SortFunc(known, func(a, b *wirev1.EntryInfo) int { return cmp.Compare(a.Id, b.Id) })
	return known
}

func (r record) shouldShare(all bool, now time.Time, grace time.Duration) bool {
	if r.info.Left {
		return now.Sub(r.goneAt) < grace
	}
	if !r.goneAt.IsZero() {
		return false
	}
	return all || !r.absentSince.IsZero()
}

// Digest returns a hash that is equal on two entries that count the same incarnations.
func (t *Table) Digest() uint64 {
	v := t.view.Load()
	var sum uint64
	if !v.self.Left {
		sum = v.self.digest()
	}
	for _, r := range v.entries {
		if r.goneAt.IsZero() {
			sum ^= r.info.digest()
		}
	}
	return sum
}

func (i Info) digest() uint64 {
	b := binary.LittleEndian.AppendUint64(nil, i.Incarnation)
	if i.Draining {
		b = append(b, 'd')
	}
	return xxhash.Sum64(append(b, i.ID...))
}
