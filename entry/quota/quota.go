// Package quota enforces each client account's limits across the entries. A limit is divided into
// equal base shares, one for each entry that may hold one. An entry leases what it does not use
// to other entries for a limited time: the entry that grants a quota lease is its lessor, the one
// that uses it the lessee. On the wire a lease is a Loan and a request for leases a Demand. An
// entry admits from its own share and its leases only, so admission needs no message.
//
// Shares never add up to more than the contract. Base shares do not, because every holder counts
// every other one (Holder). A lease is deducted from the lessor's share before the lessee learns
// of it, and it expires at the lessee, which counts from before its request, before it expires at
// the lessor. What is returned is deducted at the lessee before the lessor learns of it. A message
// that is lost, late or duplicated can therefore only leave a part unused until its lease expires.
package quota

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"almondstand.dev/contract"
	"almondstand.dev/wire/wirev1"
)

// DefaultLeaseDuration is the duration of a lease of rate or burst. A lease of tasks in flight
// lasts longer by the client's answer time, so that the tasks admitted on it have ended when it
// expires.
const DefaultLeaseDuration = 3 * time.Second

// ExchangePause is the usual interval between two exchanges with a peer. A client that only a
// lease could help is told to retry after this time.
const ExchangePause = time.Second

// Options configure a Table. Zero values select the defaults.
type Options struct {
	// Self is this entry's PeerID as a string. It is hashed to decide which entries collect the
	// shares for a job that no single share can hold.
	Self          string
	LeaseDuration time.Duration
	Logger        *slog.Logger
	Scope         tally.Scope
	// Jitter returns a random number in [0,1).
	Jitter func() float64
}

// Decision is the result of an admission request.
type Decision struct {
	OK bool
	// Permanent means that the job can never be admitted: it exceeds the whole contract, or the
	// contract is retired.
	Permanent bool
	// RetryAfter is the time after which to retry, if neither OK nor Permanent.
	RetryAfter time.Duration
	// Release returns the tasks in flight. It is set if OK; only its first call has an effect.
	Release func()
	// Undo is called instead of Release for a job that was rejected after its admission. It also
	// returns the rate tokens: otherwise a client whose jobs are rejected because the queue is
	// full would use up its rate by retrying as it was told.
	Undo func()
}

// Share describes which part of every contract belongs to this entry.
type Share struct {
	// Entries is the number of entries that may hold a share, including this one.
	Entries int
	// Holding is false while some of the other entries may not count this one.
	Holding bool
	// Suspended means that this entry may not use its share until the others confirm that they
	// have counted it without interruption.
	Suspended bool
	// Joins is how often this entry has taken a share. Between two of them the others may have
	// divided it among themselves.
	Joins int
	// PendingClients names clients of whose limits another entry still holds more than its share.
	PendingClients map[string]bool
}

func (s Share) equal(o Share) bool {
	if s.Entries != o.Entries || s.Holding != o.Holding || s.Suspended != o.Suspended || s.Joins != o.Joins ||
		len(s.PendingClients) != len(o.PendingClients) {
		return false
	}
	for c := range s.PendingClients {
		if !o.PendingClients[c] {
			return false
		}
	}
	return true
}

// Table holds the clients' limits at one entry. Looking up a client takes no lock; each client has
// its own.
type Table struct {
	opts          Options
	accounts      atomic.Pointer[map[string]*account]
	closed        atomic.Bool
	grantsStopped atomic.Bool // no further leases are granted
	metrics       metrics

	mu    sync.Mutex // serialises changes to accounts and share
	share Share
}

type metrics struct {
	admitted, refused, granted, leased tally.Counter
	entries, holding                   tally.Gauge
}

// New returns a table without contracts and without a share.
func New(opts Options) *Table {
	if opts.LeaseDuration <= 0 {
		opts.LeaseDuration = DefaultLeaseDuration
	}
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.Jitter == nil {
		opts.Jitter = rand.Float64
	}
	t := &Table{opts: opts, metrics: metrics{
		admitted: opts.Scope.Counter("quota_tasks_admitted"),
		refused:  opts.Scope.Counter("quota_tasks_refused"),
		granted:  opts.Scope.Counter("quota_loans_given"),
		leased:   opts.Scope.Counter("quota_loans_taken"),
		entries:  opts.Scope.Gauge("quota_entries"),
		holding:  opts.Scope.Gauge("quota_holding"),
	}}
	t.accounts.Store(&map[string]*account{})
	return t
}

// SetContracts adds contracts or replaces them by newer versions.
func (t *Table) SetContracts(now time.Time, contracts ...contract.Contract) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := *t.accounts.Load()
	next := make(map[string]*account, len(old)+len(contracts))
	for name, a := range old {
		next[name] = a
	}
	for _, c := range contracts {
		a, known := next[c.Client]
		if !known {
			a = newAccount(now, c.Client, t.opts)
			next[c.Client] = a
		}
		a.setContract(now, c, t.share)
	}
	t.accounts.Store(&next)
}

// SetEntries calls SetShare for an entry that holds a share among the given number of live
// entries.
func (t *Table) SetEntries(now time.Time, live int) {
	t.SetShare(now, Share{Entries: live, Holding: true})
}

