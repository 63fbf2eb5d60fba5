package harness

import (
	"context"
	"sync/atomic"
	"time"
)

// Balancer picks ready entries round-robin, as the platform's load balancer does,
// which checks /readyz periodically.
type Balancer struct {
	entries []*Entry
	ready   []atomic.Bool
	next    atomic.Uint64
}

// checkInterval is the time between two readiness checks of one entry.
const checkInterval = 100 * time.Millisecond

// NewBalancer returns a balancer that checks the entries' readiness until ctx is done.
func NewBalancer(ctx context.Context, entries []*Entry) *Balancer {
	b := &Balancer{entries: entries, ready: make([]atomic.Bool, len(entries))}
	for i := range entries {
		b.check(i)
		go b.checkPeriodically(ctx, i)
	}
	return b
}

func (b *Balancer) checkPeriodically(ctx context.Context, i int) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.check(i)
		}
	}
}

func (b *Balancer) check(i int) { b.ready[i].Store(isReady(b.entries[i].Operators)) }

// Pick returns the next ready entry, or nil if no entry is ready.
func (b *Balancer) Pick() *Entry {
	for range b.entries {
		i := int(b.next.Add(1) % uint64(len(b.entries)))
		if b.ready[i].Load() {
			return b.entries[i]
		}
	}
	return nil
}

// StartBalancedLoad is StartLoad with a balancer: callers submit jobs to ready entries only.
func StartBalancedLoad(ctx context.Context, account string, callers int, b *Balancer, job func(n int) Job) *Load {
	ctx, stop := context.WithCancel(ctx)
	l := &Load{stop: stop}
	var sequence atomic.Int64
	for range callers {
		l.callers.Go(func() {
			client := NewClient(account)
			for ctx.Err() == nil {
				l.submitBalanced(ctx, client, b, job(int(sequence.Add(1))))
			}
		})
	}
	return l
}

func (l *Load) submitBalanced(ctx context.Context, client *Client, b *Balancer, j Job) {
	e := b.Pick()
	if e == nil {
		time.Sleep(pollInterval)
		return
	}
	answer, err := client.Run(context.WithoutCancel(ctx), e.Callers, j)
	l.add(Reply{Answer: answer, Err: err, Job: j})
	if err != nil || !answer.OK() {
		time.Sleep(pollInterval)
	}
}
