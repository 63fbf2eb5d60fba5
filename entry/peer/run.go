package peer

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"almondstand.dev/entry/member"
	"almondstand.dev/entry/quota"
)

const (
	// startInterval is the pause between rounds until this entry has contracts and its
	// share; startupPeriod bounds that phase.
	startInterval = 200 * time.Millisecond
	startupPeriod = 10 * time.Second
	// seedInterval is the pause between calls to the seeds while the store does not answer.
	seedInterval = 5 * time.Second
	// leavePoll is how often a leaving entry checks whether its share is free.
	leavePoll = 50 * time.Millisecond
)

// seedOutcome is the result of a call to a seed.
type seedOutcome int

const (
	// seedUnknown: not called yet, or no answer.
	seedUnknown seedOutcome = iota
	// seedNone: this entry itself answered, or the connection was refused.
	seedNone
	seedPeer
)

// noPeerStreak is how many consecutive calls to a seed must reach no other entry before
// this entry considers itself the only one: a load balancer may route calls back here by
// chance.
const noPeerStreak = 5

// seedRecord is the history of the calls to one seed.
type seedRecord struct {
	last seedOutcome
	// streak counts the consecutive calls with the last outcome.
	streak int
}

func (r seedRecord) record(o seedOutcome) seedRecord {
	if o != r.last {
		return seedRecord{last: o, streak: 1}
	}
	return seedRecord{last: o, streak: r.streak + 1}
}

func (r seedRecord) noPeer() bool { return r.last == seedNone && r.streak >= noPeerStreak }

// Run performs the gossip until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	var calls sync.WaitGroup
	defer p.pool.close()
	defer calls.Wait()
	if p.opts.Guards != nil {
		calls.Go(func() { p.discoverGuards(ctx) })
	}
	var seeded time.Time
	for {
		now := p.opts.Now()
		if p.seedsDue(now, seeded) {
			seeded = now
			p.callSeeds(ctx, &calls)
		}
		p.startRound(ctx, now, p.early.takeUrgent(), &calls)
		if err := p.waitForRound(ctx, p.roundPause(now)); err != nil {
			return err
		}
	}
}

// waitForRound waits for the next round: for the pause, or until an early round is due.
func (p *Peers) waitForRound(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			return nil
		case <-p.early.wake:
			wait, drop := p.early.reserve(p.opts.Now())
			switch {
			case drop:
			case wait == 0:
				return nil
			default:
				timer.Reset(min(wait, pause))
			}
		}
	}
}

func (p *Peers) starting(now time.Time) bool {
	return now.Sub(p.started) < startupPeriod && !(p.hasContracts() && p.joined())
}

// roundPause is jittered by a fifth, so that entries started together do not call at the
// same time.
func (p *Peers) roundPause(now time.Time) time.Duration {
	d := p.opts.Interval
	if p.starting(now) {
		d = min(d, startInterval)
	}
	return d - time.Duration(p.opts.Jitter()*float64(d)/5)
}

// startRound calls the peers selected for this round, each in its own goroutine; an
// urgent round calls all.
func (p *Peers) startRound(ctx context.Context, now time.Time, urgent bool, calls *sync.WaitGroup) {
	p.refreshShare(now)
	peers := p.opts.Members.Peers()
	p.housekeeping(now, peers)
	if !urgent {
		peers = p.selectPeers(now, peers)
	}
	for _, peer := range peers {
		calls.Go(func() { p.gossipWith(ctx, peer.Info) })
	}
}

// selectPeers returns all peers while they are few, or while this entry needs an answer
// from each: to take its share, or to acquire quota leases. Otherwise it returns Fanout
// of them at random.
func (p *Peers) selectPeers(now time.Time, peers []member.Peer) []member.Peer {
	if len(peers) <= p.opts.Fanout || !p.joined() || p.opts.Quota.NeedsLeases(now) {
		return peers
	}
	chosen := append([]member.Peer{}, peers...)
	for i := range p.opts.Fanout {
		j := i + int(p.opts.Jitter()*float64(len(chosen)-i))
		chosen[i], chosen[j] = chosen[j], chosen[i]
	}
	return chosen[:p.opts.Fanout]
}