// SetShare changes this entry's own part of every contract.
func (t *Table) SetShare(now time.Time, s Share) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.share.equal(s) {
		return
	}
	logShare(t.opts.Logger, t.share, s)
	old := t.share
	t.share = s
	t.metrics.entries.Update(float64(s.Entries))
	t.metrics.holding.Update(boolGauge(s.Holding))
	for name, a := range *t.accounts.Load() {
		a.setShare(now, name, old, s)
	}
}

func boolGauge(v bool) float64 {
	if v {
		return 1
	}
	return 0
}

// Admit takes tasks from the client's rate and tasks in flight at this entry.
func (t *Table) Admit(now time.Time, client string, tasks int) Decision {
	a, known := (*t.accounts.Load())[client]
	if !known || t.closed.Load() {
		return Decision{RetryAfter: ExchangePause}
	}
	d := a.admit(now, tasks)
	if d.OK {
		t.metrics.admitted.Inc(int64(tasks))
	} else {
		t.metrics.refused.Inc(int64(tasks))
	}
	return d
}

// Demands returns what this entry requests from one peer, and how much it keeps of that peer's
// earlier leases. The rest of those leases is already returned when Demands returns.
func (t *Table) Demands(now time.Time, to string) []*wirev1.Demand {
	var all []*wirev1.Demand
	for _, a := range *t.accounts.Load() {
		if d := a.demand(now, to, t.closed.Load()); d != nil {
			all = append(all, d)
		}
	}
	slices.SortFunc(all, func(x, y *wirev1.Demand) int { return compare(x.Customer, y.Customer) })
	if len(all) > 0 {
		all[0].Lender = lessorKey(to)
	}
	return all
}

// NeedsLeases reports whether this entry needs new leases or renewals.
func (t *Table) NeedsLeases(now time.Time) bool {
	for _, a := range *t.accounts.Load() {
		if a.needsLease(now) {
			return true
		}
	}
	return false
}

// GrantLeases grants leases for as much of a peer's demands as this entry can spare. The granted
// amounts are deducted from this entry's share before the reply is sent.
func (t *Table) GrantLeases(now time.Time, from string, demands []*wirev1.Demand) []*wirev1.Loan {
	accounts := *t.accounts.Load()
	addressed := len(demands) > 0 && demands[0].GetLender() == lessorKey(t.opts.Self)
	var all []*wirev1.Loan
	for _, d := range demands {
		a, known := accounts[d.GetCustomer()]
		if !known {
			continue
		}
		if addressed {
			a.reclaim(now, from, d)
		}
		if t.grantsStopped.Load() {
			continue
		}
		if l := a.grant(now, from, peerDemandOf(d)); l != nil {
			l.Customer = d.GetCustomer()
			all = append(all, l)
		}
	}
	t.metrics.granted.Inc(int64(len(all)))
	return all
}

// AcquireLeases adds the leases in the reply to a call that began at askedAt.
func (t *Table) AcquireLeases(now time.Time, from string, loans []*wirev1.Loan, askedAt time.Time) {
	accounts := *t.accounts.Load()
	for _, l := range loans {
		if a, known := accounts[l.GetCustomer()]; known {
			a.acquire(now, from, l, askedAt)
		}
	}
	t.metrics.leased.Inc(int64(len(loans)))
}

// DropLeases discards the leases from a peer that was replaced or has left, because the entry that
// takes over its share does not know of them.
func (t *Table) DropLeases(now time.Time, from string) {
	for _, a := range *t.accounts.Load() {
		a.drop(now, from)
	}
}

// UnsettledClients names the clients of whose limits this entry still holds, uses or has leased out
// more than its present share.
func (t *Table) UnsettledClients(now time.Time) []string {
	var all []string
	for name, a := range *t.accounts.Load() {
		if !a.settled(now) {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}

// StopGranting stops granting leases for good, before the entry leaves.
func (t *Table) StopGranting() { t.grantsStopped.Store(true) }

// Close stops admission and the granting of leases for good. Leases are returned with the next
// call to each lessor.
func (t *Table) Close() {
	t.StopGranting()
	t.closed.Store(true)
}

// Idle reports whether nothing is in flight or leased out, so that the entry's share can be
// released.
func (t *Table) Idle(now time.Time) bool {
	for _, a := range *t.accounts.Load() {
		if !a.idle(now) {
			return false
		}
	}
	return true
}

// Status describes one client's limits at this entry.
type Status struct {
	Client                          string
	Rate, Burst, InFlight           float64
	Tokens                          float64
	Used                            int
	LeasedRate, GrantedRate         float64
	LeasedInFlight, GrantedInFlight float64
}

// Statuses returns the clients' limits at this entry, sorted by client.
func (t *Table) Statuses(now time.Time) []Status {
	var all []Status
	for name, a := range *t.accounts.Load() {
		s := a.status(now)
		s.Client = name
		all = append(all, s)
	}
	slices.SortFunc(all, func(x, y Status) int { return compare(x.Client, y.Client) })
	return all
}
