package harness

import (
	"context"
	"fmt"
	"time"

	"almondstand.dev/entry/operator/client"
)

// operatorClient is shared, so that all calls use the same connection pool.
var operatorClient = client.New(client.Options{Token: OperatorToken})

// Operator returns a client of the entry's operator API.
func (e *Entry) Operator() *client.Client { return operatorClient.WithAddress(e.Operators) }

// Ready reports whether the entry's readiness check succeeds.
func (e *Entry) Ready() bool { return isReady(e.Operators) }

// WaitContractApplied waits until each entry applies the given or a later revision of the
// client account's contract, and returns how long it took until the last entry did.
func WaitContractApplied(ctx context.Context, entries []*Entry, account string, revision int64) (time.Duration, error) {
	start := time.Now()
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	for _, e := range entries {
		for {
			v, err := e.Operator().Contract(ctx, account)
			if err == nil && v.Revision >= revision {
				break
			}
			if ctx.Err() != nil {
				return 0, fmt.Errorf("%w: %s has revision %d of the contract of %s, want %d: %v", ErrNotReady, e.ID, v.Revision, account, revision, err)
			}
			time.Sleep(pollInterval)
		}
	}
	return time.Since(start), nil
}