func (p *Peers) housekeeping(now time.Time, peers []member.Peer) {
	present := make(map[quota.PeerID]bool, len(peers))
	addresses := make(map[string]bool, len(peers))
	live := 0
	for _, peer := range peers {
		present[quota.PeerID{ID: peer.Info.ID, Incarnation: peer.Info.Incarnation}] = true
		addresses[peer.Info.Address] = true
		if peer.Status == member.Live {
			live++
		}
	}
	p.pruneStates(present)
	p.pool.prune(addresses)
	p.meter.peers.Update(float64(len(peers)))
	p.meter.live.Update(float64(live))
	p.meter.storeAge.Update(p.opts.Contracts.StoreAge(now).Seconds())
	p.MayServe(now)
}

// seedsDue reports whether to call the seeds: at startup, and while this entry has no
// contact with the store, where it would find the other entries.
func (p *Peers) seedsDue(now, last time.Time) bool {
	if len(p.opts.Seeds) == 0 {
		return false
	}
	if p.starting(now) {
		return true
	}
	return now.Sub(last) >= seedInterval && (!p.opts.Members.InContact() || !p.joined())
}

func (p *Peers) callSeeds(ctx context.Context, calls *sync.WaitGroup) {
	for _, address := range p.opts.Seeds {
		calls.Go(func() { p.callSeed(ctx, address) })
	}
}

func (p *Peers) callSeed(ctx context.Context, address string) {
	from, err := p.callExchange(ctx, p.pool.clientPerCall(address), quota.PeerID{}, nil)
	p.recordSeed(address, outcomeOf(from, err))
}

func outcomeOf(from quota.PeerID, err error) seedOutcome {
	switch {
	case err == nil && from.ID != "":
		return seedPeer
	case errors.Is(err, errSelf), errors.Is(err, syscall.ECONNREFUSED):
		return seedNone
	default:
		return seedUnknown
	}
}

func (p *Peers) recordSeed(address string, o seedOutcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds[address] = p.seeds[address].record(o)
}

// noOtherEntries reports whether the seeds lead to no other entry. While a seed does not
// answer, there may be entries behind it that the store no longer lists.
func (p *Peers) noOtherEntries(now time.Time) bool {
	if now.Sub(p.started) > noOtherEntriesTimeout {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range p.opts.Seeds {
		if !p.seeds[address].noPeer() {
			return false
		}
	}
	return true
}

// Drain marks this entry as draining and grants no more quota leases, so that those it
// granted expire while its last jobs finish.
func (p *Peers) Drain() {
	p.opts.Members.SetDraining()
	p.opts.Lease.RequestUpdate()
	p.opts.Quota.StopGranting()
}

// Leave takes this entry out gracefully, after its last job: it stops granting quota
// leases, waits until those it granted have expired, and announces to every peer that
// its share is free. If ctx ends first it announces nothing, and the others wait for its
// registration lease to expire.
func (p *Peers) Leave(ctx context.Context) error {
	p.leaving.Store(true)
	p.opts.Quota.Close()
	for !p.opts.Quota.Idle(p.opts.Now()) {
		timer := time.NewTimer(leavePoll)
		select {
		case <-ctx.Done():
			timer.Stop()
			eventLeaveUnfinished.Log(ctx, p.opts.Logger)
			return ctx.Err()
		case <-timer.C:
		}
	}
	p.opts.Members.SetLeft()
	p.opts.Lease.RequestUpdate()
	var calls sync.WaitGroup
	for _, peer := range p.opts.Members.Peers() {
		calls.Go(func() { p.announceLeave(ctx, peer.Info) })
	}
	calls.Wait()
	return nil
}

func (p *Peers) announceLeave(ctx context.Context, to member.Info) {
	id := quota.PeerID{ID: to.ID, Incarnation: to.Incarnation}
	_, _ = p.callExchange(ctx, p.pool.client(to.Address), id, p.state(id))
}
