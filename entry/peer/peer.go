// Package peer implements the communication between entries: the periodic gossip of
// configuration, membership, demand and bare endpoints (those without a guard), the
// fetching of contracts from a peer, the forwarding of callers' requests to the entry
// that owns them, and the check that keeps an isolated entry from accepting work.
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

// Errors of Forward and of gossip calls.
var (
	// ErrPeerUnresponsive: the peer did not answer; it may have received the request.
	ErrPeerUnresponsive = eris.New("peer: no answer")
	// ErrPeerGone: the addressed process has ended.
	ErrPeerGone = eris.New("peer: ended or replaced")
	// ErrPeerFailed: the peer answered with an error of its own; the outcome of the request
	// is unknown.
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

// Contracts is the part of the contract registry that peers synchronize.
type Contracts interface {
	// Revision is the highest revision held; Digest is equal at entries that hold the same
	// versions.
	Revision() int64
	Digest() uint64
	// StoreAge is the time since the store last answered.
	StoreAge(now time.Time) time.Duration
	// HasSynced reports whether the store was read in full since the start.
	HasSynced() bool
	// HeldRevisions returns the revision of each contract held.
	HeldRevisions() map[string]int64
	// BuildResponse serves a peer's request; MergeResponse applies a peer's response if it is
	// complete.
	BuildResponse(*wirev1.FetchContractsRequest) *wirev1.FetchContractsResponse
	MergeResponse(*wirev1.FetchContractsResponse) (int, error)
}

// BareSource is the part of the fleet that entries share by gossip.
type BareSource interface {
	// BareEndpoints lists the endpoints without a guard; ApplyBareEndpoints applies a peer's list.
	BareEndpoints() []*wirev1.BareEndpoint
	ApplyBareEndpoints([]*wirev1.BareEndpoint)
	// BareUsage is this entry's current use of them; ApplyBareUsage applies a peer's.
	BareUsage() []*wirev1.BareUse
	ApplyBareUsage(from string, all []*wirev1.BareUse)
}

// Quota is the part of the client limits that is coordinated with peers.
type Quota interface {
	Demands(now time.Time, to string) []*wirev1.Demand
	NeedsLeases(now time.Time) bool
	GrantLeases(now time.Time, from string, demands []*wirev1.Demand) []*wirev1.Loan
	AcquireLeases(now time.Time, from string, loans []*wirev1.Loan, askedAt time.Time)
	DropLeases(now time.Time, from string)
	UnsettledClients(now time.Time) []string
	SetShare(now time.Time, s quota.Share)
	StopGranting()
	Close()
	Idle(now time.Time) bool
}

// Lease reports whether this entry's registration allows it to admit new work.
type Lease interface {
	MayAdmit(now time.Time) bool
	RequestUpdate()
}

// ForwardHandler serves a request that a peer forwards.
type ForwardHandler func(context.Context, *wirev1.ForwardRequest) (*wirev1.ForwardResponse, error)

// Options of Peers. Members, Lease, Contracts, Quota, Bare and Forward are required;
// zero values of the others take the defaults.
type Options struct {
	Members   *member.Table
	Lease     Lease
	Contracts Contracts
	Quota     Quota
	Bare      BareSource
	// Guards is nil for an entry that neither lists nor contacts guards.
	Guards  Guards
	Forward ForwardHandler
	// Seeds are addresses of the internal interface where some entry answers, such as the
	// load balancer's. They are called while the store is unreachable.
	Seeds []string
	// Secret is shared by all processes of the system; empty for none.
	Secret string
	// Interval is the pause between gossip rounds. Each round calls every peer while there
	// are at most Fanout, and otherwise Fanout of them at random.
	Interval time.Duration
	Fanout   int
	// CallTimeout bounds one Exchange call.
	CallTimeout time.Duration
	// Isolation is how long this entry accepts new work while neither the store nor a peer
	// answers.
	Isolation time.Duration
	Control   *telemetry.ControlTraffic
	Logger    *slog.Logger
	Scope     tally.Scope
	Now       func() time.Time
	// StalledTime returns the total time during which this process did not run; nil if that is
	// not measured.
	StalledTime func() time.Duration
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
		o.Control = telemetry.NewControlTraffic(o.Scope)
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.StalledTime == nil {
		o.StalledTime = func() time.Duration { return 0 }
	}
	if o.Jitter == nil {
		o.Jitter = rand.Float64
	}
	return o
}

// Peers manages this entry's communication with all other entries.
type Peers struct {
	opts    Options
	pool    *pool
	meter   meter
	started time.Time
	// bootstrapped: a complete set of contracts was received from a peer.
	bootstrapped atomic.Bool
	// lastAnswered is the start time of the last gossip call that a peer answered.
	lastAnswered atomic.Pointer[time.Time]
	// shareContact is the contact time at which the current share was determined.
	shareContact atomic.Pointer[time.Time]
	// withoutShare: this entry has no share, and knows no entry to lease from.
	withoutShare atomic.Bool
	// suspended: the share is suspended until the peers have confirmed it again.
	suspended atomic.Bool
	recheck   recheck
	serving   servingState
	leaving   atomic.Bool
	// guards is the progress of learning the guards from peers.
	guards guardDiscovery

	shareMu sync.Mutex
	holder  *quota.Holder
	shares  map[quota.PeerID]bool

	early earlyRounds

	mu     sync.Mutex
	states map[quota.PeerID]*peerState
	seeds  map[string]seedRecord
}

// New returns the peers; Run performs the gossip, Handler serves the other entries'
// calls.
func New(o Options) *Peers {
	o = o.withDefaults()
	p := &Peers{
		opts:    o,
		early:   newEarlyRounds(),
		pool:    newPool(o),
		meter:   newMeter(o),
		started: o.Now(),
		holder:  quota.NewHolder(o.Isolation, o.Logger),
		shares:  map[quota.PeerID]bool{},
		states:  map[quota.PeerID]*peerState{},
		seeds:   map[string]seedRecord{},
	}
	p.shareContact.Store(&time.Time{})
	p.guards.settled.Store(o.Guards == nil)
	p.refreshShare(p.started)
	return p
}

// Status returns what is known of one incarnation of an entry.
func (p *Peers) Status(entry string, incarnation uint64) member.Status {
	return p.opts.Members.Status(entry, incarnation)
}

func peerID(e *wirev1.EntryInfo) quota.PeerID {
	return quota.PeerID{ID: e.GetId(), Incarnation: e.GetIncarnation()}
}
