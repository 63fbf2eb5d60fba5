package harness

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrNoFinalAnswer is returned when a submission got no final answer in time.
var ErrNoFinalAnswer = errors.New("harness: no final answer")

// RetryPolicy configures a caller's retries.
type RetryPolicy struct {
	// PerTryTimeout is the timeout of one request, after which the caller cancels it and
	// retries over a new connection.
	PerTryTimeout time.Duration
	// Timeout is the timeout of the whole submission, including retries.
	Timeout time.Duration
}

// Final reports whether the answer is final. Any other answer has a Retry-After header,
// which asks the caller to repeat the request with the same submission id.
func (a *Answer) Final() bool { return a.RetryAfter == "" }

// PutUntilFinal submits a job under a submission id, to the addresses round-robin, until
// it gets a final answer. It returns that answer and the number of requests sent.
func (c *Client) PutUntilFinal(ctx context.Context, addresses []string, id string, j Job, p RetryPolicy) (*Answer, int, error) {
	ctx, stop := context.WithTimeout(ctx, p.Timeout)
	defer stop()
	lastErr := ErrNoFinalAnswer
	for n := 0; ctx.Err() == nil; n++ {
		a, err := c.putWithTimeout(ctx, addresses[n%len(addresses)], id, j, p.PerTryTimeout)
		if err == nil && a.Final() {
			return a, n + 1, nil
		}
		if err == nil {
			err = fmt.Errorf("%w: last status %d, error %+v", ErrNoFinalAnswer, a.Status, a.Error)
		}
		lastErr = err
		time.Sleep(pollInterval)
	}
	return nil, 0, lastErr
}

func (c *Client) putWithTimeout(ctx context.Context, address, id string, j Job, timeout time.Duration) (*Answer, error) {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	return c.Put(ctx, address, id, j)
}

// StartRetryingLoad starts callers that mint a submission id at one entry and submit a
// job under it until the answer is final, sending each request to the next entry. The
// first request of a submission goes to the entry after the one that minted its id.
func StartRetryingLoad(ctx context.Context, account string, callers int, entries []*Entry, p RetryPolicy, job func(n int) Job) *Load {
	ctx, stop := context.WithCancel(ctx)
	l := &Load{stop: stop}
	for i := range callers {
		l.callers.Go(func() { l.runRetryingCaller(ctx, NewClient(account), i, callers, entries, p, job) })
	}
	return l
}

func (l *Load) runRetryingCaller(ctx context.Context, client *Client, i, step int, entries []*Entry, p RetryPolicy, job func(n int) Job) {
	addresses := make([]string, len(entries))
	for n := i; ctx.Err() == nil; n += step {
		for k := range entries {
			addresses[k] = entries[(n+1+k)%len(entries)].Callers
		}
		l.submitWithRetries(context.WithoutCancel(ctx), client, entries[n%len(entries)].Callers, addresses, p, job(n))
	}
}

func (l *Load) submitWithRetries(ctx context.Context, client *Client, minterAddress string, addresses []string, p RetryPolicy, j Job) {
	mintCtx, stop := context.WithTimeout(ctx, p.PerTryTimeout)
	defer stop()
	ids, err := client.Mint(mintCtx, minterAddress, 1)
	if err != nil {
		time.Sleep(pollInterval) // nothing was submitted, so there is no reply to record
		return
	}
	answer, _, err := client.PutUntilFinal(ctx, addresses, ids[0], j, p)
	l.add(Reply{Answer: answer, Err: err, Job: j})
}
