package uplink

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"time"

	"almondstand.dev/guard/subset"
)

// Timing of the subset of entries with which a guard keeps sessions.
const (
	// downAfter is how long an entry must be unreachable for another one to take its place: a
	// restarted process is back sooner, and opening a session costs both ends CPU time.
	downAfter = 400 * time.Millisecond
	// linger is how long a session is kept after its entry has left the subset, so that
	// entries that come and go alternately do not cause sessions to be opened and closed each
	// time.
	linger = 2 * time.Second
	// chooseInterval is the time between selections of the subset; it is also selected at once
	// when an entry is discovered, connected or found to be down.
	chooseInterval = time.Second
	// settledAfter is how long a session must have lasted for its entry's guard count to be
	// used. After a restart entries see few guards for a moment, and every guard would widen
	// its subset at that time: 4,000 more sessions with 240 guards.
	settledAfter = 5 * time.Second
	// joinSize is the number of known entries with which a guard keeps sessions while those that
	// it reaches still discover the others. Its subset is not known before: with all of its
	// sessions, the entries that register first would be attached to by every guard, and with
	// none, those that are discovered would have no runners.
	joinSize = 3
	// joinTimeout bounds the time for which a guard waits for that.
	joinTimeout = 2 * time.Second
	// maxLoggedAddresses bounds the addresses of one log line.
	maxLoggedAddresses = 5
)

// phase is the phase of a guard since its start.
//
//	phase   | event                                    | next
//	--------|------------------------------------------|--------
//	joining | an attached entry discovers others       | joining
//	joining | an attached entry has discovered them    | joined
//	joining | joinTimeout has passed                   | joined
//	joined  | any                                      | joined
type phase int

const (
	// joining: the guard keeps sessions with the first joinSize entries by rank, and those opened
	// before.
	joining phase = iota
	// joined: the guard keeps sessions with its subset.
	joined
)

// link is the state of one known entry address.
type link struct {
	address string
	// rank is the entry's rank for this guard; see package subset.
	rank uint64
	// lastNamed is when the settings or an entry last listed the address.
	lastNamed time.Time
	// lastReached is when a session last worked.
	lastReached time.Time
	// cancel ends the connection attempts and the session; nil if there are none.
	cancel context.CancelFunc
	// session is the established session; nil if there is none.
	session *session
	// down is true once the entry has been unreachable for downAfter, until it is connected
	// again.
	down bool
	// mustReconnect is true if the last session broke: the entry may have open runs here, so
	// the guard reconnects even if the entry is no longer in the subset.
	mustReconnect bool
	// unselectedSince is when the entry left the subset; zero while it is in it.
	unselectedSince time.Time
}

// addEntries adds entries to those known and selects the subset again.
func (u *Uplink) addEntries(addresses []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.addLinks(addresses)
	u.choose()
}

// addLinks adds entries to those known. u.mu is held.
func (u *Uplink) addLinks(addresses []string) {
	var added []string
	for _, a := range addresses {
		if l, known := u.links[a]; known {
			l.lastNamed = time.Now()
			continue
		}
		u.links[a] = &link{address: a, rank: subset.Rank(u.opt.Guard, a), lastNamed: time.Now()}
		added = append(added, a)
	}
	if len(added) > 0 {
		entriesDiscovered.Log(u.ctx, u.logger, slog.Int("entries", len(u.links)), slog.Int("added", len(added)),
			slog.Any("first_added", added[:min(len(added), maxLoggedAddresses)]))
	}
}

// endJoining opens the sessions with the subset. It does nothing for a guard that has joined.
func (u *Uplink) endJoining() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.phase == joining {
		u.phase = joined
		u.choose()
	}
}

// refresh selects the subset again and drops entries that nothing lists any more.
func (u *Uplink) refresh() {
	seeds := u.opt.Seeds()
	hasLateStarts := u.host.HasLateStarts()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.allEntries = hasLateStarts
	if time.Since(u.startedAt) >= joinTimeout {
		u.phase = joined
	}
	u.addLinks(seeds)
	var guards []int
	for _, l := range u.links {
		if l.session != nil {
			u.addLinks(l.session.knownEntries())
			if l.session.age() >= settledAfter {
				guards = append(guards, l.session.guardCount())
			}
		}
	}
	u.size = subset.NextSize(u.size, len(u.links), guards)
	for a, l := range u.links {
		if l.expired() {
			delete(u.links, a)
			l.stop()
			entryForgotten.Log(u.ctx, u.logger, slog.String("address", a))
		}
	}
	u.choose()
	u.metrics.entries.Update(float64(len(u.links)))
	u.metrics.sessions.Update(float64(len(u.current)))
}

