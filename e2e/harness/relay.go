package harness

import (
	"context"
	"fmt"
	"net"

	"almondstand.dev/entry/node"
	"almondstand.dev/settings"
	"almondstand.dev/standin/relay"
)

// AddStoreRelay starts a separate relay between one entry and the store, so that this entry
// alone can be partitioned from the store. It replaces the store's address in the entry's
// settings, so it must be called before the entry starts.
func AddStoreRelay(ctx context.Context, s *node.Settings) (*relay.Relay, error) {
	r := relay.New(s.Platform.Addresses[0].String())
	l, err := net.Listen("tcp", NewHost()+":0")
	if err != nil {
		return nil, fmt.Errorf("harness: relay: %w", err)
	}
	go func() { _ = r.Serve(ctx, l) }()
	s.Platform.Addresses = []settings.Address{mustAddress(l.Addr().String())}
	return r, nil
}

// Partition partitions the network at a relay: it resets every connection and refuses new
// ones until Heal is called.
func Partition(r *relay.Relay) error {
	err := r.Set(relay.State{ToTarget: relay.Drop, ToClient: relay.Drop, Refuse: true})
	r.Reset()
	return err
}

// Heal heals the partition created by Partition.
func Heal(r *relay.Relay) error {
	return r.Set(relay.State{ToTarget: relay.Pass, ToClient: relay.Pass})
}
