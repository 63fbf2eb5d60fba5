package client

import (
	"context"
	"sync"

	"almondstand.dev/entry/operator"
)

// maxParallel is the maximum number of entries called concurrently.
const maxParallel = 16

// EntryResponse is the response of one entry, or the error of the call.
type EntryResponse[T any] struct {
	Entry operator.Entry
	Value T
	Err   error
}

// CallAll calls fetch for every live entry, with a client for the operators'
// address of that entry.
func CallAll[T any](ctx context.Context, c *Client, fetch func(context.Context, *Client) (T, error)) ([]EntryResponse[T], error) {
	live, err := c.Entries(ctx)
	if err != nil {
		return nil, err
	}
	answers := make([]EntryResponse[T], len(live.Entries))
	semaphore := make(chan struct{}, maxParallel)
	var wg sync.WaitGroup
	for i, e := range live.Entries {
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			answers[i].Entry = e
			answers[i].Value, answers[i].Err = fetchFrom(ctx, c, e, fetch)
		})
	}
	wg.Wait()
	return answers, nil
}

func fetchFrom[T any](ctx context.Context, c *Client, e operator.Entry, fetch func(context.Context, *Client) (T, error)) (T, error) {
	if e.Operators == "" {
		var none T
		return none, ErrNoAddress
	}
	return fetch(ctx, c.WithAddress(e.Operators))
}

// FailedEntries returns the ids of the entries whose call failed.
func FailedEntries[T any](answers []EntryResponse[T]) []string {
	var names []string
	for _, a := range answers {
		if a.Err != nil {
			names = append(names, a.Entry.ID)
		}
	}
	return names
}