// choose connects to the entries of the subset and releases the others. u.mu is held.
func (u *Uplink) choose() {
	entries := make([]subset.Entry, 0, len(u.links))
	for _, l := range u.links {
		entries = append(entries, subset.Entry{Address: l.address, Rank: l.rank, Down: l.down})
	}
	size := u.size
	switch {
	case u.allEntries:
		size = len(u.links)
	case u.phase == joining:
		u.connectFirst(entries)
		return
	}
	chosen := map[string]bool{}
	for _, a := range subset.Choose(entries, size) {
		chosen[a] = true
	}
	for _, l := range u.links {
		if chosen[l.address] {
			u.connect(l)
		} else {
			l.release()
		}
	}
}

// connectFirst connects to the joinSize entries of the highest rank. It releases none: which
// entries are known changes with each message. u.mu is held.
func (u *Uplink) connectFirst(entries []subset.Entry) {
	for _, a := range subset.Choose(entries, joinSize) {
		u.connect(u.links[a])
	}
}

// connect starts connecting to an entry of the subset. u.mu is held.
func (u *Uplink) connect(l *link) {
	l.unselectedSince = time.Time{}
	if l.session != nil {
		l.session.setRetiring(false)
	}
	if l.cancel != nil || u.ctx == nil || u.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(u.ctx)
	l.cancel = cancel
	u.attach.Go(func() { u.keepConnected(ctx, l) })
}

// release releases an entry outside the subset. An established session is ended by the entry
// once it has no runs here, because only the entry knows what it has ordered. u.mu is held.
func (l *link) release() {
	switch {
	case l.cancel == nil:
		return
	case l.unselectedSince.IsZero():
		l.unselectedSince = time.Now()
	}
	if l.session == nil {
		if !l.mustReconnect || time.Since(l.lastReached) > forgetAfter {
			l.stop()
		}
		return
	}
	if time.Since(l.unselectedSince) >= linger {
		l.session.setRetiring(true)
	}
}

// stop ends the connection attempts. u.mu is held.
func (l *link) stop() {
	if l.cancel != nil {
		l.cancel()
		l.cancel = nil
	}
}

// expired reports whether an entry has been neither reachable nor listed for forgetAfter.
func (l *link) expired() bool {
	return l.session == nil && time.Since(l.lastNamed) >= forgetAfter && time.Since(l.lastReached) >= forgetAfter
}

// reachable returns the addresses of the entries that were reached recently.
func (u *Uplink) reachable() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	all := make([]string, 0, len(u.links))
	for a, l := range u.links {
		if time.Since(l.lastReached) < forgetAfter {
			all = append(all, a)
		}
	}
	return all
}

// keepConnected keeps a session with one entry until the context ends or the entry has
// released the guard.
func (u *Uplink) keepConnected(ctx context.Context, l *link) {
	unreachableSince := time.Now()
	for ctx.Err() == nil {
		dial, retry := backoff(time.Since(unreachableSince))
		s := newSession(u, l, dial)
		start := time.Now()
		err := s.run(ctx)
		if time.Since(start) > stableAfter && s.attached {
			unreachableSince = time.Now()
		}
		if u.sessionEnded(ctx, l, s, err, time.Since(unreachableSince)) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(retry):
		}
	}
}

// sessionEnded handles the end of a session or a failed attempt. It returns true if the entry
// has released a guard that was retiring.
func (u *Uplink) sessionEnded(ctx context.Context, l *link, s *session, err error, unreachableFor time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if l.session == s {
		l.session = nil
		// An entry that ends a stream regularly has no run open.
		l.mustReconnect = !errors.Is(err, io.EOF)
	}
	if s.attached && !l.mustReconnect && s.isRetiring() {
		sessionRetired.Log(ctx, u.logger, slog.String("address", l.address), slog.String("entry", s.owner.Entry))
		if l.cancel != nil && ctx.Err() == nil {
			l.stop()
		}
		return true
	}
	if s.attached && ctx.Err() == nil {
		entryLost.Log(ctx, u.logger, slog.String("address", l.address), slog.String("entry", s.owner.Entry), slog.Any("error", err))
	}
	if down := unreachableFor >= downAfter; down && !l.down && ctx.Err() == nil {
		l.down = true
		u.choose()
	}
	return false
}
