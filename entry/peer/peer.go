// Package peer is the conversation between entries: the exchange of
// configuration, membership, demand and bare endpoints, the fetching of
// contracts from a peer, the forwarding of callers' requests to the entry that
// owns them, and the gate that stops an entry that hears nobody.
package peer

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"almondstand.dev/entry/member"
	"almondstand.dev/entry/quota"
	"almondstand.dev/telemetry"
	"almondstand.dev/wire/wirev1"
)

// Errors of Forward and of the exchange.
var (
	// ErrPeerSilent: the peer did not answer; it may have got the request.
	ErrPeerSilent = eris.New("peer: no answer")
	// ErrPeerGone: the process that was meant has ended.
	ErrPeerGone = eris.New("peer: ended or replaced")
	// ErrPeerFailed: the peer answered with an error of its own; what became of the
	// request is unknown.
	ErrPeerFailed = eris.New("peer: failed")
	// errSelf: an address led back to this entry.
	errSelf = eris.New("peer: answered by this entry itself")
)

// Defaults of Options.
const (
	DefaultInterval    = time.Second
	DefaultFanout      = member.DefaultFanout
	DefaultCallTimeout = time.Second
	DefaultIsolation   = quota.DefaultIsolation
	// DefaultForwardTimeout bounds a forwarded request without a deadline.
	DefaultForwardTimeout = 5 * time.Minute
)

// Contracts is the part of the contract registry that peers share.
type Contracts interface {
	// Revision is the highest revision held; Digest is equal where the same
	// versions are held.
	Revision() int64
	Digest() uint64
	// StoreAge is the time since the store last answered.
	StoreAge(now time.Time) time.Duration
	// Listed reports whether the store was read in full since the start.
	Listed() bool
	// Held returns the revision of each contract held.
	Held() map[string]int64
	// Answer serves a peer; MergeAnswer takes a peer's answer when it is whole.
	Answer(*wirev1.FetchContractsRequest) *wirev1.FetchContractsResponse
	MergeAnswer(*wirev1.FetchContractsResponse) (int, error)
}

// Bare is the part of the fleet that is passed on between entries.
type Bare interface {
	// Bare lists the endpoints without a guard; ApplyBare takes a peer's.
	Bare() []*wirev1.BareEndpoint
	ApplyBare([]*wirev1.BareEndpoint)
	// Use is what this entry uses of them; ApplyUse takes what a peer uses.
	Use() []*wirev1.BareUse
	ApplyUse(from string, all []*wirev1.BareUse)
}

// Quota is the part of the limits that needs the peers.
type Quota interface {
	Demand(now time.Time, to string) []*wirev1.Demand
	Lacking(now time.Time) bool
	Lend(now time.Time, from string, demands []*wirev1.Demand) []*wirev1.Loan
	Borrow(now time.Time, from string, loans []*wirev1.Loan, askedAt time.Time)
	Drop(now time.Time, from string)
	Unsettled(now time.Time) []string
	SetShare(now time.Time, s quota.Share)
	StopLending()
	Close()
	Idle(now time.Time) bool
}

// Lease says whether this entry's registration lets it admit new work.
type Lease interface {
	Admissible(now time.Time) bool
	Touch()
}

// ForwardHandler serves a request that a peer forwards.
type ForwardHandler func(context.Context, *wirev1.ForwardRequest) (*wirev1.ForwardResponse, error)

// Options of Peers. Members, Lease, Contracts, Quota, Bare and Forward are
// required; zero values of the others take the defaults.
type Options struct {
	Members   *member.Table
	Lease     Lease
	Contracts Contracts
	Quota     Quota
	Bare      Bare
	// Guards is nil for an entry that neither names nor greets guards.
	Guards  Guards
	Forward ForwardHandler
	// Seeds are addresses of the internal interface where some entry answers, such
	// as the balancer's. They are asked while the store is not.
	Seeds []string
	// Secret is shared by the system's processes; empty for none.
	Secret string
	// Interval is the pause between rounds of exchanges. Each round asks every peer
	// while they are no more than Fanout, and Fanout of them at random when more.
	Interval time.Duration
	Fanout   int
	// CallTimeout bounds one exchange.
	CallTimeout time.Duration
	// Isolation is how long this entry takes new work while it hears neither the
	// store nor a peer.
	Isolation time.Duration
	Control   *telemetry.Control
	Logger    *slog.Logger
	Scope     tally.Scope
	Now       func() time.Time
	// Jitter returns a number in [0,1).
	Jitter func() float64
}

func (o Options) withDefaults() Options {
	o.Interval = cmp.Or(o.Interval, DefaultInterval)
	o.Fanout = cmp.Or(o.Fanout, DefaultFanout)
	o.CallTimeout = cmp.Or(o.CallTimeout, DefaultCallTimeout)
	o.Isolation = cmp.Or(o.Isolation, DefaultIsolation)
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Control == nil {
		o.Control = telemetry.NewControl(o.Scope)
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Jitter == nil {
		o.Jitter = rand.Float64
	}
	return o
}

// Peers is this entry's side of all other entries.
type Peers struct {
	opts    Options
	pool    *pool
	meter   meter
	started time.Time
	// bootstrapped: contracts were got whole from a peer.
	bootstrapped atomic.Bool
	// heard is the beginning of the last exchange that a peer answered.
	heard atomic.Pointer[time.Time]
	// decided is the contact that the present share was decided by.
	decided atomic.Pointer[time.Time]
	// cold: this entry has no share, and knows of nobody to borrow from.
	cold atomic.Bool
	// suspended: the share is, until the peers have confirmed it anew.
	suspended atomic.Bool
	recheck   recheck
	gate      gate
	left      atomic.Bool
	// guards is how far the joining has got with the peers' guards.
	guards guardJoin

	shareMu sync.Mutex
	holder  *quota.Holder
	shares  map[quota.PeerID]bool

	early early

	mu     sync.Mutex
	states map[quota.PeerID]*state
	seeds  map[string]seedRecord
}

// New returns the peers; Run keeps up the exchange, Handler serves theirs.
func New(o Options) *Peers {
	o = o.withDefaults()
	p := &Peers{
		opts:    o,
		early:   newEarly(),
		pool:    newPool(o),
		meter:   newMeter(o),
		started: o.Now(),
		holder:  quota.NewHolder(o.Isolation, o.Logger),
		shares:  map[quota.PeerID]bool{},
		states:  map[quota.PeerID]*state{},
		seeds:   map[string]seedRecord{},
	}
	p.decided.Store(&time.Time{})
	p.guards.settled.Store(o.Guards == nil)
	p.refreshShare(p.started)
	return p
}

// Standing says what is known of one incarnation of an entry.
func (p *Peers) Standing(entry string, incarnation uint64) member.Standing {
	return p.opts.Members.Standing(entry, incarnation)
}

func peerID(e *wirev1.EntryInfo) quota.PeerID {
	return quota.PeerID{ID: e.GetId(), Incarnation: e.GetIncarnation()}
}
