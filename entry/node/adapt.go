package node

import (
	"context"
	"time"

	"almondstand.dev/contract"
	"almondstand.dev/entry/task"
	"almondstand.dev/settings"
	"almondstand.dev/wire/wirev1"
)

type (
	forwardRequest  = wirev1.ForwardRequest
	forwardResponse = wirev1.ForwardResponse
)

// deferredStarter is given its Starter after the engine is created, since the
// engine and the fleet depend on each other. The Starter is set before the engine
// learns of its first endpoint.
type deferredStarter struct{ task.Starter }

// applyContract applies the limits of a contract to the quota table.
func (n *Node) applyContract(c contract.Contract) {
	n.quota.SetContracts(time.Now(), c)
}

// handleForward handles a request forwarded by a peer. Peers call it only after
// New has returned, when n.api is set.
func (n *Node) handleForward(ctx context.Context, r *forwardRequest) (*forwardResponse, error) {
	return n.api.HandleForward(ctx, r)
}

func addresses(list []settings.Address) []string {
	out := make([]string, 0, len(list))
	for _, a := range list {
		out = append(out, a.String())
	}
	return out
}
