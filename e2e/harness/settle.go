package harness

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"almondstand.dev/entry/operator"
)

// Starts sums up the starts that all runners recorded.
type Starts struct {
	// Tasks is the number of starts of each task, over all runners.
	Tasks      map[string]int
	Total      int
	Duplicates int
	Running    int
	Cancelled  int
}

// Starts sums up the starts recorded by all runners. A task that started once on each of
// two runners counts as started twice, and therefore in Duplicates.
func (c *Cluster) Starts() Starts {
	sum := Starts{Tasks: map[string]int{}}
	for _, r := range c.Runners {
		recorded := r.Runner.Starts()
		sum.Total += recorded.Total
		sum.Running += recorded.Running
		sum.Cancelled += recorded.Cancelled
		for task, n := range recorded.Tasks {
			sum.Tasks[task] += n
		}
	}
	for _, n := range sum.Tasks {
		if n > 1 {
			sum.Duplicates++
		}
	}
	return sum
}

// WaitServing waits until every started entry is ready, serves the client account and
// may start tasks on every endpoint.
func (c *Cluster) WaitServing(ctx context.Context, account string) error {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	client := NewClient(account)
	for _, e := range c.Entries {
		for !c.serving(ctx, e, client) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%w: %s does not serve %s on all endpoints\n%s", ErrNotReady, e.ID, account, e.Log())
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

func (c *Cluster) serving(ctx context.Context, e *Entry, client *Client) bool {
	if !isReady(e.Operators) || c.countUsable(ctx, e) < len(c.Runners) {
		return false
	}
	_, err := client.Mint(ctx, e.Callers, 1)
	return err == nil
}

// countUsable returns the number of endpoints on which an entry may start tasks.
func (c *Cluster) countUsable(ctx context.Context, e *Entry) int {
	var response operator.Endpoints
	status, err := Operate(ctx, e.Operators, http.MethodGet, "/v1/endpoints", nil, &response)
	if err != nil || status != http.StatusOK {
		return 0
	}
	n := 0
	for _, endpoint := range response.Endpoints {
		if endpoint.Usable {
			n++
		}
	}
	return n
}

// WaitIdle waits until no runner is running a task, for at most readyTimeout.
func (c *Cluster) WaitIdle(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	for c.Starts().Running > 0 && ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
}
