// Package store is a stand-in for the platform's key-value service. It implements
// the subset of etcd v3's JSON gateway that the project uses, in memory, with
// switches that inject the faults of the real service. It is for tests, the demo
// and the bench only.
package store

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// item is a key with its value and metadata. The value is never modified in place.
type item struct {
	key            string
	value          []byte
	createRevision int64
	modRevision    int64
	lease          int64
}

// change is a change of one key at a revision. Changes are kept for watches.
type change struct {
	revision int64
	deleted  bool
	item     item
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// memory is the store's state. The caller of any of its methods holds mu.
type memory struct {
	mu        sync.Mutex
	now       func() time.Time
	revision  int64
	compacted int64
	items     map[string]item
	changes   []change
	leases    map[int64]lease
	lastLease int64
	// changed is closed and replaced at every change, to notify the watches.
	changed       chan struct{}
	savedSnapshot *snapshot
}

// snapshot is a copy of the store's keys at a revision.
type snapshot struct {
	revision int64
	items    map[string]item
}

func newMemory(now func() time.Time) *memory {
	return &memory{
		now:      now,
		revision: 1,
		items:    map[string]item{},
		leases:   map[int64]lease{},
		changed:  make(chan struct{}),
	}
}

func (m *memory) notifyWatches() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memory) put(key string, value []byte, leaseID int64) {
	m.revision++
	old, exists := m.items[key]
	created := m.revision
	if exists {
		created = old.createRevision
	}
	it := item{key: key, value: slices.Clone(value), createRevision: created, modRevision: m.revision, lease: leaseID}
	m.items[key] = it
	m.changes = append(m.changes, change{revision: m.revision, item: it})
	m.notifyWatches()
}

// deleteKeys deletes the keys in one revision.
func (m *memory) deleteKeys(keys []string) {
	if len(keys) == 0 {
		return
	}
	m.revision++
	for _, key := range keys {
		delete(m.items, key)
		tombstone := item{key: key, modRevision: m.revision}
		m.changes = append(m.changes, change{revision: m.revision, deleted: true, item: tombstone})
	}
	m.notifyWatches()
}

// interval is a half-open interval of keys. As in etcd, an empty end means the single
// key start, and "\x00" means all keys from start on.
type interval struct{ start, end string }

func (r interval) contains(key string) bool {
	switch r.end {
	case "":
		return key == r.start
	case "\x00":
		return key >= r.start
	}
	return key >= r.start && key < r.end
}

func (m *memory) itemsIn(r interval) []item {
	var found []item
	for _, it := range m.items {
		if r.contains(it.key) {
			found = append(found, it)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.key, b.key) })
	return found
}

// changesSince returns the changes to the keys in r, starting at the revision from.
func (m *memory) changesSince(r interval, from int64) []change {
	var found []change
	for _, c := range m.changes {
		if c.revision >= from && r.contains(c.item.key) {
			found = append(found, c)
		}
	}
	return found
}

func (m *memory) grant(ttl time.Duration) int64 {
	m.lastLease++
	m.leases[m.lastLease] = lease{ttl: ttl, expiresAt: m.now().Add(ttl)}
	return m.lastLease
}

// renew renews a lease and returns its time to live, or zero if it has expired.
func (m *memory) renew(id int64) time.Duration {
	m.expire()
	l, found := m.leases[id]
	if !found {
		return 0
	}
	l.expiresAt = m.now().Add(l.ttl)
	m.leases[id] = l
	return l.ttl
}

// expire revokes the leases whose time to live has passed.
func (m *memory) expire() {
	now := m.now()
	for id, l := range m.leases {
		if !now.Before(l.expiresAt) {
			m.revokeLease(id)
		}
	}
}

// revokeLease removes a lease and deletes the keys attached to it.
func (m *memory) revokeLease(id int64) {
	delete(m.leases, id)
	var attached []string
	for _, key := range slices.Sorted(maps.Keys(m.items)) {
		if m.items[key].lease == id {
			attached = append(attached, key)
		}
	}
	m.deleteKeys(attached)
}

func (m *memory) compact() {
	m.compacted = m.revision
	m.changes = nil
}

func (m *memory) save() {
	m.savedSnapshot = &snapshot{revision: m.revision, items: maps.Clone(m.items)}
}

// restore resets the store to the saved snapshot, including its revision. It returns
// false when there is no snapshot.
func (m *memory) restore() bool {
	if m.savedSnapshot == nil {
		return false
	}
	m.revision = m.savedSnapshot.revision
	m.items = maps.Clone(m.savedSnapshot.items)
	m.compacted = m.revision
	m.changes = nil
	m.leases = map[int64]lease{}
	m.notifyWatches()
	return true
}
