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
	// downAfter is how long an entry must be out of reach for another one to take its
	// place: a process that is started anew is back sooner, and each session that is
	// opened costs both ends some processor time.
	downAfter = 400 * time.Millisecond
	// linger is how long a session is kept that the subset no longer holds: entries that
	// come and go in turn don't have sessions opened and ended each time.
	linger = 2 * time.Second
	// chooseEvery paces the choice; it is made at once when an entry is learnt of,
	// attached to or found to be down.
	chooseEvery = time.Second
	// settledAfter is how long a session must have lasted for its entry's word on how many
	// guards it sees to count. After a restart entries see few for a moment, and every
	// guard would widen its subset just then: 4,000 sessions more with 240 guards.
	settledAfter = 5 * time.Second
)

// link is one address at which an entry is known.
type link struct {
	address string
	// rank of the entry for this guard; see package subset.
	rank uint64
	// named is when the settings or an entry last named it.
	named time.Time
	// reached is when a session last worked.
	reached time.Time
	// cancel ends the attempts and the session; nil while there are none.
	cancel context.CancelFunc
	// session is the one that is attached; nil while there is none.
	session *session
	// down is true while the entry has been out of reach for downAfter.
	down bool
	// owed is true when the last session broke: the entry may hold runs here open, so
	// it is attached to again though the subset doesn't hold it any more.
	owed bool
	// unwanted is since when the subset doesn't hold the entry; zero while it does.
	unwanted time.Time
}

// know takes note of entries.
func (u *Uplink) know(addresses []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.name(addresses)
	u.choose()
}

// name adds entries to those known. The lock is held.
func (u *Uplink) name(addresses []string) {
	for _, a := range addresses {
		if l, known := u.links[a]; known {
			l.named = time.Now()
			continue
		}
		u.links[a] = &link{address: a, rank: subset.Rank(u.opt.Guard, a), named: time.Now()}
		entryLearnt.Log(u.ctx, u.logger, slog.String("address", a))
	}
}

// refresh chooses anew and drops entries that nobody names any more.
func (u *Uplink) refresh() {
	seeds := u.opt.Seeds()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.name(seeds)
	var guards []int
	for _, l := range u.links {
		if l.session != nil {
			u.name(l.session.entriesNamed())
			if l.session.lasted() >= settledAfter {
				guards = append(guards, l.session.guardsSeen())
			}
		}
	}
	u.size = subset.Next(u.size, len(u.links), guards)
	for a, l := range u.links {
		if l.forgotten() {
			delete(u.links, a)
			l.stop()
			entryForgotten.Log(u.ctx, u.logger, slog.String("address", a))
		}
	}
	u.choose()
}

// choose begins and ends attachments so that they are those of the subset. The lock is
// held.
func (u *Uplink) choose() {
	entries := make([]subset.Entry, 0, len(u.links))
	for _, l := range u.links {
		entries = append(entries, subset.Entry{Address: l.address, Rank: l.rank, Down: l.down})
	}
	chosen := map[string]bool{}
	for _, a := range subset.Choose(entries, u.size) {
		chosen[a] = true
	}
	for _, l := range u.links {
		if chosen[l.address] {
			u.want(l)
		} else {
			l.release()
		}
	}
}

// want attaches to an entry. The lock is held.
func (u *Uplink) want(l *link) {
	l.unwanted = time.Time{}
	if l.session != nil {
		l.session.setRetiring(false)
	}
	if l.cancel != nil || u.ctx == nil || u.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(u.ctx)
	l.cancel = cancel
	u.attach.Go(func() { u.keep(ctx, l) })
}

// release lets an entry go that the subset doesn't hold. A session is ended by the
// entry, once it has no runs here: only it knows what it has ordered. The lock is held.
func (l *link) release() {
	switch {
	case l.cancel == nil:
		return
	case l.unwanted.IsZero():
		l.unwanted = time.Now()
	}
	if l.session == nil {
		if !l.owed || time.Since(l.reached) > forgetAfter {
			l.stop()
		}
		return
	}
	if time.Since(l.unwanted) >= linger {
		l.session.setRetiring(true)
	}
}

// stop ends the attempts. The lock is held.
func (l *link) stop() {
	if l.cancel != nil {
		l.cancel()
		l.cancel = nil
	}
}

// forgotten reports whether an entry is out of reach and nobody names it.
func (l *link) forgotten() bool {
	return l.session == nil && time.Since(l.named) >= forgetAfter && time.Since(l.reached) >= forgetAfter
}

// known returns the addresses of the entries that answer.
func (u *Uplink) known() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	all := make([]string, 0, len(u.links))
	for a, l := range u.links {
		if time.Since(l.reached) < forgetAfter {
			all = append(all, a)
		}
	}
	return all
}

// keep holds one entry's attachment until the context ends or the entry has let go.
func (u *Uplink) keep(ctx context.Context, l *link) {
	away := time.Now()
	for ctx.Err() == nil {
		dial, retry := attempt(time.Since(away))
		s := newSession(u, l, dial)
		began := time.Now()
		err := s.run(ctx)
		if time.Since(began) > lasting && s.attached {
			away = time.Now()
		}
		if u.lost(ctx, l, s, err, time.Since(away)) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(retry):
		}
	}
}

// lost takes note of a session or an attempt that has ended. It returns true when the
// entry has let go of a guard that is retiring.
func (u *Uplink) lost(ctx context.Context, l *link, s *session, err error, away time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if l.session == s {
		l.session = nil
		// A stream that the entry ends in its turn leaves no run open.
		l.owed = !errors.Is(err, io.EOF)
	}
	if s.attached && !l.owed && s.isRetiring() {
		sessionRetired.Log(ctx, u.logger, slog.String("address", l.address), slog.String("entry", s.owner.Entry))
		if l.cancel != nil && ctx.Err() == nil {
			l.stop()
		}
		return true
	}
	if s.attached && ctx.Err() == nil {
		entryLost.Log(ctx, u.logger, slog.String("address", l.address), slog.String("entry", s.owner.Entry), slog.Any("error", err))
	}
	if down := away >= downAfter; down && !l.down && ctx.Err() == nil {
		l.down = true
		u.choose()
	}
	return false
}
