package harness

import (
	"context"
	"fmt"
	"net"

	"almondstand.dev/entry/node"
	"almondstand.dev/settings"
	"almondstand.dev/standin/relay"
)

// StoreRelay starts a separate relay between one entry and the store, so that this entry
// alone can be partitioned from the store. It replaces the store's address in the entry's
// settings, so it must be called before the entry starts.
func StoreRelay(ctx context.Context, s *node.Settings) (*relay.Relay, error) {
	r := relay.New(s.Platform.Addresses[0].String())
	l, err := net.Listen("tcp", NewHost()+":0")
	if err != nil {
		return nil, fmt.Errorf("harness: relay: %w", err)
	}
	go func() { _ = r.Serve(ctx, l) }()
	s.Platform.Addresses = []settings.Address{mustAddress(l.Addr().String())}
	return r, nil
}

// Cut partitions the network at a relay: it resets every connection and refuses new ones
// until Mend is called.
func Cut(r *relay.Relay) error {
	err := r.Set(relay.State{ToTarget: relay.Drop, ToClient: relay.Drop, Refuse: true})
	r.Reset()
	return err
}

// Mend heals the partition created by Cut.
func Mend(r *relay.Relay) error {
	return r.Set(relay.State{ToTarget: relay.Pass, ToClient: relay.Pass})
}
