// Package uplink keeps a guard attached to its subset of the entries.
package uplink

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/advertise"
	"almondstand.dev/guard/runs"
	"almondstand.dev/guard/subset"
	"almondstand.dev/wire/fleetwire"
)

// Timing of attachments.
const (
	// firstRetry and lastRetry bound the pause between two attempts, and firstDial is
	// the least time for a connection to come about. An entry that restarts is attached
	// to within the two together, so they are short at first; each grows with the time
	// that the entry has been out of reach, one part in retryPart and dialPart. A dial
	// to a host without power hangs, also once the host is back. At the size designed
	// for, 40 entries gone for good cost a guard 40 attempts a second until they are
	// forgotten.
	firstRetry = 25 * time.Millisecond
	lastRetry  = time.Second
	firstDial  = 80 * time.Millisecond
	retryPart  = 8
	dialPart   = 4
	// lasting is the least time for which a session must last for the entry to count
	// as one within reach.
	lasting = time.Second
	// forgetAfter drops an entry that was out of reach for so long, unless the
	// settings name it or another entry does.
	forgetAfter = 20 * time.Second
	// listenFor ends a stream on which the entry was silent for so long: entries
	// send at least once a second.
	listenFor = 3 * time.Second
	// heartbeatInterval is the pause after which a message is sent though there is nothing
	// to tell: it carries the clock by which orders are dated.
	heartbeatInterval = time.Second
	// startsDelay is how long the news that a run has begun may wait for another
	// message. Half of all tasks take 60 ms: their end goes out instead. An entry
	// takes a start for unanswered after 320 ms, of which the runner has 150.
	startsDelay = 80 * time.Millisecond
)

// Reading the list of entries at the start.
const (
	// lookupHead is how long the seeds wait for the list: the store answers within 4 ms,
	// and a data centre is some milliseconds away.
	lookupHead = 60 * time.Millisecond
	// lookupTimeout bounds the reading: by then the seeds have named the entries.
	lookupTimeout = 500 * time.Millisecond
)

// Host is the account of the runner; see guard/host.
type Host interface {
	Capacity() runs.Capacity
	// HasFree reports whether there is capacity for one more run like the last.
	HasFree() bool
	Alive(o runs.Owner, at time.Duration)
	Resume(o runs.Owner, open []work.RunID) []runs.Report
	Order(sent time.Duration, o runs.Owner, orders []runs.Order, cancels []work.RunID)
}

// Options of an Uplink.
type Options struct {
	Guard       string
	Incarnation uint64
	Zone        string
	// Seeds returns the addresses of entries that the settings name; it is asked
	// again when no entry can be reached.
	Seeds func() []string
	// Entries reads the list of those that are registered; nil where there is none. It
	// is asked once, at the start.
	Entries func(ctx context.Context) ([]string, error)
	Logger  *slog.Logger
}

// Uplink is the set of attachments.
type Uplink struct {
	opt    Options
	host   Host
	logger *slog.Logger

	mu sync.Mutex
	// links are the entries known, by address.
	links map[string]*link
	// size is the number of entries within reach to keep sessions with.
	size int
	// current is the newest session of each entry, by the entry's id.
	current map[string]*session
	// turn is held while a message is taken, and while a session takes over from
	// an older one: an order of the older one can't slip in between the check that
	// it counts and the word to the entry that its order never arrived.
	turn   sync.Mutex
	attach sync.WaitGroup
	ctx    context.Context
}

// New returns an uplink without attachments.
func New(o Options, h Host) *Uplink {
	return &Uplink{opt: o, host: h, logger: o.Logger, links: map[string]*link{}, size: subset.Size, current: map[string]*session{}}
}

// Run attaches until the context ends.
func (u *Uplink) Run(ctx context.Context) error {
	u.mu.Lock()
	u.ctx = ctx
	u.mu.Unlock()
	u.discover(ctx)
	u.refresh()
	ticker := time.NewTicker(chooseEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			u.refresh()
		}
	}
	u.attach.Wait()
	return nil
}

// discover learns of the registered entries before the settings' seeds are named. After a
// loss of power every guard would attach to the same three seeds first, and the other
// entries have no runners until those three, busy with all guards, could name them. A list
// that doesn't come in time costs lookupHead.
func (u *Uplink) discover(ctx context.Context) {
	if u.opt.Entries == nil {
		return
	}
	done := make(chan struct{})
	u.attach.Go(func() {
		defer close(done)
		called, cancel := context.WithTimeout(ctx, lookupTimeout)
		defer cancel()
		entries, err := u.opt.Entries(called)
		if err != nil {
			lookupFailed.Log(ctx, u.logger, slog.String("error", err.Error()))
			return
		}
		u.know(entries)
	})
	select {
	case <-done:
	case <-time.After(lookupHead):
	case <-ctx.Done():
	}
}

// attempt is the time for a connection to come about, and the pause after an attempt
// that failed, with an entry that has been out of reach for so long.
func attempt(away time.Duration) (dial, retry time.Duration) {
	dial = min(max(away/dialPart, firstDial), fleetwire.DialTimeout)
	retry = min(max(away/retryPart, firstRetry), lastRetry)
	return dial, retry
}

// admit makes a session the only one of its entry. Nothing that arrives on the
// older one counts from then on: an order that the network held up there would
// come after the entry has been told that it never arrived.
func (u *Uplink) admit(s *session) {
	u.mu.Lock()
	older := u.current[s.owner.Entry]
	u.current[s.owner.Entry] = s
	l := s.link
	l.reached, l.session = time.Now(), s
	if l.down {
		l.down = false
		u.choose()
	}
	u.mu.Unlock()
	if older != nil && older != s {
		older.end()
	}
}

// isCurrent reports whether a session's messages count, and keeps its entry known.
func (u *Uplink) isCurrent(s *session) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	s.link.reached = time.Now()
	return u.current[s.owner.Entry] == s
}

func (u *Uplink) dismiss(s *session) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current[s.owner.Entry] == s {
		delete(u.current, s.owner.Entry)
	}
}

// Deliver implements host.Sink. Reports to an owner that isn't attached are
// left out: it asks for them when it attaches again.
func (u *Uplink) Deliver(reports []runs.Report) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, r := range reports {
		if s := u.current[r.Owner.Entry]; s != nil && s.owner == r.Owner {
			s.push(r)
		}
	}
}

// CapacityChanged implements host.Sink.
func (u *Uplink) CapacityChanged() {
	free := u.host.HasFree()
	capacity := u.host.Capacity()
	u.mu.Lock()
	defer u.mu.Unlock()
	advertise.Capacity(time.Now(), capacity, free, slices.Collect(maps.Values(u.current)))
}
