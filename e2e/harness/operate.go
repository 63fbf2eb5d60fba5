package harness

import (
	"context"
	"fmt"
	"time"

	"almondstand.dev/entry/operator/client"
)

// operators is shared, so that all calls use the same connections.
var operators = client.New(client.Options{Token: OperatorToken})

// Operator returns an operator's client of one entry.
func (e *Entry) Operator() *client.Client { return operators.WithAddress(e.Operators) }

// Ready reports whether the entry says that it may be sent work.
func (e *Entry) Ready() bool { return isReady(e.Operators) }

// WaitInForce waits until each entry has the revision of the customer's contract
// in force, or a later one, and returns how long the last took.
func WaitInForce(ctx context.Context, entries []*Entry, customer string, revision int64) (time.Duration, error) {
	begin := time.Now()
	ctx, stop := context.WithTimeout(ctx, readyLimit)
	defer stop()
	for _, e := range entries {
		for {
			v, err := e.Operator().Contract(ctx, customer)
			if err == nil && v.Revision >= revision {
				break
			}
			if ctx.Err() != nil {
				return 0, fmt.Errorf("%w: %s has revision %d of %s and not %d: %v", ErrNotReady, e.ID, v.Revision, customer, revision, err)
			}
			time.Sleep(pollPause)
		}
	}
	return time.Since(begin), nil
}
